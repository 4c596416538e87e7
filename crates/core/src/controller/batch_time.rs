//! Identifies the batch in which an event was received or a request was sent.

/// Number and time of a batch. Two batches may begin in the same millisecond; the batch number then still orders
/// a request after the events of earlier batches.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct BatchTime {
    /// Number of the batch, counted from 1 by each process; 0 precedes all batches.
    pub batch: u64,
    /// Start of the batch on the monotonic clock, in milliseconds.
    pub at_ms: u64,
}

impl BatchTime {
    /// Returns whether neither the batch number nor the time is lower than in `since`.
    pub fn is_at_or_after(self, since: BatchTime) -> bool {
        self.batch >= since.batch && self.at_ms >= since.at_ms
    }
}
