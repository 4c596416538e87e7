//! The order of jobs in the queue: by priority; within a priority the deadline queues, shortest job first; then
//! the jobs without deadlines, oldest first.

use crate::io::Timestamp;
use crate::leader::scheduler::view::SchedulingView;
use crate::model::{Id, Job};
use shaleshunt_wire::Resources;
use shaleshunt_wire::user::Priority;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// Fractions of the longest allowed time until the first start of a job. A job that has waited for the first
/// fraction goes before the other jobs of its priority, after the second before all jobs.
const AGED_WAIT_FRACTION: f64 = 0.5;
const OVERDUE_WAIT_FRACTION: f64 = 0.75;

/// Inputs of the job ranking. Computing them reads all jobs and machines, so they are refreshed once per
/// autoscaler interval and when jobs change, not at each pass.
#[derive(Debug)]
pub(crate) struct RankInputs {
    is_outdated: bool,
    /// Time of the next refresh (monotonic clock, ms).
    refresh_at: u64,
    /// Number of objective levels by which a job yields to others of its class; absent for jobs that don't yield.
    pub(super) yield_levels: BTreeMap<Id, u8>,
    /// Jobs within the guarantee of their team.
    pub(super) guaranteed: BTreeSet<Id>,
    /// Spot jobs with a shorter estimate than this, in seconds, prefer spot machines.
    pub(super) spot_estimate_limit_s: f64,
    pub(super) on_demand_cores: OnDemandCores,
}

impl RankInputs {
    pub(super) fn new() -> RankInputs {
        RankInputs {
            is_outdated: true,
            refresh_at: 0,
            yield_levels: BTreeMap::new(),
            guaranteed: BTreeSet::new(),
            spot_estimate_limit_s: 0.0,
            on_demand_cores: OnDemandCores::default(),
        }
    }

    /// Has the inputs refreshed before the next pass.
    pub(super) fn invalidate(&mut self) {
        self.is_outdated = true;
    }

    /// Returns whether a refresh is due, and if so schedules the next one after `interval_ms`.
    pub(super) fn begin_refresh(&mut self, now: u64, interval_ms: u64) -> bool {
        if !self.is_outdated && now < self.refresh_at {
            return false;
        }
        self.is_outdated = false;
        self.refresh_at = now + interval_ms;
        true
    }
}

/// Cores of the machines that the cloud cannot reclaim, recounted at intervals.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct OnDemandCores {
    /// Time of the next count (monotonic clock, ms).
    recount_at: u64,
    /// Number of cores, in thousandths.
    cores: i64,
}

/// Sort key of a job in the queue, smallest first. The fields are compared in the order of their declaration.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    /// No task has started for so long that the job goes before all others.
    overdue: Reverse<bool>,
    priority: Reverse<Priority>,
    /// No task has started for so long that the job goes before the others of its priority.
    aged: Reverse<bool>,
    guaranteed: Reverse<bool>,
    yield_level: u8,
    without_deadline: bool,
    /// Zero for jobs without a deadline.
    estimate_ms: u64,
    ready_at: u64,
}

/// Returns the jobs with tasks to place in the order of the queue. A job that can no longer meet its objective
/// goes behind jobs that can, but the wait is bounded: a job without a started task moves to the front with time.
pub(crate) fn rank_jobs(view: &SchedulingView) -> Vec<Id> {
    let mut jobs: Vec<&Job> = view.jobs.values().filter(|job| is_placeable(job, view.now)).collect();
    // The sort is stable: jobs of equal rank stay ordered by their IDs.
    jobs.sort_by_cached_key(|job| rank(view, job));
    jobs.into_iter().map(|job| job.id.clone()).collect()
}

/// Whether tasks of the job may be placed now.
pub(super) fn is_placeable(job: &Job, now: Timestamp) -> bool {
    !job.cancelled
        && !job.record.stale
        && job.waiting_task_count() > 0
        && now.monotonic_ms >= job.scheduling.not_before_ms
}

fn rank(view: &SchedulingView, job: &Job) -> Rank {
    let start_within_ms = view.tuning.start_within_s * 1000.0;
    let unstarted_ms =
        if job.tasks.has_started() { 0.0 } else { view.now.wall_ms.saturating_sub(job.scheduling.ready_at_ms) as f64 };
    let without_deadline = job.deadline().is_none();
    let inputs = &view.scheduler.ranks;
    Rank {
        overdue: Reverse(unstarted_ms > start_within_ms * OVERDUE_WAIT_FRACTION && job.tasks.placed_count() == 0),
        priority: Reverse(job.scheduling.priority),
        aged: Reverse(unstarted_ms > start_within_ms * AGED_WAIT_FRACTION),
        guaranteed: Reverse(inputs.guaranteed.contains(&job.id)),
        yield_level: inputs.yield_levels.get(&job.id).copied().unwrap_or(0),
        without_deadline,
        estimate_ms: if without_deadline { 0 } else { view.estimates.run_ms(job) },
        ready_at: job.scheduling.ready_at_ms,
    }
}

/// Returns the jobs that fit into the guarantee of their team together with all earlier unfinished jobs of the
/// team.
pub(super) fn guaranteed_jobs(view: &SchedulingView) -> BTreeSet<Id> {
    let mut by_age: Vec<&Job> = view.jobs.values().filter(|job| !job.cancelled && !job.is_blocked()).collect();
    by_age.sort_by_key(|job| (job.scheduling.ready_at_ms, &job.id));
    let mut team_needs: BTreeMap<&str, Resources> = BTreeMap::new();
    let mut guaranteed = BTreeSet::new();
    for job in by_age {
        let Some(quota) = view.settings.teams.get(&job.spec.team) else { continue };
        let needed = team_needs.entry(&job.spec.team).or_default();
        needed.add(&job.need, i64::from(job.spec.tasks));
        if quota.within_guarantee(needed) {
            guaranteed.insert(job.id.clone());
        }
    }
    guaranteed
}

/// Counts the cores of machines that the cloud cannot reclaim. Returns the last count unless `interval_ms` has
/// passed since.
pub(super) fn count_on_demand_cores(view: &SchedulingView, interval_ms: u64) -> OnDemandCores {
    let now = view.now.monotonic_ms;
    let last = view.scheduler.ranks.on_demand_cores;
    if now < last.recount_at {
        return last;
    }
    let machines = view.machines.values().filter(|machine| !machine.spot && machine.is_responsive(now, view.settings));
    let cores = machines.map(|machine| machine.capacity.total.cores).sum();
    view.work.count_machines_examined(view.machines.len());
    OnDemandCores { recount_at: now + interval_ms, cores }
}

/// Returns the estimate, in seconds, below which spot jobs prefer spot machines. Longer spot jobs fill the
/// machines that the cloud cannot reclaim, because they would lose the most work in a preemption.
pub(super) fn spot_estimate_limit_s(view: &SchedulingView, on_demand: OnDemandCores) -> f64 {
    struct SpotWork {
        estimate_s: f64,
        cores: i64,
    }
    let mut cores_left = on_demand.cores;
    let mut spot_work = Vec::new();
    for job in view.jobs.values().filter(|job| !job.cancelled && !job.is_blocked()) {
        let cores = job.need.cores * i64::from(job.spec.tasks - job.tasks.done_count().min(job.spec.tasks));
        if !job.spec.spot {
            cores_left -= cores;
        } else if !job.scheduling.offloaded {
            spot_work.push(SpotWork { estimate_s: view.estimates.run_s(job), cores });
        }
    }
    spot_work.sort_by(|a, b| b.estimate_s.total_cmp(&a.estimate_s));
    for work in spot_work {
        cores_left -= work.cores;
        if cores_left < 0 {
            return work.estimate_s;
        }
    }
    0.0
}

#[cfg(test)]
mod tests;
