//! Metrics that a leader logs at regular intervals.

use super::EventValue;

/// Metrics of a leader: pending work and the limits that delay it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LeaderStatus {
    /// Number of unfinished jobs.
    pub jobs: usize,
    /// Number of tasks that wait for placement.
    pub tasks_waiting: u32,
    /// Number of machines on which tasks may be placed.
    pub machines_usable: usize,
    /// Number of known machines.
    pub machines: usize,
    /// Transactions sent since the last `leader_status` event.
    pub transactions: u32,
    /// Writes of job records, final records and keys below `l/` (leadership, cancellations) in these transactions.
    pub writes_ends: u32,
    /// Writes of task pages in these transactions.
    pub writes_pages: u32,
    /// Writes of machine blocks in these transactions.
    pub writes_blocks: u32,
    /// Other writes in these transactions.
    pub writes_other: u32,
    /// Writes that the rate limit allows now.
    pub write_budget: f64,
    /// Number of job ends to be committed.
    pub ends_pending: usize,
    /// Number of jobs whose changes are to be committed as soon as possible.
    pub jobs_pending: usize,
    /// Number of jobs whose changes may be committed later.
    pub jobs_deferred: usize,
    /// Number of task pages.
    pub pages: usize,
    /// Whether a transaction is in flight.
    pub transaction_in_flight: bool,
}

impl LeaderStatus {
    /// Names and values of the metrics in the order in which they are logged.
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
