//! How well tasks run on a machine.

use super::Id;
use std::collections::BTreeSet;

/// A machine's quarantine doubles at most so many times.
const MOST_DOUBLINGS: u32 = 3;

/// How well tasks run on a machine.
#[derive(Debug, Default)]
pub struct MachineHealth {
    /// Jobs of the failures in a row that are not the jobs' fault, one for each failure.
    failed_jobs: Vec<Id>,
    /// When last a task failed here.
    failed_at: u64,
    /// Not used before this time.
    pub quarantined_until_ms: u64,
    /// Times that it was put in quarantine since a task succeeded.
    pub quarantine_count: u32,
    /// Its tasks take much longer than the same jobs' elsewhere: no batch work before this time.
    pub slow_until_ms: u64,
}

impl MachineHealth {
    /// Whether the machine is left alone at this time because tasks failed.
    pub fn is_quarantined(&self, now: u64) -> bool {
        now < self.quarantined_until_ms
    }

    /// Puts the machine in quarantine for a base time, which doubles with each time since a task
    /// succeeded, up to eight times the base. Returns how long, in ms.
    pub fn quarantine(&mut self, now: u64, base_ms: f64) -> f64 {
        self.quarantine_count += 1;
        let doublings = (self.quarantine_count - 1).min(MOST_DOUBLINGS);
        let pause_ms = base_ms * f64::from(1u32 << doublings);
        self.quarantined_until_ms = now + pause_ms as u64;
        self.failed_jobs.clear();
        pause_ms
    }

    /// Leaves the machine alone until this time at least, which does not count as a quarantine.
    pub fn pause_until(&mut self, time: u64) {
        self.quarantined_until_ms = self.quarantined_until_ms.max(time);
    }

    /// A task failed here.
    pub fn record_task_failure(&mut self, now: u64) {
        self.failed_at = now;
    }

    /// A failure of a job counts against the machine.
    pub fn record_job_failure(&mut self, job: Id) {
        self.failed_jobs.push(job);
    }

    /// Failures of a job do not count against the machine any more.
    pub fn clear_job_failures(&mut self, job: &Id) {
        self.failed_jobs.retain(|failed| failed != job);
    }

    /// Whether failures of a job count against the machine.
    pub fn has_job_failure(&self, job: &Id) -> bool {
        self.failed_jobs.contains(job)
    }

    /// The machine is slow until this time, as far as is known. Returns whether it was not before.
    pub fn mark_slow(&mut self, now: u64, until: u64) -> bool {
        let newly = now >= self.slow_until_ms;
        self.slow_until_ms = until;
        newly
    }

    /// A task that was planned at this time has succeeded. One planned before the last failure
    /// tells nothing of the machine since.
    pub fn record_task_success(&mut self, planned_at: u64) {
        if planned_at > self.failed_at {
            self.failed_jobs.clear();
            self.quarantine_count = 0;
        }
    }

    /// Tasks of how many jobs have failed in a row.
    pub fn failed_job_count(&self) -> usize {
        self.failed_jobs.iter().collect::<BTreeSet<_>>().len()
    }
}

#[cfg(test)]
mod tests;
