//! Task counts of jobs for users' status queries.

use super::peers::SharedTaskCounts;
use crate::api::{TaskCountSource, TaskCounts};
use crate::leader::Leader;

/// Sources of task counts on this controller.
pub(super) struct ControllerTaskCounts<'a> {
    /// The leader's state, if this process is the leader. It has the current counts.
    pub leader: Option<&'a Leader>,
    /// Counts last shared by another leader, used if this process is not the leader.
    pub shared: &'a SharedTaskCounts,
}

impl TaskCountSource for ControllerTaskCounts<'_> {
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
