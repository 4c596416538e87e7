//! Ends of jobs: the job's record is replaced by a final record in one transaction.

use super::transaction::{Space, TransactionBuilder};
use crate::model::Job;
use crate::records::{FinalRecord, keys};
use serde_json::json;
use shaleshunt_wire::Revision;

/// Transaction bytes reserved for a job's end.
const END_SPACE_BYTES: usize = 400;
/// Maximum bytes of a final record.
const MAX_FINAL_RECORD_BYTES: usize = 50;

/// Adds a job's end to a transaction in addition to task pages of `page_bytes` bytes. Returns false if there is no
/// space.
pub(super) fn collect(builder: &mut TransactionBuilder, job: &Job, page_bytes: usize, now_wall_ms: u64) -> bool {
    let space = Space {
        writes: 2 + usize::from(job.record.has_cancellation_key),
        preconditions: 3,
        bytes: END_SPACE_BYTES + page_bytes,
    };
    if !builder.has_space_for(space) {
        return false;
    }
    builder.drop_job(job);
    let record = FinalRecord { cancelled: job.cancelled, tasks: job.spec.tasks, ended_at_ms: now_wall_ms };
    builder.set(keys::final_record(&job.id), Revision::ABSENT, json!(record), MAX_FINAL_RECORD_BYTES);
    if job.record.has_cancellation_key {
        // The cancellation is written in one transaction with the job's record, so both have the same revision.
        builder.drop_key(keys::cancellation(&job.id), job.record.version);
    }
    true
}
