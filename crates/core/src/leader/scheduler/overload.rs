//! Overload: which jobs without deadlines yield to others of their class, so that the fewest miss their
//! objective.

use crate::leader::scheduler::constraints::{MachineKind, allows};
use crate::leader::scheduler::offloading::MAX_SLOTS_PER_MACHINE;
use crate::leader::scheduler::queue::is_placeable;
use crate::leader::scheduler::view::SchedulingView;
use crate::model::{Id, Job};
use crate::settings::ServiceObjective;
use std::collections::{BTreeMap, BinaryHeap};

/// An objective on starts that is shorter than so many heartbeat intervals, about a fetch or a round,
/// says nothing about the order.
const LEAST_START_OBJECTIVE_HEARTBEATS: f64 = 3.0;

/// By how many levels of its class's objective each job yields; jobs that don't yield are absent.
pub(super) fn yield_levels(view: &SchedulingView) -> BTreeMap<Id, u8> {
    let mut classes: BTreeMap<&str, Vec<&Job>> = BTreeMap::new();
    let may_yield = |job: &&Job| is_placeable(job, view.now) && !job.is_service() && job.deadline().is_none();
    for job in view.jobs.values().filter(may_yield) {
        classes.entry(&job.spec.class).or_default().push(job);
    }
    let mut levels = BTreeMap::new();
    for (class, jobs) in classes {
        let (Some(objective), Some(first)) = (view.settings.objectives.get(class), jobs.first()) else { continue };
        let slots = class_slots(view, class, first).max(1) as f64;
        ClassOverload { view, objective, slots }.assign_levels(jobs, &mut levels);
    }
    levels
}

/// One class's jobs against its objective and its slots.
struct ClassOverload<'a, 'b> {
    view: &'b SchedulingView<'a>,
    objective: &'b ServiceObjective,
    slots: f64,
}

/// A job and the time left for its work by the objective of one level.
struct TimedJob<'a> {
    time_left_s: f64,
    job: &'a Job,
}

/// A job that meets its objective so far; the greatest has the most work.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct KeptJob<'a> {
    work_ms: u64,
    id: &'a Id,
}

/// Outcome of one level: the jobs that miss it, and the work of those that meet it.
struct LevelOutcome<'a> {
    late: Vec<&'a Job>,
    work_s: f64,
}

impl<'a> ClassOverload<'a, '_> {
    /// Raises by one level, again and again, the jobs that miss the objective of their level. With room
    /// for all none is raised.
    fn assign_levels(&self, jobs: Vec<&'a Job>, levels: &mut BTreeMap<Id, u8>) {
        let mut left = jobs;
        // Work of the jobs of earlier levels.
        let mut work_before_s = 0.0;
        for level in 0..=self.objective.start_s.len() as u8 {
            let order = self.by_time_left(&left, level);
            if order.is_empty() {
                break;
            }
            let outcome = self.fewest_late(order, work_before_s);
            for job in &outcome.late {
                levels.insert(job.id.clone(), level + 1);
            }
            work_before_s = outcome.work_s;
            left = outcome.late;
        }
    }

    fn by_time_left(&self, jobs: &[&'a Job], level: u8) -> Vec<TimedJob<'a>> {
        let timed = |job: &&'a Job| self.time_left_s(job, level).map(|time_left_s| TimedJob { time_left_s, job });
        let mut order: Vec<TimedJob> = jobs.iter().filter_map(timed).collect();
        order.sort_by(|a, b| a.time_left_s.total_cmp(&b.time_left_s).then_with(|| a.job.id.cmp(&b.job.id)));
        order
    }

    /// Time left for the job's work by the objective of this level. An objective on starts leaves the
    /// last task's own run time on top.
    fn time_left_s(&self, job: &Job, level: u8) -> Option<f64> {
        let mut objectives_s = self.objective.start_s.clone();
        objectives_s.sort_by(f64::total_cmp);
        let start_s = objectives_s.get(usize::from(level)).copied()?;
        if start_s <= self.view.settings.heartbeat_interval_s * LEAST_START_OBJECTIVE_HEARTBEATS {
            return None;
        }
        let age_s = (self.view.now.wall_ms as f64 - job.scheduling.ready_at_ms as f64) / 1000.0;
        Some(start_s + self.view.estimates.run_s(job) - age_s)
    }

    /// Moore's rule, which leaves the fewest jobs late: jobs are taken by the time at which each must be
    /// done, and whenever the work so far does not fit before that, the job with the most work is late.
    fn fewest_late(&self, order: Vec<TimedJob<'a>>, work_before_s: f64) -> LevelOutcome<'a> {
        let mut kept: BinaryHeap<KeptJob> = BinaryHeap::new();
        let mut outcome = LevelOutcome { late: Vec::new(), work_s: work_before_s };
        for TimedJob { time_left_s, job } in order {
            let estimate_s = self.view.estimates.run_s(job);
            let work_s = estimate_s * f64::from(job.waiting_task_count()) / self.slots;
            if time_left_s < estimate_s {
                outcome.late.push(job);
                continue;
            }
            kept.push(KeptJob { work_ms: (work_s * 1000.0) as u64, id: &job.id });
            outcome.work_s += work_s;
            // The last task starts when the work before it is under way and ends an estimate later.
            let overdue = outcome.work_s > time_left_s - estimate_s * 0.5
                && outcome.work_s > time_left_s - work_s.min(estimate_s);
            if overdue && let Some(largest) = kept.pop() {
                outcome.work_s -= largest.work_ms as f64 / 1000.0;
                outcome.late.extend(self.view.jobs.get(largest.id));
            }
        }
        outcome
    }
}

/// A class's slots: its tasks on machines and how many more fit on all that its jobs may use.
fn class_slots(view: &SchedulingView, class: &str, job: &Job) -> i64 {
    view.work.count_machines_examined(view.machines.count_with_free_cores(job.need.cores));
    let free: i64 = view
        .machines
        .with_free_cores(job.need.cores)
        .filter(|machine| machine.is_schedulable(view.now.monotonic_ms, view.settings))
        .filter(|machine| allows(job, MachineKind::of(machine)))
        .map(|machine| machine.free().fit_count(&job.need, MAX_SLOTS_PER_MACHINE))
        .sum();
    free + view.scheduler.usage.of_class(class).all
}

#[cfg(test)]
mod tests;
