//! Ends of jobs: the record goes and a final record comes, in one transaction.

use super::transaction::{Space, TransactionBuilder};
use crate::model::Job;
use crate::records::{FinalRecord, keys};
use serde_json::json;
use shaleshunt_wire::Revision;

/// Room to leave for a job's end, and what its final record takes at most.
const END_SPACE_BYTES: usize = 400;
const FINAL_RECORD_BYTES: usize = 50;

/// Puts a job's end into a transaction beside pages of so many bytes; false if there is no room.
pub(super) fn collect(builder: &mut TransactionBuilder, job: &Job, page_bytes: usize, now_wall_ms: u64) -> bool {
    let space = Space {
        writes: 2 + usize::from(job.record.has_cancellation_key),
        conditions: 3,
        bytes: END_SPACE_BYTES + page_bytes,
    };
    if !builder.has_space_for(space) {
        return false;
    }
    builder.drop_job(job);
    let record = FinalRecord { cancelled: job.cancelled, tasks: job.spec.tasks, ended_at_ms: now_wall_ms };
    builder.set(keys::final_record(&job.id), Revision::ABSENT, json!(record), FINAL_RECORD_BYTES);
    if job.record.has_cancellation_key {
        // Written with the job's record, so of the same revision.
        builder.drop_key(keys::cancellation(&job.id), job.record.version);
    }
    true
}
