//! Queue of admitted submissions and the transactions that accept them.
//!
//! A job is accepted when its record is created by compare-and-swap. The precondition is that neither a job record nor
//! a final record of the same name exists. A transaction accepts many submissions. Batches shrink while the store
//! throttles or rejects transactions, since the store is less likely to grant all writes of a large transaction than
//! those of a small one, and grow again with each commit.

use crate::io::RequestId;
use crate::records::{FinalRecord, JobRecord, keys};
use crate::store_limits::StoreLimits;
use serde_json::{Value, json};
use shaleshunt_wire::kv::{Precondition, Transaction, Write};
use shaleshunt_wire::user::Submission;
use shaleshunt_wire::{MAX_BODY_BYTES, Revision};
use std::collections::VecDeque;

/// Maximum number of accepting transactions in flight.
const MAX_TRANSACTIONS_IN_FLIGHT: u32 = 2;
/// Maximum estimated size of a transaction in bytes. The rest of the body limit is a margin for estimation errors.
const MAX_TRANSACTION_BYTES: usize = MAX_BODY_BYTES * 7 / 8;
/// Estimated size in bytes of a write and its two preconditions without their keys and the value.
const WRITE_OVERHEAD_BYTES: usize = 64;
/// Keys per submission in a transaction, all of the same length: those of two preconditions and a write.
const KEYS_PER_SUBMISSION: usize = 3;

/// A submission that has not been accepted yet.
#[derive(Debug, Clone)]
pub(crate) struct PendingSubmission {
    /// The user's request; [`super::NO_REQUEST`] if the user has already been answered.
    pub request: RequestId,
    /// The submitted job.
    pub submission: Submission,
    /// Arrival on the wall clock, in milliseconds.
    pub submitted_at_ms: u64,
    /// Arrival on the monotonic clock, in milliseconds.
    pub received_at_ms: u64,
    /// Sequence number among the submissions and dependency lookups of this process.
    pub sequence: u64,
    /// Whether a dependency is cancelled. The job is then accepted as cancelled.
    pub cancelled_by_dependency: bool,
}

impl PendingSubmission {
    /// Returns the job's name.
    pub fn job(&self) -> &str {
        &self.submission.id
    }

    /// Returns the record whose creation accepts the job.
    fn record(&self) -> Value {
        if self.cancelled_by_dependency {
            json!(FinalRecord { cancelled: true, tasks: self.submission.tasks, ended_at_ms: self.submitted_at_ms })
        } else {
            json!(JobRecord::new(self.submission.clone(), self.submitted_at_ms))
        }
    }

    /// Returns the key of [`PendingSubmission::record`].
    fn record_key(&self) -> String {
        if self.cancelled_by_dependency { keys::final_record(self.job()) } else { keys::job(self.job()) }
    }
}

/// The preconditions that a job has neither been accepted nor ended.
pub(super) fn job_is_unknown(job: &str) -> [Precondition; 2] {
    [keys::job(job), keys::final_record(job)].map(|key| Precondition { key, version: Revision::ABSENT })
}

/// Submissions that wait for an accepting transaction, oldest first.
#[derive(Debug, Default)]
pub(super) struct AcceptanceQueue {
    waiting: VecDeque<PendingSubmission>,
    /// Number of accepting transactions in flight.
    in_flight: u32,
    /// Maximum number of submissions in a transaction; 0 counts as 1.
    batch_limit: usize,
}

/// Submissions taken from the queue for one transaction.
#[derive(Debug, Default)]
pub(super) struct AcceptanceBatch {
    /// Creates the records of `submissions`.
    pub transaction: Transaction,
    /// The submissions that the transaction accepts.
    pub submissions: Vec<PendingSubmission>,
    /// Further submissions of jobs that are already in `submissions`.
    pub duplicates: Vec<PendingSubmission>,
    /// Submissions whose records exceed the store's value size limit.
    pub oversized: Vec<PendingSubmission>,
    /// Estimated size of the transaction.
    estimated_bytes: usize,
}

impl AcceptanceQueue {
    /// Appends a submission.
    pub fn push(&mut self, submission: PendingSubmission) {
        self.waiting.push_back(submission);
    }

    /// Puts a submission back at the front of the queue.
    pub fn push_front(&mut self, submission: PendingSubmission) {
        self.waiting.push_front(submission);
    }

    /// Returns the number of queued submissions.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Removes and returns the oldest submission if it arrived more than `max_wait_ms` ago.
    pub fn pop_overdue(&mut self, now_ms: u64, max_wait_ms: u64) -> Option<PendingSubmission> {
        self.waiting.pop_front_if(|oldest| now_ms.saturating_sub(oldest.received_at_ms) > max_wait_ms)
    }

    /// Takes the next batch from the queue; `None` if the queue is empty or the maximum number of transactions is in
    /// flight. The batch counts as in flight if it has any `submissions`.
    pub fn next_batch(&mut self, limits: &StoreLimits) -> Option<AcceptanceBatch> {
        if self.in_flight >= MAX_TRANSACTIONS_IN_FLIGHT || self.waiting.is_empty() {
            return None;
        }
        let max_submissions = self.batch_limit.clamp(1, limits.max_writes().max(1));
        let mut batch = AcceptanceBatch::default();
        while batch.submissions.len() < max_submissions
            && let Some(submission) = self.waiting.pop_front()
        {
            if let Err(remaining) = batch.add(submission, limits.max_value_bytes()) {
                self.waiting.push_front(*remaining);
                break;
            }
        }
        if !batch.submissions.is_empty() {
            self.in_flight += 1;
        }
        Some(batch)
    }

    /// Records that a transaction in flight was answered.
    pub fn finish_transaction(&mut self) {
        self.in_flight -= 1;
    }

    /// Doubles the batch limit, up to the store's limit, after a commit.
    pub fn grow_batches(&mut self, limits: &StoreLimits) {
        self.batch_limit = (self.batch_limit * 2).clamp(2, limits.max_writes().max(2));
    }

    /// Puts the submissions of a throttled or rejected transaction back at the front of the queue, in their order, and
    /// sets the batch limit to half of their number.
    pub fn retry_in_smaller_batches(&mut self, submissions: Vec<PendingSubmission>) {
        self.batch_limit = submissions.len() / 2;
        for submission in submissions.into_iter().rev() {
            self.waiting.push_front(submission);
        }
    }
}

impl AcceptanceBatch {
    /// Adds a submission to the transaction, to `duplicates` or to `oversized`.
    ///
    /// # Errors
    /// Returns the submission if the transaction is full.
    fn add(&mut self, submission: PendingSubmission, value_bytes: usize) -> Result<(), Box<PendingSubmission>> {
        let job_key = keys::job(submission.job());
        if self.transaction.preconditions.iter().any(|precondition| precondition.key == job_key) {
            self.duplicates.push(submission);
            return Ok(());
        }
        let record = submission.record();
        let record_bytes = record.to_string().len();
        if record_bytes > value_bytes {
            self.oversized.push(submission);
            return Ok(());
        }
        self.estimated_bytes += record_bytes + job_key.len() * KEYS_PER_SUBMISSION + WRITE_OVERHEAD_BYTES;
        if self.estimated_bytes > MAX_TRANSACTION_BYTES && !self.submissions.is_empty() {
            return Err(Box::new(submission));
        }
        self.transaction.preconditions.extend(job_is_unknown(submission.job()));
        self.transaction.writes.push(Write::set(submission.record_key(), record));
        self.submissions.push(submission);
        Ok(())
    }
}

#[cfg(test)]
mod tests;
