//! Progress of jobs, for users' status queries.

use super::peers::SharedTaskCounts;
use crate::api::{TaskCounts, TaskProgress};
use crate::leader::Leader;

/// What this controller can tell of jobs' progress.
pub(super) struct ReportedProgress<'a> {
    /// The leader, if this process leads: it knows best.
    pub leader: Option<&'a Leader>,
    /// What another controller shared while it led.
    pub shared: &'a SharedTaskCounts,
}

impl TaskProgress for ReportedProgress<'_> {
    fn task_counts(&self, job: &str) -> TaskCounts {
        match self.leader {
            Some(leader) => {
                let (done, running) = leader.task_counts(job);
                TaskCounts { done, running }
            }
            None => self.shared.get(job).copied().unwrap_or_default(),
        }
    }
}
