//! Failure history of a machine: failed tasks, quarantine and slowness.

use super::Id;
use std::collections::BTreeSet;

/// Maximum number of times that the length of a quarantine doubles.
const MAX_QUARANTINE_DOUBLINGS: u32 = 3;

/// Failure history of a machine.
#[derive(Debug, Default)]
pub struct MachineHealth {
    /// Jobs of the consecutive failures that count against the machine, one entry per failure.
    failed_jobs: Vec<Id>,
    /// When a task last failed on the machine (ms, monotonic); 0 if none has.
    failed_at_ms: u64,
    /// End of the current quarantine or pause (ms, monotonic). The machine gets no tasks before.
    pub quarantined_until_ms: u64,
    /// Number of quarantines since a task last succeeded.
    pub quarantine_count: u32,
    /// End of the time for which the machine counts as slow (ms, monotonic): its tasks overran the usual run time of
    /// their jobs. It gets no batch work before.
    pub slow_until_ms: u64,
}

impl MachineHealth {
    /// Whether the machine is in quarantine or paused at this time.
    pub fn is_quarantined(&self, now: u64) -> bool {
        now < self.quarantined_until_ms
    }

    /// Puts the machine in quarantine for `base_ms`, doubled for each earlier quarantine since a task last succeeded,
    /// up to eight times `base_ms`. Returns the length in ms.
    pub fn quarantine(&mut self, now: u64, base_ms: f64) -> f64 {
        self.quarantine_count += 1;
        let doublings = (self.quarantine_count - 1).min(MAX_QUARANTINE_DOUBLINGS);
        let pause_ms = base_ms * f64::from(1u32 << doublings);
        self.quarantined_until_ms = now + pause_ms as u64;
        self.failed_jobs.clear();
        pause_ms
    }

    /// Gives the machine no tasks before this time, without counting a quarantine. A longer quarantine stays as it is.
    pub fn pause_until(&mut self, time_ms: u64) {
        self.quarantined_until_ms = self.quarantined_until_ms.max(time_ms);
    }

    /// Records when a task failed on the machine.
    pub fn record_task_failure(&mut self, now: u64) {
        self.failed_at_ms = now;
    }

    /// Counts a failure of a task of this job against the machine.
    pub fn record_job_failure(&mut self, job: Id) {
        self.failed_jobs.push(job);
    }

    /// Removes all counted failures of a job.
    pub fn clear_job_failures(&mut self, job: &Id) {
        self.failed_jobs.retain(|failed| failed != job);
    }

    /// Whether failures of this job count against the machine.
    pub fn has_job_failure(&self, job: &Id) -> bool {
        self.failed_jobs.contains(job)
    }

    /// Marks the machine as slow until the given time. Returns whether it did not count as slow before.
    pub fn mark_slow(&mut self, now: u64, until_ms: u64) -> bool {
        let was_not_slow = now >= self.slow_until_ms;
        self.slow_until_ms = until_ms;
        was_not_slow
    }

    /// Records the success of a task that was planned at `planned_at_ms`, which clears all failures. A task planned
    /// before the last failure is ignored, because it says nothing about the machine's state since.
    pub fn record_task_success(&mut self, planned_at_ms: u64) {
        if planned_at_ms > self.failed_at_ms {
            self.failed_jobs.clear();
            self.quarantine_count = 0;
        }
    }

    /// Number of distinct jobs among the counted failures.
    pub fn failed_job_count(&self) -> usize {
        self.failed_jobs.iter().collect::<BTreeSet<_>>().len()
    }
}

#[cfg(test)]
mod tests;
