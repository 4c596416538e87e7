//! Handling of ended tasks, which agents report in heartbeats under the current fencing token.

use crate::controller::Context;
use crate::event::Event;
use crate::leader::Leader;
use crate::leader::store::WriteUrgency;
use crate::model::{Id, Placement, UnexpectedTask};
use shaleshunt_wire::worker::ExitCause;
use std::collections::BTreeSet;

impl Leader {
    /// Releases the placement of a task that has ended, and handles the cause of its end.
    pub(crate) fn task_ended(&mut self, ctx: &mut Context, machine: &Id, placement_id: u64, cause: ExitCause) {
        let now = ctx.now.monotonic_ms;
        let released = match cause {
            ExitCause::Done => self.release_done(now, machine, placement_id),
            _ => self.release_unfinished(now, machine, placement_id),
        };
        let Some(placement) = released else { return };
        if let Some(m) = self.fleet.machines.get_mut(machine) {
            // The agent reports the ended task in its heartbeats until the leader commands it to forget the task, which
            // happens only after the outcome is committed.
            let task = format!("{}/{}", placement.job, placement.task);
            let unexpected = UnexpectedTask { task, attempt: placement.attempt, exit: Some(cause) };
            m.agent.unexpected_tasks.push(unexpected);
        }
        let Some(job) = self.jobs.get(&placement.job) else { return };
        match cause {
            ExitCause::Done if !job.is_service() => self.task_done(ctx, machine, &placement),
            ExitCause::Error => {
                self.emit_task_failed(ctx, machine, &placement, cause);
                let ran_ms = placement.running_since_ms.map_or(0, |since| ctx.now.monotonic_ms.saturating_sub(since));
                self.task_failed(ctx, machine, &placement.job, ran_ms);
            }
            // These causes are not the machine's fault, so only the job waits, for a heartbeat interval.
            ExitCause::Done | ExitCause::UnknownTask | ExitCause::Unknown => {
                self.emit_task_failed(ctx, machine, &placement, cause);
                if let Some(job) = self.jobs.get_mut(&placement.job) {
                    job.scheduling.not_before_ms = ctx.now.monotonic_ms + ctx.settings.heartbeat_interval_ms();
                }
            }
            ExitCause::InsufficientResources | ExitCause::AttemptConflict => self.start_refused(ctx, machine),
            ExitCause::Stopped | ExitCause::GangIncomplete | ExitCause::GangLost => {}
        }
    }

    fn emit_task_failed(&self, ctx: &mut Context, machine: &Id, placement: &Placement, cause: ExitCause) {
        let task = format!("{}/{}", placement.job, placement.task);
        ctx.emit(Event::TaskFailed { task, machine: machine.clone(), cause });
    }

    /// Marks a task as done. The success shows that the job is healthy, so other machines against which failures of the
    /// job count are put in quarantine.
    fn task_done(&mut self, ctx: &mut Context, machine: &Id, placement: &Placement) {
        let now = ctx.now.monotonic_ms;
        let Some(job) = self.jobs.get_mut(&placement.job) else { return };
        job.tasks.mark_done(placement.task);
        let failed = std::mem::take(&mut job.failures.count) > 0;
        let failed_on = if failed { job.failures.machines.clone() } else { BTreeSet::new() };
        if let Some(since) = placement.running_since_ms {
            self.record_run_time(&placement.job, now.saturating_sub(since));
        }
        if let Some(m) = self.fleet.machines.get_mut(machine) {
            m.health.record_task_success(placement.planned_at_ms);
        }
        self.record_task_change(now, &placement.job, placement.task, WriteUrgency::Deferred);
        for id in failed_on.iter().filter(|id| *id != machine) {
            if self.fleet.machines.get(id).is_some_and(|m| m.health.has_job_failure(&placement.job)) {
                self.quarantine(ctx, id);
            }
        }
    }

    /// Records the run time of a task for its job and the job's class. Run times of a job without an estimate are not
    /// recorded, because there is nothing to compare them with.
    fn record_run_time(&mut self, id: &Id, ran_ms: u64) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let estimated_s = job.spec.estimated_run_s;
        if estimated_s <= 0.0 {
            return;
        }
        job.tasks.run_times.add(ran_ms);
        self.scheduler.record_run_time(&job.spec.class, ran_ms as f64 / 1000.0, estimated_s);
    }

    /// Gives a machine that refused a task no tasks for a third of a heartbeat interval. A machine refuses a task for
    /// lack of room, for example because a stopped task is still running there.
    fn start_refused(&mut self, ctx: &Context, machine: &Id) {
        let until = ctx.now.monotonic_ms + ctx.settings.heartbeat_interval_ms() / 3;
        if let Some(m) = self.fleet.machines.get_mut(machine) {
            m.health.pause_until(until);
        }
    }
}
