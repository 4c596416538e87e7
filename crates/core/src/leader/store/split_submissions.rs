//! Jobs whose submission is in parts, as the leader knows them: it reads the parts when such a job
//! comes, and removes those that no record refers to.

use crate::model::Id;
use crate::records::SplitSubmissionRecord;
use shaleshunt_wire::Revision;
use shaleshunt_wire::kv::KeyValue;
use std::collections::BTreeMap;

/// A key, and the version in which it is known.
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

/// A record of a job whose submission is in parts, and the parts read so far.
#[derive(Debug)]
pub(crate) struct SplitSubmissionRead {
    pub record: SplitSubmissionRecord,
    /// Version of the record.
    pub version: Revision,
    pub parts: Vec<KeyValue>,
}

impl SplitSubmissionRead {
    /// One of which no part has been read.
    pub(crate) fn new(record: SplitSubmissionRecord, version: Revision) -> SplitSubmissionRead {
        SplitSubmissionRead { record, version, parts: Vec::new() }
    }
}

/// A read of parts that failed, and when it is tried again.
#[derive(Debug)]
struct Retry {
    at: u64,
    record: SplitSubmissionRecord,
    version: Revision,
}

/// Jobs with submissions in parts.
#[derive(Debug, Default)]
pub(super) struct SplitSubmissions {
    /// Parts of the jobs that are known.
    parts: BTreeMap<Id, SubmissionParts>,
    /// Jobs that are not known before their parts have been read, with the version of the record: an
    /// answer for another version is late.
    being_read: BTreeMap<Id, Revision>,
    retries: Vec<Retry>,
}

impl SplitSubmissions {
    /// Parts of a job are being read.
    pub(super) fn begin_read(&mut self, read: &SplitSubmissionRead) {
        self.being_read.insert(read.record.job().into(), read.version);
    }

    /// Whether an answer to a read is for the record that is known last.
    pub(super) fn is_current(&self, read: &SplitSubmissionRead) -> bool {
        self.is_being_read(&read.record, read.version)
    }

    fn is_being_read(&self, record: &SplitSubmissionRecord, version: Revision) -> bool {
        self.being_read.get(record.job()) == Some(&version)
    }

    /// All parts of a job have been read.
    pub(super) fn end_read(&mut self, read: &SplitSubmissionRead) {
        self.being_read.remove(read.record.job());
    }

    /// A read brought no answer: it is begun anew at a time.
    pub(super) fn retry_at(&mut self, at: u64, read: SplitSubmissionRead) {
        self.retries.push(Retry { at, record: read.record, version: read.version });
    }

    /// The next read whose time has come, unless its record has changed since.
    pub(super) fn next_retry(&mut self, now: u64) -> Option<SplitSubmissionRead> {
        while let Some(at) = self.retries.iter().position(|retry| now >= retry.at) {
            let Retry { record, version, .. } = self.retries.swap_remove(at);
            if self.is_being_read(&record, version) {
                return Some(SplitSubmissionRead::new(record, version));
            }
        }
        None
    }

    /// A job's record was removed at a version: answers to reads for earlier ones are late.
    pub(super) fn job_removed(&mut self, job: &str, version: Revision) {
        self.being_read.retain(|id, read| **id != *job || *read > version);
    }

    /// A job is known from its parts.
    pub(super) fn add(&mut self, job: Id, parts: Vec<KeyValue>) {
        self.parts.insert(job, parts.into_iter().map(VersionedKey::from).collect());
    }

    /// A job has ended: nothing refers to its parts any more.
    pub(super) fn remove(&mut self, job: &str) -> Option<SubmissionParts> {
        self.parts.remove(job)
    }
}

#[cfg(test)]
mod tests;
