//! What the leader knows, how it reads it all after it has taken the epoch, and how it learns of
//! users' changes.

pub(crate) mod autoscaler;
mod commit;
mod direct_calls;
pub(crate) mod fleet;
mod heartbeats;
mod machine_failures;
mod placements;
pub(crate) mod recovery;
pub(crate) mod scheduler;
mod silent_machines;
pub(crate) mod store;
mod task_exits;
pub(crate) mod watch;

use crate::controller::{Context, PendingRequest};
use crate::event::{Event, LeaderFigures};
use crate::io::*;
use crate::leader::autoscaler::Autoscaler;
use crate::leader::fleet::Fleet;
use crate::leader::recovery::{Recovery, ScanPosition};
use crate::leader::scheduler::Scheduler;
use crate::leader::store::{CommitStep, SplitJobRead, Store};
use crate::leader::watch::JobWatch;
use crate::model::*;
use crate::step_down::{ForeignWrite, StepDown};
use shaleshunt_wire::{Attempt, Epoch, Revision};
use std::collections::BTreeMap;

/// So many times a node's lag goes by between two passes over the queue, up to a fifth of a reporting interval.
const LAG_BETWEEN_PASSES: u64 = 4;

/// Steps of the leader that wait for an answer.
#[derive(Debug)]
pub(crate) enum LeaderRequest {
    Load(ScanPosition),
    Renew,
    Watch,
    Commit(CommitStep),
    /// The version of a key that somebody else has written, for the log.
    ForeignWrite(ForeignWrite),
    Refresh(Id),
    End(Id),
    Parts(Box<SplitJobRead>),
    DirectCommands(Id),
    ScaleOut(String),
    ScaleIn(Vec<Id>),
    MachineList,
    Catalog,
}

/// A hire under way.
#[derive(Debug)]
pub(crate) struct ScaleOutState {
    pub request: shaleshunt_wire::cloud::ScaleOutRequest,
    /// Version of its record; absent until recorded.
    pub version: Revision,
    pub writing: bool,
    pub asking: bool,
    pub retry_at: u64,
    /// Answered, with these machines.
    pub answer: Option<Vec<Id>>,
}

/// The leader's state.
pub struct Leader {
    pub(crate) epoch: Epoch,
    pub(crate) version: Revision,
    pub(crate) pass: u64,
    /// Everything has been read.
    pub(crate) active: bool,
    /// Why leadership is over.
    pub(crate) down: Option<StepDown>,
    pub(crate) elected_at: u64,
    renew_at: u64,
    renewing: bool,
    pub(crate) last_attempt: u64,
    last_placement_id: u64,
    pub(crate) jobs: BTreeMap<Id, Job>,
    told_at: u64,
    pub(crate) store: Store,
    pub(crate) scheduler: Scheduler,
    pub(crate) fleet: Fleet,
    pub(crate) autoscaler: Autoscaler,
    pub(crate) recovery: Recovery,
    pub(crate) watch: JobWatch,
}

impl Leader {
    pub(crate) fn new(ctx: &mut Context, epoch: Epoch, version: Revision, pass: u64) -> Leader {
        let now = ctx.now.monotonic_ms;
        let mut l = Leader {
            epoch,
            version,
            pass,
            active: false,
            down: None,
            elected_at: now,
            renew_at: now,
            renewing: false,
            last_attempt: 0,
            last_placement_id: 0,
            jobs: BTreeMap::new(),
            told_at: now,
            store: Store::new(now, ctx.limits.rate() * ctx.tuning.write_share),
            scheduler: Scheduler::new(now),
            fleet: Fleet::new(now),
            autoscaler: Autoscaler::new(now),
            recovery: Recovery::default(),
            watch: JobWatch::new(now),
        };
        l.begin_recovery(ctx);
        l
    }

    pub(crate) fn wait(&self, wait: LeaderRequest) -> PendingRequest {
        PendingRequest::Leader(self.epoch, wait)
    }

    pub(crate) fn handle_kv_reply(
        &mut self,
        ctx: &mut Context,
        wait: LeaderRequest,
        sent: u64,
        result: Result<KvReply, RequestError>,
    ) {
        match wait {
            LeaderRequest::Load(position) => self.handle_scan_reply(ctx, position, result),
            LeaderRequest::Renew => self.handle_lease_renewal(ctx, result),
            LeaderRequest::Watch => self.handle_watch_reply(ctx, sent, result),
            LeaderRequest::Refresh(id) => self.handle_refresh_reply(ctx, id, result),
            LeaderRequest::Parts(read) => self.handle_parts(ctx, *read, result),
            LeaderRequest::End(id) => self.handle_final_record(ctx, id, result),
            LeaderRequest::Commit(step) => self.handle_commit_reply(ctx, &step, result),
            LeaderRequest::ForeignWrite(write) => self.handle_foreign_write(write, result),
            // Answers of the cloud and of workers come by other ways.
            LeaderRequest::DirectCommands(_)
            | LeaderRequest::ScaleOut(_)
            | LeaderRequest::ScaleIn(_)
            | LeaderRequest::MachineList
            | LeaderRequest::Catalog => {}
        }
    }

    /// The leader's lease was renewed, or not.
    fn handle_lease_renewal(&mut self, ctx: &Context, result: Result<KvReply, RequestError>) {
        self.renewing = false;
        match result {
            Ok(KvReply::Missing) => self.down = Some(StepDown::LeaseEnded),
            Ok(_) => {}
            Err(_) => self.renew_at = ctx.now.monotonic_ms + ctx.settings.heartbeat_interval_ms() / 12,
        }
    }

    /// What is due by time or by what the batch brought.
    pub(crate) fn run_due(&mut self, ctx: &mut Context) {
        let now = ctx.now.monotonic_ms;
        if self.renew_at <= now && !self.renewing {
            let life = ctx.settings.heartbeat_interval_s * ctx.tuning.leader_lease_intervals * 1000.0;
            self.renew_at = now + (life / 4.0) as u64;
            self.renewing = true;
            let wait = self.wait(LeaderRequest::Renew);
            ctx.send_kv(KvRequest::RenewLease { lease: self.pass }, wait);
        }
        self.retry_scans(ctx);
        if !self.active {
            return;
        }
        if self.watch.is_retry_due(now) {
            self.watch_jobs(ctx);
        }
        if self.fleet.reachability.take_due_check(now, ctx.settings.heartbeat_interval_ms()) {
            self.expire_silent_machines(ctx);
            self.probe_overdue(ctx);
        }
        if now >= self.told_at {
            self.told_at = now + ctx.settings.heartbeat_interval_ms();
            self.emit_statistics(ctx);
        }
        self.read_final_records(ctx);
        while let Some(read) = self.store.next_submission_retry(now) {
            self.read_parts(ctx, read);
        }
        self.run_autoscaler(ctx);
        if self.scheduler.begin_pass(now) {
            self.detect_zone_partitions(ctx);
            // The shorter of processor time, the longer between passes: leases and answers come first.
            let apart = (ctx.settings.heartbeat_interval_s * 1000.0 / ctx.tuning.passes_per_heartbeat) as u64;
            let lag_ms = (ctx.batch_lag_ms() * LAG_BETWEEN_PASSES).min(ctx.settings.heartbeat_interval_ms() / 5);
            self.scheduler.delay_next_pass(now + apart + lag_ms);
            self.schedule(ctx);
        }
        self.commit(ctx);
        self.send_due_commands(ctx);
    }

    /// An event for operators: how much there is to do, and what holds it up.
    fn emit_statistics(&mut self, ctx: &mut Context) {
        debug_assert!(self.fleet.machines.consistent(), "machines by free CPUs");
        let waiting: u32 = self.jobs.values().filter(|j| !j.cancelled).map(Job::waiting).sum();
        let used =
            self.fleet.machines.values().filter(|m| m.is_schedulable(ctx.now.monotonic_ms, &ctx.settings)).count();
        let store = self.store.take_figures();
        ctx.emit(Event::LeaderStatus(Box::new(LeaderFigures {
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
    pub(crate) fn count(&self, job: &str) -> (u32, u32) {
        self.jobs.get(job).map_or((0, 0), |j| (j.tasks.done_count(), j.tasks.running_count()))
    }

    /// Counts of all jobs that await nothing and their records' versions, for the other nodes: who
    /// has a version from here need not look for cancelled jobs before this one.
    pub(crate) fn job_progress(&self) -> Vec<shaleshunt_peer::JobProgress> {
        // A job takes some 30 bytes of a frame. Of many more than a frame may hold, the rest is
        // shown by the leader alone and read at each poll.
        self.jobs
            .values()
            .filter(|j| !j.cancelled && !j.is_blocked())
            .map(|j| shaleshunt_peer::JobProgress {
                job: j.id.to_string(),
                record_version: j.record.version,
                done: j.tasks.done_count(),
                running: j.tasks.running_count(),
            })
            .take(shaleshunt_peer::MAX_FRAME / 256)
            .collect()
    }
}
