//! Progress of jobs, for users' status queries.

use crate::api::{TaskCounts, TaskProgress};
use crate::leader::Leader;
use std::collections::HashMap;

/// What this controller can tell of jobs' progress.
pub(super) struct ReportedProgress<'a> {
    /// The leader, if it is this controller: it knows best.
    pub leader: Option<&'a Leader>,
    /// Done and running tasks of jobs, as another controller shared them while it led.
    pub shared: &'a HashMap<String, (u32, u32)>,
}

impl TaskProgress for ReportedProgress<'_> {
    fn task_counts(&self, job: &str) -> TaskCounts {
        let (done, running) = match self.leader {
            Some(leader) => leader.count(job),
            None => self.shared.get(job).copied().unwrap_or_default(),
        };
        TaskCounts { done, running }
    }
}
