//! `ran_cancelled`: when a user has been told that a job is cancelled, its tasks may start or stay on
//! machines for the time that the settings grant, and no longer.

use super::{Checker, Rule};
use crate::agent::Machine;
use shaleshunt_wire::worker::split_task_name;

/// How long after its time a task that is still on a machine is reported, in ms.
const REPORT_MS: u64 = 1_000;

/// Starts after a confirmed cancellation. They break no rule within the time that is granted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LateStarts {
    /// How many.
    pub count: u32,
    /// The longest time between confirmation and start, in ms.
    pub longest_ms: u64,
}

impl Checker {
    pub(super) fn check_not_cancelled(&mut self, now: u64, job: &str, task: &str, machine: &Machine) {
        let Some(cancelled_at) = self.seen(job).and_then(|history| history.cancelled_at) else { return };
        let late = &mut self.starts_after_cancellation;
        late.count += 1;
        late.longest_ms = late.longest_ms.max(now - cancelled_at);
        if now > cancelled_at + self.cancel_ms {
            self.report(now, Rule::RanCancelled, format!("{task} starts on {}", machine.id));
        }
    }

    /// Looks for tasks of cancelled jobs that are still on machines.
    pub fn check_cancelled_tasks(&mut self, now: u64) {
        let is_late = |task: &&String| {
            let job = split_task_name(task).map_or("", |(job, _)| job);
            let cancelled_at = self.seen(job).and_then(|history| history.cancelled_at);
            cancelled_at.map(|at| at + self.cancel_ms).is_some_and(|end| now > end && now < end + REPORT_MS)
        };
        let running = self.placements.iter().filter(|(_, placements)| !placements.is_empty());
        let late: Vec<String> = running.map(|(task, _)| task).filter(is_late).cloned().collect();
        for task in late {
            self.report(now, Rule::RanCancelled, format!("{task} is still on a machine"));
        }
    }
}
