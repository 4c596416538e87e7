//! Status queries that are answered by comparison: one transaction without writes tells of many jobs
//! whether their records still have the known revisions. That is as fresh as reads, at a fraction of
//! the requests.

use crate::api::job_query::JobQuery;
use crate::api::known_jobs::KnownJobs;
use crate::records::keys;
use shaleshunt_wire::kv::{Condition, Transaction};
use std::collections::VecDeque;

/// Most comparing transactions in flight.
const MAX_TRANSACTIONS_IN_FLIGHT: u32 = 2;

/// Queries that wait for a comparison, oldest first.
#[derive(Debug, Default)]
pub(super) struct ComparisonQueue {
    waiting: VecDeque<WaitingQuery>,
    in_flight: u32,
}

#[derive(Debug)]
struct WaitingQuery {
    since_ms: u64,
    query: JobQuery,
}

/// When a batch of comparisons is sent.
#[derive(Debug, Clone, Copy)]
pub(super) struct ComparisonLimits {
    /// A full batch, which is sent at once.
    pub max_conditions: usize,
    /// The longest time that a query waits for others, in milliseconds.
    pub max_delay_ms: u64,
}

/// Queries that one transaction answers.
#[derive(Debug, Default)]
pub(super) struct ComparisonBatch {
    /// The conditions: that the records still have the known revisions.
    pub transaction: Transaction,
    /// Queries that it answers.
    pub queries: Vec<JobQuery>,
    /// Queries of jobs whose records are no longer known and must be read.
    pub unknown: Vec<JobQuery>,
}

impl ComparisonQueue {
    /// Adds a query.
    pub fn push(&mut self, now_ms: u64, query: JobQuery) {
        self.waiting.push_back(WaitingQuery { since_ms: now_ms, query });
    }

    /// Puts queries back in front, in their order; they are due at once.
    pub fn retry(&mut self, queries: Vec<JobQuery>) {
        for query in queries.into_iter().rev() {
            self.waiting.push_front(WaitingQuery { since_ms: 0, query });
        }
    }

    /// Takes all queries out.
    pub fn drain(&mut self) -> impl Iterator<Item = JobQuery> + use<> {
        std::mem::take(&mut self.waiting).into_iter().map(|waiting| waiting.query)
    }

    /// The next batch, if one is due. It counts as in flight if it holds any query.
    pub fn next_batch(&mut self, now_ms: u64, limits: ComparisonLimits, known: &KnownJobs) -> Option<ComparisonBatch> {
        if self.in_flight >= MAX_TRANSACTIONS_IN_FLIGHT || !self.is_due(now_ms, limits) {
            return None;
        }
        let mut batch = ComparisonBatch::default();
        while batch.transaction.conditions.len() < limits.max_conditions
            && let Some(WaitingQuery { query, .. }) = self.waiting.pop_front()
        {
            batch.add(query, known);
        }
        if !batch.queries.is_empty() {
            self.in_flight += 1;
        }
        Some(batch)
    }

    /// A transaction in flight was answered.
    pub fn finish_transaction(&mut self) {
        self.in_flight -= 1;
    }

    fn is_due(&self, now_ms: u64, limits: ComparisonLimits) -> bool {
        let Some(oldest) = self.waiting.front() else { return false };
        self.waiting.len() >= limits.max_conditions || now_ms.saturating_sub(oldest.since_ms) >= limits.max_delay_ms
    }
}

impl ComparisonBatch {
    fn add(&mut self, query: JobQuery, known: &KnownJobs) {
        let Some(version) = known.unfinished(&query.job).map(|job| job.record_version) else {
            self.unknown.push(query);
            return;
        };
        let path = keys::job(&query.job);
        if !self.transaction.conditions.iter().any(|condition| condition.path == path) {
            self.transaction.conditions.push(Condition { path, version });
        }
        self.queries.push(query);
    }
}

#[cfg(test)]
mod tests;
