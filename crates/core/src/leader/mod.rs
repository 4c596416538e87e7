//! The leader: composes the store, the scheduler, the fleet and the autoscaler, and acts for its epoch.
//!
//! `Leader` owns the unfinished jobs and what belongs to the leadership itself: the epoch, the lease, the
//! numbers of attempts and placements. Its parts own the rest and don't call one another; what concerns
//! several of them is done here and in the modules of this tree that are not parts: failover
//! ([`recovery`]), users' changes ([`watch`]), `commit`, `heartbeats`, `placements` and the like.
//!
//! What always holds: nothing is decided before all records have been read (`active`); a reply goes to the
//! leader of the epoch that asked; once `down` is set, the controller ends the leadership after the batch.
//! Only the controller calls in here.

pub(crate) mod autoscaler;
mod commit;
mod direct_calls;
pub(crate) mod fleet;
mod heartbeats;
mod machine_failures;
mod placements;
pub(crate) mod recovery;
mod scale_out_requests;
pub(crate) mod scheduler;
pub(crate) mod store;
mod task_exits;
mod unreachable_machines;
pub(crate) mod watch;

use crate::controller::{Context, PendingRequest};
use crate::event::{Event, LeaderStatus};
use crate::io::{KvReply, KvRequest, RequestError};
use crate::leader::autoscaler::Autoscaler;
use crate::leader::fleet::Fleet;
use crate::leader::recovery::{Recovery, ScanPosition};
use crate::leader::scheduler::Scheduler;
use crate::leader::store::{CommitStep, SplitSubmissionRead, Store};
use crate::leader::watch::JobWatch;
use crate::model::{Id, Job};
use crate::step_down::{ForeignWrite, StepDownReason};
use shaleshunt_peer::{JobProgress, MAX_FRAME_BYTES};
use shaleshunt_wire::{Attempt, Epoch, Revision};
use std::collections::BTreeMap;

/// So many times a controller's lag goes by between two passes over the queue, up to this part of a
/// heartbeat interval: the shorter of processor time, the longer between passes, since leases and answers
/// come first.
const LAGS_BETWEEN_PASSES: u64 = 4;
const MAX_LAG_HEARTBEAT_PART: u64 = 5;
/// The lease is renewed after this part of its life.
const LEASE_RENEWAL_PART: f64 = 4.0;
/// A renewal without an answer is tried again after this part of a heartbeat interval.
const RENEWAL_RETRIES_PER_HEARTBEAT: u64 = 12;
/// A job's progress takes at most so many bytes of a frame, with ample room for long names.
const JOB_PROGRESS_BYTES: usize = 256;

/// Requests of the leader, by what their replies are for.
#[derive(Debug)]
pub(crate) enum LeaderRequest {
    /// A page of records during a failover.
    ScanRecords(ScanPosition),
    /// Renewal of the leader's lease.
    RenewLease,
    /// Changes of the unfinished jobs.
    WatchJobs,
    /// The transaction under way.
    Commit(CommitStep),
    /// The version of a key that somebody else has written, for the log.
    ReadForeignWrite(ForeignWrite),
    /// The record of a job on which a condition failed.
    ReadJobRecord(Id),
    /// The final record of a job that others depend on.
    ReadFinalRecord(Id),
    /// Parts of a job's submission.
    ReadSubmissionParts(Box<SplitSubmissionRead>),
    /// A direct call to a machine's agent.
    DirectCommands(Id),
    /// Machines from the cloud, by the request's name.
    ScaleOut(String),
    /// Return of machines to the cloud.
    ScaleIn(Vec<Id>),
    /// A page of the cloud's list.
    MachineList,
    /// The cloud's machine types.
    Catalog,
}

/// The leader's state. Times are in ms on the steady clock.
pub struct Leader {
    pub(crate) epoch: Epoch,
    /// Version of the epoch's key, while the epoch is this leader's.
    pub(crate) epoch_version: Revision,
    /// The lease at the key-value store.
    pub(crate) lease_id: u64,
    /// Everything has been read.
    pub(crate) active: bool,
    /// Why leadership is over.
    pub(crate) step_down: Option<StepDownReason>,
    pub(crate) elected_at: u64,
    renew_at: u64,
    is_renewal_in_flight: bool,
    pub(crate) last_attempt: u64,
    last_placement_id: u64,
    /// The unfinished jobs.
    pub(crate) jobs: BTreeMap<Id, Job>,
    next_status_at: u64,
    pub(crate) store: Store,
    pub(crate) scheduler: Scheduler,
    pub(crate) fleet: Fleet,
    pub(crate) autoscaler: Autoscaler,
    pub(crate) recovery: Recovery,
    pub(crate) watch: JobWatch,
}

impl Leader {
    /// A leader that has just been elected: it begins to read all records.
    pub(crate) fn new(ctx: &mut Context, epoch: Epoch, epoch_version: Revision, lease_id: u64) -> Leader {
        let now = ctx.now.monotonic_ms;
        let mut leader = Leader {
            epoch,
            epoch_version,
            lease_id,
            active: false,
            step_down: None,
            elected_at: now,
            renew_at: now,
            is_renewal_in_flight: false,
            last_attempt: 0,
            last_placement_id: 0,
            jobs: BTreeMap::new(),
            next_status_at: now,
            store: Store::new(now, ctx.limits.write_rate() * ctx.tuning.write_share),
            scheduler: Scheduler::new(now),
            fleet: Fleet::new(now),
            autoscaler: Autoscaler::new(now),
            recovery: Recovery::default(),
            watch: JobWatch::new(now),
        };
        leader.begin_recovery(ctx);
        leader
    }

    /// A request of this leader's, whose reply is for this epoch alone.
    pub(crate) fn pending_request(&self, wait: LeaderRequest) -> PendingRequest {
        PendingRequest::Leader(self.epoch, wait)
    }

    /// A request to the key-value store that was sent at a time was answered, or not.
    pub(crate) fn handle_kv_reply(
        &mut self,
        ctx: &mut Context,
        wait: LeaderRequest,
        sent: u64,
        result: Result<KvReply, RequestError>,
    ) {
        match wait {
            LeaderRequest::ScanRecords(position) => self.handle_scan_reply(ctx, position, result),
            LeaderRequest::RenewLease => self.handle_lease_renewal(ctx, result),
            LeaderRequest::WatchJobs => self.handle_watch_reply(ctx, sent, result),
            LeaderRequest::ReadJobRecord(id) => self.handle_job_refresh_reply(ctx, id, result),
            LeaderRequest::ReadSubmissionParts(read) => self.handle_submission_parts_reply(ctx, *read, result),
            LeaderRequest::ReadFinalRecord(id) => self.handle_final_record(ctx, id, result),
            LeaderRequest::Commit(step) => self.handle_commit_reply(ctx, &step, result),
            LeaderRequest::ReadForeignWrite(write) => self.handle_foreign_write(write, result),
            // Replies of the cloud and of agents come by other ways.
            LeaderRequest::DirectCommands(_)
            | LeaderRequest::ScaleOut(_)
            | LeaderRequest::ScaleIn(_)
            | LeaderRequest::MachineList
            | LeaderRequest::Catalog => {}
        }
    }

    /// The leader's lease was renewed, or not.
    fn handle_lease_renewal(&mut self, ctx: &Context, result: Result<KvReply, RequestError>) {
        self.is_renewal_in_flight = false;
        match result {
            Ok(KvReply::Missing) => self.step_down = Some(StepDownReason::LeaseExpired),
            Ok(_) => {}
            Err(_) => {
                self.renew_at =
                    ctx.now.monotonic_ms + ctx.settings.heartbeat_interval_ms() / RENEWAL_RETRIES_PER_HEARTBEAT
            }
        }
    }

    /// What is due by time or by what the batch brought.
    pub(crate) fn run_due(&mut self, ctx: &mut Context) {
        self.renew_lease(ctx);
        self.retry_scans(ctx);
        if self.active {
            self.run_active(ctx);
        }
    }

    fn renew_lease(&mut self, ctx: &mut Context) {
        let now = ctx.now.monotonic_ms;
        if self.renew_at > now || self.is_renewal_in_flight {
            return;
        }
        let life_ms = ctx.settings.heartbeat_interval_s * ctx.tuning.leader_lease_intervals * 1000.0;
        self.renew_at = now + (life_ms / LEASE_RENEWAL_PART) as u64;
        self.is_renewal_in_flight = true;
        let wait = self.pending_request(LeaderRequest::RenewLease);
        ctx.send_kv(KvRequest::RenewLease { lease: self.lease_id }, wait);
    }

    /// What is due once all records have been read.
    fn run_active(&mut self, ctx: &mut Context) {
        let now = ctx.now.monotonic_ms;
        if self.watch.is_retry_due(now) {
            self.watch_jobs(ctx);
        }
        if self.fleet.reachability.take_due_check(now, ctx.settings.heartbeat_interval_ms()) {
            self.expire_silent_machines(ctx);
            self.probe_overdue(ctx);
        }
        if now >= self.next_status_at {
            self.next_status_at = now + ctx.settings.heartbeat_interval_ms();
            self.emit_status(ctx);
        }
        self.read_final_records(ctx);
        while let Some(read) = self.store.next_submission_retry(now) {
            self.read_submission_parts(ctx, read);
        }
        self.run_autoscaler(ctx);
        if self.scheduler.begin_pass(now) {
            self.run_pass(ctx);
        }
        self.commit(ctx);
        self.send_due_commands(ctx);
    }

    /// A pass over the queue.
    fn run_pass(&mut self, ctx: &mut Context) {
        self.detect_zone_partitions(ctx);
        let interval_ms = (ctx.settings.heartbeat_interval_s * 1000.0 / ctx.tuning.passes_per_heartbeat) as u64;
        let max_lag_ms = ctx.settings.heartbeat_interval_ms() / MAX_LAG_HEARTBEAT_PART;
        let lag_ms = (ctx.batch_lag_ms() * LAGS_BETWEEN_PASSES).min(max_lag_ms);
        self.scheduler.delay_next_pass(ctx.now.monotonic_ms + interval_ms + lag_ms);
        self.schedule(ctx);
    }

    /// An event for operators: how much there is to do, and what holds it up.
    fn emit_status(&mut self, ctx: &mut Context) {
        debug_assert!(self.fleet.machines.is_consistent(), "machines by free CPUs");
        let waiting: u32 = self.jobs.values().filter(|job| !job.cancelled).map(Job::waiting_task_count).sum();
        let machines = self.fleet.machines.values();
        let used = machines.filter(|machine| machine.is_schedulable(ctx.now.monotonic_ms, &ctx.settings)).count();
        let store = self.store.take_stats();
        ctx.emit(Event::LeaderStatus(Box::new(LeaderStatus {
            jobs: self.jobs.len(),
            tasks_waiting: waiting,
            machines_usable: used,
            machines: self.fleet.machines.len(),
            transactions: store.written.transactions,
            writes_ends: store.written.ends,
            writes_pages: store.written.pages,
            writes_blocks: store.written.blocks,
            writes_other: store.written.others,
            write_budget: store.write_budget,
            ends_pending: store.job_ends,
            jobs_pending: store.urgent_jobs,
            jobs_deferred: store.deferred_jobs,
            pages: store.pages,
            transaction_in_flight: store.is_transaction_in_flight,
        })));
    }

    /// A new attempt number, never used before in any epoch.
    pub(crate) fn next_attempt(&mut self) -> Attempt {
        self.last_attempt += 1;
        Attempt::new(self.epoch, self.last_attempt)
    }

    /// A new number for a placement inside this process.
    pub(crate) fn next_placement_id(&mut self) -> u64 {
        self.last_placement_id += 1;
        self.last_placement_id
    }

    /// Done and running tasks of a job, for display.
    pub(crate) fn task_counts(&self, job: &str) -> (u32, u32) {
        self.jobs.get(job).map_or((0, 0), |job| (job.tasks.done_count(), job.tasks.running_count()))
    }

    /// Progress of all jobs that wait for no other, for the other controllers: one that has a record's
    /// version from here need not look for cancelled jobs before it.
    pub(crate) fn job_progress(&self) -> Vec<JobProgress> {
        // Of more jobs than a frame may hold, the rest is shown by the leader alone and read at each poll.
        self.jobs
            .values()
            .filter(|job| !job.cancelled && !job.is_blocked())
            .map(|job| JobProgress {
                job: job.id.to_string(),
                record_version: job.record.version,
                done: job.tasks.done_count(),
                running: job.tasks.running_count(),
            })
            .take(MAX_FRAME_BYTES / JOB_PROGRESS_BYTES)
            .collect()
    }
}
