//! In-memory cache of job records.
//!
//! Final states never change, so queries for them are answered from the cache. Unfinished jobs are cached with the
//! version of their record, so that a transaction that only compares versions shows whether they are still unfinished.
//! Both kinds are bounded; the oldest entries are evicted first.

use crate::controller::BatchTime;
use shaleshunt_wire::Revision;
use std::collections::{HashMap, VecDeque};

/// The final state of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum FinalState {
    /// All tasks are done.
    Done {
        /// Number of tasks.
        tasks: u32,
    },
    /// The job was cancelled.
    Cancelled,
}

/// State of a job whose record was unfinished when last seen.
#[derive(Debug, Default)]
pub(super) struct UnfinishedJob {
    /// Version of the job record.
    pub record_version: Revision,
    /// Names of the jobs that the record lists as dependencies. Jobs known to be done may be missing.
    pub dependencies: Vec<String>,
    /// The job was neither cancelled nor finished before this batch; the default (batch 0) if that is not confirmed.
    pub confirmed_at: BatchTime,
}

/// Cached state of a job.
#[derive(Debug)]
pub(super) enum KnownJob<'a> {
    /// The job has ended.
    Final(FinalState),
    /// The job was unfinished when last seen.
    Unfinished(&'a UnfinishedJob),
    /// The job is not in the cache.
    Unknown,
}

/// Cache of the jobs whose records have been seen.
#[derive(Debug)]
pub(super) struct KnownJobs {
    unfinished: BoundedMap<UnfinishedJob>,
    finals: BoundedMap<FinalState>,
    /// Names of jobs that were recorded as cancelled since the last call of [`KnownJobs::take_newly_cancelled`].
    newly_cancelled: Vec<String>,
}

impl KnownJobs {
    /// Creates a cache of at most `capacity` unfinished and `capacity` ended jobs.
    pub fn new(capacity: usize) -> KnownJobs {
        KnownJobs {
            unfinished: BoundedMap::new(capacity),
            finals: BoundedMap::new(capacity),
            newly_cancelled: Vec::new(),
        }
    }

    /// Returns the cached state of a job. A final state takes precedence over an unfinished one.
    pub fn get(&self, job: &str) -> KnownJob<'_> {
        match (self.finals.get(job), self.unfinished.get(job)) {
            (Some(state), _) => KnownJob::Final(*state),
            (None, Some(unfinished)) => KnownJob::Unfinished(unfinished),
            (None, None) => KnownJob::Unknown,
        }
    }

    /// Returns a job's final state, if cached.
    pub fn final_state(&self, job: &str) -> Option<FinalState> {
        self.finals.get(job).copied()
    }

    /// Returns a job's last seen unfinished state, if cached.
    pub fn unfinished(&self, job: &str) -> Option<&UnfinishedJob> {
        self.unfinished.get(job)
    }

    /// Records a job's final state.
    pub fn record_final(&mut self, job: &str, state: FinalState) {
        if state == FinalState::Cancelled {
            self.newly_cancelled.push(job.to_string());
        }
        self.finals.insert(job, state);
    }

    /// Records that a job was seen unfinished.
    pub fn record_unfinished(&mut self, job: &str, seen: UnfinishedJob) {
        self.unfinished.insert(job, seen);
    }

    /// Records that a job's record still had the cached version, as shown by a comparison that was sent in the batch
    /// `sent`.
    pub fn confirm_unfinished(&mut self, job: &str, sent: BatchTime) {
        if let Some(known) = self.unfinished.get_mut(job)
            && sent.is_at_or_after(known.confirmed_at)
        {
            known.confirmed_at = sent;
        }
    }

    /// Records the version of a job's record as shared by the leader, and clears the job's dependencies: the leader
    /// shares versions only of jobs that no longer depend on others. An outdated version is safe, since the next
    /// comparison detects it.
    pub fn learn_record_version(&mut self, job: &str, record_version: Revision) {
        match self.unfinished.get_mut(job) {
            Some(known) => {
                known.record_version = record_version.max(known.record_version);
                known.dependencies.clear();
            }
            None => self.unfinished.insert(job, UnfinishedJob { record_version, ..UnfinishedJob::default() }),
        }
    }

    /// Removes a job's unfinished state because its record has changed.
    pub fn forget_unfinished(&mut self, job: &str) {
        self.unfinished.remove(job);
    }

    /// Takes the names of jobs that were recorded as cancelled since the last call.
    pub fn take_newly_cancelled(&mut self) -> Vec<String> {
        std::mem::take(&mut self.newly_cancelled)
    }
}

/// A map with bounded capacity that evicts the entry inserted first.
#[derive(Debug)]
struct BoundedMap<T> {
    entries: HashMap<String, T>,
    /// Keys in order of insertion. The position of a removed key stays until it becomes the oldest. It then evicts
    /// nothing, or the same key if the key was inserted again.
    insertion_order: VecDeque<String>,
    capacity: usize,
}

impl<T> BoundedMap<T> {
    fn new(capacity: usize) -> BoundedMap<T> {
        BoundedMap { entries: HashMap::new(), insertion_order: VecDeque::new(), capacity }
    }

    fn get(&self, key: &str) -> Option<&T> {
        self.entries.get(key)
    }

    fn get_mut(&mut self, key: &str) -> Option<&mut T> {
        self.entries.get_mut(key)
    }

    fn remove(&mut self, key: &str) {
        self.entries.remove(key);
    }

    fn insert(&mut self, key: &str, value: T) {
        if self.entries.insert(key.to_string(), value).is_some() {
            return;
        }
        self.insertion_order.push_back(key.to_string());
        if self.insertion_order.len() > self.capacity
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.entries.remove(&oldest);
        }
    }
}

#[cfg(test)]
mod tests;
