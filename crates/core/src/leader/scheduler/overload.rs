//! Overload: the choice of jobs without deadlines that yield to others of their class so that the fewest miss
//! their objective.

use crate::leader::scheduler::constraints::{MachineKind, allows};
use crate::leader::scheduler::offloading::MAX_SLOTS_PER_MACHINE;
use crate::leader::scheduler::queue::is_placeable;
use crate::leader::scheduler::view::SchedulingView;
use crate::model::{Id, Job};
use crate::settings::ServiceObjective;
use std::collections::{BTreeMap, BinaryHeap};

/// A start objective of fewer heartbeat intervals than this is ignored: it is about as short as an image fetch or
/// an autoscaler interval, so the order of jobs has little effect on it.
const MIN_START_OBJECTIVE_HEARTBEATS: f64 = 3.0;

/// Returns the number of objective levels by which each job yields to others of its class; jobs that don't yield
/// are absent.
pub(super) fn yield_levels(view: &SchedulingView) -> BTreeMap<Id, u8> {
    let mut classes: BTreeMap<&str, Vec<&Job>> = BTreeMap::new();
    let is_yield_candidate = |job: &&Job| is_placeable(job, view.now) && !job.is_service() && job.deadline().is_none();
    for job in view.jobs.values().filter(is_yield_candidate) {
        classes.entry(&job.spec.class).or_default().push(job);
    }
    let mut levels = BTreeMap::new();
    for (class, jobs) in classes {
        let (Some(objective), Some(sample_job)) = (view.settings.objectives.get(class), jobs.first()) else { continue };
        let slots = class_slots(view, class, sample_job).max(1) as f64;
        ClassOverload { view, objective, slots }.assign_levels(jobs, &mut levels);
    }
    levels
}

/// The jobs of one class, compared with its objective and its slots.
struct ClassOverload<'a, 'b> {
    view: &'b SchedulingView<'a>,
    objective: &'b ServiceObjective,
    slots: f64,
}

/// A job and the time remaining for its work under the objective of one level.
struct TimedJob<'a> {
    time_left_s: f64,
    job: &'a Job,
}

/// A job that meets its objective so far; the greatest has the most work.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct OnTimeJob<'a> {
    work_ms: u64,
    id: &'a Id,
}

/// Result for one level: the jobs that miss its objective, and the work of the jobs that meet it, those of earlier
/// levels included.
struct LevelOutcome<'a> {
    late: Vec<&'a Job>,
    work_s: f64,
}

impl<'a> ClassOverload<'a, '_> {
    /// Moves jobs that miss the objective of their level to the next level, repeatedly. If there is room for all
    /// jobs, none is moved.
    fn assign_levels(&self, jobs: Vec<&'a Job>, levels: &mut BTreeMap<Id, u8>) {
        let mut remaining = jobs;
        // Work of the jobs that meet the objectives of earlier levels.
        let mut work_before_s = 0.0;
        for level in 0..=self.objective.start_s.len() as u8 {
            let order = self.by_time_left(&remaining, level);
            if order.is_empty() {
                break;
            }
            let outcome = self.minimize_late_jobs(order, work_before_s);
            for job in &outcome.late {
                levels.insert(job.id.clone(), level + 1);
            }
            work_before_s = outcome.work_s;
            remaining = outcome.late;
        }
    }

    fn by_time_left(&self, jobs: &[&'a Job], level: u8) -> Vec<TimedJob<'a>> {
        let timed = |job: &&'a Job| self.time_left_s(job, level).map(|time_left_s| TimedJob { time_left_s, job });
        let mut order: Vec<TimedJob> = jobs.iter().filter_map(timed).collect();
        order.sort_by(|a, b| a.time_left_s.total_cmp(&b.time_left_s).then_with(|| a.job.id.cmp(&b.job.id)));
        order
    }

    /// Time remaining for the work of the job under the objective of this level. The objective bounds the start of
    /// the last task, so the run time of that task is added.
    fn time_left_s(&self, job: &Job, level: u8) -> Option<f64> {
        let mut objectives_s = self.objective.start_s.clone();
        objectives_s.sort_by(f64::total_cmp);
        let start_s = objectives_s.get(usize::from(level)).copied()?;
        if start_s <= self.view.settings.heartbeat_interval_s * MIN_START_OBJECTIVE_HEARTBEATS {
            return None;
        }
        let age_s = (self.view.now.wall_ms as f64 - job.scheduling.ready_at_ms as f64) / 1000.0;
        Some(start_s + self.view.estimates.run_s(job) - age_s)
    }

    /// The Moore-Hodgson algorithm, which minimizes the number of late jobs: jobs are added in the order of their
    /// due times, and whenever the work so far doesn't fit, the job with the most work becomes late.
    fn minimize_late_jobs(&self, order: Vec<TimedJob<'a>>, work_before_s: f64) -> LevelOutcome<'a> {
        let mut on_time: BinaryHeap<OnTimeJob> = BinaryHeap::new();
        let mut outcome = LevelOutcome { late: Vec::new(), work_s: work_before_s };
        for TimedJob { time_left_s, job } in order {
            let estimate_s = self.view.estimates.run_s(job);
            let work_s = estimate_s * f64::from(job.waiting_task_count()) / self.slots;
            if time_left_s < estimate_s {
                outcome.late.push(job);
                continue;
            }
            on_time.push(OnTimeJob { work_ms: (work_s * 1000.0) as u64, id: &job.id });
            outcome.work_s += work_s;
            // The last task starts while the work before it is running, and ends one estimated run time later.
            let overdue = outcome.work_s > time_left_s - estimate_s * 0.5
                && outcome.work_s > time_left_s - work_s.min(estimate_s);
            if overdue && let Some(largest) = on_time.pop() {
                outcome.work_s -= largest.work_ms as f64 / 1000.0;
                outcome.late.extend(self.view.jobs.get(largest.id));
            }
        }
        outcome
    }
}

/// Slots of a class: its placed tasks and the number of further tasks that fit on machines that its jobs may use.
fn class_slots(view: &SchedulingView, class: &str, job: &Job) -> i64 {
    view.work.count_machines_examined(view.machines.count_with_free_cores(job.need.cores));
    let free: i64 = view
        .machines
        .with_free_cores(job.need.cores)
        .filter(|machine| machine.is_schedulable(view.now.monotonic_ms, view.settings))
        .filter(|machine| allows(job, MachineKind::of(machine)))
        .map(|machine| machine.free().fit_count(&job.need, MAX_SLOTS_PER_MACHINE))
        .sum();
    free + view.scheduler.usage.of_class(class).total
}

#[cfg(test)]
mod tests;
