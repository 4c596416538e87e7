//! Preemption: the choice of less urgent tasks to stop to make room for a more urgent one.

use crate::leader::scheduler::constraints::{MachineKind, allows, zone_headroom};
use crate::leader::scheduler::view::SchedulingView;
use crate::model::{Id, Job, Machine, Placement};
use std::collections::HashMap;
use std::ops::Bound;

/// Limit on the run time that a preemption may discard to avoid an image fetch, as a multiple of the fetch time.
const MAX_LOST_RUN_TIME_PER_FETCH: f64 = 2.0;

/// Reason for a preemption.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PreemptionReason {
    /// No machine has room.
    NoRoom,
    /// A machine has room, but would have to fetch the image first.
    ImageAbsent,
}

/// Placements to stop on one machine so that a task of the job fits there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Preemption {
    pub(crate) machine: Id,
    /// IDs of the placements within this process.
    pub(crate) placements: Vec<u64>,
}

/// Result of a search in a sample of the machines.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct PreemptionSearch {
    pub(crate) preemption: Option<Preemption>,
    /// The last machine of the sample, after which the next search begins; `None` if there are no machines.
    pub(crate) last_examined: Option<Id>,
}

/// Cost of a preemption, cheapest first. The fields are compared in the order of their declaration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Cost {
    /// Whether the image has to be fetched, which delays the start by more than a preemption elsewhere costs.
    fetches_image: bool,
    /// Run time that is discarded.
    lost_ms: u64,
}

/// Chooses the tasks to preempt for one task of the job, on the machine where the least run time is lost. Only
/// tasks without checkpoints are chosen: such a task ends at once, so the command that stops it can also start the
/// new one. The search examines a sample of the machines that begins after `sample_start` and wraps around.
pub(crate) fn choose_preemption(
    view: &SchedulingView,
    job: &Job,
    reason: PreemptionReason,
    sample_start: Option<&Id>,
) -> PreemptionSearch {
    let mut chooser = PreemptionChooser { view, job, reason, preemptible_jobs: HashMap::new() };
    let mut best: Option<(Cost, Preemption)> = None;
    let mut last_examined = None;
    let mut sampled = 0;
    let after_start = sample_start.map_or(Bound::Unbounded, Bound::Excluded);
    let machines = view.machines.range::<Id, _>((after_start, Bound::Unbounded)).chain(view.machines.iter());
    for (id, machine) in machines.take(view.machines.len()) {
        if sampled >= view.tuning.machine_sample_size as u32 {
            break;
        }
        last_examined = Some(id.clone());
        if !chooser.is_usable(machine) {
            continue;
        }
        sampled += 1;
        if let Some((cost, preemption)) = chooser.preemption_on(machine)
            && best.as_ref().is_none_or(|(best_cost, _)| cost < *best_cost)
        {
            best = Some((cost, preemption));
        }
    }
    PreemptionSearch { preemption: best.map(|(_, preemption)| preemption), last_examined }
}

/// Searches one machine after the other for preemptions.
struct PreemptionChooser<'a, 'b> {
    view: &'b SchedulingView<'a>,
    job: &'b Job,
    reason: PreemptionReason,
    /// Cache of whether a job is preemptible, since a job has tasks on many machines.
    preemptible_jobs: HashMap<&'a Id, bool>,
}

/// A placement that may be stopped.
struct Victim<'a> {
    placement: &'a Placement,
    run_ms: u64,
}

impl<'a> PreemptionChooser<'a, '_> {
    /// Whether the job may use this machine once it has room.
    fn is_usable(&self, machine: &Machine) -> bool {
        let now = self.view.now.monotonic_ms;
        let slow = machine.health.slow_until_ms > now && !self.job.is_service();
        let image_missing = self.reason == PreemptionReason::ImageAbsent && !machine.images.contains(self.job.image);
        machine.is_schedulable(now, self.view.settings)
            && !slow
            && machine.health.quarantine_count == 0
            && allows(self.job, MachineKind::of(machine))
            && zone_headroom(self.job, &machine.zone) > 0
            && machine.capacity.total.fits(&self.job.need)
            && !image_missing
    }

    /// Returns the preemption on this machine that loses the least run time, if one makes room and is worth its
    /// cost.
    fn preemption_on(&mut self, machine: &'a Machine) -> Option<(Cost, Preemption)> {
        let mut victims = self.victims(machine);
        let mut freeable = machine.free();
        for victim in &victims {
            freeable.add(&victim.placement.need, 1);
        }
        if !freeable.fits(&self.job.need) {
            return None;
        }
        victims.sort_by_key(|victim| (victim.run_ms, victim.placement.placement_id));
        let mut free = machine.free();
        let mut lost_ms = 0;
        let mut placements = Vec::new();
        for victim in victims {
            if free.fits(&self.job.need) {
                break;
            }
            free.add(&victim.placement.need, 1);
            lost_ms += victim.run_ms;
            placements.push(victim.placement.placement_id);
        }
        if placements.is_empty() || self.costs_more_than_fetch(lost_ms) {
            return None;
        }
        let cost = Cost { fetches_image: !machine.images.contains(self.job.image), lost_ms };
        Some((cost, Preemption { machine: machine.id.clone(), placements }))
    }

    fn victims(&mut self, machine: &'a Machine) -> Vec<Victim<'a>> {
        let now = self.view.now.monotonic_ms;
        let mut victims = Vec::new();
        for placement in machine.placements.iter().filter(|placement| placement.stop_grace_s.is_none()) {
            if self.is_preemptible(&placement.job) {
                let run_ms = placement.running_since_ms.map_or(0, |since| now.saturating_sub(since));
                victims.push(Victim { placement, run_ms });
            }
        }
        victims
    }

    fn is_preemptible(&mut self, id: &'a Id) -> bool {
        let (view, job, reason) = (self.view, self.job, self.reason);
        let decide = || view.jobs.get(id).is_some_and(|other| is_preemptible_for(view, other, job, reason));
        *self.preemptible_jobs.entry(id).or_insert_with(decide)
    }

    /// Whether a preemption costs more than fetching the image. A service preempts for its image at any cost.
    fn costs_more_than_fetch(&self, lost_ms: u64) -> bool {
        self.reason == PreemptionReason::ImageAbsent
            && !self.job.is_service()
            && lost_ms as f64 > self.view.estimates.image_fetch_s(self.job) * (MAX_LOST_RUN_TIME_PER_FETCH * 1000.0)
    }
}

/// Whether tasks of `other` may be preempted for `job`: less urgent tasks and, if `job` is within the guarantee of
/// its team and finds no room, tasks of another team beyond its own guarantee.
fn is_preemptible_for(view: &SchedulingView, other: &Job, job: &Job, reason: PreemptionReason) -> bool {
    let takes_checkpoints = other.spec.checkpoint_interval_s > 0.0;
    if takes_checkpoints {
        return false;
    }
    other.scheduling.priority < job.scheduling.priority
        || reason == PreemptionReason::NoRoom && reclaims_guarantee(view, other, job)
}

/// Whether `job` may take the room of `other` because the guarantee of its team covers it.
fn reclaims_guarantee(view: &SchedulingView, other: &Job, job: &Job) -> bool {
    let guaranteed = &view.scheduler.ranks.guaranteed;
    guaranteed.contains(&job.id)
        && !guaranteed.contains(&other.id)
        && other.spec.team != job.spec.team
        && exceeds_guarantee(view, &other.spec.team)
        && other.scheduling.priority <= job.scheduling.priority
        && !other.is_service()
}

fn exceeds_guarantee(view: &SchedulingView, team: &str) -> bool {
    let used = view.scheduler.usage.of_team(team);
    view.settings.teams.get(team).is_some_and(|quota| !quota.within_guarantee(&used))
}

#[cfg(test)]
mod tests;
