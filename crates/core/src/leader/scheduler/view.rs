//! The input of scheduling decisions: read access to jobs, machines and settings at one time.
//!
//! A decision is a function from a view to a typed result. It changes nothing; the leader carries out the result.

use crate::io::Timestamp;
use crate::leader::fleet::machines::MachineIndex;
use crate::leader::scheduler::Scheduler;
use crate::leader::scheduler::estimates::Estimates;
use crate::model::{Id, Job};
use crate::settings::{Settings, Tuning};
use crate::work_counters::WorkCounter;
use std::collections::BTreeMap;

/// All data that a scheduling decision may read.
pub(crate) struct SchedulingView<'a> {
    /// Unfinished jobs.
    pub(crate) jobs: &'a BTreeMap<Id, Job>,
    /// Known machines.
    pub(crate) machines: &'a MachineIndex,
    /// State that the scheduler keeps between passes.
    pub(crate) scheduler: &'a Scheduler,
    /// Estimates of run times and image fetches.
    pub(crate) estimates: Estimates<'a>,
    pub(crate) settings: &'a Settings,
    pub(crate) tuning: &'a Tuning,
    pub(crate) now: Timestamp,
    /// Counts the machines that a decision examines.
    pub(crate) work: &'a WorkCounter,
}

impl SchedulingView<'_> {
    /// Number of further tasks of the job that the limit of its team allows; zero for an unknown team.
    pub(crate) fn team_headroom(&self, job: &Job) -> u32 {
        let Some(team) = self.settings.teams.get(&job.spec.team) else { return 0 };
        team.max_tasks(&self.scheduler.usage.of_team(&job.spec.team), &job.need)
    }

    /// Whether the start objective of the job's class is shorter than the image fetch of the job.
    pub(crate) fn must_start_before_fetch(&self, job: &Job) -> bool {
        let objective = self.settings.objectives.get(&job.spec.class);
        let start_s = objective.and_then(|objective| objective.shortest_start_s());
        start_s.is_some_and(|start_s| start_s < self.estimates.image_fetch_s(job))
    }
}
