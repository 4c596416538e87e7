//! Cancellations of jobs because a job that they depend on is cancelled.
//!
//! Each is recorded in the job's own record, once for all queries about the job that arrive meanwhile. The writes are
//! limited, since one cancellation may affect thousands of jobs and other writes must go on.

use crate::api::job_query::JobQuery;
use crate::api::rate_budget::RateBudget;
use std::collections::HashMap;

/// Time for which a refused cancellation counts as waiting, in milliseconds: its user is told to retry after a second.
const REFUSED_COUNTS_MS: u64 = 1500;

/// Next step for a query about a job with a cancelled dependency.
#[derive(Debug)]
pub(super) enum CancellationStep {
    /// The cancellation must be recorded now; the query waits for it.
    Begin,
    /// The query waits for a cancellation that is being recorded.
    Wait,
    /// Too many cancellations are recorded; the query cannot be answered yet.
    TooMany(JobQuery),
}

/// Cancellations that are being recorded, with the queries that wait for them.
#[derive(Debug, Default)]
pub(super) struct DependencyCancellations {
    /// Waiting queries by job name.
    waiting: HashMap<String, Vec<JobQuery>>,
    write_budget: RateBudget,
    /// Time on the monotonic clock at which a cancellation was last refused for lack of budget; 0 if none was.
    refused_at_ms: u64,
}

impl DependencyCancellations {
    /// Adds a query about a job with a cancelled dependency. A new cancellation takes a write from the budget of
    /// `writes_per_s`.
    pub fn request(&mut self, query: JobQuery, now_ms: u64, writes_per_s: f64) -> CancellationStep {
        if let Some(waiting) = self.waiting.get_mut(&query.job) {
            waiting.push(query);
            return CancellationStep::Wait;
        }
        if !self.write_budget.try_take(now_ms, writes_per_s) {
            self.refused_at_ms = now_ms;
            return CancellationStep::TooMany(query);
        }
        self.waiting.insert(query.job.clone(), vec![query]);
        CancellationStep::Begin
    }

    /// Returns whether cancellations wait for the store's writes: some are being recorded, or were refused recently.
    pub fn is_waiting(&self, now_ms: u64) -> bool {
        let refused = self.refused_at_ms > 0 && now_ms.saturating_sub(self.refused_at_ms) < REFUSED_COUNTS_MS;
        refused || !self.waiting.is_empty()
    }

    /// Ends a cancellation, recorded or not, and returns the queries that wait for it.
    pub fn finish(&mut self, job: &str) -> Vec<JobQuery> {
        self.waiting.remove(job).unwrap_or_default()
    }
}

#[cfg(test)]
mod tests;
