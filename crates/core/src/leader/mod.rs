//! The leader: combines the store, the scheduler, the fleet and the autoscaler, and acts during its epoch.
//!
//! `Leader` owns the unfinished jobs and the state of the leadership itself: the epoch, the [`lease`], and the
//! counters of attempts and placements. Its components own the rest and don't call one another. Work that concerns
//! several components is done here and in the modules of this folder that are not components: recovery
//! ([`recovery`]), changes by users ([`watch`]), `commit`, `heartbeats`, `placements` and the like.
//!
//! Invariants: no decision is made before all records have been read (`active`); a reply only reaches the leader
//! of the epoch that sent the request; once `step_down` is set, the controller ends the leadership after the
//! batch. Only the controller calls into this module.

mod agent_events;
pub(crate) mod autoscaler;
mod commit;
mod direct_calls;
mod fencing;
pub(crate) mod fleet;
mod heartbeats;
mod lease;
mod machine_failures;
mod numbers;
mod placements;
pub(crate) mod recovery;
pub(crate) mod retry_queue;
mod scale_out_requests;
pub(crate) mod scheduler;
pub(crate) mod store;
mod task_exits;
mod unreachable_machines;
pub(crate) mod watch;

use crate::controller::{Context, PendingRequest};
use crate::event::{Event, LeaderStatus};
use crate::io::{KvReply, RequestError};
use crate::leader::autoscaler::Autoscaler;
use crate::leader::fleet::Fleet;
use crate::leader::lease::LeaderLease;
use crate::leader::numbers::LeaderNumbers;
use crate::leader::recovery::{Recovery, ScanPosition};
use crate::leader::scheduler::Scheduler;
use crate::leader::store::{CommitStep, SplitSubmissionRead, Store};
use crate::leader::watch::JobWatch;
use crate::model::{Id, Job};
use crate::step_down::{ForeignWrite, StepDownReason};
use shaleshunt_peer::{JobProgress, MAX_FRAME_BYTES};
use shaleshunt_wire::{Epoch, Revision};
use std::collections::BTreeMap;

/// Delay between scheduling passes under load, as a multiple of the lag of the controller, and the limit of that
/// delay as a divisor of the heartbeat interval. The less processor time is left, the rarer the passes, since
/// leases and replies come first.
const PASS_DELAY_PER_LAG: u64 = 4;
const MAX_LAG_DELAY_HEARTBEAT_DIVISOR: u64 = 5;
/// Upper bound for the progress of one job in a frame between controllers, in bytes, with ample room for long IDs.
const MAX_JOB_PROGRESS_BYTES: usize = 256;

/// Requests of the leader, by the purpose of their replies.
#[derive(Debug)]
pub(crate) enum LeaderRequest {
    /// Reads a page of records during recovery.
    ScanRecords(ScanPosition),
    /// Renews the leader lease.
    RenewLease,
    /// Waits for changes of the unfinished jobs.
    WatchJobs,
    /// Sends or checks the transaction in flight.
    Commit(CommitStep),
    /// Reads the version of a key that another process wrote, for the log.
    ReadForeignWrite(ForeignWrite),
    /// Reads the record of a job after its precondition failed.
    ReadJobRecord(Id),
    /// Reads the final record of a job that others depend on.
    ReadFinalRecord(Id),
    /// Reads the parts of a split submission.
    ReadSubmissionParts(Box<SplitSubmissionRead>),
    /// Calls the agent of a machine directly.
    DirectCommands(Id),
    /// Requests machines from the cloud, under this request name.
    ScaleOut(String),
    /// Returns machines to the cloud.
    ScaleIn(Vec<Id>),
    /// Reads a page of the cloud's machine list.
    MachineList,
    /// Reads the cloud's catalog of machine types.
    Catalog,
}

/// State of the leader. Times are in milliseconds on the monotonic clock.
pub struct Leader {
    pub(crate) epoch: Epoch,
    /// Version of the epoch key while the epoch belongs to this leader.
    pub(crate) epoch_version: Revision,
    pub(crate) lease: LeaderLease,
    /// Whether all records have been read.
    pub(crate) active: bool,
    /// Reason for stepping down; `None` while the leadership lasts.
    pub(crate) step_down: Option<StepDownReason>,
    pub(crate) elected_at_ms: u64,
    numbers: LeaderNumbers,
    /// Unfinished jobs by ID.
    pub(crate) jobs: BTreeMap<Id, Job>,
    next_status_at_ms: u64,
    pub(crate) store: Store,
    pub(crate) scheduler: Scheduler,
    pub(crate) fleet: Fleet,
    pub(crate) autoscaler: Autoscaler,
    pub(crate) recovery: Recovery,
    pub(crate) watch: JobWatch,
}

impl Leader {
    /// Creates a leader that has just been elected, and begins its recovery.
    pub(crate) fn new(ctx: &mut Context, epoch: Epoch, epoch_version: Revision, lease_id: u64) -> Leader {
        let now = ctx.now.monotonic_ms;
        let mut leader = Leader {
            epoch,
            epoch_version,
            lease: LeaderLease::new(lease_id, now),
            active: false,
            step_down: None,
            elected_at_ms: now,
            numbers: LeaderNumbers::default(),
            jobs: BTreeMap::new(),
            next_status_at_ms: now,
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

    /// Tags a request with the epoch of this leader, so that no other leader handles its reply.
    pub(crate) fn pending_request(&self, request: LeaderRequest) -> PendingRequest {
        PendingRequest::Leader(self.epoch, request)
    }

    /// Handles the reply to a request to the key-value store that was sent at `sent_at`, or its failure.
    pub(crate) fn handle_kv_reply(
        &mut self,
        ctx: &mut Context,
        request: LeaderRequest,
        sent_at: u64,
        result: Result<KvReply, RequestError>,
    ) {
        match request {
            LeaderRequest::ScanRecords(position) => self.handle_scan_reply(ctx, position, result),
            LeaderRequest::RenewLease => self.handle_lease_renewal(ctx, result),
            LeaderRequest::WatchJobs => self.handle_watch_reply(ctx, sent_at, result),
            LeaderRequest::ReadJobRecord(id) => self.handle_job_refresh_reply(ctx, id, result),
            LeaderRequest::ReadSubmissionParts(read) => self.handle_submission_parts_reply(ctx, *read, result),
            LeaderRequest::ReadFinalRecord(id) => self.handle_final_record(ctx, id, result),
            LeaderRequest::Commit(step) => self.handle_commit_reply(ctx, &step, result),
            LeaderRequest::ReadForeignWrite(write) => self.handle_foreign_write(write, result),
            // Replies of the cloud and of agents are handled elsewhere.
            LeaderRequest::DirectCommands(_)
            | LeaderRequest::ScaleOut(_)
            | LeaderRequest::ScaleIn(_)
            | LeaderRequest::MachineList
            | LeaderRequest::Catalog => {}
        }
    }

    /// Runs everything that is due, by time or because of events in the batch.
    pub(crate) fn run_due(&mut self, ctx: &mut Context) {
        self.renew_lease(ctx);
        self.retry_scans(ctx);
        if self.active {
            self.run_active(ctx);
        }
    }

    /// Runs the work of a leader that has read all records.
    fn run_active(&mut self, ctx: &mut Context) {
        let now = ctx.now.monotonic_ms;
        if self.watch.is_retry_due(now) {
            self.watch_jobs(ctx);
        }
        self.retry_job_refreshes(ctx);
        if self.fleet.reachability.take_due_check(now, ctx.settings.heartbeat_interval_ms()) {
            self.expire_machine_leases(ctx);
            self.probe_overdue(ctx);
        }
        if now >= self.next_status_at_ms {
            self.next_status_at_ms = now + ctx.settings.heartbeat_interval_ms();
            self.emit_status(ctx);
            self.hand_over_before_numbers_end(ctx);
        }
        self.read_final_records(ctx);
        while let Some(read) = self.store.next_submission_retry(now) {
            self.read_submission_parts(ctx, read);
        }
        self.run_autoscaler(ctx);
        if !self.numbers.attempts_nearly_used_up() && self.scheduler.begin_pass(now) {
            self.run_pass(ctx);
        }
        self.commit(ctx);
        self.send_due_commands(ctx);
    }

    /// Runs a scheduling pass and sets the earliest time of the next one.
    fn run_pass(&mut self, ctx: &mut Context) {
        self.detect_zone_partitions(ctx);
        let interval_ms = (ctx.settings.heartbeat_interval_s * 1000.0 / ctx.tuning.passes_per_heartbeat) as u64;
        let max_lag_delay_ms = ctx.settings.heartbeat_interval_ms() / MAX_LAG_DELAY_HEARTBEAT_DIVISOR;
        let lag_delay_ms = (ctx.batch_lag_ms() * PASS_DELAY_PER_LAG).min(max_lag_delay_ms);
        self.scheduler.delay_next_pass(ctx.now.monotonic_ms + interval_ms + lag_delay_ms);
        self.schedule(ctx);
    }

    /// Emits the status event for operators: the amount of work, and what delays it.
    fn emit_status(&mut self, ctx: &mut Context) {
        self.log_suppressed_events(ctx);
        debug_assert!(self.fleet.machines.is_consistent(), "the index of machines by free cores is inconsistent");
        let waiting: u32 = self.jobs.values().filter(|job| !job.cancelled).map(Job::waiting_task_count).sum();
        let machines = self.fleet.machines.values();
        let usable = machines.filter(|machine| machine.is_schedulable(ctx.now.monotonic_ms, &ctx.settings)).count();
        let store = self.store.take_stats();
        ctx.emit(Event::LeaderStatus(Box::new(LeaderStatus {
            jobs: self.jobs.len(),
            tasks_waiting: waiting,
            machines_usable: usable,
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

    /// Numbers of done and running tasks of a job, for display.
    pub(crate) fn task_counts(&self, job: &str) -> (u32, u32) {
        self.jobs.get(job).map_or((0, 0), |job| (job.tasks.done_count(), job.tasks.running_count()))
    }

    /// Progress of all jobs without open dependencies, for the other controllers. A controller that receives a
    /// record's version this way need not check whether the job was cancelled before that version.
    pub(crate) fn job_progress(&self) -> Vec<JobProgress> {
        // Jobs beyond the size of a frame are left out: only the leader shows their progress, and other
        // controllers read their records at each status query.
        self.jobs
            .values()
            .filter(|job| !job.cancelled && !job.is_blocked())
            .map(|job| JobProgress {
                job: job.id.to_string(),
                record_version: job.record.version,
                done: job.tasks.done_count(),
                running: job.tasks.running_count(),
            })
            .take(MAX_FRAME_BYTES / MAX_JOB_PROGRESS_BYTES)
            .collect()
    }
}
