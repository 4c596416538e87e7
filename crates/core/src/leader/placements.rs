//! Addition and removal of placements: on the machine, in the job, in the usage of classes and teams, and in the
//! queue of writes. Placements are added and removed only here, which keeps these consistent.

use crate::controller::Context;
use crate::leader::Leader;
use crate::leader::scheduler::usage::Ownership;
use crate::leader::store::WriteUrgency;
use crate::model::{Capacity, Id, Machine, Placement, PlacementState, TaskPlacement};
use shaleshunt_wire::Resources;

impl Leader {
    /// Creates a machine from what is known of it, without adding it to the fleet.
    pub(crate) fn new_machine(
        &self,
        ctx: &Context,
        id: &Id,
        machine_type: &str,
        zone: &str,
        spot: bool,
        owned: bool,
    ) -> Machine {
        let in_catalog = ctx.catalog.as_ref().and_then(|catalog| catalog.machine_type(machine_type));
        let total = in_catalog.map(|machine_type| machine_type.resources()).unwrap_or_default();
        Machine {
            machine_type: machine_type.to_string(),
            zone: zone.to_string(),
            spot,
            owned,
            capacity: Capacity { total, used: Resources::default() },
            ..Machine::new(id.clone(), ctx.now)
        }
    }

    /// Adds a placement to a machine, if both the machine and the job are known.
    pub(crate) fn add_placement(&mut self, machine: &Id, placement: Placement) {
        let Some(job) = self.jobs.get_mut(&placement.job) else { return };
        let of_task = TaskPlacement {
            machine: machine.clone(),
            placement_id: placement.placement_id,
            attempt: placement.attempt,
            agent_epoch: placement.agent_epoch,
            planned: placement.state == PlacementState::Planned,
        };
        let (task, need) = (placement.task, placement.need);
        let Some(m) = self.fleet.machines.add_placement(machine, placement) else { return };
        job.tasks.add_placement(task, of_task, &m.zone);
        let ownership = Ownership::from_owned(m.owned);
        self.scheduler.usage_mut().add(&job.spec.class, &job.spec.team, &need, ownership);
    }

    /// Releases a placement that is proven gone and whose task is to be placed again. Queues a write of the task.
    /// Returns the placement if the machine has it.
    pub(crate) fn release_unfinished(&mut self, now: u64, machine: &Id, placement_id: u64) -> Option<Placement> {
        let placement = self.remove_placement(now, machine, placement_id)?;
        self.record_task_change(now, &placement.job, placement.task, WriteUrgency::Deferred);
        self.queue_write_if_cancelled(now, &placement.job);
        Some(placement)
    }

    /// Releases a placement whose task is done. The task is not queued here, since its outcome will be written.
    /// Returns the placement if the machine has it.
    pub(crate) fn release_done(&mut self, now: u64, machine: &Id, placement_id: u64) -> Option<Placement> {
        let placement = self.remove_placement(now, machine, placement_id)?;
        self.queue_write_if_cancelled(now, &placement.job);
        Some(placement)
    }

    /// Removes a placement from its machine, its job and the usage of its class and team.
    fn remove_placement(&mut self, now: u64, machine: &Id, placement_id: u64) -> Option<Placement> {
        let placement = self.fleet.machines.remove_placement(machine, placement_id, now)?;
        let m = self.fleet.machines.get(machine)?;
        self.scheduler.request_pass();
        if let Some(job) = self.jobs.get_mut(&placement.job) {
            job.tasks.remove_placement(placement.task, placement_id, &m.zone, placement.state.is_running());
            let ownership = Ownership::from_owned(m.owned);
            self.scheduler.usage_mut().remove(&job.spec.class, &job.spec.team, &placement.need, ownership);
        }
        Some(placement)
    }

    /// Queues a cancelled job for writing: it ends with its last placement, and its end is detected when its
    /// writes are built.
    fn queue_write_if_cancelled(&mut self, now: u64, job: &Id) {
        if self.jobs.get(job).is_some_and(|job| job.cancelled) {
            self.queue_job_write(now, job);
        }
    }

    /// Stops all tasks of a cancelled job. Placements whose start commands were never sent are released at once.
    pub(crate) fn stop_job(&mut self, ctx: &mut Context, id: &Id) {
        let Some(job) = self.jobs.get(id) else { return };
        let placements: Vec<(Id, u64)> = job.tasks.placements().map(|p| (p.machine.clone(), p.placement_id)).collect();
        for (machine, placement_id) in placements {
            self.stop_placement(ctx.now.monotonic_ms, &machine, placement_id);
        }
        self.queue_job_write(ctx.now.monotonic_ms, id);
    }

    /// Stops a task immediately. A placement whose start command was never sent is released.
    pub(crate) fn stop_placement(&mut self, now: u64, machine: &Id, placement_id: u64) {
        let Some(m) = self.fleet.machines.get_mut(machine) else { return };
        let Some(placement) = m.placement_mut(placement_id) else { return };
        if placement.start_sent {
            placement.stop_grace_s = Some(0.0);
            self.fleet.calls.call_soon(machine.clone());
        } else {
            self.release_unfinished(now, machine, placement_id);
        }
    }
}
