//! Batching of status queries by comparison: one transaction without writes checks for many jobs whether their records
//! still have the known versions. The result is as fresh as a read of each record and needs far fewer requests.

use crate::api::job_query::JobQuery;
use crate::api::known_jobs::KnownJobs;
use crate::records::keys;
use shaleshunt_wire::kv::{Precondition, Transaction};
use std::collections::VecDeque;

/// Maximum number of comparing transactions in flight.
const MAX_TRANSACTIONS_IN_FLIGHT: u32 = 2;

/// Queries that wait for a comparison, oldest first.
#[derive(Debug, Default)]
pub(super) struct ComparisonQueue {
    waiting: VecDeque<WaitingQuery>,
    /// Number of comparing transactions in flight.
    in_flight: u32,
}

#[derive(Debug)]
struct WaitingQuery {
    /// Time at which the query was queued on the monotonic clock; 0 for a retried query.
    since_ms: u64,
    query: JobQuery,
}

/// Limits that decide when a batch of comparisons is sent.
#[derive(Debug, Clone, Copy)]
pub(super) struct ComparisonLimits {
    /// Number of preconditions in a full batch. A full batch is sent at once.
    pub max_preconditions: usize,
    /// Maximum time that a query waits for its batch to fill, in milliseconds.
    pub max_delay_ms: u64,
}

/// Queries taken from the queue for one transaction.
#[derive(Debug, Default)]
pub(super) struct ComparisonBatch {
    /// Preconditions that the records still have the known versions; no writes.
    pub transaction: Transaction,
    /// Queries that the transaction answers.
    pub queries: Vec<JobQuery>,
    /// Queries for jobs whose record versions are no longer known. Their records must be read.
    pub unknown: Vec<JobQuery>,
}

impl ComparisonQueue {
    /// Appends a query.
    pub fn push(&mut self, now_ms: u64, query: JobQuery) {
        self.waiting.push_back(WaitingQuery { since_ms: now_ms, query });
    }

    /// Puts queries back at the front of the queue, in their order. They are due at once.
    pub fn retry(&mut self, queries: Vec<JobQuery>) {
        for query in queries.into_iter().rev() {
            self.waiting.push_front(WaitingQuery { since_ms: 0, query });
        }
    }

    /// Removes and returns all queries.
    pub fn drain(&mut self) -> impl Iterator<Item = JobQuery> + use<> {
        std::mem::take(&mut self.waiting).into_iter().map(|waiting| waiting.query)
    }

    /// Takes the next batch from the queue; `None` if none is due or the maximum number of transactions is in flight.
    /// The batch counts as in flight if it has any `queries`.
    pub fn next_batch(&mut self, now_ms: u64, limits: ComparisonLimits, known: &KnownJobs) -> Option<ComparisonBatch> {
        if self.in_flight >= MAX_TRANSACTIONS_IN_FLIGHT || !self.is_due(now_ms, limits) {
            return None;
        }
        let mut batch = ComparisonBatch::default();
        while batch.transaction.preconditions.len() < limits.max_preconditions
            && let Some(WaitingQuery { query, .. }) = self.waiting.pop_front()
        {
            batch.add(query, known);
        }
        if !batch.queries.is_empty() {
            self.in_flight += 1;
        }
        Some(batch)
    }

    /// Records that a transaction in flight was answered.
    pub fn finish_transaction(&mut self) {
        self.in_flight -= 1;
    }

    fn is_due(&self, now_ms: u64, limits: ComparisonLimits) -> bool {
        let Some(oldest) = self.waiting.front() else { return false };
        self.waiting.len() >= limits.max_preconditions || now_ms.saturating_sub(oldest.since_ms) >= limits.max_delay_ms
    }
}

impl ComparisonBatch {
    fn add(&mut self, query: JobQuery, known: &KnownJobs) {
        let Some(version) = known.unfinished(&query.job).map(|job| job.record_version) else {
            self.unknown.push(query);
            return;
        };
        let key = keys::job(&query.job);
        if !self.transaction.preconditions.iter().any(|precondition| precondition.key == key) {
            self.transaction.preconditions.push(Precondition { key, version });
        }
        self.queries.push(query);
    }
}

#[cfg(test)]
mod tests;
