//! Submissions whose records exceed the store's value size limit.
//!
//! The submission's text is written in parts under a prefix that is never reused. The job record, which accepts the
//! submission and refers to the parts, is written last, with the version of the first part as a precondition. The
//! leader removes parts that no record refers to, the first part before the others, so that a job record written later
//! fails its precondition.

use crate::api::acceptance::{PendingSubmission, job_is_unknown};
use crate::controller::Context;
use crate::io::RequestId;
use crate::records::{SplitSubmissionRecord, keys};
use serde_json::json;
use shaleshunt_wire::kv::{Precondition, Transaction, Write};
use shaleshunt_wire::{MAX_BODY_BYTES, Revision};
use std::collections::{HashSet, VecDeque};

/// Estimated size in bytes of a part's write and precondition without the prefix and the text.
const PART_OVERHEAD_BYTES: usize = 100;
/// Size of the quotes around a JSON string, in bytes.
const QUOTES_BYTES: usize = 2;
/// Size of an escaped quote or backslash in a JSON string, in bytes.
const ESCAPED_BYTES: usize = 2;
/// Maximum size of an escaped control character in a JSON string, in bytes.
const MAX_ESCAPED_CONTROL_BYTES: usize = 6;

/// A submission that is being written in parts.
#[derive(Debug)]
pub(crate) struct SplitSubmission {
    submission: PendingSubmission,
    /// Prefix of the keys of the parts.
    prefix: String,
    /// Text of each part.
    parts: Vec<String>,
    /// Number of committed parts.
    written: usize,
    /// Version of the first part's key; [`Revision::ABSENT`] until that part is committed.
    first_part_version: Revision,
    in_flight: InFlight,
    /// Whether the user has already been answered with 503. The submission is still written.
    user_answered: bool,
}

/// Content of the transaction in flight.
#[derive(Debug, Clone, Copy)]
enum InFlight {
    /// This number of parts.
    Parts(usize),
    /// The job record.
    Record,
}

impl SplitSubmission {
    /// Splits a submission into parts that fit into the store's current value size limit. `sequence` is a number that
    /// this process uses for no other prefix: parts of an earlier split may still exist or be removed at any time.
    pub fn new(ctx: &Context, submission: PendingSubmission, sequence: u64) -> SplitSubmission {
        let text = serde_json::to_string(&submission.submission).unwrap_or_default();
        let prefix = format!(
            "{}{}/{}-{}-{}/",
            keys::SUBMISSION_PARTS,
            submission.job(),
            ctx.settings.node_name,
            ctx.process_id(),
            sequence
        );
        SplitSubmission {
            user_answered: submission.request == super::NO_REQUEST,
            submission,
            prefix,
            parts: split_text(&text, ctx.limits.max_value_bytes()),
            written: 0,
            first_part_version: Revision::ABSENT,
            in_flight: InFlight::Record,
        }
    }

    /// Returns the next transaction: as many parts as fit into it, or the job record once all parts are committed.
    pub fn next_transaction(&mut self, max_writes: usize) -> Transaction {
        let parts = self.next_parts(max_writes);
        self.in_flight = if parts == 0 { InFlight::Record } else { InFlight::Parts(parts) };
        if parts == 0 { self.record_transaction() } else { self.parts_transaction(parts) }
    }

    /// Returns whether the transaction in flight writes parts rather than the job record.
    pub fn is_writing_parts(&self) -> bool {
        matches!(self.in_flight, InFlight::Parts(_))
    }

    /// Records that the parts in flight were committed at `revision`.
    pub fn commit_parts(&mut self, revision: Revision) {
        if self.written == 0 {
            self.first_part_version = revision;
        }
        if let InFlight::Parts(count) = self.in_flight {
            self.written += count;
        }
    }

    /// Returns the submission, to answer its user or to split it again. Its request is [`super::NO_REQUEST`] if the user
    /// has already been answered.
    pub fn into_submission(self) -> PendingSubmission {
        let request = if self.user_answered { super::NO_REQUEST } else { self.submission.request };
        PendingSubmission { request, ..self.submission }
    }

    /// Returns how many of the parts not yet committed fit into a transaction: at least one, if any are left.
    fn next_parts(&self, max_writes: usize) -> usize {
        let (mut bytes, mut count) = (0, 0);
        for part in self.parts.iter().skip(self.written).take(max_writes) {
            bytes += part.len() * 2 + self.prefix.len() * 2 + PART_OVERHEAD_BYTES;
            if bytes > MAX_BODY_BYTES && count > 0 {
                break;
            }
            count += 1;
        }
        count
    }

    /// The transaction of the next parts. The job must not be known: a copy of the transaction that arrives after the end
    /// of the job would create parts again that nobody removes.
    fn parts_transaction(&self, count: usize) -> Transaction {
        let preconditions = job_is_unknown(self.submission.job()).into();
        let mut transaction = Transaction { preconditions, writes: Vec::new() };
        for (number, part) in self.parts.iter().enumerate().skip(self.written).take(count) {
            transaction.preconditions.push(Precondition { key: self.part_key(number), version: Revision::ABSENT });
            transaction.writes.push(Write::set(self.part_key(number), json!(part)));
        }
        transaction
    }

    fn record_transaction(&self) -> Transaction {
        let job = self.submission.job();
        let record = SplitSubmissionRecord {
            parts_prefix: self.prefix.clone(),
            tasks: self.submission.submission.tasks,
            accepted_at_ms: self.submission.submitted_at_ms,
            cancelled: false,
            has_cancellation_key: false,
        };
        let mut preconditions = Vec::from(job_is_unknown(job));
        preconditions.push(Precondition { key: self.part_key(0), version: self.first_part_version });
        Transaction { preconditions, writes: vec![Write::set(keys::job(job), json!(record))] }
    }

    fn part_key(&self, number: usize) -> String {
        format!("{}{number:04}", self.prefix)
    }
}

/// The split submissions that are being written.
#[derive(Debug, Default)]
pub(super) struct SplitSubmissions {
    /// Submissions whose next transaction is to be sent, without those with a transaction in flight.
    waiting: VecDeque<Box<SplitSubmission>>,
    /// Names of all jobs whose submissions are being written.
    jobs: HashSet<String>,
}

impl SplitSubmissions {
    /// Starts writing a submission.
    pub fn begin(&mut self, submission: SplitSubmission) {
        self.jobs.insert(submission.submission.job().to_string());
        self.waiting.push_back(Box::new(submission));
    }

    /// Queues a submission for its next transaction.
    pub fn push(&mut self, submission: Box<SplitSubmission>) {
        self.waiting.push_back(submission);
    }

    /// Removes and returns the submission whose transaction is to be sent next.
    pub fn pop(&mut self) -> Option<Box<SplitSubmission>> {
        self.waiting.pop_front()
    }

    /// Returns whether a submission of this job is being written.
    pub fn contains(&self, job: &str) -> bool {
        self.jobs.contains(job)
    }

    /// Records that the outcome of a job's submission is known.
    pub fn finish(&mut self, job: &str) {
        self.jobs.remove(job);
    }

    /// Returns the requests of queued submissions that arrived more than `max_wait_ms` ago and are not answered yet,
    /// and marks them as answered.
    pub fn take_overdue_requests(&mut self, now_ms: u64, max_wait_ms: u64) -> Vec<RequestId> {
        let overdue = |split: &&mut Box<SplitSubmission>| {
            !split.user_answered && now_ms.saturating_sub(split.submission.received_at_ms) > max_wait_ms
        };
        let answer = |split: &mut Box<SplitSubmission>| {
            split.user_answered = true;
            split.submission.request
        };
        self.waiting.iter_mut().filter(overdue).map(answer).collect()
    }
}

/// Splits a text into parts whose size as a JSON string is at most `max_bytes`.
fn split_text(text: &str, max_bytes: usize) -> Vec<String> {
    let mut parts = vec![String::new()];
    let mut used = QUOTES_BYTES;
    for character in text.chars() {
        let size = match character {
            '"' | '\\' => ESCAPED_BYTES,
            character if character.is_control() => MAX_ESCAPED_CONTROL_BYTES,
            character => character.len_utf8(),
        };
        if used + size > max_bytes {
            parts.push(String::new());
            used = QUOTES_BYTES;
        }
        used += size;
        if let Some(last) = parts.last_mut() {
            last.push(character);
        }
    }
    parts
}

#[cfg(test)]
mod tests;
