//! Writes to the key-value store: sends the transactions that the store builds, and applies their outcome to jobs
//! and machines.

use crate::controller::Context;
use crate::event::Event;
use crate::io::{KvReply, KvRequest, RequestError};
use crate::leader::store::{
    CommitOutcome, CommitRequest, CommitStep, PlannedPlacement, RecordSources, Store, StoreContext, TransactionChanges,
    WriteUrgency,
};
use crate::leader::{Leader, LeaderRequest};
use crate::model::{Id, PlacementState};
use crate::records::{FinalRecord, keys};
use crate::step_down::{ForeignWrite, StepDownReason};
use shaleshunt_wire::Revision;

fn store_context(ctx: &Context, epoch_version: Revision) -> StoreContext<'_> {
    StoreContext {
        now: ctx.now,
        settings: &ctx.settings,
        tuning: &ctx.tuning,
        limits: &ctx.limits,
        catalog: ctx.catalog.as_ref(),
        user_writes_waiting: ctx.user_writes_waiting(),
        epoch_version,
    }
}

impl Leader {
    /// Returns the store and the sources of its records as disjoint references.
    fn store_and_sources(&mut self) -> (&mut Store, RecordSources<'_>) {
        let sources = RecordSources {
            jobs: &mut self.jobs,
            machines: &mut self.fleet.machines,
            images: &self.fleet.images,
            scale_outs: &mut self.autoscaler.scale_outs,
        };
        (&mut self.store, sources)
    }

    /// Sends the next transaction if one is due and none is in flight.
    pub(super) fn commit(&mut self, ctx: &mut Context) {
        let epoch_version = self.epoch_version;
        let (store, mut sources) = self.store_and_sources();
        if let Some(request) = store.next_request(&store_context(ctx, epoch_version), &mut sources) {
            self.send_commit_request(ctx, request);
        }
    }

    fn send_commit_request(&self, ctx: &mut Context, request: CommitRequest) {
        let pending = self.pending_request(LeaderRequest::Commit(request.step));
        ctx.send_kv(request.request, pending);
    }

    /// Handles the reply to a request of the transaction in flight.
    pub(super) fn handle_commit_reply(
        &mut self,
        ctx: &mut Context,
        step: &CommitStep,
        result: Result<KvReply, RequestError>,
    ) {
        if *step == CommitStep::Send {
            match &result {
                Ok(KvReply::Committed(_)) => ctx.limits.record_commit(),
                Err(RequestError::Throttled) => ctx.record_throttled_write(),
                _ => {}
            }
        }
        let outcome = self.store.handle_reply(&store_context(ctx, self.epoch_version), step, result);
        self.handle_commit_outcome(ctx, outcome);
    }

    fn handle_commit_outcome(&mut self, ctx: &mut Context, outcome: CommitOutcome) {
        match outcome {
            CommitOutcome::Pending => {}
            CommitOutcome::SendRequest(request) => self.send_commit_request(ctx, request),
            CommitOutcome::Committed { changes, revision } => self.apply_committed(ctx, *changes, revision),
            CommitOutcome::Abandoned { changes, conflicting } => self.apply_abandoned(ctx, *changes, &conflicting),
            CommitOutcome::ForeignWrite(write) => self.read_foreign_write(ctx, write),
            CommitOutcome::TooLarge(reason) => self.handle_too_large(ctx, reason),
            CommitOutcome::EpochOver => self.step_down = Some(StepDownReason::NewerEpoch),
        }
    }

    /// Lowers the assumed limits of the store after a transaction exceeded them, and steps down if they can't be
    /// lowered further.
    fn handle_too_large(&mut self, ctx: &mut Context, reason: String) {
        ctx.emit(Event::TransactionRejected { reason });
        if ctx.limits.reduce_sizes() {
            let outcome = self.store.limits_lowered();
            self.handle_commit_outcome(ctx, outcome);
        } else {
            self.store.discard_in_flight();
            self.step_down = Some(StepDownReason::TransactionRejected);
        }
    }

    /// Reads a key that only the leader writes and that has changed. The leader steps down on the reply, so that
    /// the log can name the version found.
    fn read_foreign_write(&mut self, ctx: &mut Context, write: ForeignWrite) {
        let key = write.key.clone();
        let pending = self.pending_request(LeaderRequest::ReadForeignWrite(write));
        ctx.send_kv(KvRequest::Get { key }, pending);
    }

    /// Steps down because of a foreign write, with the version of the key if it could be read.
    pub(super) fn handle_foreign_write(&mut self, write: ForeignWrite, result: Result<KvReply, RequestError>) {
        let found = match result {
            Ok(KvReply::Found(pair)) => Some(pair.version),
            Ok(KvReply::Missing) => Some(Revision::ABSENT),
            _ => None,
        };
        self.step_down = Some(StepDownReason::ForeignWrite(ForeignWrite { found, ..write }));
    }

    /// Applies a committed transaction.
    fn apply_committed(&mut self, ctx: &mut Context, changes: TransactionChanges, revision: Revision) {
        let (store, mut sources) = self.store_and_sources();
        let committed = store.apply_committed(changes, revision, &mut sources);
        for placement in committed.placements {
            self.apply_placement(placement);
        }
        for id in committed.ended_jobs {
            self.apply_job_end(ctx, &id, revision);
        }
        for id in committed.machines {
            self.apply_machine_record(&id);
        }
        for prefix in committed.removed_submissions {
            let job_known = self.jobs.contains_key(keys::job_id_of_submission_part(&prefix));
            ctx.emit(Event::SubmissionPartsRemoved { prefix, job_known });
        }
    }

    /// Marks a placement as committed and schedules the call that starts its task.
    fn apply_placement(&mut self, planned: PlannedPlacement) {
        let PlannedPlacement { machine, placement_id } = planned;
        let Some(placement) = self.fleet.machines.get_mut(&machine).and_then(|m| m.placement_mut(placement_id)) else {
            return;
        };
        placement.state = PlacementState::Committed;
        if let Some(job) = self.jobs.get_mut(&placement.job) {
            job.tasks.commit_placement(placement.task, placement_id);
        }
        self.fleet.calls.call_soon(machine);
    }

    /// Removes a job whose end is committed, and releases or cancels its dependents.
    fn apply_job_end(&mut self, ctx: &mut Context, id: &Id, revision: Revision) {
        let Some(job) = self.jobs.remove(id) else { return };
        ctx.emit(if job.cancelled {
            Event::JobCancelled { job: id.clone() }
        } else {
            Event::JobCompleted { job: id.clone() }
        });
        self.store.job_ended(&job);
        self.remove_dependencies(&job);
        self.watch.job_ended(id.clone(), revision);
        self.scheduler.jobs_changed();
        let end = FinalRecord { cancelled: job.cancelled, tasks: 0, ended_at_ms: ctx.now.wall_ms };
        self.dependency_ended(ctx, id, &end);
    }

    /// Marks a machine's record as committed, so that tasks may be placed on the machine.
    fn apply_machine_record(&mut self, id: &Id) {
        let Some(machine) = self.fleet.machines.get_mut(id) else { return };
        if !machine.record.committed {
            machine.record.committed = true;
            self.scheduler.request_pass();
        }
    }

    /// Handles an abandoned transaction. The jobs whose records conflicted are read again and their planned
    /// placements are released; all other changes are queued again.
    fn apply_abandoned(&mut self, ctx: &mut Context, changes: TransactionChanges, conflicting: &[String]) {
        let now = ctx.now.monotonic_ms;
        let (store, mut sources) = self.store_and_sources();
        let abandoned = store.apply_abandoned(changes, conflicting, &mut sources);
        for id in &abandoned.stale_jobs {
            self.refresh_stale_job(ctx, id);
        }
        for planned in &abandoned.placements {
            self.release_stale_placement(now, planned, &abandoned.stale_jobs);
        }
        for id in abandoned.jobs_with_entries {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.writes.urgent = true;
            }
            self.queue_job_write(now, &id);
        }
        for id in &abandoned.ended_jobs {
            self.queue_job_write(now, id);
        }
    }

    /// Marks a job's record as older than the stored one, and reads it again.
    fn refresh_stale_job(&mut self, ctx: &mut Context, id: &Id) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.record.stale = true;
            self.refresh_job_record(ctx, id.clone());
        }
    }

    /// Releases a planned placement if the record of its job is stale.
    fn release_stale_placement(&mut self, now: u64, planned: &PlannedPlacement, stale: &[Id]) {
        let machine = self.fleet.machines.get(&planned.machine);
        let placement = machine.and_then(|machine| machine.placement(planned.placement_id));
        let is_stale = |stage, job| stage == PlacementState::Planned && stale.contains(job);
        if let Some(placement) = placement.filter(|placement| is_stale(placement.state, &placement.job)) {
            let job = placement.job.clone();
            self.release_unfinished(now, &planned.machine, planned.placement_id);
            self.queue_job_write(now, &job);
        }
    }

    /// Queues a changed task of a job for writing.
    pub(crate) fn record_task_change(&mut self, now: u64, id: &Id, task: u32, urgency: WriteUrgency) {
        if let Some(job) = self.jobs.get_mut(id) {
            self.store.record_task_change(now, job, task, urgency);
        }
    }

    /// Queues all pending writes of a job, its end included.
    pub(crate) fn queue_job_write(&mut self, now: u64, id: &Id) {
        if let Some(job) = self.jobs.get_mut(id) {
            self.store.queue_job_write(now, job);
        }
    }

    /// Assigns a machine to a machine block of its zone.
    pub(crate) fn assign_block(&mut self, ctx: &Context, id: &Id) {
        if let Some(machine) = self.fleet.machines.get_mut(id) {
            self.store.join_block(machine, ctx.limits.machines_per_block());
        }
    }
}
