//! Demand for rented machines: jobs that wait for capacity, and jobs that are expected to arrive.

use crate::leader::autoscaler::view::ScaleOutView;
use crate::leader::scheduler::constraints::{MachineKind, allows};
use crate::model::Job;
use shaleshunt_wire::Resources;
use shaleshunt_wire::user::JobKind;
use std::collections::BTreeMap;

/// Jobs to rent machines for: waiting jobs first, then expected ones.
pub(super) fn demand<'a>(view: &ScaleOutView<'a>) -> Vec<&'a Job> {
    let now = view.scheduling.now.monotonic_ms;
    let mut fleet = FleetCapacity::default();
    let mut demand: Vec<&Job> = view
        .scheduling
        .jobs
        .values()
        .filter(|job| !job.cancelled && job.scheduling.not_before_ms <= now && job.waiting_task_count() > 0)
        .filter(|job| wants_rented_machines(view, job, &mut fleet))
        .collect();
    demand.extend(view.arrivals.jobs());
    demand
}

/// Inputs that decide how many tasks of a job the whole fleet could run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct TaskKind {
    need: Resources,
    tasks_together: i64,
    spot: bool,
}

/// Cache of how many tasks the fleet's machines could run if they were empty, for jobs that may use every type and
/// zone. A machine counts for at most `tasks_together` tasks.
#[derive(Default)]
struct FleetCapacity {
    by_kind: BTreeMap<TaskKind, i64>,
}

impl FleetCapacity {
    fn task_capacity(&mut self, view: &ScaleOutView, job: &Job, tasks_together: i64) -> i64 {
        let restricted = job.spec.machine_types.is_some() || job.spec.zone.is_some();
        if restricted {
            return count_fleet_capacity(view, job, tasks_together);
        }
        let kind = TaskKind { need: job.need, tasks_together, spot: job.spec.spot };
        *self.by_kind.entry(kind).or_insert_with(|| count_fleet_capacity(view, job, tasks_together))
    }
}

fn count_fleet_capacity(view: &ScaleOutView, job: &Job, tasks_together: i64) -> i64 {
    let machines = view.scheduling.machines.values();
    machines
        .filter(|machine| !machine.lifecycle.scale_in_wanted && allows(job, MachineKind::of(machine)))
        .map(|machine| machine.capacity.total.fit_count(&job.need, tasks_together))
        .sum()
}

/// Whether the job is to get rented machines by now. A job with a deadline gets them once it is offloaded. Other jobs
/// wait for owned machines, but no longer than their class's objective allows after subtracting the boot time of a
/// machine.
fn wants_rented_machines(view: &ScaleOutView, job: &Job, fleet: &mut FleetCapacity) -> bool {
    let has_deadline = job.deadline().is_some();
    if has_deadline && job.scheduling.offloaded {
        return true;
    }
    // Waiting is pointless if the fleet has no capacity at all, or too little for tasks that must run together.
    let tasks_together = if job.spec.kind == JobKind::Array { 1 } else { i64::from(job.spec.tasks) };
    if fleet.task_capacity(view, job, tasks_together) < tasks_together {
        return true;
    }
    let waited_s = view.scheduling.now.wall_ms.saturating_sub(job.scheduling.ready_at_ms) as f64 / 1000.0;
    !has_deadline && waited_s >= longest_wait_s(view, job)
}

/// Longest time for which the job waits for owned machines, in seconds; negative if it may not wait at all.
fn longest_wait_s(view: &ScaleOutView, job: &Job) -> f64 {
    let tuning = view.scheduling.tuning;
    let boot_s = view.longest_boot_s();
    let mut wait_s = tuning.scale_out_wait_s;
    let Some(objective) = view.scheduling.settings.objectives.get(&job.spec.class) else { return wait_s };
    // The machine must be up well within the time that the objective leaves.
    if let Some(start_s) = objective.shortest_start_s() {
        wait_s = wait_s.min(start_s * tuning.objective_share - boot_s);
    }
    if let Some(finish_s) = objective.shortest_finish_s() {
        let latest_start_s = finish_s - view.scheduling.estimates.run_s(job);
        wait_s = wait_s.min(latest_start_s * tuning.objective_share - boot_s);
    }
    wait_s
}

#[cfg(test)]
mod tests;
