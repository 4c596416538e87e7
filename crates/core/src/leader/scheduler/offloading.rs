//! Offloading: which jobs with deadlines go to rented machines, as in the paper.

use crate::leader::scheduler::view::SchedulingView;
use crate::model::{Id, Job};
use shaleshunt_wire::Resources;
use std::collections::BTreeMap;

/// Most slots counted on one machine.
pub(super) const MAX_SLOTS_PER_MACHINE: i64 = 100_000;

/// A job with a deadline that waits in its class's queue; the queue's order is the shortest run first.
#[derive(Clone, Copy)]
struct QueuedJob<'a> {
    estimate_ms: u64,
    job: &'a Job,
}

impl QueuedJob<'_> {
    fn estimate_s(&self) -> f64 {
        self.estimate_ms as f64 / 1000.0
    }

    /// Run time of all its waiting tasks.
    fn work_s(&self) -> f64 {
        self.estimate_s() * f64::from(self.job.waiting_task_count())
    }

    /// Time left until its deadline.
    fn time_left_s(&self, wall_ms: u64) -> f64 {
        (self.job.deadline().unwrap_or(0) as f64 - wall_ms as f64) / 1000.0
    }
}

/// Jobs whose tasks go to rented machines: of each class what its owned slots cannot finish by the
/// deadlines, then all jobs that depend on these. A job may be named more than once, also one that has
/// been offloaded before.
pub(crate) fn plan_offloading(view: &SchedulingView) -> Vec<Id> {
    let mut offloaded: Vec<Id> = Vec::new();
    for (class, queue) in deadline_queues(view) {
        let Some(first) = queue.first() else { continue };
        let slots = owned_slots(view, class, &first.job.need).max(1) as f64;
        offloaded.extend(beyond_horizon(view, &queue, slots));
        offloaded.extend(short_of_slack(view, &queue, slots));
    }
    let graph = &view.scheduler.dependencies;
    let dependents: Vec<Id> = offloaded.iter().flat_map(|id| graph.dependents_to_offload(view.jobs, id)).collect();
    offloaded.extend(dependents);
    offloaded
}

/// The queue of each class, shortest run first.
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

/// From the tail of the queue: what the slots cannot work off by the latest deadline.
fn beyond_horizon(view: &SchedulingView, queue: &[QueuedJob], slots: f64) -> Vec<Id> {
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

/// Whatever has less slack than a rented machine's boot takes, counting the work queued before it over
/// the slots, its image fetch and its own run.
fn short_of_slack(view: &SchedulingView, queue: &[QueuedJob], slots: f64) -> Vec<Id> {
    let mut ahead_s = 0.0;
    let mut offloaded = Vec::new();
    for queued in queue {
        let time_left_s = queued.time_left_s(view.now.wall_ms);
        let fetch_s = view.estimates.image_fetch_s(queued.job);
        let slack_s = time_left_s - ahead_s / slots - queued.estimate_s() - fetch_s;
        if slack_s < view.tuning.boot_allowance_s {
            offloaded.push(queued.job.id.clone());
        }
        ahead_s += queued.work_s();
    }
    offloaded
}

/// A class's owned slots: its tasks on owned machines and how many more fit there.
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
