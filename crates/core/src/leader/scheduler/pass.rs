//! A scheduling pass: carries out the decisions of job ranking, offloading, placement and preemption.
//!
//! A placement made here is only planned. No command is sent for it before it is committed.

use crate::controller::Context;
use crate::event::Event;
use crate::leader::Leader;
use crate::leader::scheduler::candidates::Search;
use crate::leader::scheduler::constraints::zone_headroom;
use crate::leader::scheduler::offloading::plan_offloading;
use crate::leader::scheduler::overload::yield_levels;
use crate::leader::scheduler::placement::find_machines;
use crate::leader::scheduler::preemption::{PreemptionReason, choose_preemption};
use crate::leader::scheduler::queue::{count_on_demand_cores, guaranteed_jobs, rank_jobs, spot_estimate_limit_s};
use crate::leader::scheduler::view::SchedulingView;
use crate::leader::store::WriteUrgency;
use crate::model::{Id, Job, Placement, PlacementState};
use shaleshunt_wire::user::Priority;
use shaleshunt_wire::{Attempt, Resources};
use std::collections::BTreeSet;

/// Limit on preemption searches in one pass: a search costs processor time whether or not it succeeds.
const MAX_PREEMPTION_SEARCHES_PER_PASS: u32 = 8;

/// After this many consecutive failures and no success, a job is tried with one task at a time.
const FAILURES_BEFORE_SINGLE_TASK: u32 = 3;

/// Results of the searches of one pass, and what is left of its limits.
struct Pass {
    /// Count of machines examined since the process started, as of the start of the pass.
    examined_at_start: u64,
    /// Demands that found too little room. They are not searched for again in this pass.
    unplaceable: Vec<PlacementDemand>,
    preemption_searches_left: u32,
}

/// The properties of a job that decide which machines its tasks may use, apart from zone balance.
#[derive(Debug)]
struct PlacementDemand {
    need: Resources,
    spot: bool,
    zone: Option<String>,
    machine_types: Option<Vec<String>>,
    service: bool,
}

impl PlacementDemand {
    fn of(job: &Job) -> PlacementDemand {
        PlacementDemand {
            need: job.need,
            spot: job.spec.spot,
            zone: job.spec.zone.clone(),
            machine_types: job.spec.machine_types.clone(),
            service: job.is_service(),
        }
    }

    /// Whether a lack of room for this demand implies a lack of room for a task of `job`: the task needs at least
    /// as much, and may use no machine that this demand may not.
    fn rules_out(&self, job: &Job) -> bool {
        let spec = &job.spec;
        job.need.fits(&self.need)
            && (self.spot || !spec.spot)
            && (self.service || !job.is_service())
            && (self.zone.is_none() || self.zone == spec.zone)
            && (self.machine_types.is_none() || self.machine_types == spec.machine_types)
    }
}

impl Pass {
    /// Finds machines for up to `tasks` tasks of the job. Skips the search if an earlier one in this pass rules
    /// out a result.
    fn find_machines(&mut self, view: &SchedulingView, job: &Job, tasks: u32) -> Vec<Id> {
        if self.unplaceable.iter().any(|demand| demand.rules_out(job)) {
            return Vec::new();
        }
        let search = Search { zone: None, max_candidates: self.max_candidates(view, tasks) };
        let machines = find_machines(view, job, tasks, search);
        // A search restricted by zone balance or by failures on machines tells nothing about other jobs.
        let unrestricted = !job.spec.single_zone && !job.spec.spread_zones && job.failures.machines.is_empty();
        if unrestricted && (machines.len() as u32) < tasks {
            self.unplaceable.push(PlacementDemand::of(job));
        }
        machines
    }

    /// Limit on the candidates that a job may choose from. There is none until the pass has examined its budget of
    /// machines; after that each job gets a sample, which bounds the duration of a pass for any size of fleet and
    /// queue.
    fn max_candidates(&self, view: &SchedulingView, tasks: u32) -> Option<usize> {
        let examined = view.work.counts().machines_examined - self.examined_at_start;
        if (examined as f64) < view.tuning.machines_per_pass {
            return None;
        }
        Some((view.tuning.machine_sample_size as usize).max(tasks as usize))
    }
}

/// Number of tasks of the job that may be placed now.
fn tasks_to_place(view: &SchedulingView, job: &Job) -> u32 {
    let tasks = job.waiting_task_count().min(view.team_headroom(job));
    let all_failed =
        job.failures.count >= FAILURES_BEFORE_SINGLE_TASK && job.tasks.done_count() == 0 && !job.is_service();
    if all_failed { tasks.min(u32::from(!job.tasks.has_placements())) } else { tasks }
}

/// Zones to try for a gang, one after the other; `None` stands for all zones together.
fn zones_to_try(view: &SchedulingView, job: &Job) -> Vec<Option<String>> {
    if !job.spec.single_zone || job.spec.zone.is_some() {
        return vec![None];
    }
    let zones: BTreeSet<String> = view.machines.values().map(|machine| machine.zone.clone()).collect();
    zones.into_iter().map(Some).collect()
}

/// Finds machines for all waiting tasks of a gang; returns `None` if there are too few.
fn find_gang_machines(view: &SchedulingView, job: &Job) -> Option<Vec<Id>> {
    // The tasks of a gang find each other by their common attempt, so a gang that lost a task restarts only when
    // all of its tasks have ended.
    let tasks = job.waiting_task_count();
    if job.tasks.has_placements() || view.team_headroom(job) < tasks {
        return None;
    }
    for zone in zones_to_try(view, job) {
        let search = Search { zone: zone.as_deref(), max_candidates: None };
        let machines = find_machines(view, job, tasks, search);
        if machines.len() as u32 >= tasks {
            return Some(machines);
        }
    }
    None
}

/// A job whose tasks are placed one by one.
struct JobPlacement {
    job: Id,
    /// Whether the start objective of the job is shorter than its image fetch.
    start_before_fetch: bool,
    may_preempt: bool,
}

impl Leader {
    /// The view that scheduling decisions read.
    pub(crate) fn scheduling_view<'a>(&'a self, ctx: &'a Context) -> SchedulingView<'a> {
        SchedulingView {
            jobs: &self.jobs,
            machines: &self.fleet.machines,
            scheduler: &self.scheduler,
            estimates: self.scheduler.estimates(ctx),
            settings: &ctx.settings,
            tuning: &ctx.tuning,
            now: ctx.now,
            work: &ctx.work,
        }
    }

    /// Runs one scheduling pass over the queue.
    pub(crate) fn schedule(&mut self, ctx: &mut Context) {
        ctx.work.count_scheduling_pass();
        let mut pass = Pass {
            examined_at_start: ctx.work.counts().machines_examined,
            unplaceable: Vec::new(),
            preemption_searches_left: MAX_PREEMPTION_SEARCHES_PER_PASS,
        };
        self.offload(ctx);
        self.refresh_ranks(ctx);
        for id in rank_jobs(&self.scheduling_view(ctx)) {
            if self.jobs.get(&id).is_some_and(Job::is_gang) {
                self.place_gang(ctx, &id);
            } else {
                self.place_tasks(ctx, &id, &mut pass);
            }
        }
    }

    /// Marks the jobs whose tasks are to go to rented machines.
    fn offload(&mut self, ctx: &mut Context) {
        for id in plan_offloading(&self.scheduling_view(ctx)) {
            let Some(job) = self.jobs.get_mut(&id).filter(|job| !job.scheduling.offloaded) else { continue };
            job.scheduling.offloaded = true;
            ctx.emit(Event::JobOffloaded { job: id });
        }
    }

    /// Recomputes the inputs of the job ranking if they are due.
    fn refresh_ranks(&mut self, ctx: &Context) {
        let interval_ms = (ctx.tuning.autoscaler_interval_s * 1000.0) as u64;
        if !self.scheduler.ranks.begin_refresh(ctx.now.monotonic_ms, interval_ms) {
            return;
        }
        let estimates = self.scheduler.estimates(ctx);
        self.scheduler.dependencies.propagate_deadlines(&mut self.jobs, &estimates);
        let view = self.scheduling_view(ctx);
        let guaranteed = guaranteed_jobs(&view);
        let yield_levels = yield_levels(&view);
        let on_demand_cores = count_on_demand_cores(&view, interval_ms);
        let spot_estimate_limit_s = spot_estimate_limit_s(&view, on_demand_cores);
        let ranks = &mut self.scheduler.ranks;
        ranks.guaranteed = guaranteed;
        ranks.yield_levels = yield_levels;
        ranks.on_demand_cores = on_demand_cores;
        ranks.spot_estimate_limit_s = spot_estimate_limit_s;
    }

    /// Places tasks of a job, with preemption for tasks without a machine if the job may preempt.
    fn place_tasks(&mut self, ctx: &mut Context, id: &Id, pass: &mut Pass) {
        let view = self.scheduling_view(ctx);
        let Some(job) = self.jobs.get(id) else { return };
        let tasks = tasks_to_place(&view, job);
        if tasks == 0 {
            return;
        }
        let mut machines = pass.find_machines(&view, job, tasks).into_iter();
        let start_before_fetch = view.must_start_before_fetch(job);
        let may_preempt = self.scheduler.ranks.guaranteed.contains(id) || job.scheduling.priority > Priority::Normal;
        let attempt = self.next_attempt();
        let placement = JobPlacement { job: id.clone(), start_before_fetch, may_preempt };
        let mut first_task = 0;
        for _ in 0..tasks {
            let Some(task) = self.jobs.get(id).and_then(|job| job.next_free_task(first_task)) else { break };
            // A task placed by preemption may have used up the headroom of the zone.
            let found = machines.find(|machine| self.zone_has_headroom(id, machine));
            let Some(machine) = self.preempt_if_unsuitable(ctx, &placement, found, pass) else { break };
            first_task = task + 1;
            self.plan_task(ctx.now.monotonic_ms, id, task, &machine, attempt);
        }
    }

    /// Whether the zone of the machine has headroom for another task of the job.
    fn zone_has_headroom(&self, id: &Id, machine: &Id) -> bool {
        let job_and_machine = self.jobs.get(id).zip(self.fleet.machines.get(machine));
        job_and_machine.is_some_and(|(job, machine)| zone_headroom(job, &machine.zone) > 0)
    }

    /// Returns the machine found for a task. If there is none, or a job with a short start objective would first
    /// have to fetch its image there, returns a machine on which preemption makes room, if possible.
    fn preempt_if_unsuitable(
        &mut self,
        ctx: &mut Context,
        placement: &JobPlacement,
        found: Option<Id>,
        pass: &mut Pass,
    ) -> Option<Id> {
        let reason = match &found {
            None => PreemptionReason::NoRoom,
            Some(machine) if placement.start_before_fetch && self.must_fetch_image(&placement.job, machine) => {
                PreemptionReason::ImageAbsent
            }
            Some(_) => return found,
        };
        if !placement.may_preempt || pass.preemption_searches_left == 0 {
            return found;
        }
        pass.preemption_searches_left -= 1;
        self.preempt(ctx, &placement.job, reason).or(found)
    }

    fn must_fetch_image(&self, id: &Id, machine: &Id) -> bool {
        let job_and_machine = self.jobs.get(id).zip(self.fleet.machines.get(machine));
        job_and_machine.is_some_and(|(job, machine)| !machine.images.contains(job.image))
    }

    /// Stops tasks to make room for one task of this job; returns the machine that then has room.
    fn preempt(&mut self, ctx: &mut Context, id: &Id, reason: PreemptionReason) -> Option<Id> {
        let view = self.scheduling_view(ctx);
        let job = self.jobs.get(id)?;
        let search = choose_preemption(&view, job, reason, self.scheduler.preemption_sample_start.as_ref());
        self.scheduler.preemption_sample_start = search.last_examined;
        let preemption = search.preemption?;
        ctx.emit(Event::TasksPreempted {
            machine: preemption.machine.clone(),
            job: id.clone(),
            tasks: preemption.placements.len(),
        });
        for placement_id in preemption.placements {
            self.stop_placement(ctx.now.monotonic_ms, &preemption.machine, placement_id);
        }
        Some(preemption.machine)
    }

    /// Places all waiting tasks of a gang, or none.
    fn place_gang(&mut self, ctx: &Context, id: &Id) {
        let Some(job) = self.jobs.get(id) else { return };
        let Some(machines) = find_gang_machines(&self.scheduling_view(ctx), job) else { return };
        let attempt = self.next_attempt();
        let mut first_task = 0;
        for machine in machines {
            let Some(task) = self.jobs.get(id).and_then(|job| job.next_free_task(first_task)) else { return };
            first_task = task + 1;
            self.plan_task(ctx.now.monotonic_ms, id, task, &machine, attempt);
        }
    }

    /// Adds a planned placement of a task on a machine.
    fn plan_task(&mut self, now: u64, id: &Id, task: u32, machine: &Id, attempt: Attempt) {
        let placement_id = self.next_placement_id();
        let Some(agent_epoch) = self.fleet.machines.get(machine).map(|machine| machine.agent.epoch) else { return };
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.tasks.raise_first_free_hint(task);
        let placement = Placement {
            job: id.clone(),
            task,
            attempt,
            agent_epoch,
            placement_id,
            need: job.need,
            image: job.image,
            state: PlacementState::Planned,
            start_sent: false,
            planned_at_ms: now,
            running_since_ms: None,
            stop_grace_s: None,
        };
        self.add_placement(machine, placement);
        self.record_task_change(now, id, task, WriteUrgency::Immediate);
    }
}

#[cfg(test)]
mod tests;
