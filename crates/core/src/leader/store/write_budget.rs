//! The leader's share of the key-value store's write rate, as a token bucket.

/// Demand for writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WriteDemand {
    /// Users wait for writes of controllers.
    UserWrites,
    /// No submissions are waiting, but job ends or placements are.
    LeaderOnly,
    /// Neither are waiting.
    Idle,
}

/// Fraction of the write rate that the leader may use; `configured_share` is its share by the settings. While users'
/// submissions are waiting, half of the leader's share is left to them. While only the leader has urgent writes, it
/// also uses half of the share that is reserved for submissions.
pub(super) fn leader_share(demand: WriteDemand, configured_share: f64) -> f64 {
    match demand {
        WriteDemand::UserWrites => configured_share / 2.0,
        WriteDemand::LeaderOnly => (1.0 + configured_share) / 2.0,
        WriteDemand::Idle => configured_share,
    }
}

/// A token bucket in which each token allows one write. It holds at most the tokens of one second.
#[derive(Debug)]
pub(super) struct WriteBudget {
    tokens: f64,
    /// Time of the last refill (ms, monotonic).
    refilled_at_ms: u64,
}

impl WriteBudget {
    /// Creates an empty budget at `now` (ms, monotonic).
    pub(super) fn new(now: u64) -> WriteBudget {
        WriteBudget { tokens: 0.0, refilled_at_ms: now }
    }

    /// Sets the number of tokens. A new leader starts with the tokens of one second.
    pub(super) fn set(&mut self, tokens: f64) {
        self.tokens = tokens;
    }

    /// Adds the tokens for the time since the last refill, at `rate` writes per second.
    pub(super) fn refill(&mut self, now_ms: u64, rate: f64) {
        let gained = now_ms.saturating_sub(self.refilled_at_ms) as f64 / 1000.0 * rate;
        self.tokens = (self.tokens + gained).min(rate.max(1.0));
        self.refilled_at_ms = now_ms;
    }

    /// Removes the tokens for the writes of a transaction.
    pub(super) fn spend(&mut self, writes: usize) {
        self.tokens -= writes as f64;
    }

    pub(super) fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Number of whole writes that the tokens allow.
    pub(super) fn whole_writes(&self) -> usize {
        self.tokens as usize
    }

    /// Whether less than a quarter of the capacity is left.
    pub(super) fn is_scarce(&self, rate: f64) -> bool {
        self.tokens < rate / 4.0
    }

    /// Whether half of the capacity is left after `writes` writes, to stay free for urgent changes.
    pub(super) fn has_half_after(&self, writes: usize, rate: f64) -> bool {
        self.tokens - writes as f64 >= rate / 2.0
    }
}

#[cfg(test)]
mod tests;
