//! Records that nothing refers to any more: they are removed when there is room.

use super::split_submissions::{SubmissionParts, VersionedKey};
use super::transaction::{Space, TransactionBuilder};
use crate::model::{Id, Job};
use crate::records::keys;
use shaleshunt_wire::Revision;
use std::collections::BTreeMap;

/// Room to leave for the removal of a part, with a condition on its job's record.
const PART_SPACE: Space = Space { writes: 1, conditions: 2, bytes: 400 };

/// Records that are to be removed. Parts of submissions lose their first part before the others, so
/// that a job's record that still comes finds it missing and fails.
#[derive(Debug, Default)]
pub(super) struct UnreferencedRecords {
    submission_parts: Vec<SubmissionParts>,
    /// Keys with versions that can go at any time.
    keys: BTreeMap<String, Revision>,
    /// Keys of version 0.1: they go when all they held has been written anew.
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

    /// All that the keys of version 0.1 held has been written anew.
    pub(super) fn release_v0_1_keys(&mut self) {
        self.keys.append(&mut self.v0_1_keys);
    }

    /// Removes the first part of each submission that no record refers to; the others follow alone.
    /// Returns the submissions' parts.
    pub(super) fn collect_submission_parts(
        &mut self,
        builder: &mut TransactionBuilder,
        jobs: &BTreeMap<Id, Job>,
    ) -> Vec<SubmissionParts> {
        let mut removed = Vec::new();
        while let Some(parts) = self.submission_parts.last()
            && let Some(first) = parts.first()
        {
            if !builder.has_space_for(PART_SPACE) {
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

    /// Removes the first of the keys that can go, and returns it.
    pub(super) fn collect_next_key(&mut self, builder: &mut TransactionBuilder) -> Option<String> {
        let (key, version) = self.keys.pop_first()?;
        builder.drop_key(key.clone(), version);
        Some(key)
    }
}

#[cfg(test)]
mod tests;
