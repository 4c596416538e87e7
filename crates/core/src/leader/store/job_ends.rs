//! Ends of jobs: the record goes and a final record comes, in one transaction.

use super::changes::Changes;
use super::transaction::Space;
use crate::model::Job;
use crate::records::{FinalRecord, keys};
use serde_json::json;
use shaleshunt_wire::Revision;

/// Room to leave for a job's end, and what its final record takes at most.
const END_SPACE_BYTES: usize = 400;
const FINAL_RECORD_BYTES: usize = 50;

/// Puts a job's end into a transaction; false if there is no room. It has ended when every placement
/// of it has been proven gone. One whose record is stale is left out: it is queued again when the
/// record has been read.
pub(super) fn collect(changes: &mut Changes, job: &Job, now_wall_ms: u64) -> bool {
    if job.record.stale || !job.has_ended() || changes.ended_jobs.contains(&job.id) {
        return true;
    }
    let space = Space {
        writes: 2 + usize::from(job.record.has_cancellation_key),
        conditions: 3,
        bytes: END_SPACE_BYTES + changes.pages.draft_bytes(),
    };
    if !changes.has_space_for(space) {
        return false;
    }
    changes.builder.drop_job(job);
    let record = FinalRecord { cancelled: job.cancelled, tasks: job.spec.tasks, ended_at_ms: now_wall_ms };
    changes.builder.set(keys::final_record(&job.id), Revision::ABSENT, json!(record), FINAL_RECORD_BYTES);
    if job.record.has_cancellation_key {
        // Written with the job's record, so of the same revision.
        changes.builder.drop_key(keys::cancellation(&job.id), job.record.version);
    }
    changes.ended_jobs.push(job.id.clone());
    true
}
