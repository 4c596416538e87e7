//! Bookkeeping for split submissions: reads of the parts of new jobs, and the keys of the parts of known jobs.

use crate::leader::retry_queue::RetryQueue;
use crate::model::Id;
use crate::records::{SplitSubmissionRecord, keys};
use shaleshunt_wire::Revision;
use shaleshunt_wire::kv::KeyValue;
use std::collections::BTreeMap;

/// A key with its last known version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct VersionedKey {
    pub key: String,
    pub version: Revision,
}

impl From<KeyValue> for VersionedKey {
    fn from(pair: KeyValue) -> VersionedKey {
        VersionedKey { key: pair.key, version: pair.version }
    }
}

/// The parts of a submission, in order.
pub(super) type SubmissionParts = Vec<VersionedKey>;

/// A read of a split submission: the job's record, and the parts read so far.
#[derive(Debug)]
pub(crate) struct SplitSubmissionRead {
    pub record: SplitSubmissionRecord,
    /// Version of the job's record.
    pub version: Revision,
    pub parts: Vec<KeyValue>,
}

impl SplitSubmissionRead {
    /// Creates a read without any parts.
    pub(crate) fn new(record: SplitSubmissionRecord, version: Revision) -> SplitSubmissionRead {
        SplitSubmissionRead { record, version, parts: Vec::new() }
    }
}

/// The record of a job whose parts are being read.
#[derive(Debug)]
struct RecordBeingRead {
    version: Revision,
    parts_prefix: String,
}

/// Split submissions of unfinished jobs.
#[derive(Debug, Default)]
pub(super) struct SplitSubmissions {
    /// Submission parts of known jobs.
    parts: BTreeMap<Id, SubmissionParts>,
    /// Records of jobs that become known once their parts have been read. A reply to a read for another version of the
    /// record is outdated.
    reads_in_progress: BTreeMap<Id, RecordBeingRead>,
    /// Reads that failed and are to be restarted, without the parts that they had read.
    retries: RetryQueue<SplitSubmissionRead>,
}

impl SplitSubmissions {
    /// Registers a read.
    pub(super) fn begin_read(&mut self, read: &SplitSubmissionRead) {
        let record = RecordBeingRead { version: read.version, parts_prefix: read.record.parts_prefix.clone() };
        self.reads_in_progress.insert(read.record.job().into(), record);
    }

    /// Whether a read is for the latest known version of the job's record.
    pub(super) fn is_current(&self, read: &SplitSubmissionRead) -> bool {
        self.reads_in_progress.get(read.record.job()).is_some_and(|record| record.version == read.version)
    }

    /// Unregisters a read after all parts have been read.
    pub(super) fn end_read(&mut self, read: &SplitSubmissionRead) {
        self.reads_in_progress.remove(read.record.job());
    }

    /// Schedules the restart of a failed read at `at` (ms, monotonic).
    pub(super) fn retry_at(&mut self, at: u64, read: SplitSubmissionRead) {
        self.retries.push(at, SplitSubmissionRead::new(read.record, read.version));
    }

    /// Returns the next read that is due for a retry. Reads for outdated records are dropped.
    pub(super) fn next_retry(&mut self, now: u64) -> Option<SplitSubmissionRead> {
        while let Some(read) = self.retries.pop_due(now) {
            if self.is_current(&read) {
                return Some(read);
            }
        }
        None
    }

    /// Unregisters reads for a job's record that was removed at `version`, unless they are for a later version.
    pub(super) fn job_removed(&mut self, job: &str, version: Revision) {
        self.reads_in_progress.retain(|id, read| **id != *job || read.version > version);
    }

    /// Whether the record of an unfinished job is known to refer to the parts with this prefix. No later record of the
    /// job refers to others: a record is created once, and a cancellation keeps the prefix.
    pub(super) fn is_referenced(&self, parts_prefix: &str) -> bool {
        let job = keys::job_id_of_submission_part(parts_prefix);
        let first_part = self.parts.get(job).and_then(|parts| parts.first());
        first_part.is_some_and(|part| keys::submission_parts_prefix(&part.key) == parts_prefix)
            || self.reads_in_progress.get(job).is_some_and(|read| read.parts_prefix == parts_prefix)
    }

    /// Adds the parts of a known job.
    pub(super) fn add(&mut self, job: Id, parts: Vec<KeyValue>) {
        self.parts.insert(job, parts.into_iter().map(VersionedKey::from).collect());
    }

    /// Removes and returns the parts of a job that has ended, as nothing refers to them any more.
    pub(super) fn remove(&mut self, job: &str) -> Option<SubmissionParts> {
        self.parts.remove(job)
    }
}

#[cfg(test)]
mod tests;
