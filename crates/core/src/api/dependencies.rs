//! What is known of the jobs that a job depends on, directly or through others.

use crate::api::known_jobs::{FinalState, KnownJob, KnownJobs};
use crate::controller::BatchTime;
use std::collections::{BTreeMap, HashSet};

/// Most dependencies of one job that are looked up together, so that no other job waits for long
/// behind a long list.
pub(super) const MAX_LOOKUPS_PER_ROUND: usize = 64;
/// More dependencies than this are too many to be looked up for each query.
const MAX_LOOKUPS_PER_QUERY: usize = MAX_LOOKUPS_PER_ROUND * 4;
/// Most jobs with long lists that are kept up to date.
const MAX_TRACKED_LONG_LISTS: usize = 8;

/// What is known of a job's dependencies.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum DependencyState {
    /// Each is done, or was unfinished recently enough.
    NoneCancelled,
    /// One is cancelled, and all that the job names were accepted.
    Cancelled,
    /// Of these not enough is known.
    Unknown(Vec<String>),
}

/// A job's dependencies as they are known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct DependencyReport {
    /// Their state.
    pub state: DependencyState,
    /// They are too many to be looked up for each query.
    pub is_long: bool,
}

/// Follows dependencies through the known jobs. A job that was unfinished counts only if that was
/// confirmed no earlier than `since`.
///
/// For a query, `since` is when it came: the answer is then as fresh as if the job's own record
/// changed together with those of its dependencies, whoever leads and however long nobody did. For a
/// new job, of which nobody has been told anything yet, what was seen well within the time limit of a
/// cancellation is enough.
pub(super) fn resolve(known: &KnownJobs, dependencies: &[String], since: BatchTime) -> DependencyReport {
    let mut seen: HashSet<&str> = HashSet::new();
    let mut to_visit: Vec<&String> = dependencies.iter().collect();
    let mut unknown = Vec::new();
    let mut any_cancelled = false;
    while let Some(job) = to_visit.pop() {
        if !seen.insert(job) {
            continue;
        }
        match known.get(job) {
            KnownJob::Final(FinalState::Done { .. }) => {}
            KnownJob::Final(FinalState::Cancelled) => any_cancelled = true,
            KnownJob::Unfinished(unfinished) if unfinished.confirmed_at.is_at_or_after(since) => {
                to_visit.extend(&unfinished.dependencies);
            }
            KnownJob::Unfinished(_) | KnownJob::Unknown => unknown.push(job.clone()),
        }
    }
    if any_cancelled {
        // A job that names a cancelled one is cancelled too, but only if all that it names were
        // accepted once. What was seen unfinished was.
        let named: HashSet<&String> = dependencies.iter().collect();
        unknown.retain(|job| named.contains(job) && known.unfinished(job).is_none());
    }
    let is_long = seen.len() > MAX_LOOKUPS_PER_QUERY;
    let state = match (unknown.is_empty(), any_cancelled) {
        (false, _) => DependencyState::Unknown(unknown),
        (true, true) => DependencyState::Cancelled,
        (true, false) => DependencyState::NoneCancelled,
    };
    DependencyReport { state, is_long }
}

/// Jobs with long lists of dependencies that users lately asked about. Their dependencies are looked
/// up again and again without further queries, since one query's time limit is too short for them.
#[derive(Debug, Default)]
pub(super) struct LongDependencyLists {
    tracked_until_ms: BTreeMap<String, u64>,
}

impl LongDependencyLists {
    /// Keeps a job's dependencies up to date until a time, unless there are too many such jobs.
    pub fn track(&mut self, job: &str, until_ms: u64) {
        if self.tracked_until_ms.len() < MAX_TRACKED_LONG_LISTS || self.tracked_until_ms.contains_key(job) {
            self.tracked_until_ms.insert(job.to_string(), until_ms);
        }
    }

    /// Removes jobs that nobody asked about lately or that are no longer known as unfinished.
    pub fn expire(&mut self, now_ms: u64, known: &KnownJobs) {
        self.tracked_until_ms.retain(|job, until_ms| *until_ms > now_ms && known.unfinished(job).is_some());
    }

    /// The dependencies, of the first job that has any, that were not seen since a time.
    pub fn stale_dependencies(&self, known: &KnownJobs, since: BatchTime) -> Option<Vec<String>> {
        self.tracked_until_ms.keys().find_map(|job| {
            let dependencies = &known.unfinished(job)?.dependencies;
            match resolve(known, dependencies, since).state {
                DependencyState::Unknown(jobs) => Some(jobs),
                DependencyState::NoneCancelled | DependencyState::Cancelled => None,
            }
        })
    }
}

#[cfg(test)]
mod tests;
