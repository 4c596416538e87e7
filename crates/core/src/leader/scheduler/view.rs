//! What scheduling decisions read: a borrowed picture of jobs, machines and settings at one time.
//!
//! Decisions are functions from a view to a typed result. They change nothing; the leader carries out
//! what they return.

use crate::io::Timestamp;
use crate::leader::fleet::machines::MachineIndex;
use crate::leader::scheduler::Scheduler;
use crate::leader::scheduler::estimates::Estimates;
use crate::model::{Id, Job};
use crate::settings::{Settings, Tuning};
use crate::work_counters::WorkCounter;
use std::collections::BTreeMap;

/// Everything that a scheduling decision may read.
pub(crate) struct SchedulingView<'a> {
    /// Unfinished jobs.
    pub(crate) jobs: &'a BTreeMap<Id, Job>,
    /// Known machines.
    pub(crate) machines: &'a MachineIndex,
    /// What the scheduler keeps between passes.
    pub(crate) scheduler: &'a Scheduler,
    /// Run times and image fetches.
    pub(crate) estimates: Estimates<'a>,
    pub(crate) settings: &'a Settings,
    pub(crate) tuning: &'a Tuning,
    pub(crate) now: Timestamp,
    /// Counts how many machines the decision examined.
    pub(crate) work: &'a WorkCounter,
}

impl SchedulingView<'_> {
    /// How many further tasks of the job its team's limit allows; none for an unknown team.
    pub(crate) fn team_headroom(&self, job: &Job) -> u32 {
        let Some(team) = self.settings.teams.get(&job.spec.team) else { return 0 };
        team.max_tasks(&self.scheduler.usage.of_team(&job.spec.team), &job.need)
    }

    /// Whether the objective of the job's class is to start sooner than its image can be fetched.
    pub(crate) fn must_start_before_fetch(&self, job: &Job) -> bool {
        let objective = self.settings.objectives.get(&job.spec.class);
        let start_s = objective.and_then(|objective| objective.shortest_start_s());
        start_s.is_some_and(|start_s| start_s < self.estimates.image_fetch_s(job))
    }
}
