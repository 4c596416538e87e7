//! Queue of admitted submissions and the transactions that accept them.
//!
//! A job is accepted when its record is created by compare-and-swap: neither it nor a final record of
//! the same name may exist. Many submissions share one transaction. Batches shrink while the store
//! throttles or rejects them, since a large one finds all its writes granted less often than a small
//! one, and grow again with each success.

use crate::io::RequestId;
use crate::records::{FinalRecord, JobRecord, keys};
use crate::store_limits::StoreLimits;
use serde_json::{Value, json};
use shaleshunt_wire::kv::{Condition, Transaction, Write};
use shaleshunt_wire::user::Submission;
use shaleshunt_wire::{MAX_BODY, Revision};
use std::collections::VecDeque;

/// Most transactions of acceptances in flight.
const MAX_TRANSACTIONS_IN_FLIGHT: u32 = 2;
/// Most bytes of a transaction, as estimated: some room is left for what the estimate misses.
const MAX_TRANSACTION_BYTES: usize = MAX_BODY * 7 / 8;
/// Bytes that a write and its two conditions take besides their keys and the value, as estimated.
const WRITE_OVERHEAD_BYTES: usize = 64;
/// How often a submission's key, or one of the same length, appears: two conditions and a write.
const KEYS_PER_SUBMISSION: usize = 3;

/// A submission that waits to be accepted.
#[derive(Debug, Clone)]
pub(crate) struct PendingSubmission {
    /// The user's request.
    pub request: RequestId,
    /// What was submitted.
    pub submission: Submission,
    /// When it came, time of day in milliseconds.
    pub submitted_at_ms: u64,
    /// When it came, on the monotonic clock in milliseconds.
    pub received_at_ms: u64,
    /// Its place in the order of submissions and dependency lookups.
    pub sequence: u64,
    /// A job that it depends on is cancelled: it is accepted as cancelled.
    pub cancelled_by_dependency: bool,
}

impl PendingSubmission {
    /// Name of the job.
    pub fn job(&self) -> &str {
        &self.submission.id
    }

    /// The record that accepts it.
    fn record(&self) -> Value {
        if self.cancelled_by_dependency {
            json!(FinalRecord { cancelled: true, tasks: self.submission.tasks, ended_at_ms: self.submitted_at_ms })
        } else {
            json!(JobRecord::new(self.submission.clone(), self.submitted_at_ms))
        }
    }

    /// The key of that record.
    fn record_key(&self) -> String {
        if self.cancelled_by_dependency { keys::final_record(self.job()) } else { keys::job(self.job()) }
    }
}

/// Submissions that wait for a transaction, oldest first.
#[derive(Debug, Default)]
pub(super) struct AcceptanceQueue {
    waiting: VecDeque<PendingSubmission>,
    in_flight: u32,
    /// Most submissions in one transaction; 0 counts as 1.
    batch_limit: usize,
}

/// Submissions that one transaction accepts.
#[derive(Debug, Default)]
pub(super) struct AcceptanceBatch {
    /// Creates the records.
    pub transaction: Transaction,
    /// The submissions in it.
    pub submissions: Vec<PendingSubmission>,
    /// Submissions of a job that is in this batch already: they learn from the first one's outcome.
    pub duplicates: Vec<PendingSubmission>,
    /// Submissions whose records take more than a value of the store.
    pub oversized: Vec<PendingSubmission>,
    estimated_bytes: usize,
}

impl AcceptanceQueue {
    /// Adds a submission.
    pub fn push(&mut self, submission: PendingSubmission) {
        self.waiting.push_back(submission);
    }

    /// Puts a submission back in front.
    pub fn push_front(&mut self, submission: PendingSubmission) {
        self.waiting.push_front(submission);
    }

    /// How many submissions wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Takes out the oldest submission if it came more than `max_wait_ms` ago.
    pub fn pop_overdue(&mut self, now_ms: u64, max_wait_ms: u64) -> Option<PendingSubmission> {
        self.waiting.pop_front_if(|oldest| now_ms.saturating_sub(oldest.received_at_ms) > max_wait_ms)
    }

    /// The next batch, if anything waits and a transaction may be sent. It counts as in flight if it
    /// holds any submission.
    pub fn next_batch(&mut self, limits: &StoreLimits) -> Option<AcceptanceBatch> {
        if self.in_flight >= MAX_TRANSACTIONS_IN_FLIGHT || self.waiting.is_empty() {
            return None;
        }
        let max_submissions = self.batch_limit.clamp(1, limits.ops().max(1));
        let mut batch = AcceptanceBatch::default();
        while batch.submissions.len() < max_submissions
            && let Some(submission) = self.waiting.pop_front()
        {
            if let Err(left_over) = batch.add(submission, limits.value_bytes()) {
                self.waiting.push_front(*left_over);
                break;
            }
        }
        if !batch.submissions.is_empty() {
            self.in_flight += 1;
        }
        Some(batch)
    }

    /// A transaction in flight was answered.
    pub fn finish_transaction(&mut self) {
        self.in_flight -= 1;
    }

    /// A transaction was committed: larger ones may follow.
    pub fn grow_batches(&mut self, limits: &StoreLimits) {
        self.batch_limit = (self.batch_limit * 2).clamp(2, limits.ops().max(2));
    }

    /// A transaction was not carried out because of its size or the store's load: its submissions
    /// wait again, in front and in their order, and batches are half as large.
    pub fn retry_in_smaller_batches(&mut self, submissions: Vec<PendingSubmission>) {
        self.batch_limit = submissions.len() / 2;
        for submission in submissions.into_iter().rev() {
            self.waiting.push_front(submission);
        }
    }
}

impl AcceptanceBatch {
    /// Adds a submission, to the transaction or to what cannot be part of it.
    ///
    /// # Errors
    /// Hands the submission back if the transaction is full.
    fn add(&mut self, submission: PendingSubmission, value_bytes: usize) -> Result<(), Box<PendingSubmission>> {
        let job_key = keys::job(submission.job());
        if self.transaction.conditions.iter().any(|condition| condition.path == job_key) {
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
        let final_key = keys::final_record(submission.job());
        self.transaction.conditions.push(Condition { path: job_key, version: Revision::ABSENT });
        self.transaction.conditions.push(Condition { path: final_key, version: Revision::ABSENT });
        self.transaction.writes.push(Write::set(submission.record_key(), record));
        self.submissions.push(submission);
        Ok(())
    }
}

#[cfg(test)]
mod tests;
