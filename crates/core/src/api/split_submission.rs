//! Submissions whose records take more than a value of the store.
//!
//! The submission's text is written in parts, under a prefix that is used once. The record that makes
//! the parts count is written last, on the condition that the first part is still as it was written.
//! Parts that no record refers to are removed by the leader, the first one before the others, so that
//! a record which still comes fails.

use crate::api::acceptance::PendingSubmission;
use crate::controller::Context;
use crate::io::RequestId;
use crate::records::{SplitSubmissionRecord, keys};
use serde_json::json;
use shaleshunt_wire::kv::{Precondition, Transaction, Write};
use shaleshunt_wire::{MAX_BODY_BYTES, Revision};
use std::collections::{HashSet, VecDeque};

/// Bytes that a part's write and condition take besides the prefix and the text, as estimated.
const PART_OVERHEAD_BYTES: usize = 100;
/// Bytes of the quotes around a JSON string.
const QUOTES_BYTES: usize = 2;
/// Bytes of a quote or backslash in a JSON string.
const ESCAPED_BYTES: usize = 2;
/// Bytes of a control character in a JSON string, at most.
const ESCAPED_CONTROL_BYTES: usize = 6;

/// A submission that is written in parts.
#[derive(Debug)]
pub(crate) struct SplitSubmission {
    submission: PendingSubmission,
    prefix: String,
    parts: Vec<String>,
    /// How many parts are written.
    written: usize,
    /// Revision of the first part.
    first_part: Revision,
    in_flight: InFlight,
    /// Its user has been told to come back; the writing goes on.
    user_answered: bool,
}

/// What the transaction in flight holds.
#[derive(Debug, Clone, Copy)]
enum InFlight {
    /// So many parts.
    Parts(usize),
    /// The job's record.
    Record,
}

impl SplitSubmission {
    /// Cuts a submission into parts that fit into values of the store as it is now.
    pub fn new(ctx: &Context, submission: PendingSubmission) -> SplitSubmission {
        let text = serde_json::to_string(&submission.submission).unwrap_or_default();
        let prefix = format!(
            "{}{}/{}-{}-{}/",
            keys::SUBMISSION_PARTS,
            submission.job(),
            ctx.settings.node_name,
            ctx.process_id(),
            submission.sequence
        );
        SplitSubmission {
            submission,
            prefix,
            parts: split_text(&text, ctx.limits.max_value_bytes()),
            written: 0,
            first_part: Revision::ABSENT,
            in_flight: InFlight::Record,
            user_answered: false,
        }
    }

    /// The next transaction: as many parts as it takes, or the record once all parts are written.
    pub fn next_transaction(&mut self, max_writes: usize) -> Transaction {
        let parts = self.next_parts(max_writes);
        self.in_flight = if parts == 0 { InFlight::Record } else { InFlight::Parts(parts) };
        if parts == 0 { self.record_transaction() } else { self.parts_transaction(parts) }
    }

    /// Whether the transaction in flight holds parts: the record is still to come.
    pub fn is_writing_parts(&self) -> bool {
        matches!(self.in_flight, InFlight::Parts(_))
    }

    /// Takes in that the parts in flight were committed.
    pub fn commit_parts(&mut self, revision: Revision) {
        if self.written == 0 {
            self.first_part = revision;
        }
        if let InFlight::Parts(count) = self.in_flight {
            self.written += count;
        }
    }

    /// The submission, to be written anew.
    pub fn into_submission(self) -> PendingSubmission {
        self.submission
    }

    /// The submission, to answer its user with an outcome: nobody if the user was answered before.
    pub fn into_answerable(self) -> PendingSubmission {
        let request = if self.user_answered { super::NO_REQUEST } else { self.submission.request };
        PendingSubmission { request, ..self.submission }
    }

    /// How many of the parts not yet written fit into a transaction.
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

    fn parts_transaction(&self, count: usize) -> Transaction {
        let mut transaction = Transaction::default();
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
        let conditions = vec![
            Precondition { key: keys::job(job), version: Revision::ABSENT },
            Precondition { key: keys::final_record(job), version: Revision::ABSENT },
            Precondition { key: self.part_key(0), version: self.first_part },
        ];
        Transaction { preconditions: conditions, writes: vec![Write::set(keys::job(job), json!(record))] }
    }

    fn part_key(&self, number: usize) -> String {
        format!("{}{number:04}", self.prefix)
    }
}

/// Split submissions between two transactions, and the jobs whose submissions are being written.
#[derive(Debug, Default)]
pub(super) struct SplitSubmissions {
    waiting: VecDeque<Box<SplitSubmission>>,
    jobs: HashSet<String>,
}

impl SplitSubmissions {
    /// Begins to write a submission.
    pub fn begin(&mut self, submission: SplitSubmission) {
        self.jobs.insert(submission.submission.job().to_string());
        self.waiting.push_back(Box::new(submission));
    }

    /// Goes on with a submission after those that wait.
    pub fn push(&mut self, submission: Box<SplitSubmission>) {
        self.waiting.push_back(submission);
    }

    /// Takes out the submission that is to go on next.
    pub fn pop(&mut self) -> Option<Box<SplitSubmission>> {
        self.waiting.pop_front()
    }

    /// Whether a submission of this job is being written.
    pub fn contains(&self, job: &str) -> bool {
        self.jobs.contains(job)
    }

    /// The outcome of a job's submission is known.
    pub fn finish(&mut self, job: &str) {
        self.jobs.remove(job);
    }

    /// Requests whose submissions came more than `patience_ms` ago. They count as answered.
    pub fn take_overdue_requests(&mut self, now_ms: u64, patience_ms: u64) -> Vec<RequestId> {
        let overdue = |split: &&mut Box<SplitSubmission>| {
            !split.user_answered && now_ms.saturating_sub(split.submission.received_at_ms) > patience_ms
        };
        let answer = |split: &mut Box<SplitSubmission>| {
            split.user_answered = true;
            split.submission.request
        };
        self.waiting.iter_mut().filter(overdue).map(answer).collect()
    }
}

/// Cuts a text into parts of which each, as a JSON string, takes at most `max_bytes`.
fn split_text(text: &str, max_bytes: usize) -> Vec<String> {
    let mut parts = vec![String::new()];
    let mut used = QUOTES_BYTES;
    for character in text.chars() {
        let size = match character {
            '"' | '\\' => ESCAPED_BYTES,
            character if character.is_control() => ESCAPED_CONTROL_BYTES,
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
