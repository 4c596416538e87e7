//! A rate limit with bursts of one second's worth.

/// What has been taken and not yet been given back by time.
#[derive(Debug, Default)]
pub(super) struct RateLimit {
    used: f64,
    updated_at_ms: u64,
}

impl RateLimit {
    /// Takes an amount at a rate per second; whether it was there. Nothing is taken otherwise.
    pub(super) fn try_acquire(&mut self, now: u64, amount: f64, per_s: f64) -> bool {
        let restored = now.saturating_sub(self.updated_at_ms) as f64 / 1000.0 * per_s;
        self.used = (self.used - restored).max(0.0);
        self.updated_at_ms = now;
        if amount > 0.0 && self.used + amount > per_s {
            return false;
        }
        self.used += amount;
        true
    }
}
