//! The watch on the records of unfinished jobs, which brings submissions and cancellations by users.
//!
//! `JobWatch` owns the revision up to which changes have been seen, and the time up to which no cancellation can have
//! been missed. Changes are applied once and in order. A record older than the leader's copy has no effect.

mod record_refresh;
mod split_submissions;

use crate::controller::Context;
use crate::event::Event;
use crate::io::{KvReply, KvRequest, RequestError};
use crate::leader::retry_queue::RetryQueue;
use crate::leader::{Leader, LeaderRequest};
use crate::model::{Id, Job};
use crate::records::{JobRecord, StoredJob, keys};
use crate::step_down::StepDownReason;
use serde_json::Value;
use shaleshunt_wire::Revision;
use shaleshunt_wire::kv::{Change, WatchReply};
use std::collections::BTreeMap;

/// A watch request is held for one heartbeat interval divided by this number. Short watches matter, since the time of
/// the last answered one bounds how long machine leases may be renewed in a network partition.
const WATCHES_PER_HEARTBEAT: u64 = 8;
/// Retries of an unanswered watch, per heartbeat interval.
const RETRIES_PER_HEARTBEAT: u64 = 20;

/// State of the watch on unfinished jobs. Times are in ms, monotonic.
#[derive(Debug)]
pub(crate) struct JobWatch {
    /// Jobs whose end this leader has written, with the revision of the write. Earlier changes of these jobs that the
    /// watch still returns are outdated.
    ended_jobs: BTreeMap<Id, Revision>,
    /// Revision up to which changes have been seen. `None` until the first page of jobs has been read.
    revision: Option<Revision>,
    /// Time at which a failed watch is repeated. `None` while none has failed.
    retry_at_ms: Option<u64>,
    /// Jobs whose records are to be read again, since a read of them failed.
    refresh_retries: RetryQueue<Id>,
    /// Time at which the last answered watch was sent. No cancellation before this time has been missed.
    fresh_at_ms: u64,
}

impl JobWatch {
    /// Creates the watch of a leader that starts at `now` (ms, monotonic).
    pub(crate) fn new(now: u64) -> JobWatch {
        JobWatch {
            ended_jobs: BTreeMap::new(),
            revision: None,
            retry_at_ms: None,
            refresh_retries: RetryQueue::default(),
            fresh_at_ms: now,
        }
    }

    /// Sets the revision after which changes are watched: that of the first page of jobs read during recovery.
    pub(crate) fn begin_at(&mut self, revision: Revision) {
        self.revision.get_or_insert(revision);
    }

    /// Revision up to which changes have been seen; [`Revision::ABSENT`] if no record has been read.
    pub(crate) fn revision(&self) -> Revision {
        self.revision.unwrap_or(Revision::ABSENT)
    }

    /// Records that the end of a job was written at `revision`.
    pub(crate) fn job_ended(&mut self, job: Id, revision: Revision) {
        self.ended_jobs.insert(job, revision);
    }

    /// Whether all cancellations older than `window_ms` are known.
    pub(crate) fn is_fresh(&self, now: u64, window_ms: u64) -> bool {
        now.saturating_sub(self.fresh_at_ms) < window_ms
    }

    /// Whether a failed watch has to be repeated now.
    pub(crate) fn is_retry_due(&self, now: u64) -> bool {
        self.retry_at_ms.is_some_and(|at| now >= at)
    }

    /// Records that a watch sent at `sent_at_ms` (ms, monotonic) returned all changes up to `revision`.
    fn record_reply(&mut self, sent_at_ms: u64, revision: Revision) {
        self.fresh_at_ms = self.fresh_at_ms.max(sent_at_ms);
        self.revision = Some(revision);
    }

    /// Forgets ends of jobs that were written up to `revision`, as the watch has passed them.
    fn forget_ends(&mut self, revision: Revision) {
        self.ended_jobs.retain(|_, end| *end > revision);
    }
}

impl Leader {
    /// Sends a watch request for changes to unfinished jobs.
    pub(crate) fn watch_jobs(&mut self, ctx: &mut Context) {
        self.watch.retry_at_ms = None;
        let after = self.watch.revision();
        let max_wait_ms = ctx.settings.heartbeat_interval_ms() / WATCHES_PER_HEARTBEAT;
        let wait = self.pending_request(LeaderRequest::WatchJobs);
        ctx.send_kv(KvRequest::Watch { prefix: keys::JOBS.into(), after, max_wait_ms }, wait);
    }

    /// Handles the reply to a watch that was sent at `sent_at_ms` (ms, monotonic), or its failure.
    pub(crate) fn handle_watch_reply(
        &mut self,
        ctx: &mut Context,
        sent_at_ms: u64,
        result: Result<KvReply, RequestError>,
    ) {
        match result {
            Ok(KvReply::Changes(reply)) => {
                self.watch.record_reply(sent_at_ms, reply.revision);
                self.apply_changes(ctx, reply);
                self.watch_jobs(ctx);
            }
            Ok(KvReply::Compacted) => self.step_down = Some(StepDownReason::ChangesMissed),
            _ => {
                let delay_ms = ctx.settings.heartbeat_interval_ms() / RETRIES_PER_HEARTBEAT;
                self.watch.retry_at_ms = Some(ctx.now.monotonic_ms + delay_ms);
            }
        }
    }

    fn apply_changes(&mut self, ctx: &mut Context, reply: WatchReply) {
        for change in reply.changes {
            match change {
                Change { set_key: Some(key), value: Some(value), version, .. } => {
                    self.apply_job_record(ctx, &key, value, version);
                }
                Change { deleted_key: Some(key), version, .. } => {
                    let id = keys::job_id(&key);
                    self.store.job_record_removed(id, version);
                    if self.jobs.get(id).is_some_and(|job| job.record.version < version) {
                        self.apply_job_removal(ctx, id);
                    }
                }
                _ => {}
            }
        }
        self.watch.forget_ends(reply.revision);
    }

    /// Applies a record of an unfinished job, unless a newer one is known.
    pub(crate) fn apply_job_record(&mut self, ctx: &mut Context, key: &str, value: Value, version: Revision) {
        let id = keys::job_id(key);
        let is_newer_known = self.jobs.get(id).is_some_and(|job| job.record.version > version);
        if self.watch.ended_jobs.contains_key(id) || is_newer_known {
            return;
        }
        let Some(record) = StoredJob::read(value) else {
            ctx.emit(Event::RecordUnreadable { key: key.into() });
            return;
        };
        if self.jobs.contains_key(id) {
            self.update_job(ctx, id, &record, version);
            return;
        }
        match record {
            StoredJob::Whole(record) => self.add_job(ctx, *record, version),
            StoredJob::SplitSubmission(record) => self.handle_split_submission_record(ctx, record, version),
        }
    }

    /// Updates a known job from its newest record. Cancellation is the only change that a job's record undergoes.
    fn update_job(&mut self, ctx: &mut Context, id: &str, record: &StoredJob, version: Revision) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        self.scheduler.request_pass();
        job.record.version = version;
        job.record.stale = false;
        job.record.has_cancellation_key = record.has_cancellation_key();
        let id = job.id.clone();
        if record.is_cancelled() && !job.cancelled {
            job.cancelled = true;
            self.stop_job(ctx, &id);
            self.job_cancelled(ctx, &id);
        }
        self.queue_job_write(ctx.now.monotonic_ms, &id);
    }

    /// Adds a job, unless the same or a newer version of its record is known.
    pub(crate) fn add_job(&mut self, ctx: &mut Context, record: JobRecord, version: Revision) {
        if self.jobs.get(record.submission.id.as_str()).is_some_and(|job| job.record.version >= version) {
            return;
        }
        self.scheduler.request_pass();
        let mut job = Job::new(record, version);
        job.image = self.fleet.images.number(&job.spec.image);
        let (id, is_cancelled, is_blocked) = (job.id.clone(), job.cancelled, job.is_blocked());
        self.jobs.insert(id.clone(), job);
        self.scheduler.jobs_changed();
        if self.active {
            self.add_dependencies(ctx, &id);
            if is_cancelled {
                self.job_cancelled(ctx, &id);
            } else if !is_blocked {
                self.record_arrival(ctx.now.monotonic_ms, &id);
            }
        }
        self.queue_job_write(ctx.now.monotonic_ms, &id);
    }

    /// Stops a job after a user's request has shown that it is cancelled: running tasks are stopped, and placements
    /// that have not been sent never are. The rest follows when the job's record has been read again.
    pub(crate) fn stop_cancelled_job(&mut self, ctx: &mut Context, id: &str) {
        let Some(job) = self.jobs.get_mut(id).filter(|job| !job.cancelled && !job.is_blocked()) else { return };
        // While the record is stale, no more tasks of the job are placed.
        job.record.stale = true;
        let id = job.id.clone();
        self.stop_job(ctx, &id);
        if self.active {
            self.refresh_job_record(ctx, id);
        }
    }

    /// Cancels and removes a job whose record no longer exists.
    pub(crate) fn apply_job_removal(&mut self, ctx: &mut Context, id: &str) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.cancelled = true;
        let id = job.id.clone();
        self.stop_job(ctx, &id);
        if let Some(job) = self.jobs.remove(&id) {
            self.store.job_ended(&job);
            self.remove_dependencies(&job);
        }
        self.job_record_removed(ctx.now.monotonic_ms, &id);
        self.scheduler.jobs_changed();
        self.scheduler.request_pass();
    }

    /// Whether machine leases may be renewed, which requires that all cancellations are known up to a recent time.
    pub(crate) fn may_renew_leases(&self, ctx: &Context) -> bool {
        self.watch.is_fresh(ctx.now.monotonic_ms, ctx.settings.lease_renewal_window_ms())
    }
}
