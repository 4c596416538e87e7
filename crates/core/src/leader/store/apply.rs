//! Applies the outcome of a transaction, committed or abandoned, to the store's bookkeeping.

use super::Store;
use super::changes::TransactionChanges;
use super::pages::PlannedPlacement;
use super::scale_outs;
use super::sources::RecordSources;
use super::split_submissions::{SubmissionParts, VersionedKey};
use crate::model::{Id, Job};
use crate::records::keys;
use shaleshunt_wire::Revision;

/// Changes that a transaction is known to have committed.
#[derive(Debug, Default)]
pub(crate) struct CommittedChanges {
    pub placements: Vec<PlannedPlacement>,
    pub ended_jobs: Vec<Id>,
    /// Machines whose block is stored.
    pub machines: Vec<Id>,
    /// Prefixes of the submissions whose first part was removed.
    pub removed_submissions: Vec<String>,
}

/// Changes of an abandoned transaction that the leader has to process again.
#[derive(Debug, Default)]
pub(crate) struct AbandonedChanges {
    /// Jobs whose stored record is newer than the leader's copy.
    pub stale_jobs: Vec<Id>,
    pub placements: Vec<PlannedPlacement>,
    /// Jobs with unwritten task entries, which have to be queued again. May contain duplicates.
    pub jobs_with_entries: Vec<Id>,
    /// Jobs whose end was not written, which have to be queued again.
    pub ended_jobs: Vec<Id>,
}

impl Store {
    /// Applies the changes of a transaction that was committed at `revision`.
    pub(crate) fn apply_committed(
        &mut self,
        changes: TransactionChanges,
        revision: Revision,
        sources: &mut RecordSources,
    ) -> CommittedChanges {
        let placements = self.pages.apply_committed(changes.pages, sources.jobs, revision);
        let blocks = &mut self.blocks;
        let machines = changes.blocks.into_iter().flat_map(|write| blocks.apply_committed(write, revision)).collect();
        scale_outs::apply_committed(changes.scale_outs, sources.scale_outs, revision);
        let first_parts = changes.submission_parts.iter().filter_map(|parts| parts.first());
        let removed_submissions =
            first_parts.map(|part| keys::submission_parts_prefix(&part.key).to_string()).collect();
        // Without its first part a submission can't be referenced any more, so the other parts can go unconditionally.
        let other_parts = changes.submission_parts.into_iter().flat_map(|parts| parts.into_iter().skip(1));
        self.unreferenced.add_keys(other_parts);
        self.owned_list.apply_committed(changes.owned_list, revision);
        if changes.catalog {
            self.catalog.apply_committed(revision);
        }
        CommittedChanges { placements, ended_jobs: changes.ended_jobs, machines, removed_submissions }
    }

    /// Queues the changes of a transaction that was not and can't be committed to be written again. The jobs whose
    /// records conflicted are returned as stale.
    pub(crate) fn apply_abandoned(
        &mut self,
        changes: TransactionChanges,
        conflicting: &[String],
        sources: &mut RecordSources,
    ) -> AbandonedChanges {
        let stale_jobs: Vec<Id> = conflicting.iter().map(|key| Id::from(keys::job_id(key))).collect();
        self.blocks.apply_abandoned(&changes.blocks);
        scale_outs::apply_abandoned(&changes.scale_outs, sources.scale_outs);
        // A job that is not known yet has been accepted in the meantime, and its record may refer to the parts. Whether
        // it does is left to the next leader, as the watch may not show the record for a while.
        let unknown_jobs: Vec<&Id> = stale_jobs.iter().filter(|id| !sources.jobs.contains_key(*id)).collect();
        let unused = changes.submission_parts.into_iter().filter(|parts| !belongs_to_any(parts, &unknown_jobs));
        self.unreferenced.add_submission_parts(unused);
        let builder = &changes.builder;
        self.unreferenced.add_keys(changes.obsolete_keys.into_iter().map(|key| {
            let version = builder.required_version(&key);
            VersionedKey { key, version }
        }));
        self.owned_list.apply_abandoned(changes.owned_list);
        if changes.catalog {
            self.catalog.record();
        }
        let (jobs_with_entries, placements) = changes.pages.into_abandoned();
        AbandonedChanges { stale_jobs, placements, jobs_with_entries, ended_jobs: changes.ended_jobs }
    }

    /// Releases the task entries and submission parts of a job whose end is stored, as nothing refers to them any more.
    pub(crate) fn job_ended(&mut self, job: &Job) {
        self.pages.forget_job(job);
        let parts = self.submissions.remove(&job.id);
        self.unreferenced.add_submission_parts(parts);
    }
}

fn belongs_to_any(parts: &SubmissionParts, jobs: &[&Id]) -> bool {
    let Some(first) = parts.first() else { return false };
    let job = keys::job_id_of_submission_part(&first.key);
    jobs.iter().any(|id| ***id == *job)
}

#[cfg(test)]
mod tests;
