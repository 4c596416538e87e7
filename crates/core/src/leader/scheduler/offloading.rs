//! Offloading: the choice of jobs with deadlines whose tasks go to rented machines.
//!
//! The rules follow Skedulix: Das, Leaf, Varela, Patterson, "Skedulix: Hybrid Cloud Scheduling for Cost-Efficient
//! Execution of Serverless Applications".

use crate::leader::scheduler::view::SchedulingView;
use crate::model::{Id, Job};
use shaleshunt_wire::Resources;
use std::collections::BTreeMap;

/// Limit on the slots counted on one machine.
pub(super) const MAX_SLOTS_PER_MACHINE: i64 = 100_000;

/// A job with a deadline in the queue of its class, which is ordered by run time, shortest first.
#[derive(Clone, Copy)]
struct QueuedJob<'a> {
    estimate_ms: u64,
    job: &'a Job,
}

impl QueuedJob<'_> {
    fn estimate_s(&self) -> f64 {
        self.estimate_ms as f64 / 1000.0
    }

    /// Run time of all waiting tasks.
    fn work_s(&self) -> f64 {
        self.estimate_s() * f64::from(self.job.waiting_task_count())
    }

    /// Time left until the deadline.
    fn time_left_s(&self, wall_ms: u64) -> f64 {
        (self.job.deadline().unwrap_or(0) as f64 - wall_ms as f64) / 1000.0
    }
}

/// Returns the jobs whose tasks go to rented machines: of each class the jobs that its owned slots cannot finish
/// by their deadlines, then all jobs that depend on these. A job may be listed more than once, and also if it is
/// already offloaded.
pub(crate) fn plan_offloading(view: &SchedulingView) -> Vec<Id> {
    let mut offloaded: Vec<Id> = Vec::new();
    for (class, queue) in deadline_queues(view) {
        let Some(first) = queue.first() else { continue };
        let slots = owned_slots(view, class, &first.job.need).max(1) as f64;
        offloaded.extend(exceeding_horizon(view, &queue, slots));
        offloaded.extend(lacking_slack(view, &queue, slots));
    }
    let graph = &view.scheduler.dependencies;
    let dependents: Vec<Id> = offloaded.iter().flat_map(|id| graph.dependents_to_offload(view.jobs, id)).collect();
    offloaded.extend(dependents);
    offloaded
}

/// The queue of each class, shortest run time first.
fn deadline_queues<'a>(view: &SchedulingView<'a>) -> BTreeMap<&'a str, Vec<QueuedJob<'a>>> {
    let mut queues: BTreeMap<&str, Vec<QueuedJob>> = BTreeMap::new();
    let waits = |job: &&Job| !job.cancelled && job.deadline().is_some() && job.waiting_task_count() > 0;
    for job in view.jobs.values().filter(waits) {
        let queue = queues.entry(&job.spec.class).or_default();
        queue.push(QueuedJob { estimate_ms: view.estimates.run_ms(job), job });
    }
    for queue in queues.values_mut() {
        queue.sort_by_key(|queued| (queued.estimate_ms, &queued.job.id));
    }
    queues
}

/// Selects jobs from the tail of the queue until the slots can finish the rest by the latest deadline.
fn exceeding_horizon(view: &SchedulingView, queue: &[QueuedJob], slots: f64) -> Vec<Id> {
    let wall_ms = view.now.wall_ms;
    let mut work_s: f64 = queue.iter().map(QueuedJob::work_s).sum();
    let horizon_s = queue.iter().map(|queued| queued.time_left_s(wall_ms)).fold(0.0, f64::max);
    let mut offloaded = Vec::new();
    for queued in queue.iter().rev() {
        if work_s <= slots * horizon_s {
            break;
        }
        work_s -= queued.work_s();
        offloaded.push(queued.job.id.clone());
    }
    offloaded
}

/// Selects jobs with less slack than a rented machine takes to boot. The slack accounts for the work queued before
/// the job, divided by the slots, for its image fetch and for its run time.
fn lacking_slack(view: &SchedulingView, queue: &[QueuedJob], slots: f64) -> Vec<Id> {
    let mut work_ahead_s = 0.0;
    let mut offloaded = Vec::new();
    for queued in queue {
        let time_left_s = queued.time_left_s(view.now.wall_ms);
        let fetch_s = view.estimates.image_fetch_s(queued.job);
        let slack_s = time_left_s - work_ahead_s / slots - queued.estimate_s() - fetch_s;
        if slack_s < view.tuning.boot_allowance_s {
            offloaded.push(queued.job.id.clone());
        }
        work_ahead_s += queued.work_s();
    }
    offloaded
}

/// Owned slots of a class: its tasks on owned machines and the number of further tasks that fit there.
fn owned_slots(view: &SchedulingView, class: &str, need: &Resources) -> i64 {
    view.work.count_machines_examined(view.machines.count_with_free_cores(need.cores));
    let free: i64 = view
        .machines
        .with_free_cores(need.cores)
        .filter(|machine| machine.owned && machine.agent.last_heartbeat_ms.is_some())
        .map(|machine| machine.free().fit_count(need, MAX_SLOTS_PER_MACHINE))
        .sum();
    free + view.scheduler.usage.of_class(class).owned
}

#[cfg(test)]
mod tests;
