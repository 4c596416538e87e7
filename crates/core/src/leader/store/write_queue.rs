//! Jobs of which something waits to be written, in the order in which it is written.

use crate::model::{Id, Job};
use shaleshunt_wire::user::Priority;
use std::cmp::Reverse;
use std::collections::BTreeSet;

/// How soon a change is to be written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WriteUrgency {
    /// With the next transaction: something waits for it to be committed.
    Immediate,
    /// Along with other writes, or alone after a while.
    Deferred,
}

/// A job that has ended. Those that are cancelled because of another come last: until their own end is
/// written, that other job's record shows it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct JobEnd {
    cancelled_with_another: bool,
    since_ms: u64,
    pub job: Id,
}

/// A job with placements to commit, the most urgent first.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct UrgentJob {
    priority: Reverse<Priority>,
    accepted_at_ms: u64,
    pub job: Id,
}

/// A job with outcomes, the one that waits longest first.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct DeferredJob {
    pub since_ms: u64,
    pub job: Id,
}

/// Jobs of which something waits to be written. A job may be in each of the three orders; who takes
/// an entry out changes the flags in the job's `writes` with it.
#[derive(Debug, Default)]
pub(super) struct WriteQueue {
    job_ends: BTreeSet<JobEnd>,
    urgent: BTreeSet<UrgentJob>,
    deferred: BTreeSet<DeferredJob>,
    /// Changes so far: tells a newer entry about a task from the one that was written.
    change_counter: u64,
}

impl WriteQueue {
    /// Something about a task is to be written.
    pub(super) fn record_change(&mut self, now: u64, job: &mut Job, task: u32, urgency: WriteUrgency) {
        self.change_counter += 1;
        job.writes.tasks.insert(task, self.change_counter);
        job.writes.urgent |= urgency == WriteUrgency::Immediate;
        self.queue(now, job);
    }

    /// Queues what a job has to write, its end included.
    pub(super) fn queue(&mut self, now: u64, job: &mut Job) {
        if job.has_ended() {
            let since_ms = *job.writes.ended_at_ms.get_or_insert(now);
            let cancelled_with_another = job.cancelled && !job.record.has_cancellation_key;
            self.job_ends.insert(JobEnd { cancelled_with_another, since_ms, job: job.id.clone() });
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

    /// The first `count` jobs with placements to commit.
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

    /// Whether a job's end or a placement waits.
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
