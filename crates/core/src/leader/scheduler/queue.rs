//! The order among jobs: by priority; in it the deadline queues, shortest first; then the others by age.

use crate::io::Timestamp;
use crate::leader::scheduler::view::SchedulingView;
use crate::model::{Id, Job};
use shaleshunt_wire::Resources;
use shaleshunt_wire::user::Priority;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// Shares of the longest time until a job's first start: one that waited this long goes before others
/// of its priority, and then before all.
const AGED_SHARE: f64 = 0.5;
const OVERDUE_SHARE: f64 = 0.75;

/// What the order is worked out from. It takes a look at all jobs and machines, so it is refreshed once
/// a round or when jobs come or go, not at each pass.
#[derive(Debug)]
pub(crate) struct RankInputs {
    outdated: bool,
    /// Next refresh (steady clock, ms).
    refresh_at: u64,
    /// By how many levels of its class's objective a job yields to others; absent for none.
    pub(super) yield_levels: BTreeMap<Id, u8>,
    /// Jobs within their team's guarantee.
    pub(super) guaranteed: BTreeSet<Id>,
    /// Spot jobs with a shorter estimate than this go to spot machines first.
    pub(super) spot_estimate_limit_s: f64,
    pub(super) on_demand_cores: OnDemandCores,
}

impl RankInputs {
    pub(super) fn new() -> RankInputs {
        RankInputs {
            outdated: true,
            refresh_at: 0,
            yield_levels: BTreeMap::new(),
            guaranteed: BTreeSet::new(),
            spot_estimate_limit_s: 0.0,
            on_demand_cores: OnDemandCores::default(),
        }
    }

    /// Jobs came or went: the inputs are refreshed before the next pass.
    pub(super) fn invalidate(&mut self) {
        self.outdated = true;
    }

    /// Whether a refresh is due; the next is then due an interval later.
    pub(super) fn begin_refresh(&mut self, now: u64, interval_ms: u64) -> bool {
        if !self.outdated && now < self.refresh_at {
            return false;
        }
        self.outdated = false;
        self.refresh_at = now + interval_ms;
        true
    }
}

/// Cores of the machines that the cloud cannot take back, counted now and then.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct OnDemandCores {
    /// When they are counted again (steady clock, ms).
    recount_at: u64,
    /// In thousandths.
    cores: i64,
}

/// A job's place in the queue, smallest first: the fields count in this order.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    /// Nothing of it has started for so long that it goes before everything.
    overdue: Reverse<bool>,
    priority: Reverse<Priority>,
    /// Nothing of it has started for long.
    aged: Reverse<bool>,
    guaranteed: Reverse<bool>,
    yield_level: u8,
    without_deadline: bool,
    /// Zero without a deadline.
    estimate_ms: u64,
    ready_at: u64,
}

/// Jobs with tasks to place, in order: by priority, in it the deadline queues of the classes, shortest
/// first, then the others by age. What can no longer meet its objective goes behind what can, but for a
/// while only: a job of which nothing has started for long goes first.
pub(crate) fn rank_jobs(view: &SchedulingView) -> Vec<Id> {
    let mut jobs: Vec<&Job> = view.jobs.values().filter(|job| is_placeable(job, view.now)).collect();
    // Stable: jobs of the same rank stay in the order of their names.
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
        overdue: Reverse(unstarted_ms > start_within_ms * OVERDUE_SHARE && job.tasks.placed_count() == 0),
        priority: Reverse(job.scheduling.priority),
        aged: Reverse(unstarted_ms > start_within_ms * AGED_SHARE),
        guaranteed: Reverse(inputs.guaranteed.contains(&job.id)),
        yield_level: inputs.yield_levels.get(&job.id).copied().unwrap_or(0),
        without_deadline,
        estimate_ms: if without_deadline { 0 } else { view.estimates.run_ms(job) },
        ready_at: job.scheduling.ready_at_ms,
    }
}

/// Jobs that fit into their team's guarantee together with its earlier unfinished jobs.
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

/// Cores of machines that the cloud cannot take back: as counted last, or anew if that is long ago.
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

/// The estimate below which spot jobs go to spot machines first, in seconds. Longer ones fill the
/// machines that cannot be taken back, where a task that would lose most is safe.
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
