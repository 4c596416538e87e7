//! A pass over the queue: carries out what queue order, offloading, placement and preemption decide.
//!
//! Placements made here are plans. No command leaves for them before they are committed.

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

/// Most searches for tasks to preempt in one pass: a search takes time whether it finds some or not.
const PREEMPTION_SEARCHES: u32 = 8;

/// A job that has only failed so many times in a row is tried with one task at a time.
const FAILURES_BEFORE_SINGLE_TASK: u32 = 3;

/// What one pass has learnt and may still do.
struct Pass {
    /// Machines examined since the node began, when the pass did.
    examined_at_start: u64,
    /// Demands that found no room: they find none again in this pass.
    unplaceable: Vec<PlacementDemand>,
    preemption_searches_left: u32,
}

/// What decides, zone balance aside, which machines a task may use.
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

    /// Whether no machine has room for a task of `job` if none has for this: it needs as much or more,
    /// of machines that this may use too.
    fn includes(&self, job: &Job) -> bool {
        let spec = &job.spec;
        job.need.fits(&self.need)
            && (self.spot || !spec.spot)
            && (self.service || !job.is_service())
            && (self.zone.is_none() || self.zone == spec.zone)
            && (self.machine_types.is_none() || self.machine_types == spec.machine_types)
    }
}

impl Pass {
    /// Machines for up to `tasks` of the job; none are looked for where there cannot be any.
    fn find_machines(&mut self, view: &SchedulingView, job: &Job, tasks: u32) -> Vec<Id> {
        if self.unplaceable.iter().any(|demand| demand.includes(job)) {
            return Vec::new();
        }
        let search = Search { zone: None, max_candidates: self.max_candidates(view, tasks) };
        let machines = find_machines(view, job, tasks, search);
        // A job that keeps zones in balance, or off machines where it failed, says nothing about others.
        let unrestricted = !job.spec.single_zone && !job.spec.spread_zones && job.failures.machines.is_empty();
        if unrestricted && (machines.len() as u32) < tasks {
            self.unplaceable.push(PlacementDemand::of(job));
        }
        machines
    }

    /// How many candidates a job may choose from: any number until the pass has examined as many machines
    /// as it may, then a sample, so that a pass ends in time however large fleet and queue are.
    fn max_candidates(&self, view: &SchedulingView, tasks: u32) -> Option<usize> {
        let examined = view.work.counts().machines_examined - self.examined_at_start;
        if (examined as f64) < view.tuning.machines_per_pass {
            return None;
        }
        Some((view.tuning.machine_sample_size as usize).max(tasks as usize))
    }
}

/// How many tasks of the job may be placed now.
fn tasks_to_place(view: &SchedulingView, job: &Job) -> u32 {
    let tasks = job.waiting_task_count().min(view.team_headroom(job));
    let only_failed =
        job.failures.count >= FAILURES_BEFORE_SINGLE_TASK && job.tasks.done_count() == 0 && !job.is_service();
    if only_failed { tasks.min(u32::from(!job.tasks.has_placements())) } else { tasks }
}

/// Zones that a gang is tried in, one after the other; `None` stands for all together.
fn zones_to_try(view: &SchedulingView, job: &Job) -> Vec<Option<String>> {
    if !job.spec.single_zone || job.spec.zone.is_some() {
        return vec![None];
    }
    let zones: BTreeSet<String> = view.machines.values().map(|machine| machine.zone.clone()).collect();
    zones.into_iter().map(Some).collect()
}

/// Machines for all waiting tasks of a gang, or nothing.
fn find_gang_machines(view: &SchedulingView, job: &Job) -> Option<Vec<Id>> {
    // The tasks share an attempt, by which they find each other; so a gang that lost a task starts anew
    // when all have ended.
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

/// A job whose tasks are being placed one by one.
struct JobPlacement {
    job: Id,
    /// The job is to start sooner than its image can be fetched.
    start_before_fetch: bool,
    may_preempt: bool,
}

impl Leader {
    /// What scheduling decisions read.
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

    /// One pass over the queue: places what can be placed.
    pub(crate) fn schedule(&mut self, ctx: &mut Context) {
        ctx.work.count_scheduling_pass();
        let mut pass = Pass {
            examined_at_start: ctx.work.counts().machines_examined,
            unplaceable: Vec::new(),
            preemption_searches_left: PREEMPTION_SEARCHES,
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

    /// Marks jobs whose tasks go to rented machines.
    fn offload(&mut self, ctx: &mut Context) {
        for id in plan_offloading(&self.scheduling_view(ctx)) {
            let Some(job) = self.jobs.get_mut(&id).filter(|job| !job.scheduling.offloaded) else { continue };
            job.scheduling.offloaded = true;
            ctx.emit(Event::JobOffloaded { job: id });
        }
    }

    /// Works out anew, if that is due, what the order among jobs depends on.
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

    /// Places tasks of a job, with preemption where it has none else and may.
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
            // A task placed by preemption may have taken what a zone could still have.
            let found = machines.find(|machine| self.zone_still_allows(id, machine));
            let Some(machine) = self.preempt_unless_suited(ctx, &placement, found, pass) else { break };
            first_task = task + 1;
            self.plan_task(ctx.now.monotonic_ms, id, task, &machine, attempt);
        }
    }

    /// Whether a further task of the job may be in the machine's zone.
    fn zone_still_allows(&self, id: &Id, machine: &Id) -> bool {
        let job_and_machine = self.jobs.get(id).zip(self.fleet.machines.get(machine));
        job_and_machine.is_some_and(|(job, machine)| zone_headroom(job, &machine.zone) > 0)
    }

    /// The machine found for a task, unless there is none or its image would have to be fetched first by a
    /// job that must start sooner: then one where preemption makes room, if it does.
    fn preempt_unless_suited(
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

    /// Stops less urgent tasks for one of this job; returns the machine that has room then.
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

    /// Places all waiting tasks of a gang together, or none.
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

    /// Plans a task's placement on a machine.
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
