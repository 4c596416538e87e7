//! Removal of unreferenced records, when there is write budget to spare.

use super::split_submissions::{SubmissionParts, VersionedKey};
use super::transaction::{Space, TransactionBuilder};
use crate::model::{Id, Job};
use crate::records::keys;
use shaleshunt_wire::Revision;
use std::collections::BTreeMap;

/// Transaction space for the removal of a submission part, including a precondition on the job's record.
const PART_REMOVAL_SPACE: Space = Space { writes: 1, preconditions: 2, bytes: 400 };

/// Records that are waiting to be removed. The first part of a submission is removed before the others, so that a late
/// transaction that creates the job's record finds the first part missing and fails.
#[derive(Debug, Default)]
pub(super) struct UnreferencedRecords {
    submission_parts: Vec<SubmissionParts>,
    /// Keys that can be removed at any time, with their versions.
    keys: BTreeMap<String, Revision>,
    /// Keys of version 0.1, with their versions. They can be removed once their contents have been rewritten.
    v0_1_keys: BTreeMap<String, Revision>,
}

impl UnreferencedRecords {
    pub(super) fn add_submission_parts(&mut self, parts: impl IntoIterator<Item = SubmissionParts>) {
        self.submission_parts.extend(parts);
    }

    pub(super) fn add_keys(&mut self, keys: impl IntoIterator<Item = VersionedKey>) {
        self.keys.extend(keys.into_iter().map(|versioned| (versioned.key, versioned.version)));
    }

    pub(super) fn add_v0_1_key(&mut self, key: String, version: Revision) {
        self.v0_1_keys.insert(key, version);
    }

    /// Allows the removal of keys of version 0.1, after their contents have been rewritten.
    pub(super) fn release_v0_1_keys(&mut self) {
        self.keys.append(&mut self.v0_1_keys);
    }

    /// Removes the first part of each unreferenced submission, as far as there is space. The other parts are removed
    /// later and without further preconditions. Returns all parts of these submissions.
    pub(super) fn collect_submission_parts(
        &mut self,
        builder: &mut TransactionBuilder,
        jobs: &BTreeMap<Id, Job>,
    ) -> Vec<SubmissionParts> {
        let mut removed = Vec::new();
        while let Some(parts) = self.submission_parts.last()
            && let Some(first) = parts.first()
        {
            if !builder.has_space_for(PART_REMOVAL_SPACE) {
                break;
            }
            let job = keys::job_id_of_submission_part(&first.key);
            builder.drop_key(first.key.clone(), first.version);
            if !jobs.contains_key(job) {
                builder.require_absent(keys::job(job));
            }
            removed.extend(self.submission_parts.pop());
        }
        removed
    }

    /// Removes the next key that can be removed, and returns it.
    pub(super) fn collect_next_key(&mut self, builder: &mut TransactionBuilder) -> Option<String> {
        let (key, version) = self.keys.pop_first()?;
        builder.drop_key(key.clone(), version);
        Some(key)
    }
}

#[cfg(test)]
mod tests;
