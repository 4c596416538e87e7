//! Counts of the work that the owner does, so that tests can bound it without a clock.

/// Work done since the node began.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Work {
    /// Passes over the queue.
    pub passes: u64,
    /// Machines examined in them for room, each time one was examined.
    pub machines_examined: u64,
}
