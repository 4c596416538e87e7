//! What this process remembers of jobs' records.
//!
//! Final states never change, so they are answered from here. Unfinished jobs are remembered with the
//! revision of their record: a transaction that only compares revisions shows whether they are still
//! unfinished. Both kinds are bounded; the oldest entries are forgotten first.

use crate::controller::BatchTime;
use shaleshunt_wire::Revision;
use std::collections::{HashMap, VecDeque};

/// The final state of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum FinalState {
    /// All its tasks are done.
    Done {
        /// How many it had.
        tasks: u32,
    },
    /// It was cancelled.
    Cancelled,
}

/// A job as it was when its record was last seen unfinished.
#[derive(Debug, Default)]
pub(super) struct UnfinishedJob {
    /// Revision of its record.
    pub record_version: Revision,
    /// Jobs that it depends on, as far as they were not known to be done.
    pub dependencies: Vec<String>,
    /// It was neither cancelled nor finished before this time.
    pub confirmed_at: BatchTime,
}

/// What is known of a job.
#[derive(Debug)]
pub(super) enum KnownJob<'a> {
    /// Its final state.
    Final(FinalState),
    /// It was unfinished when last seen.
    Unfinished(&'a UnfinishedJob),
    /// Nothing.
    Unknown,
}

/// Jobs whose records have been seen.
#[derive(Debug)]
pub(super) struct KnownJobs {
    unfinished: BoundedMap<UnfinishedJob>,
    finals: BoundedMap<FinalState>,
    /// Jobs found to be cancelled since [`KnownJobs::take_newly_cancelled`] was last called.
    newly_cancelled: Vec<String>,
}

impl KnownJobs {
    /// Remembers at most `capacity` jobs of each kind.
    pub fn new(capacity: usize) -> KnownJobs {
        KnownJobs {
            unfinished: BoundedMap::new(capacity),
            finals: BoundedMap::new(capacity),
            newly_cancelled: Vec::new(),
        }
    }

    /// What is known of a job. A final state counts above what was seen before it.
    pub fn get(&self, job: &str) -> KnownJob<'_> {
        match (self.finals.get(job), self.unfinished.get(job)) {
            (Some(state), _) => KnownJob::Final(*state),
            (None, Some(unfinished)) => KnownJob::Unfinished(unfinished),
            (None, None) => KnownJob::Unknown,
        }
    }

    /// The final state of a job, if known.
    pub fn final_state(&self, job: &str) -> Option<FinalState> {
        self.finals.get(job).copied()
    }

    /// The job as it was last seen unfinished.
    pub fn unfinished(&self, job: &str) -> Option<&UnfinishedJob> {
        self.unfinished.get(job)
    }

    /// Records a final state.
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

    /// The record of a job still had the known revision when a comparison was sent.
    pub fn confirm_unfinished(&mut self, job: &str, sent: BatchTime) {
        if let Some(known) = self.unfinished.get_mut(job)
            && sent.is_at_or_after(known.confirmed_at)
        {
            known.confirmed_at = sent;
        }
    }

    /// Takes over the revision of a job's record from the leader, who shares it only for jobs that no
    /// longer depend on any other. An old revision does no harm: the next comparison shows it.
    pub fn learn_record_version(&mut self, job: &str, record_version: Revision) {
        match self.unfinished.get_mut(job) {
            Some(known) => {
                known.record_version = record_version.max(known.record_version);
                known.dependencies.clear();
            }
            None => self.unfinished.insert(job, UnfinishedJob { record_version, ..UnfinishedJob::default() }),
        }
    }

    /// The record of a job has changed: what was seen of it is void.
    pub fn forget_unfinished(&mut self, job: &str) {
        self.unfinished.remove(job);
    }

    /// Jobs found to be cancelled since the last call.
    pub fn take_newly_cancelled(&mut self) -> Vec<String> {
        std::mem::take(&mut self.newly_cancelled)
    }
}

/// A map that holds a bounded number of entries and evicts the one inserted first.
#[derive(Debug)]
struct BoundedMap<T> {
    entries: HashMap<String, T>,
    /// Keys in the order of their insertion. The place of a removed key stays until its turn comes: it
    /// then evicts nothing, or the same key if that was inserted again.
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
