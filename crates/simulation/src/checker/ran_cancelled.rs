//! `ran_cancelled`: after a user was told that a job is cancelled, the job's tasks may start or stay on machines only
//! within the time limit of cancellations that the settings give.

use super::{Checker, Rule};
use crate::agent::Machine;
use shaleshunt_wire::worker::split_task_name;

/// Time after the limit in which a task that is still on a machine is reported, in ms. The bound keeps a task that
/// stays for long from being reported at every check.
const REPORT_WINDOW_MS: u64 = 1_000;

/// Task starts after a confirmed cancellation of the job. Within the time limit of cancellations they break no rule.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LateStarts {
    /// Number of starts.
    pub count: u32,
    /// Longest time between confirmation and start, in ms.
    pub longest_ms: u64,
}

impl Checker {
    /// Counts the start of a cancelled job's task, and reports a start after the time limit.
    pub(super) fn check_not_cancelled(&mut self, now: u64, job: &str, task: &str, machine: &Machine) {
        let Some(cancelled_at) = self.known_history(job).and_then(|history| history.cancelled_at) else { return };
        let late = &mut self.starts_after_cancellation;
        late.count += 1;
        late.longest_ms = late.longest_ms.max(now - cancelled_at);
        if now > cancelled_at + self.cancel_ms {
            self.report(now, Rule::RanCancelled, format!("{task} of a cancelled job starts on {}", machine.id));
        }
    }

    /// Reports tasks of cancelled jobs that are still on machines after the time limit.
    pub fn check_cancelled_tasks(&mut self, now: u64) {
        let is_late = |task: &&String| {
            let job = split_task_name(task).map_or("", |(job, _)| job);
            let cancelled_at = self.known_history(job).and_then(|history| history.cancelled_at);
            cancelled_at.map(|at| at + self.cancel_ms).is_some_and(|end| now > end && now < end + REPORT_WINDOW_MS)
        };
        let running = self.placements.iter().filter(|(_, placements)| !placements.is_empty());
        let late: Vec<String> = running.map(|(task, _)| task).filter(is_late).cloned().collect();
        for task in late {
            self.report(now, Rule::RanCancelled, format!("{task} of a cancelled job is still on a machine"));
        }
    }
}
