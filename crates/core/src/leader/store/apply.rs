//! What follows for the store when a transaction was carried out, or is given up.

use super::Store;
use super::changes::TransactionChanges;
use super::pages::PlannedPlacement;
use super::scale_outs;
use super::sources::RecordSources;
use super::split_submissions::{SubmissionParts, VersionedKey};
use crate::model::{Id, Job};
use crate::records::keys;
use shaleshunt_wire::Revision;

/// What is known to be stored now.
#[derive(Debug, Default)]
pub(crate) struct CommittedChanges {
    pub placements: Vec<PlannedPlacement>,
    pub ended_jobs: Vec<Id>,
    /// Machines whose record is stored.
    pub machines: Vec<Id>,
}

/// What was given up and is to be looked at anew.
#[derive(Debug, Default)]
pub(crate) struct AbandonedChanges {
    /// Jobs whose record is newer than known.
    pub stale_jobs: Vec<Id>,
    pub placements: Vec<PlannedPlacement>,
    /// Jobs with entries that were not written, to be queued again; one may come several times.
    pub jobs_with_entries: Vec<Id>,
    /// Jobs whose end was not written, to be queued again.
    pub ended_jobs: Vec<Id>,
}

impl Store {
    /// A transaction was carried out.
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
        // Without its first part a submission can't be referred to any more.
        let rest = changes.submission_parts.into_iter().flat_map(|parts| parts.into_iter().skip(1));
        self.unreferenced.add_keys(rest);
        self.owned_list.apply_committed(changes.owned_list, revision);
        if changes.catalog {
            self.catalog.apply_committed(revision);
        }
        CommittedChanges { placements, ended_jobs: changes.ended_jobs, machines }
    }

    /// A transaction was not carried out and never will be: what it held waits to be written again.
    /// Records of jobs that conflicted are newer than known.
    pub(crate) fn apply_abandoned(
        &mut self,
        changes: TransactionChanges,
        conflicting: &[String],
        sources: &mut RecordSources,
    ) -> AbandonedChanges {
        let stale_jobs: Vec<Id> = conflicting.iter().map(|key| Id::from(keys::job_id(key))).collect();
        self.blocks.apply_abandoned(&changes.blocks);
        scale_outs::apply_abandoned(&changes.scale_outs, sources.scale_outs);
        // Parts of a job that was accepted meanwhile may be in use.
        let unused = changes.submission_parts.into_iter().filter(|parts| !belongs_to_any(parts, &stale_jobs));
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

    /// A job's end is stored: nothing refers to its entries and to the parts of its submission any more.
    pub(crate) fn job_ended(&mut self, job: &Job) {
        self.forget_job(job);
        let parts = self.submissions.remove(&job.id);
        self.unreferenced.add_submission_parts(parts);
    }
}

fn belongs_to_any(parts: &SubmissionParts, jobs: &[Id]) -> bool {
    jobs.iter().any(|id| parts.iter().any(|part| part.key[keys::SUBMISSION_PARTS.len()..].starts_with(&**id)))
}
