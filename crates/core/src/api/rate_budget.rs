//! Rate limit for requests to the store that users cause.

/// A token bucket with a capacity of one second's requests, but at least one.
#[derive(Debug, Default)]
pub(super) struct RateBudget {
    /// Number of requests that may be sent; may be fractional.
    tokens: f64,
    /// Time of the last refill on the monotonic clock.
    refilled_at_ms: u64,
}

impl RateBudget {
    /// Refills the bucket at `requests_per_s` for the time since the last call, then takes a token. Returns false if none
    /// is available.
    pub fn try_take(&mut self, now_ms: u64, requests_per_s: f64) -> bool {
        let gained = now_ms.saturating_sub(self.refilled_at_ms) as f64 / 1000.0 * requests_per_s;
        self.tokens = (self.tokens + gained).min(requests_per_s.max(1.0));
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
