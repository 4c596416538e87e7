//! Estimates how long a connection stays idle after each kind of request, from measured idle times.

use std::cell::Cell;
use std::time::Duration;

/// Kinds of requests, distinguished by when the next request on the same connection is expected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// A heartbeat that was answered without commands.
    Heartbeat,
    /// A heartbeat that was answered with commands. The agent sends another one as soon as it has executed them.
    HeartbeatWithCommands,
    /// A heartbeat that this controller redirected or rejected. The agent continues with another controller.
    HeartbeatRefused,
    /// A user's request.
    User,
    /// A health check of the load balancer.
    HealthCheck,
}

/// Number of variants of [`RequestKind`]; their discriminants index the means.
const REQUEST_KINDS: usize = 5;

/// Weight of a new sample in the exponential moving mean.
const SAMPLE_WEIGHT: f64 = 1.0 / 16.0;

/// Exponential moving means of idle times, by kind of request.
#[derive(Debug)]
pub struct IdleTimeEstimator {
    means_s: [Cell<f64>; REQUEST_KINDS],
}

impl IdleTimeEstimator {
    /// An estimator without samples. The initial mean of each kind is the heartbeat interval, except that the next
    /// request is expected at once after a heartbeat with commands, and never after a refused heartbeat.
    pub fn new(heartbeat_interval: Duration) -> IdleTimeEstimator {
        let initial_s = heartbeat_interval.as_secs_f64();
        let estimator = IdleTimeEstimator { means_s: std::array::from_fn(|_| Cell::new(initial_s)) };
        estimator.mean_s(RequestKind::HeartbeatRefused).set(f64::INFINITY);
        estimator.mean_s(RequestKind::HeartbeatWithCommands).set(0.0);
        estimator
    }

    /// Adds the idle time that followed a request of this kind to the mean.
    pub fn record(&self, kind: RequestKind, idle: Duration) {
        let mean_s = self.mean_s(kind);
        if mean_s.get().is_finite() {
            mean_s.set(mean_s.get() * (1.0 - SAMPLE_WEIGHT) + idle.as_secs_f64() * SAMPLE_WEIGHT);
        }
    }

    /// Whether connections are expected to stay idle at least as long after this kind of request as after heartbeats
    /// and after user requests. On a tie between these two, users count as idle for the shorter time.
    pub fn is_longest(&self, kind: RequestKind) -> bool {
        let heartbeat_s = self.mean_s(RequestKind::Heartbeat).get();
        let user_s = self.mean_s(RequestKind::User).get();
        match kind {
            RequestKind::User => user_s > heartbeat_s,
            other => self.mean_s(other).get() >= heartbeat_s.max(user_s),
        }
    }

    fn mean_s(&self, kind: RequestKind) -> &Cell<f64> {
        &self.means_s[kind as usize]
    }
}

#[cfg(test)]
mod tests;
