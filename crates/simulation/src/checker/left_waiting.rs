//! `left_waiting`: no job waits for long while a suitable machine has free capacity and the job's team is below its
//! limit. The protocol has no such rule, but a service that breaks this one misses its service-level objectives.

use super::{Checker, Rule};

/// Maximum wait of a job despite free capacity, in ms.
const MAX_WAIT_MS: u64 = 90_000;

/// A wait of a job while a suitable machine has free capacity.
#[derive(Debug)]
pub(super) struct Wait {
    /// Beginning of the wait, in ms.
    since: u64,
    /// Whether the wait has been reported as a violation.
    reported: bool,
}

impl Checker {
    /// Records that a job waits despite free capacity, and reports it when it has waited for too long. The time counts
    /// from `faults_over_at` at the earliest, as faults may keep the controllers from placing tasks.
    pub fn check_wait_despite_capacity(&mut self, now: u64, faults_over_at: u64, job: &str) {
        let wait = self.history(job).wait.get_or_insert(Wait { since: now, reported: false });
        let since = wait.since.max(faults_over_at);
        if wait.reported || now <= since + MAX_WAIT_MS {
            return;
        }
        wait.reported = true;
        self.report(now, Rule::LeftWaiting, format!("{job} waits since {since} ms despite free capacity"));
    }

    /// Records that a job does not wait, or that no suitable machine has free capacity.
    pub fn clear_wait(&mut self, job: &str) {
        if let Some(history) = self.histories.get_mut(job) {
            history.wait = None;
        }
    }
}
