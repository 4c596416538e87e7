//! A token bucket that keeps requests within a service's rate limit.

use tokio::time::Instant;

/// Allows a rate of requests, with bursts up to the number allowed in one second.
#[derive(Debug)]
pub struct RateLimiter {
    per_second: f64,
    available: f64,
    refilled_at: Instant,
}

impl RateLimiter {
    /// A limiter that allows a full burst from the start.
    pub fn new(per_second: f64) -> RateLimiter {
        RateLimiter { per_second, available: per_second, refilled_at: Instant::now() }
    }

    /// Takes a token for one request; false if none is available.
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
        // A rate below one per second still allows single requests.
        let burst = self.per_second.max(1.0);
        self.available = (self.available + elapsed_s * self.per_second).min(burst);
        self.refilled_at = now;
    }
}

#[cfg(test)]
mod tests;
