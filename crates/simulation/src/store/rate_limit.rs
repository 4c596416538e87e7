//! A token-bucket rate limit whose capacity is one second's rate.

/// The tokens in use: acquired and not refilled since then.
#[derive(Debug, Default)]
pub(super) struct RateLimit {
    used: f64,
    updated_at_ms: u64,
}

impl RateLimit {
    /// Acquires `amount` tokens at a refill rate of `per_s` per second; acquires none if fewer are available.
    ///
    /// Returns whether the tokens were acquired.
    pub(super) fn try_acquire(&mut self, now: u64, amount: f64, per_s: f64) -> bool {
        let refilled = now.saturating_sub(self.updated_at_ms) as f64 / 1000.0 * per_s;
        self.used = (self.used - refilled).max(0.0);
        self.updated_at_ms = now;
        if amount > 0.0 && self.used + amount > per_s {
            return false;
        }
        self.used += amount;
        true
    }
}
