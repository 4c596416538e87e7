//! Cancellations of jobs because a job that they depend on is cancelled.
//!
//! Each is recorded in the job's own record, once for all queries about the job that arrive meanwhile. The writes are
//! limited, since one cancellation may affect thousands of jobs whose ends the leader writes anyway.

use crate::api::job_query::JobQuery;
use crate::api::rate_budget::RateBudget;
use std::collections::HashMap;

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
            return CancellationStep::TooMany(query);
        }
        self.waiting.insert(query.job.clone(), vec![query]);
        CancellationStep::Begin
    }

    /// Ends a cancellation, recorded or not, and returns the queries that wait for it.
    pub fn finish(&mut self, job: &str) -> Vec<JobQuery> {
        self.waiting.remove(job).unwrap_or_default()
    }
}

#[cfg(test)]
mod tests;
