//! The graph of jobs that depend on unfinished jobs, and the queue of final records to read for it.
//!
//! Invariant: a dependency has an entry only while a job depends on it.

use crate::leader::scheduler::estimates::Estimates;
use crate::model::{Id, Job};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Limit on concurrent reads of final records.
const MAX_READS_IN_FLIGHT: u32 = 4;

/// A queued read of a final record.
#[derive(Debug)]
struct FinalRecordRead {
    /// Earliest time of the read (monotonic clock, ms).
    due_at: u64,
    job: Id,
}

/// Dependencies between jobs.
#[derive(Debug, Default)]
pub(crate) struct DependencyGraph {
    /// Dependent jobs by the job that they depend on.
    dependents: BTreeMap<Id, BTreeSet<Id>>,
    reads: VecDeque<FinalRecordRead>,
    reads_in_flight: u32,
}

impl DependencyGraph {
    /// Adds the rule that `dependent` may not start before `dependency` is done.
    pub(super) fn add(&mut self, dependency: Id, dependent: Id) {
        self.dependents.entry(dependency).or_default().insert(dependent);
    }

    /// Removes a dependency of a job that no longer exists. Returns whether `dependent` was the last job to depend
    /// on `dependency`.
    pub(super) fn remove(&mut self, dependency: &Id, dependent: &Id) -> bool {
        let Some(dependents) = self.dependents.get_mut(dependency) else { return false };
        dependents.remove(dependent);
        let last = dependents.is_empty();
        if last {
            self.dependents.remove(dependency);
        }
        last
    }

    /// Removes a job that has ended from the graph. Returns the jobs that depended on it, or `None` if there were
    /// none.
    pub(super) fn take_dependents(&mut self, dependency: &str) -> Option<BTreeSet<Id>> {
        self.dependents.remove(dependency)
    }

    /// Whether any job depends on this one.
    pub(super) fn has_dependents(&self, dependency: &Id) -> bool {
        self.dependents.contains_key(dependency)
    }

    /// Queues a read of the final record of a job, not before `due_at` (monotonic clock, ms).
    pub(super) fn request_final_record(&mut self, due_at: u64, job: Id) {
        self.reads.push_back(FinalRecordRead { due_at, job });
    }

    /// Returns the final records to read now. Reads that are not due, or exceed the limit, stay queued. Reads of
    /// jobs that are among the unfinished `jobs`, or that no job depends on any more, are dropped.
    pub(super) fn take_due_reads(&mut self, now: u64, jobs: &BTreeMap<Id, Job>) -> Vec<Id> {
        let mut due = Vec::new();
        for _ in 0..self.reads.len() {
            let Some(read) = self.reads.pop_front() else { break };
            if jobs.contains_key(&read.job) || !self.has_dependents(&read.job) {
                continue;
            }
            if read.due_at > now || self.reads_in_flight >= MAX_READS_IN_FLIGHT {
                self.reads.push_back(read);
                continue;
            }
            self.reads_in_flight += 1;
            due.push(read.job);
        }
        due
    }

    /// Counts a read of a final record as answered.
    pub(super) fn read_answered(&mut self) {
        self.reads_in_flight = self.reads_in_flight.saturating_sub(1);
    }

    /// Returns the jobs that depend on this one, directly or indirectly, and have not been offloaded: as in Skedulix,
    /// the stages after an offloaded stage are offloaded too. The dependents of an offloaded job are not visited.
    pub(super) fn dependents_to_offload(&self, jobs: &BTreeMap<Id, Job>, id: &Id) -> Vec<Id> {
        let mut found: Vec<Id> = Vec::new();
        let mut unvisited = vec![id.clone()];
        while let Some(id) = unvisited.pop() {
            for dependent in self.dependents.get(&id).into_iter().flatten() {
                if jobs.get(dependent).is_some_and(|job| !job.scheduling.offloaded) && !found.contains(dependent) {
                    found.push(dependent.clone());
                    unvisited.push(dependent.clone());
                }
            }
        }
        found
    }

    /// Propagates deadlines and priorities from jobs to their dependencies, in reverse topological order. A
    /// dependency must be done early enough for the critical path after it.
    pub(super) fn propagate_deadlines(&self, jobs: &mut BTreeMap<Id, Job>, estimates: &Estimates) {
        let mut unvisited_dependents = self.reset_inherited(jobs);
        let all: BTreeSet<&Id> = self.dependents.values().flatten().collect();
        let mut ready: Vec<Id> =
            all.into_iter().filter(|id| !unvisited_dependents.contains_key(*id)).cloned().collect();
        while let Some(id) = ready.pop() {
            let Some(job) = jobs.get(&id) else { continue };
            let due = job.deadline().map(|due| due.saturating_sub(estimates.critical_path_ms(job)));
            let priority = job.scheduling.priority;
            for dependency in job.open_dependencies.clone() {
                if let Some(job) = jobs.get_mut(&dependency) {
                    job.scheduling.inherited_deadline_ms =
                        job.scheduling.inherited_deadline_ms.into_iter().chain(due).min();
                    job.scheduling.priority = job.scheduling.priority.max(priority);
                }
                if let Some(unvisited) = unvisited_dependents.get_mut(&dependency) {
                    *unvisited -= 1;
                    if *unvisited == 0 {
                        ready.push(dependency);
                    }
                }
            }
        }
    }

    /// Clears the inherited deadlines and priorities; returns the number of dependents of each dependency.
    fn reset_inherited(&self, jobs: &mut BTreeMap<Id, Job>) -> BTreeMap<Id, usize> {
        let mut counts = BTreeMap::new();
        for (id, dependents) in &self.dependents {
            let Some(job) = jobs.get_mut(id) else { continue };
            clear_inherited(job);
            counts.insert(id.clone(), dependents.len());
        }
        counts
    }
}

/// Resets the deadline and priority of a job to its own.
pub(super) fn clear_inherited(job: &mut Job) {
    job.scheduling.inherited_deadline_ms = None;
    job.scheduling.priority = job.spec.priority;
}

#[cfg(test)]
mod tests;
