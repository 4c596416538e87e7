//! The clock that the core is given the time by; it reads none itself.

use shaleshunt_core::Timestamp;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Counts from the start of the process.
pub(crate) struct Clock {
    started: Instant,
}

impl Clock {
    pub(crate) fn start() -> Clock {
        Clock { started: Instant::now() }
    }

    /// The time now. A time of day before 1970 is taken for 1970.
    pub(crate) fn now(&self) -> Timestamp {
        let wall_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64);
        // Never 0, so that 0 can stand for "never".
        let monotonic_ms = self.started.elapsed().as_millis() as u64 + 1;
        Timestamp { monotonic_ms, wall_ms }
    }
}
