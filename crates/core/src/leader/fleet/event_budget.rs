//! Limits the number of events about single tasks, so that thousands of machines cannot flood the log.

/// Maximum number of events in a burst.
const MAX_BURST: u64 = 200;
/// Time in which one further event is allowed, in ms.
const MS_PER_EVENT: u64 = 50;

/// Number of events that may be logged now, and of those that were left out.
#[derive(Debug)]
pub(crate) struct EventBudget {
    left: u64,
    /// Time up to which `left` has been increased (ms, monotonic).
    filled_at_ms: u64,
    suppressed: u64,
}

impl EventBudget {
    /// A full budget.
    pub(crate) fn new(now: u64) -> EventBudget {
        EventBudget { left: MAX_BURST, filled_at_ms: now, suppressed: 0 }
    }

    /// Whether one more event may be logged; counts it as logged or as suppressed.
    pub(crate) fn take(&mut self, now: u64) -> bool {
        let earned = now.saturating_sub(self.filled_at_ms) / MS_PER_EVENT;
        self.left = (self.left + earned).min(MAX_BURST);
        self.filled_at_ms += earned * MS_PER_EVENT;
        let allowed = self.left > 0;
        if allowed {
            self.left -= 1;
        } else {
            self.suppressed += 1;
        }
        allowed
    }

    /// Returns the number of events suppressed since the last call.
    pub(crate) fn take_suppressed(&mut self) -> u64 {
        std::mem::take(&mut self.suppressed)
    }
}

#[cfg(test)]
mod tests;
