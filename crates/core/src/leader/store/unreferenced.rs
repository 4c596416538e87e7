//! Removal of unreferenced records, when there is write budget to spare.

use super::split_submissions::{SplitSubmissions, SubmissionParts, VersionedKey};
use super::transaction::{Space, TransactionBuilder};
use crate::model::{Id, Job};
use crate::records::keys;
use shaleshunt_wire::Revision;
use std::collections::BTreeMap;

/// Transaction space for the removal of a submission part with a precondition on the job's record.
const PART_REMOVAL_SPACE: Space = Space { writes: 1, preconditions: 2, bytes: 400 };

/// Records that are waiting to be removed. The first part of a submission is removed before the others, so that a late
/// transaction that creates the job's record finds the first part missing and fails.
///
/// That no record referred to the parts when they were queued proves nothing later: a controller may have created the
/// record since. So the records known by now are compared, and the removal has a precondition on the job's record.
#[derive(Debug, Default)]
pub(super) struct UnreferencedRecords {
    /// Parts of submissions without a job record when they were queued, by their prefix.
    submission_parts: BTreeMap<String, SubmissionParts>,
    /// Keys that can be removed at any time, with their versions.
    keys: BTreeMap<String, Revision>,
    /// Keys of version 0.1, with their versions. They can be removed once their contents have been rewritten.
    v0_1_keys: BTreeMap<String, Revision>,
}

impl UnreferencedRecords {
    pub(super) fn add_submission_parts(&mut self, parts: impl IntoIterator<Item = SubmissionParts>) {
        for parts in parts {
            if let Some(first) = parts.first() {
                self.submission_parts.insert(keys::submission_parts_prefix(&first.key).to_string(), parts);
            }
        }
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

    /// Removes the first part of each unreferenced submission, as far as there is space, if the job's record is still
    /// the known one or absent. The other parts are removed later. Returns all parts of these submissions. Submissions
    /// that are referenced by now are no longer queued.
    pub(super) fn collect_submission_parts(
        &mut self,
        builder: &mut TransactionBuilder,
        jobs: &BTreeMap<Id, Job>,
        submissions: &SplitSubmissions,
    ) -> Vec<SubmissionParts> {
        let mut removed = Vec::new();
        while let Some((prefix, parts)) = self.submission_parts.pop_first() {
            if submissions.is_referenced(&prefix) {
                continue;
            }
            if !builder.has_space_for(PART_REMOVAL_SPACE) || !collect_first_part(builder, jobs, &parts) {
                self.submission_parts.insert(prefix, parts);
                break;
            }
            removed.push(parts);
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

/// Removes the first part of a submission that no known record refers to. Returns false if the record of its job has to
/// be read again first.
fn collect_first_part(builder: &mut TransactionBuilder, jobs: &BTreeMap<Id, Job>, parts: &SubmissionParts) -> bool {
    let Some(first) = parts.first() else { return true };
    let id = keys::job_id_of_submission_part(&first.key);
    match jobs.get(id) {
        Some(job) if job.record.stale => return false,
        Some(job) => builder.require_job_version(job),
        None => builder.require_absent(keys::job(id)),
    }
    builder.drop_key(first.key.clone(), first.version);
    true
}

#[cfg(test)]
mod tests;
