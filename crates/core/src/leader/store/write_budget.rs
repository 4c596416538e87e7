//! The leader's share of the writes that the key-value store takes, as a token bucket.

/// Who wants to write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WriteDemand {
    /// Users' submissions wait to be accepted.
    Submissions,
    /// None wait, but jobs' ends or placements do.
    LeaderOnly,
    /// Neither waits.
    Idle,
}

/// The share of all writes that the leader takes, of which `usual` is its own. Users' submissions go
/// first: while some wait, half of the leader's share is left to them. While none do and work waits to
/// be written, half of what is kept for them is used too.
pub(super) fn leader_share(demand: WriteDemand, usual: f64) -> f64 {
    match demand {
        WriteDemand::Submissions => usual / 2.0,
        WriteDemand::LeaderOnly => (1.0 + usual) / 2.0,
        WriteDemand::Idle => usual,
    }
}

/// Writes that may be sent now; at most those of one second are saved up.
#[derive(Debug)]
pub(super) struct WriteBudget {
    tokens: f64,
    refilled_at: u64,
}

impl WriteBudget {
    /// An empty budget at a time (ms, monotonic).
    pub(super) fn new(now: u64) -> WriteBudget {
        WriteBudget { tokens: 0.0, refilled_at: now }
    }

    /// Sets what is there: a new leader begins with a second's worth.
    pub(super) fn set(&mut self, tokens: f64) {
        self.tokens = tokens;
    }

    /// Time has passed, at `rate` writes a second.
    pub(super) fn refill(&mut self, now: u64, rate: f64) {
        let gained = now.saturating_sub(self.refilled_at) as f64 / 1000.0 * rate;
        self.tokens = (self.tokens + gained).min(rate.max(1.0));
        self.refilled_at = now;
    }

    /// Takes away what a transaction writes.
    pub(super) fn spend(&mut self, writes: usize) {
        self.tokens -= writes as f64;
    }

    /// What is there.
    pub(super) fn tokens(&self) -> f64 {
        self.tokens
    }

    /// How many whole writes are there.
    pub(super) fn whole_writes(&self) -> usize {
        self.tokens as usize
    }

    /// Whether less than a quarter is left.
    pub(super) fn is_scarce(&self, rate: f64) -> bool {
        self.tokens < rate / 4.0
    }

    /// Whether half is there after so many writes: the other half stays free for what is urgent.
    pub(super) fn has_half_after(&self, writes: usize, rate: f64) -> bool {
        self.tokens - writes as f64 >= rate / 2.0
    }
}

#[cfg(test)]
mod tests;
