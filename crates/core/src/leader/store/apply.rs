//! What follows when a transaction was carried out, or is given up.

use super::blocks::BlockWrite;
use super::changes::{Changes, PlannedPlacement};
use super::split_submissions::{SubmissionParts, VersionedKey};
use super::{WriteUrgency, scale_outs};
use crate::controller::Context;
use crate::event::Event;
use crate::leader::Leader;
use crate::model::{Id, PlacementState};
use crate::records::{FinalRecord, keys};
use shaleshunt_wire::Revision;

impl Leader {
    /// A transaction was carried out.
    pub(super) fn apply_committed(&mut self, ctx: &mut Context, changes: Changes, revision: Revision) {
        self.store.pages.apply_committed(changes.pages, &mut self.jobs, revision);
        for planned in changes.planned_placements {
            self.apply_placement(planned);
        }
        for id in changes.ended_jobs {
            self.apply_job_end(ctx, &id, revision);
        }
        for write in changes.blocks {
            self.apply_block(write, revision);
        }
        scale_outs::apply_committed(changes.scale_outs, &mut self.autoscaler.scale_outs, revision);
        // Without its first part a submission can't be referred to any more.
        let rest = changes.submission_parts.into_iter().flat_map(|parts| parts.into_iter().skip(1));
        self.store.unreferenced.add_keys(rest);
        self.store.owned_list.apply_committed(changes.owned_list, revision);
        if changes.catalog {
            self.store.catalog.apply_committed(revision);
        }
    }

    /// A placement is committed: its machine is told.
    fn apply_placement(&mut self, planned: PlannedPlacement) {
        let PlannedPlacement { machine, placement_id } = planned;
        let Some(placement) = self.fleet.machines.get_mut(&machine).and_then(|m| m.placement_mut(placement_id)) else {
            return;
        };
        placement.stage = PlacementState::Committed;
        if let Some(job) = self.jobs.get_mut(&placement.job) {
            job.tasks.commit_placement(placement.task, placement_id);
        }
        self.fleet.calls.call_soon(machine);
    }

    /// A job's end is committed: what waits for it goes on.
    fn apply_job_end(&mut self, ctx: &mut Context, id: &Id, revision: Revision) {
        let Some(job) = self.jobs.remove(id) else { return };
        ctx.emit(if job.cancelled {
            Event::JobCancelled { job: id.clone() }
        } else {
            Event::JobCompleted { job: id.clone() }
        });
        self.store.forget_job(&job);
        self.remove_dependencies(&job);
        let parts = self.store.submissions.remove(id);
        self.store.unreferenced.add_submission_parts(parts);
        self.watch.job_ended(id.clone(), revision);
        self.scheduler.jobs_changed();
        let end = FinalRecord { cancelled: job.cancelled, tasks: 0, ended_at_ms: ctx.now.wall_ms };
        self.dependency_ended(ctx, id, &end);
    }

    /// A block is stored: tasks may be placed on its machines.
    fn apply_block(&mut self, write: BlockWrite, revision: Revision) {
        for id in self.store.blocks.apply_committed(write, revision) {
            if let Some(machine) = self.fleet.machines.get_mut(&id) {
                if !machine.record.committed {
                    self.scheduler.request_pass();
                }
                machine.record.committed = true;
            }
        }
    }

    /// A transaction was not carried out and never will be. The jobs whose records conflicted are read
    /// again, and their placements are given up; all else waits to be written again.
    pub(super) fn apply_abandoned(&mut self, ctx: &mut Context, changes: Changes, conflicting: &[String]) {
        let now = ctx.now.monotonic_ms;
        let stale: Vec<Id> = conflicting.iter().map(|key| Id::from(keys::job_of(key))).collect();
        for id in &stale {
            self.mark_stale(ctx, id);
        }
        for planned in &changes.planned_placements {
            self.give_up_placement(now, planned, &stale);
        }
        for id in changes.pages.into_jobs() {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.writes.urgent = true;
            }
            self.queue_write(now, &id);
        }
        for id in &changes.ended_jobs {
            self.queue_write(now, id);
        }
        self.store.blocks.apply_abandoned(&changes.blocks);
        scale_outs::apply_abandoned(&changes.scale_outs, &mut self.autoscaler.scale_outs);
        // Parts of a job that was accepted meanwhile may be in use.
        let unused = changes.submission_parts.into_iter().filter(|parts| !belongs_to_any(parts, &stale));
        self.store.unreferenced.add_submission_parts(unused);
        let builder = &changes.builder;
        self.store.unreferenced.add_keys(changes.obsolete_keys.into_iter().map(|key| {
            let version = builder.required_version(&key);
            VersionedKey { key, version }
        }));
        self.store.owned_list.apply_abandoned(changes.owned_list);
        if changes.catalog {
            self.store.catalog.record();
        }
    }

    /// A job's record is newer than known.
    fn mark_stale(&mut self, ctx: &mut Context, id: &Id) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.record.stale = true;
            self.refresh(ctx, id.clone());
        }
    }

    /// Gives a planned placement up if its job's record is stale.
    fn give_up_placement(&mut self, now: u64, planned: &PlannedPlacement, stale: &[Id]) {
        let machine = self.fleet.machines.get(&planned.machine);
        let placement = machine.and_then(|machine| machine.placement(planned.placement_id));
        let is_given_up = |stage, job| stage == PlacementState::Planned && stale.contains(job);
        if let Some(placement) = placement.filter(|placement| is_given_up(placement.stage, &placement.job)) {
            let job = placement.job.clone();
            self.release_placement(now, &planned.machine, planned.placement_id, false);
            self.queue_write(now, &job);
        }
    }

    /// Something about a task of a job is to be written.
    pub(crate) fn record_change(&mut self, now: u64, id: &Id, task: u32, urgency: WriteUrgency) {
        if let Some(job) = self.jobs.get_mut(id) {
            self.store.record_change(now, job, task, urgency);
        }
    }

    /// Queues what a job has to write, its end included.
    pub(crate) fn queue_write(&mut self, now: u64, id: &Id) {
        if let Some(job) = self.jobs.get_mut(id) {
            self.store.queue_write(now, job);
        }
    }

    /// Puts a machine into a block of its zone.
    pub(crate) fn join_block(&mut self, ctx: &Context, id: &Id) {
        if let Some(machine) = self.fleet.machines.get_mut(id) {
            self.store.join_block(machine, ctx.limits.block_machines());
        }
    }
}

fn belongs_to_any(parts: &SubmissionParts, jobs: &[Id]) -> bool {
    jobs.iter().any(|id| parts.iter().any(|part| part.key[keys::SUBMISSION_PARTS.len()..].starts_with(&**id)))
}
