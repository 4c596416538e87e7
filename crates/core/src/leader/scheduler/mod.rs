//! The scheduler: which job goes first, which machine a task goes to, what is preempted for it, and which
//! jobs are offloaded to rented machines.
//!
//! It owns what it keeps between passes over the queue: the dependency graph, the inputs of the order among
//! jobs, usage by class and team, and run-time statistics. Jobs and machines belong to the leader and the
//! fleet; decisions read them through a [`view::SchedulingView`] and return what is to be done, and
//! [`pass`] and [`dependencies`] carry it out.
//!
//! What always holds: usage is the sum over all placements on machines, which the leader reports as it adds
//! and removes them; a job is placed only when nothing that it depends on is open. Only the leader calls in
//! here; the autoscaler reads usage, estimates and constraints.

pub(crate) mod candidates;
pub(crate) mod constraints;
pub(crate) mod dependencies;
pub(crate) mod dependency_graph;
pub(crate) mod estimates;
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
use crate::leader::scheduler::estimates::{Estimates, RuntimesByClass};
use crate::leader::scheduler::queue::RankInputs;
use crate::leader::scheduler::usage::Usage;
use crate::model::{Id, Job};

/// What the scheduler keeps between passes over the queue.
#[derive(Debug)]
pub(crate) struct Scheduler {
    dependencies: DependencyGraph,
    usage: Usage,
    runtimes: RuntimesByClass,
    ranks: RankInputs,
    /// Where the next sample of machines for a preemption begins.
    preemption_sample_start: Option<Id>,
    pass_requested: bool,
    /// No pass before this time (steady clock, ms).
    next_pass_at: u64,
}

impl Scheduler {
    /// A scheduler that may make its first pass at `now` (steady clock, ms).
    pub(crate) fn new(now: u64) -> Scheduler {
        Scheduler {
            dependencies: DependencyGraph::default(),
            usage: Usage::default(),
            runtimes: RuntimesByClass::default(),
            ranks: RankInputs::new(),
            preemption_sample_start: None,
            pass_requested: true,
            next_pass_at: now,
        }
    }

    /// Something changed that may let tasks be placed: a pass is made as soon as one may be.
    pub(crate) fn request_pass(&mut self) {
        self.pass_requested = true;
    }

    /// Jobs came, went or became ready: the order among them is worked out anew before the next pass.
    pub(crate) fn jobs_changed(&mut self) {
        self.ranks.invalidate();
    }

    /// Whether a pass is to be made now; it then counts as begun.
    pub(crate) fn begin_pass(&mut self, now: u64) -> bool {
        let due = self.pass_requested && now >= self.next_pass_at;
        if due {
            self.pass_requested = false;
        }
        due
    }

    /// No further pass is made before this time (steady clock, ms).
    pub(crate) fn delay_next_pass(&mut self, not_before: u64) {
        self.next_pass_at = not_before;
    }

    /// What classes and teams have on machines.
    pub(crate) fn usage(&self) -> &Usage {
        &self.usage
    }

    /// To report placements that were added or removed.
    pub(crate) fn usage_mut(&mut self) -> &mut Usage {
        &mut self.usage
    }

    /// A task ran to its end: estimates of its class are corrected by it. Times in seconds.
    pub(crate) fn record_runtime(&mut self, class: &str, actual_s: f64, estimated_s: f64) {
        self.runtimes.record(class, actual_s, estimated_s);
    }

    /// Estimated run time of one of the job's tasks, in seconds.
    pub(crate) fn estimated_run_s(&self, job: &Job) -> f64 {
        self.runtimes.run_s(job)
    }

    /// Estimates by what is known now.
    pub(crate) fn estimates<'a>(&'a self, ctx: &'a Context) -> Estimates<'a> {
        Estimates {
            runtimes: &self.runtimes,
            catalog: ctx.catalog.as_ref(),
            heartbeat_interval_s: ctx.settings.heartbeat_interval_s,
        }
    }
}
