//! The order among jobs: by urgency, in it the design's queues with deadlines, then the others by age; and what
//! yields under overload.

use crate::controller::Context;
use crate::leader::Leader;
use crate::model::*;
use shaleshunt_wire::Resources;
use shaleshunt_wire::user::Priority;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

/// A job's place in the queue, smallest first: the fields count in this order.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    /// Nothing of it has begun for so long that it goes before everything.
    first: Reverse<bool>,
    priority: Reverse<Priority>,
    /// Nothing of it has begun for long.
    aged: Reverse<bool>,
    guaranteed: Reverse<bool>,
    /// By how many aims it yields to others.
    yields: u8,
    without_deadline: bool,
    estimate_ms: u64,
    ready_at: u64,
}

impl Leader {
    /// Jobs with tasks to place, in order: by urgency, in it the stages' deadline queues shortest
    /// first, then the others by age. What can no longer meet its aim goes behind what can, but for
    /// a while only: a job of which nothing has begun for long goes first.
    pub(crate) fn queue(&mut self, ctx: &Context) -> Vec<Id> {
        let now = ctx.now.monotonic_ms;
        if self.scheduler.ranks_outdated || now >= self.scheduler.ranks_due_at {
            self.scheduler.ranks_outdated = false;
            self.scheduler.ranks_due_at = now + (ctx.tuning.autoscaler_interval_s * 1000.0) as u64;
            self.propagate_deadlines(ctx);
            self.scheduler.guaranteed = self.guaranteed(ctx);
            self.scheduler.deprioritized = self.yielding(ctx);
            self.scheduler.spot_estimate_limit = self.spot_estimate_limit(ctx);
        }
        let begin = ctx.tuning.start_within_s * 1000.0;
        let mut list: Vec<(Rank, &Id)> = self
            .jobs
            .values()
            .filter(|j| !j.cancelled && !j.record.stale && j.waiting() > 0 && now >= j.scheduling.not_before)
            .map(|j| {
                let without_deadline = j.deadline().is_none();
                let age =
                    if j.tasks.started { 0.0 } else { ctx.now.wall_ms.saturating_sub(j.scheduling.ready_at) as f64 };
                let rank = Rank {
                    first: Reverse(age > begin * 0.75 && j.tasks.placed_count == 0),
                    priority: Reverse(j.scheduling.priority),
                    aged: Reverse(age > begin * 0.5),
                    guaranteed: Reverse(self.scheduler.guaranteed.contains(&j.id)),
                    yields: self.scheduler.deprioritized.get(&j.id).copied().unwrap_or(0),
                    without_deadline,
                    estimate_ms: if without_deadline { 0 } else { (self.estimate(j) * 1000.0) as u64 },
                    ready_at: j.scheduling.ready_at,
                };
                (rank, &j.id)
            })
            .collect();
        list.sort();
        list.into_iter().map(|(_, id)| id.clone()).collect()
    }

    /// The estimate below which tasks that may go to spot machines go there first: what is longer
    /// fills the machines that cannot be taken away, where a task that would lose most is safe.
    fn spot_estimate_limit(&mut self, ctx: &Context) -> f64 {
        let now = ctx.now.monotonic_ms;
        if now >= self.scheduler.non_spot_cores.0 {
            let safe = self.fleet.machines.values().filter(|m| !m.spot && m.answers(now, &ctx.settings));
            let cores = safe.map(|m| m.capacity.total.cores).sum();
            ctx.work.examined(self.fleet.machines.len());
            self.scheduler.non_spot_cores = (now + (ctx.tuning.autoscaler_interval_s * 1000.0) as u64, cores);
        }
        let mut left = self.scheduler.non_spot_cores.1;
        let mut may_move = Vec::new();
        for j in self.jobs.values().filter(|j| !j.cancelled && !j.is_blocked()) {
            let cores = j.need.cores * i64::from(j.spec.tasks - j.tasks.done_count.min(j.spec.tasks));
            if j.spec.spot && !j.scheduling.offloaded {
                may_move.push((self.estimate(j), cores));
            } else if !j.spec.spot {
                left -= cores;
            }
        }
        may_move.sort_by(|a, b| b.0.total_cmp(&a.0));
        for (estimate, cores) in may_move {
            left -= cores;
            if left < 0 {
                return estimate;
            }
        }
        0.0
    }

    /// For each stage of jobs without deadlines, which of them yield.
    fn yielding(&self, ctx: &Context) -> BTreeMap<Id, u8> {
        let now = ctx.now.monotonic_ms;
        let mut stages: BTreeMap<&str, Vec<&Job>> = BTreeMap::new();
        let open = |j: &&Job| !j.cancelled && !j.record.stale && now >= j.scheduling.not_before && j.waiting() > 0;
        for j in self.jobs.values().filter(open).filter(|j| !j.is_service() && j.deadline().is_none()) {
            stages.entry(&j.spec.class).or_default().push(j);
        }
        let mut deprioritized: BTreeMap<&Id, u8> = BTreeMap::new();
        for (stage, jobs) in stages {
            self.yields(ctx, stage, jobs, &mut deprioritized);
        }
        deprioritized.into_iter().map(|(id, level)| (id.clone(), level)).collect()
    }

    /// Jobs that fit into their team's guarantee together with its earlier unfinished jobs.
    fn guaranteed(&self, ctx: &Context) -> BTreeSet<Id> {
        let mut by_age: Vec<&Job> = self.jobs.values().filter(|j| !j.cancelled && !j.is_blocked()).collect();
        by_age.sort_by_key(|j| (j.scheduling.ready_at, &j.id));
        let mut sums: BTreeMap<&str, Resources> = BTreeMap::new();
        let mut fits = BTreeSet::new();
        for j in by_age {
            let Some(team) = ctx.settings.teams.get(&j.spec.team) else { continue };
            let sum = sums.entry(&j.spec.team).or_default();
            sum.add(&j.need, i64::from(j.spec.tasks));
            if team.guarantees(sum) {
                fits.insert(j.id.clone());
            }
        }
        fits
    }

    /// Under overload, which of a stage's jobs yield to others: taken by the time at which each must
    /// be done, whenever the work so far does not fit before that, the job with the most work goes
    /// behind (Moore's rule, which leaves the fewest jobs late). What yields counts with its next
    /// aim. With room for all nothing yields, and the order is the design's.
    fn yields<'a>(&'a self, ctx: &Context, stage: &str, jobs: Vec<&'a Job>, deprioritized: &mut BTreeMap<&'a Id, u8>) {
        let Some(aim) = ctx.settings.objectives.get(stage) else { return };
        let Some(first) = jobs.first() else { return };
        let slots = self.all_slots(ctx, stage, first).max(1) as f64;
        let mut left = jobs;
        // Work of jobs that do not yield to those of a later level.
        let mut before = 0.0;
        for level in 0..=aim.start_s.len() as u8 {
            // Time left for a job's work, by the aim of this level.
            let time = |j: &Job| {
                let nth = |list: &[f64]| {
                    let mut list = list.to_vec();
                    list.sort_by(f64::total_cmp);
                    list.get(usize::from(level)).copied()
                };
                let age = (ctx.now.wall_ms as f64 - j.scheduling.ready_at as f64) / 1000.0;
                let estimate = self.estimate(j);
                // An aim on starts leaves the last task's own run time on top. One that is shorter
                // than a fetch or a round says nothing about the order.
                let start =
                    nth(&aim.start_s).filter(|s| *s > ctx.settings.heartbeat_interval_s * 3.0).map(|s| s + estimate);
                start.map(|t| t - age)
            };
            let mut order: Vec<(f64, &Job)> = left.iter().filter_map(|j| time(j).map(|t| (t, *j))).collect();
            if order.is_empty() {
                break;
            }
            order.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.id.cmp(&b.1.id)));
            let mut kept: BinaryHeap<(u64, &Id)> = BinaryHeap::new();
            let mut total = before;
            let mut late: Vec<&Job> = Vec::new();
            for (t, j) in order {
                let estimate = self.estimate(j);
                let work = estimate * f64::from(j.waiting()) / slots;
                if t < estimate {
                    late.push(j);
                    continue;
                }
                kept.push(((work * 1000.0) as u64, &j.id));
                total += work;
                // The last task starts when the work before it is under way and ends an estimate later.
                if total > t - estimate * 0.5
                    && total > t - work.min(estimate)
                    && let Some((work, id)) = kept.pop()
                {
                    total -= work as f64 / 1000.0;
                    late.extend(self.jobs.get(id));
                }
            }
            for j in &late {
                deprioritized.insert(&j.id, level + 1);
            }
            before = total;
            left = late;
        }
    }

    /// A stage's slots on all machines that its jobs may use.
    fn all_slots(&self, ctx: &Context, stage: &str, job: &Job) -> i64 {
        ctx.work.examined(self.fleet.machines.count_with_cores(job.need.cores));
        let free: i64 = self
            .fleet
            .machines
            .with_cores(job.need.cores)
            .filter(|m| {
                m.is_schedulable(ctx.now.monotonic_ms, &ctx.settings)
                    && Self::allows(job, &m.machine_type, &m.zone, m.spot)
            })
            .map(|m| m.free().times(&job.need, 100_000))
            .sum();
        free + self.scheduler.usage_by_class.get(stage).map_or(0, |h| h.all)
    }
}
