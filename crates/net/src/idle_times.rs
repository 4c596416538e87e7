//! How long connections are idle after each kind of request, learned from those that go on.

use std::cell::Cell;
use std::time::Duration;

/// What a request was, as far as it tells when the next one will come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// A machine's report, answered without commands.
    Heartbeat,
    /// A machine's report, answered with commands: it reports again when they have been carried out.
    ReportWithOrders,
    /// A machine's report that this node did not take: it goes to another one.
    ReportElsewhere,
    /// A user's request.
    User,
    /// The load balancer's.
    HealthCheck,
}

/// Kinds in the order of their places.
const KINDS: usize = 5;
/// Share of a new time in the mean.
const WEIGHT: f64 = 1.0 / 16.0;

/// Mean idle time by kind, in seconds.
#[derive(Debug)]
pub struct IdleTimes {
    means: [Cell<f64>; KINDS],
}

impl IdleTimes {
    /// Before anything has been learned each is taken for the interval between reports, and a machine
    /// that goes elsewhere for one that does not come back.
    pub fn new(report: Duration) -> IdleTimes {
        let times = IdleTimes { means: std::array::from_fn(|_| Cell::new(report.as_secs_f64())) };
        times.mean(RequestKind::ReportElsewhere).set(f64::INFINITY);
        times.mean(RequestKind::ReportWithOrders).set(0.0);
        times
    }

    fn mean(&self, kind: RequestKind) -> &Cell<f64> {
        &self.means[kind as usize]
    }

    /// A connection was idle for this time after such a request.
    pub fn note(&self, kind: RequestKind, idle: Duration) {
        let mean = self.mean(kind);
        if mean.get().is_finite() {
            mean.set(mean.get() * (1.0 - WEIGHT) + idle.as_secs_f64() * WEIGHT);
        }
    }

    /// Whether the next request after one of this kind is expected no earlier than after a report or a
    /// user's request, whichever is later. Among equals users keep their connections.
    pub fn expected_last(&self, kind: RequestKind) -> bool {
        let report = self.mean(RequestKind::Heartbeat).get();
        let user = self.mean(RequestKind::User).get();
        match kind {
            RequestKind::User => user > report,
            other => self.mean(other).get() >= report.max(user),
        }
    }
}

#[cfg(test)]
mod tests;
