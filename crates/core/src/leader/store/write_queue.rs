//! Queues of jobs with pending writes, in the order in which they are written.

use crate::model::{Id, Job};
use shaleshunt_wire::user::Priority;
use std::cmp::Reverse;
use std::collections::BTreeSet;

/// Urgency of writing a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WriteUrgency {
    /// Written with the next transaction, since an action waits for the commit.
    Immediate,
    /// Written together with other changes, or alone after a delay.
    Deferred,
}

/// A job that has ended. Jobs cancelled by a dependency sort last: if a user asks before their end is written, a
/// controller marks their record as cancelled.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct JobEnd {
    pub cancelled_by_dependency: bool,
    since_ms: u64,
    pub job: Id,
}

/// A job with placements to commit, ordered by urgency.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct UrgentJob {
    priority: Reverse<Priority>,
    accepted_at_ms: u64,
    pub job: Id,
}

/// A job with outcomes to write, ordered by the time since which it has been waiting.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct DeferredJob {
    pub since_ms: u64,
    pub job: Id,
}

/// Jobs with pending writes. A job may be in each of the three queues. The caller that removes an element also clears
/// the corresponding flag in the job's `writes`.
#[derive(Debug, Default)]
pub(super) struct WriteQueue {
    job_ends: BTreeSet<JobEnd>,
    urgent: BTreeSet<UrgentJob>,
    deferred: BTreeSet<DeferredJob>,
    /// Number of changes so far. Distinguishes a task's latest change from the one that was written.
    change_counter: u64,
}

impl WriteQueue {
    /// Queues a change of a task to be written.
    pub(super) fn record_task_change(&mut self, now: u64, job: &mut Job, task: u32, urgency: WriteUrgency) {
        self.change_counter += 1;
        job.writes.tasks.insert(task, self.change_counter);
        job.writes.urgent |= urgency == WriteUrgency::Immediate;
        self.queue(now, job);
    }

    /// Queues the pending writes of a job, including its end.
    pub(super) fn queue(&mut self, now: u64, job: &mut Job) {
        if job.has_ended() {
            let since_ms = *job.writes.ended_at_ms.get_or_insert(now);
            let cancelled_by_dependency = job.cancelled && !job.record.has_cancellation_key;
            self.job_ends.insert(JobEnd { cancelled_by_dependency, since_ms, job: job.id.clone() });
        } else if job.writes.urgent {
            let priority = Reverse(job.scheduling.priority);
            self.urgent.insert(UrgentJob { priority, accepted_at_ms: job.accepted_at_ms, job: job.id.clone() });
        }
        if !job.writes.tasks.is_empty() && !job.writes.deferred {
            job.writes.deferred = true;
            self.deferred.insert(DeferredJob { since_ms: now, job: job.id.clone() });
        }
    }

    pub(super) fn first_job_end(&self) -> Option<JobEnd> {
        self.job_ends.first().cloned()
    }

    pub(super) fn remove_job_end(&mut self, end: &JobEnd) {
        self.job_ends.remove(end);
    }

    /// Returns the first `count` jobs with placements to commit.
    pub(super) fn first_urgent(&self, count: usize) -> Vec<UrgentJob> {
        self.urgent.iter().take(count).cloned().collect()
    }

    pub(super) fn remove_urgent(&mut self, urgent: &UrgentJob) {
        self.urgent.remove(urgent);
    }

    pub(super) fn first_deferred(&self) -> Option<DeferredJob> {
        self.deferred.first().cloned()
    }

    pub(super) fn remove_deferred(&mut self, deferred: &DeferredJob) {
        self.deferred.remove(deferred);
    }

    /// Whether any job end or placement is waiting to be written.
    pub(super) fn has_urgent_work(&self) -> bool {
        !self.job_ends.is_empty() || !self.urgent.is_empty()
    }

    pub(super) fn is_empty(&self) -> bool {
        !self.has_urgent_work() && self.deferred.is_empty()
    }

    pub(super) fn job_end_count(&self) -> usize {
        self.job_ends.len()
    }

    pub(super) fn urgent_count(&self) -> usize {
        self.urgent.len()
    }

    pub(super) fn deferred_count(&self) -> usize {
        self.deferred.len()
    }
}

#[cfg(test)]
mod tests;
