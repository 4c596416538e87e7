//! The watch of the unfinished jobs: what users submit and cancel, and how fresh that is.
//!
//! `JobWatch` owns the place up to which changes have been seen. Changes are applied once, in their
//! order; a record that is older than what is known of a job changes nothing.

mod split_submissions;

use crate::controller::Context;
use crate::event::Event;
use crate::io::{KvReply, KvRequest, RequestError};
use crate::leader::{Leader, LeaderRequest};
use crate::model::{Id, Job};
use crate::records::{JobRecord, StoredJob, keys};
use crate::step_down::StepDownReason;
use serde_json::Value;
use shaleshunt_wire::Revision;
use shaleshunt_wire::kv::{Change, WatchReply};
use std::collections::BTreeMap;

/// A watch waits for this part of a heartbeat interval. It is short: what is known of cancellations
/// bounds how long workers' leases may be renewed in a network partition.
const WATCHES_PER_HEARTBEAT: u64 = 8;
/// A watch without an answer is begun anew after this part of a heartbeat interval.
const RETRIES_PER_HEARTBEAT: u64 = 20;
/// The watch of the unfinished jobs, and how fresh what it showed is. Times are in ms, monotonic.
#[derive(Debug)]
pub(crate) struct JobWatch {
    /// Jobs whose end this leader has written, with the revision of that: news of them that the watch
    /// brings from before is old.
    ended_jobs: BTreeMap<Id, Revision>,
    /// Changes up to here have been seen.
    revision: Option<Revision>,
    retry_at: Option<u64>,
    /// Sending time of the last watch that was answered: no cancellation before it was missed.
    fresh_at: u64,
}

impl JobWatch {
    /// That of a leader that begins at a time.
    pub(crate) fn new(now: u64) -> JobWatch {
        JobWatch { ended_jobs: BTreeMap::new(), revision: None, retry_at: None, fresh_at: now }
    }

    /// The first jobs are being read at a revision: changes from there on are seen.
    pub(crate) fn begin_at(&mut self, revision: Revision) {
        self.revision.get_or_insert(revision);
    }

    /// The end of a job was written at a revision.
    pub(crate) fn job_ended(&mut self, job: Id, revision: Revision) {
        self.ended_jobs.insert(job, revision);
    }

    /// Whether no cancellation before a time can have been missed for longer than `window_ms`.
    pub(crate) fn is_fresh(&self, now: u64, window_ms: u64) -> bool {
        now.saturating_sub(self.fresh_at) < window_ms
    }

    /// Whether a watch that failed is to be begun anew.
    pub(crate) fn is_retry_due(&self, now: u64) -> bool {
        self.retry_at.is_some_and(|at| now >= at)
    }

    /// A watch that was sent at a time was answered with all changes up to a revision.
    fn answered(&mut self, sent: u64, revision: Revision) {
        self.fresh_at = self.fresh_at.max(sent);
        self.revision = Some(revision);
    }

    /// Ends up to a revision have been seen to go by.
    fn forget_ends(&mut self, revision: Revision) {
        self.ended_jobs.retain(|_, end| *end > revision);
    }
}

impl Leader {
    /// Waits for changes of the unfinished jobs.
    pub(crate) fn watch_jobs(&mut self, ctx: &mut Context) {
        self.watch.retry_at = None;
        let after = self.watch.revision.unwrap_or(Revision::ABSENT);
        let max_wait_ms = ctx.settings.heartbeat_interval_ms() / WATCHES_PER_HEARTBEAT;
        let wait = self.pending_request(LeaderRequest::WatchJobs);
        ctx.send_kv(KvRequest::Watch { prefix: keys::JOBS.into(), after, max_wait_ms }, wait);
    }

    /// A watch that was sent at a time was answered, or not.
    pub(crate) fn handle_watch_reply(&mut self, ctx: &mut Context, sent: u64, result: Result<KvReply, RequestError>) {
        match result {
            Ok(KvReply::Changes(news)) => {
                self.watch.answered(sent, news.revision);
                self.apply_changes(ctx, news);
                self.watch_jobs(ctx);
            }
            Ok(KvReply::Compacted) => self.step_down = Some(StepDownReason::ChangesMissed),
            _ => {
                let pause_ms = ctx.settings.heartbeat_interval_ms() / RETRIES_PER_HEARTBEAT;
                self.watch.retry_at = Some(ctx.now.monotonic_ms + pause_ms);
            }
        }
    }

    fn apply_changes(&mut self, ctx: &mut Context, news: WatchReply) {
        for change in news.changes {
            match change {
                Change { set_key: Some(path), value: Some(value), version, .. } => {
                    self.apply_job_record(ctx, &path, value, version);
                }
                Change { deleted_key: Some(path), version, .. } => {
                    let id = keys::job_id(&path);
                    self.store.job_record_removed(id, version);
                    if self.jobs.get(id).is_some_and(|job| job.record.version < version) {
                        self.apply_job_removal(ctx, id);
                    }
                }
                _ => {}
            }
        }
        self.watch.forget_ends(news.revision);
    }

    /// The record of an unfinished job has been read.
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

    /// A known job's record is the newest: of a job, only whether it is cancelled ever changes.
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

    /// A job that was not known has come.
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

    /// A user's request has shown that a job is cancelled: what runs is stopped and what has not left
    /// never does. Its record is read for the rest.
    pub(crate) fn stop_cancelled_job(&mut self, ctx: &mut Context, id: &str) {
        let Some(job) = self.jobs.get_mut(id).filter(|job| !job.cancelled && !job.is_blocked()) else { return };
        // Nothing more is placed before it has been read.
        job.record.stale = true;
        let id = job.id.clone();
        self.stop_job(ctx, &id);
        if self.active {
            self.refresh_job_record(ctx, id);
        }
    }

    /// A job's record is no longer there.
    pub(crate) fn apply_job_removal(&mut self, ctx: &mut Context, id: &str) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.cancelled = true;
        let id = job.id.clone();
        self.stop_job(ctx, &id);
        if let Some(job) = self.jobs.remove(&id) {
            self.store.forget_job(&job);
            self.remove_dependencies(&job);
        }
        self.job_record_removed(ctx.now.monotonic_ms, &id);
        self.scheduler.jobs_changed();
        self.scheduler.request_pass();
    }

    /// Reads a job's record again, after a condition on it failed.
    pub(crate) fn refresh_job_record(&mut self, ctx: &mut Context, id: Id) {
        let key = keys::job(&id);
        let wait = self.pending_request(LeaderRequest::ReadJobRecord(id));
        ctx.send_kv(KvRequest::Get { key }, wait);
    }

    /// A job's record was read again, or not: then once more.
    pub(crate) fn handle_job_refresh_reply(
        &mut self,
        ctx: &mut Context,
        id: Id,
        result: Result<KvReply, RequestError>,
    ) {
        match result {
            Ok(KvReply::Found(pair)) => {
                // A job that has ended meanwhile never comes back.
                if self.jobs.contains_key(&id) {
                    self.apply_job_record(ctx, &pair.key, pair.value, pair.version);
                }
            }
            Ok(KvReply::Missing) => self.apply_job_removal(ctx, &id),
            _ => self.refresh_job_record(ctx, id),
        }
    }

    /// Whether workers' leases may be renewed: no cancellation can have been missed for too long.
    pub(crate) fn may_renew_leases(&self, ctx: &Context) -> bool {
        self.watch.is_fresh(ctx.now.monotonic_ms, ctx.settings.lease_renewal_window_ms())
    }
}
