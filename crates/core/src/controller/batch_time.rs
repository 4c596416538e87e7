//! The batch in which something was received or sent.

/// When something was received or sent: the number of its batch and the time of that batch. Two batches may have
/// the same time; their numbers tell what was sent after something else had been received.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct BatchTime {
    /// Number of the batch.
    pub step: u64,
    /// Time of the batch on the steady clock, in milliseconds.
    pub at: u64,
}

impl BatchTime {
    /// Whether this is no earlier than `since`, by number and by time.
    pub fn covers(self, since: BatchTime) -> bool {
        self.step >= since.step && self.at >= since.at
    }
}
