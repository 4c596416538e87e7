//! The source of the timestamps that the core receives; the core reads no clock itself.

use shaleshunt_core::Timestamp;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Monotonic time since the clock was started, together with the time of day.
pub(crate) struct Clock {
    started: Instant,
}

impl Clock {
    pub(crate) fn start() -> Clock {
        Clock { started: Instant::now() }
    }

    /// The current time. A wall clock before 1970 counts as 1970.
    pub(crate) fn now(&self) -> Timestamp {
        let wall_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64);
        // Starts at 1, so that 0 can stand for "never".
        let monotonic_ms = self.started.elapsed().as_millis() as u64 + 1;
        Timestamp { monotonic_ms, wall_ms }
    }
}
