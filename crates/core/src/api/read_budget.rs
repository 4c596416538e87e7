//! Rate limit of reads that users and dependency lookups cause.

/// A token bucket that holds one second's worth of reads, and at least one.
#[derive(Debug, Default)]
pub(super) struct ReadBudget {
    tokens: f64,
    refilled_at_ms: u64,
}

impl ReadBudget {
    /// Takes a token if there is one. The bucket has been refilled at this rate since the last call.
    pub fn try_take(&mut self, now_ms: u64, reads_per_s: f64) -> bool {
        let gained = now_ms.saturating_sub(self.refilled_at_ms) as f64 / 1000.0 * reads_per_s;
        self.tokens = (self.tokens + gained).min(reads_per_s.max(1.0));
        self.refilled_at_ms = now_ms;
        let available = self.tokens >= 1.0;
        if available {
            self.tokens -= 1.0;
        }
        available
    }
}

#[cfg(test)]
mod tests;
