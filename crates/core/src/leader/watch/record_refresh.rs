//! Reads of single job records whose stored version is newer than the leader's copy.
//!
//! A job's record is read again after a precondition on it failed, and after a user's request has shown that the job is
//! cancelled. Until the reply, the copy counts as stale and no task of the job is placed.

use crate::controller::Context;
use crate::io::{KvReply, KvRequest, RequestError};
use crate::leader::{Leader, LeaderRequest};
use crate::model::Id;
use crate::records::keys;

/// Retries of an unanswered read, per heartbeat interval. Immediate retries would send requests without a pause, for
/// each stale job, while the store answers none.
const RETRIES_PER_HEARTBEAT: u64 = 20;

impl Leader {
    /// Reads a job's record again.
    pub(crate) fn refresh_job_record(&mut self, ctx: &mut Context, id: Id) {
        let key = keys::job(&id);
        let wait = self.pending_request(LeaderRequest::ReadJobRecord(id));
        ctx.send_kv(KvRequest::Get { key }, wait);
    }

    /// Repeats the failed reads that are due, of jobs whose records are still stale.
    pub(crate) fn retry_job_refreshes(&mut self, ctx: &mut Context) {
        while let Some(id) = self.watch.refresh_retries.pop_due(ctx.now.monotonic_ms) {
            if self.jobs.get(&id).is_some_and(|job| job.record.stale) {
                self.refresh_job_record(ctx, id);
            }
        }
    }

    /// Handles the reply to a repeated read of a job's record. A failed read is repeated after a delay.
    pub(crate) fn handle_job_refresh_reply(
        &mut self,
        ctx: &mut Context,
        id: Id,
        result: Result<KvReply, RequestError>,
    ) {
        match result {
            Ok(KvReply::Found(pair)) => {
                // A job that has ended in the meantime is not added again.
                if self.jobs.contains_key(&id) {
                    self.apply_job_record(ctx, &pair.key, pair.value, pair.version);
                }
            }
            // The record existed before the read, and only the end of a job removes it.
            Ok(KvReply::Missing) => self.apply_job_removal(ctx, &id),
            _ => {
                let delay_ms = ctx.settings.heartbeat_interval_ms() / RETRIES_PER_HEARTBEAT;
                self.watch.refresh_retries.push(ctx.now.monotonic_ms + delay_ms, id);
            }
        }
    }
}
