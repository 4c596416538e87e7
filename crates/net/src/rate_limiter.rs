//! A token bucket for requests to services that limit their rate.

use tokio::time::Instant;

/// Allows a number of requests per second, with bursts of one second's worth.
#[derive(Debug)]
pub struct RateLimiter {
    per_second: f64,
    available: f64,
    refilled_at: Instant,
}

impl RateLimiter {
    /// A limiter that allows a full burst at first.
    pub fn new(per_second: f64) -> RateLimiter {
        RateLimiter { per_second, available: per_second, refilled_at: Instant::now() }
    }

    /// Takes one request out of the budget; false if none is left.
    pub fn try_acquire(&mut self) -> bool {
        self.refill();
        let allowed = self.available >= 1.0;
        if allowed {
            self.available -= 1.0;
        }
        allowed
    }

    fn refill(&mut self) {
        let now = Instant::now();
        let elapsed_s = now.duration_since(self.refilled_at).as_secs_f64();
        // Rates below one a second still allow single requests.
        let burst = self.per_second.max(1.0);
        self.available = (self.available + elapsed_s * self.per_second).min(burst);
        self.refilled_at = now;
    }
}

#[cfg(test)]
mod tests;
