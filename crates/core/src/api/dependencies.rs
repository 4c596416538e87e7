//! Evaluates a job's dependencies, direct and transitive, from the known jobs.

use crate::api::known_jobs::{FinalState, KnownJob, KnownJobs};
use crate::controller::BatchTime;
use crate::event::DependencyCheck;
use std::collections::{BTreeMap, HashSet};

/// Maximum number of one job's dependencies that are looked up together, so that a long list does not delay the lookups
/// for other jobs.
pub(super) const MAX_LOOKUPS_PER_ROUND: usize = 64;
/// Maximum number of dependencies that are looked up within the time for one query. A list with more is long.
const MAX_LOOKUPS_PER_QUERY: usize = MAX_LOOKUPS_PER_ROUND * 4;
/// Maximum number of jobs with long lists whose dependencies are refreshed in the background.
const MAX_TRACKED_LONG_LISTS: usize = 8;

/// Combined state of a job's dependencies.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum DependencyState {
    /// Each dependency is done, or was confirmed as unfinished recently enough.
    NoneCancelled,
    /// A dependency is cancelled, and all direct dependencies were accepted.
    Cancelled,
    /// The current states of these jobs are not known.
    Unknown(Vec<String>),
}

/// Result of evaluating a job's dependencies.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct DependencyReport {
    /// The combined state.
    pub state: DependencyState,
    /// Number of dependencies examined.
    pub examined: usize,
    /// Time of the oldest confirmation that counted, on the monotonic clock; `None` if all dependencies have ended.
    pub oldest_confirmation_ms: Option<u64>,
}

impl DependencyReport {
    /// Returns whether the dependencies are too many to be looked up within the time for one query, so that they are
    /// looked up between queries too.
    pub fn is_long(&self) -> bool {
        self.examined > MAX_LOOKUPS_PER_QUERY
    }

    /// Describes the evaluation for the log; `None` if it decides nothing.
    pub fn check(&self, job: &str, now_ms: u64) -> Option<DependencyCheck> {
        let any_cancelled = match self.state {
            DependencyState::Unknown(_) => return None,
            DependencyState::NoneCancelled => false,
            DependencyState::Cancelled => true,
        };
        let age_ms = self.oldest_confirmation_ms.map_or(0, |at_ms| now_ms.saturating_sub(at_ms));
        let oldest_confirmation_s = age_ms as f64 / 1000.0;
        let check = DependencyCheck { job: job.into(), any_cancelled, examined: self.examined, oldest_confirmation_s };
        (self.examined > 0).then_some(check)
    }
}

/// Evaluates dependencies by following them through the known jobs. An unfinished job counts as known only if it was
/// confirmed as unfinished in the batch `since` or later.
///
/// Two controllers may reach different results, since they know different jobs and have confirmed them at different
/// times. So a result never becomes an answer by itself: a cancelled dependency leads to a cancellation in the job's own
/// record, which all controllers compare for each query.
pub(super) fn resolve(known: &KnownJobs, dependencies: &[String], since: BatchTime) -> DependencyReport {
    let mut seen: HashSet<&str> = HashSet::new();
    let mut to_visit: Vec<&String> = dependencies.iter().collect();
    let mut unknown = Vec::new();
    let mut any_cancelled = false;
    let mut oldest_confirmation_ms: Option<u64> = None;
    while let Some(job) = to_visit.pop() {
        if !seen.insert(job) {
            continue;
        }
        match known.get(job) {
            KnownJob::Final(FinalState::Done { .. }) => {}
            KnownJob::Final(FinalState::Cancelled) => any_cancelled = true,
            KnownJob::Unfinished(unfinished) if unfinished.confirmed_at.is_at_or_after(since) => {
                let confirmed_ms = unfinished.confirmed_at.at_ms;
                oldest_confirmation_ms = Some(oldest_confirmation_ms.map_or(confirmed_ms, |at| at.min(confirmed_ms)));
                to_visit.extend(&unfinished.dependencies);
            }
            KnownJob::Unfinished(_) | KnownJob::Unknown => unknown.push(job.clone()),
        }
    }
    if any_cancelled {
        // A job with a cancelled dependency is cancelled too, but only if all its direct dependencies were accepted.
        // A job that was ever seen unfinished was accepted.
        let direct: HashSet<&String> = dependencies.iter().collect();
        unknown.retain(|job| direct.contains(job) && known.unfinished(job).is_none());
    }
    let state = match (unknown.is_empty(), any_cancelled) {
        (false, _) => DependencyState::Unknown(unknown),
        (true, true) => DependencyState::Cancelled,
        (true, false) => DependencyState::NoneCancelled,
    };
    DependencyReport { state, examined: seen.len(), oldest_confirmation_ms }
}

/// Recently queried jobs with long lists of dependencies. Their dependencies are looked up periodically in the
/// background, since one query's time limit is too short to look up all of them.
#[derive(Debug, Default)]
pub(super) struct LongDependencyLists {
    /// End of the background lookups by job name, on the monotonic clock.
    tracked_until_ms: BTreeMap<String, u64>,
}

impl LongDependencyLists {
    /// Tracks a job's dependencies until `until_ms`, or extends the tracking. Ignored for a new job if the maximum
    /// number of jobs is tracked.
    pub fn track(&mut self, job: &str, until_ms: u64) {
        if self.tracked_until_ms.len() < MAX_TRACKED_LONG_LISTS || self.tracked_until_ms.contains_key(job) {
            self.tracked_until_ms.insert(job.to_string(), until_ms);
        }
    }

    /// Removes jobs that were not queried recently or are no longer known as unfinished.
    pub fn expire(&mut self, now_ms: u64, known: &KnownJobs) {
        self.tracked_until_ms.retain(|job, until_ms| *until_ms > now_ms && known.unfinished(job).is_some());
    }

    /// Returns the dependencies of a tracked job that were not confirmed since `since`, for the first job in name order
    /// that has any.
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
