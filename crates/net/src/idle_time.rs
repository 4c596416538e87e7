//! Estimates how long connections stay idle after each kind of request, learned from those that go on.

use std::cell::Cell;
use std::time::Duration;

/// What a request was, as far as it tells when the next one will come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// A machine's heartbeat, answered without commands.
    Heartbeat,
    /// A machine's heartbeat, answered with commands: it sends another when they have been executed.
    HeartbeatWithCommands,
    /// A machine's heartbeat that this controller did not take: it goes to another one.
    HeartbeatRefused,
    /// A user's request.
    User,
    /// The load balancer's.
    HealthCheck,
}

/// Number of variants of [`RequestKind`], which index the means.
const REQUEST_KINDS: usize = 5;

/// Weight of a new sample in the moving mean.
const SAMPLE_WEIGHT: f64 = 1.0 / 16.0;

/// Exponential moving means of idle times by kind of request.
#[derive(Debug)]
pub struct IdleTimeEstimator {
    means_s: [Cell<f64>; REQUEST_KINDS],
}

impl IdleTimeEstimator {
    /// An estimator that has seen nothing: each kind is taken to be followed after the interval between
    /// heartbeats, a machine with commands is expected at once and one that goes elsewhere never.
    pub fn new(heartbeat_interval: Duration) -> IdleTimeEstimator {
        let initial_s = heartbeat_interval.as_secs_f64();
        let estimator = IdleTimeEstimator { means_s: std::array::from_fn(|_| Cell::new(initial_s)) };
        estimator.mean_s(RequestKind::HeartbeatRefused).set(f64::INFINITY);
        estimator.mean_s(RequestKind::HeartbeatWithCommands).set(0.0);
        estimator
    }

    /// Takes in that a connection was idle for this time after such a request.
    pub fn record(&self, kind: RequestKind, idle: Duration) {
        let mean_s = self.mean_s(kind);
        if mean_s.get().is_finite() {
            mean_s.set(mean_s.get() * (1.0 - SAMPLE_WEIGHT) + idle.as_secs_f64() * SAMPLE_WEIGHT);
        }
    }

    /// Whether the next request after one of this kind is expected no earlier than after a heartbeat or a
    /// user's request, whichever is later. Among equals users keep their connections.
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
