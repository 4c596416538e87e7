//! The scheduler decides the order of jobs, the machine for each task, which tasks are preempted, and which jobs
//! are offloaded to rented machines.
//!
//! The scheduler owns the state that is kept between scheduling passes: the dependency graph, the inputs of the
//! job ranking, usage by class and team, and run-time statistics. Jobs belong to the leader and machines to the
//! fleet. Decisions read both through a [`view::SchedulingView`] and return the actions to take; [`pass`] and
//! [`dependencies`] carry these out.
//!
//! Invariants: usage is the sum over all placements on machines, which the leader reports as it adds and removes
//! them; a job is placed only when it has no open dependencies. Only the leader calls into this module; the
//! autoscaler reads usage, estimates and constraints.

pub(crate) mod candidates;
pub(crate) mod constraints;
pub(crate) mod dependencies;
pub(crate) mod dependency_graph;
pub(crate) mod estimates;
#[cfg(test)]
pub(crate) mod fixture;
pub(crate) mod offloading;
pub(crate) mod overload;
pub(crate) mod pass;
pub(crate) mod placement;
pub(crate) mod preemption;
pub(crate) mod queue;
pub(crate) mod usage;
pub(crate) mod view;

use crate::controller::Context;
use crate::leader::scheduler::dependency_graph::DependencyGraph;
use crate::leader::scheduler::estimates::{Estimates, RunTimesByClass};
use crate::leader::scheduler::queue::RankInputs;
use crate::leader::scheduler::usage::Usage;
use crate::model::{Id, Job};

/// State that the scheduler keeps between scheduling passes.
#[derive(Debug)]
pub(crate) struct Scheduler {
    dependencies: DependencyGraph,
    usage: Usage,
    run_times: RunTimesByClass,
    ranks: RankInputs,
    /// The machine after which the next preemption search begins its sample; `None` starts at the first machine.
    preemption_sample_start: Option<Id>,
    pass_requested: bool,
    /// Earliest time of the next pass (monotonic clock, ms).
    next_pass_at_ms: u64,
}

impl Scheduler {
    /// Creates a scheduler that may run its first pass at `now` (monotonic clock, ms).
    pub(crate) fn new(now: u64) -> Scheduler {
        Scheduler {
            dependencies: DependencyGraph::default(),
            usage: Usage::default(),
            run_times: RunTimesByClass::default(),
            ranks: RankInputs::new(),
            preemption_sample_start: None,
            pass_requested: true,
            next_pass_at_ms: now,
        }
    }

    /// Requests a pass, as soon as one is allowed, after a change that may let tasks be placed.
    pub(crate) fn request_pass(&mut self) {
        self.pass_requested = true;
    }

    /// Has the job ranking recomputed before the next pass, after jobs were added, removed or became ready.
    pub(crate) fn jobs_changed(&mut self) {
        self.ranks.invalidate();
    }

    /// Returns whether a pass is due now, and if so marks the request as served.
    pub(crate) fn begin_pass(&mut self, now: u64) -> bool {
        let due = self.pass_requested && now >= self.next_pass_at_ms;
        if due {
            self.pass_requested = false;
        }
        due
    }

    /// Allows no further pass before `not_before` (monotonic clock, ms).
    pub(crate) fn delay_next_pass(&mut self, not_before: u64) {
        self.next_pass_at_ms = not_before;
    }

    /// Resources and task counts that classes and teams have placed on machines.
    pub(crate) fn usage(&self) -> &Usage {
        &self.usage
    }

    /// Mutable usage, for reporting placements that were added or removed.
    pub(crate) fn usage_mut(&mut self) -> &mut Usage {
        &mut self.usage
    }

    /// Corrects the estimates of a class by a task that ran to its end. Times are in seconds.
    pub(crate) fn record_run_time(&mut self, class: &str, actual_s: f64, estimated_s: f64) {
        self.run_times.record(class, actual_s, estimated_s);
    }

    /// Estimated run time of one of the job's tasks, in seconds.
    pub(crate) fn estimated_run_s(&self, job: &Job) -> f64 {
        self.run_times.run_s(job)
    }

    /// Estimates from the run times recorded so far and the current catalog.
    pub(crate) fn estimates<'a>(&'a self, ctx: &'a Context) -> Estimates<'a> {
        Estimates {
            run_times: &self.run_times,
            catalog: ctx.catalog.as_ref(),
            heartbeat_interval_s: ctx.settings.heartbeat_interval_s,
        }
    }
}
