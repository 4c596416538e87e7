//! The figures that a leader logs at regular intervals.

use super::EventValue;

/// Figures of a leader: how much there is to do, and what holds it up.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LeaderStatus {
    /// Unfinished jobs.
    pub jobs: usize,
    /// Tasks that wait for a place.
    pub tasks_waiting: u32,
    /// Machines that may get tasks.
    pub machines_usable: usize,
    /// Known machines.
    pub machines: usize,
    /// Transactions sent since the last figures.
    pub transactions: u32,
    /// Writes in them for jobs and their ends.
    pub writes_ends: u32,
    /// Writes in them of pages of task facts.
    pub writes_pages: u32,
    /// Writes in them of blocks of machines.
    pub writes_blocks: u32,
    /// Other writes in them.
    pub writes_other: u32,
    /// Writes that the rate limit allows at once.
    pub write_budget: f64,
    /// Ends to be written.
    pub ends_pending: usize,
    /// Jobs to be written at once.
    pub jobs_pending: usize,
    /// Jobs that may be written later.
    pub jobs_deferred: usize,
    /// Pages of task facts.
    pub pages: usize,
    /// Whether a transaction is under way.
    pub transaction_in_flight: bool,
}

impl LeaderStatus {
    /// The figures, by name.
    pub(super) fn fields(&self) -> Vec<(&'static str, EventValue<'static>)> {
        vec![
            ("jobs", self.jobs.into()),
            ("tasks_waiting", self.tasks_waiting.into()),
            ("machines_usable", self.machines_usable.into()),
            ("machines", self.machines.into()),
            ("transactions", self.transactions.into()),
            ("writes_ends", self.writes_ends.into()),
            ("writes_pages", self.writes_pages.into()),
            ("writes_blocks", self.writes_blocks.into()),
            ("writes_other", self.writes_other.into()),
            ("write_budget", self.write_budget.round().into()),
            ("ends_pending", self.ends_pending.into()),
            ("jobs_pending", self.jobs_pending.into()),
            ("jobs_deferred", self.jobs_deferred.into()),
            ("pages", self.pages.into()),
            ("transaction_in_flight", self.transaction_in_flight.into()),
        ]
    }
}
