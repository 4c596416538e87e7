//! `left_waiting`: no job waits for long while a machine that fits has room and its team is below its
//! limit. The protocol has no such rule, but a service that breaks this one misses its objectives.

use super::{Checker, Rule};

/// How long a job may wait, in ms.
const LONGEST_WAIT_MS: u64 = 90_000;

/// A job's wait beside a machine with room.
#[derive(Debug)]
pub(super) struct Wait {
    since: u64,
    reported: bool,
}

impl Checker {
    /// A job waits though there is room. It counts from when all faults are over.
    pub fn check_wait_despite_capacity(&mut self, now: u64, calm_from: u64, job: &str) {
        let wait = self.history(job).wait.get_or_insert(Wait { since: now, reported: false });
        let since = wait.since.max(calm_from);
        if wait.reported || now <= since + LONGEST_WAIT_MS {
            return;
        }
        wait.reported = true;
        self.report(now, Rule::LeftWaiting, format!("{job} since {since} though there is room"));
    }

    /// A job runs, or there is no room for it.
    pub fn clear_wait(&mut self, job: &str) {
        if let Some(history) = self.histories.get_mut(job) {
            history.wait = None;
        }
    }
}
