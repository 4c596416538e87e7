//! Lookups of dependencies, and the requests that wait for the lookups.

use crate::api::acceptance::PendingSubmission;
use crate::api::job_query::JobQuery;
use crate::api::{MAX_STATUS_WAIT_MS, MAX_SUBMIT_WAIT_MS};
use crate::controller::BatchTime;
use std::collections::{HashSet, VecDeque};

/// A request that waits for dependency lookups.
#[derive(Debug)]
pub(super) enum DeferredRequest {
    /// A submission.
    Submit(Box<PendingSubmission>),
    /// A query, with the batch from which on its answer must hold.
    Query(JobQuery, BatchTime),
}

impl DeferredRequest {
    /// Returns whether the request has waited for longer than its maximum wait and must be answered now.
    pub fn is_overdue(&self, now_ms: u64) -> bool {
        match self {
            DeferredRequest::Submit(submission) => {
                now_ms.saturating_sub(submission.received_at_ms) > MAX_SUBMIT_WAIT_MS
            }
            DeferredRequest::Query(_, since) => now_ms.saturating_sub(since.at_ms) > MAX_STATUS_WAIT_MS,
        }
    }
}

/// A lookup's finding that a job was never accepted.
#[derive(Debug)]
struct NeverAccepted {
    job: String,
    /// Sequence number of the lookup.
    sequence: u64,
}

/// Deferred requests to be resumed.
#[derive(Debug)]
pub(super) struct ResumedRequests {
    /// The requests, in the order in which they were deferred.
    pub requests: Vec<DeferredRequest>,
    /// Findings of the lookups since requests were last resumed.
    pub findings: LookupFindings,
}

/// Lookup findings that jobs were never accepted.
#[derive(Debug)]
pub(super) struct LookupFindings(Vec<NeverAccepted>);

impl LookupFindings {
    /// Returns whether a lookup that started after the submission arrived found that one of the submission's
    /// dependencies was never accepted.
    pub fn shows_unaccepted_dependency(&self, submission: &PendingSubmission) -> bool {
        let applies = |finding: &NeverAccepted| {
            finding.sequence > submission.sequence && submission.submission.dependencies.contains(&finding.job)
        };
        self.0.iter().any(applies)
    }
}

/// State of the dependency lookups and the requests that wait for them.
///
/// Invariants: each job in `to_read` is also in `requested`. A job is in `requested` from the request for its lookup
/// until the lookup has finished or its unsent read is dropped.
#[derive(Debug, Default)]
pub(super) struct DependencyLookups {
    /// Requests that wait for lookups, in order of arrival.
    deferred: Vec<DeferredRequest>,
    /// Names of jobs whose lookups are queued or in flight.
    requested: HashSet<String>,
    /// Names of jobs whose records are to be read, oldest request first.
    to_read: VecDeque<String>,
    /// Findings since deferred requests were last resumed.
    never_accepted: Vec<NeverAccepted>,
    /// Whether a lookup has finished since deferred requests were last resumed.
    any_finished: bool,
    /// Time on the monotonic clock before which no read is sent, set after a failed lookup; 0 if no lookup has failed.
    retry_at_ms: u64,
}

impl DependencyLookups {
    /// Defers a request until lookups have finished.
    pub fn defer(&mut self, request: DeferredRequest) {
        self.deferred.push(request);
    }

    /// Requests a lookup of a job. Returns false if a lookup of the job is already queued or in flight.
    pub fn request(&mut self, job: &str) -> bool {
        self.requested.insert(job.to_string())
    }

    /// Queues the read of a requested job's record.
    pub fn push_read(&mut self, job: String) {
        self.to_read.push_back(job);
    }

    /// Returns whether a read is queued and may be sent now.
    pub fn is_read_due(&self, now_ms: u64) -> bool {
        now_ms >= self.retry_at_ms && !self.to_read.is_empty()
    }

    /// Removes and returns the next job whose record is to be read.
    pub fn pop_read(&mut self) -> Option<String> {
        self.to_read.pop_front()
    }

    /// Records that a lookup has finished.
    pub fn finish(&mut self, job: &str) {
        self.requested.remove(job);
        self.any_finished = true;
    }

    /// Records that a lookup failed. No read is sent before `retry_at_ms`.
    pub fn fail(&mut self, job: &str, retry_at_ms: u64) {
        self.finish(job);
        self.retry_at_ms = retry_at_ms;
    }

    /// Records that a lookup found that the job was never accepted.
    pub fn finish_never_accepted(&mut self, job: String, sequence: u64) {
        self.finish(&job);
        self.never_accepted.push(NeverAccepted { job, sequence });
    }

    /// Returns whether no lookup is queued or in flight.
    pub fn is_idle(&self) -> bool {
        self.requested.is_empty()
    }

    /// Takes all deferred requests if a lookup has finished or one of the requests is overdue. Queued reads are
    /// dropped; a resumed request that still needs them requests them again.
    pub fn resume(&mut self, now_ms: u64) -> Option<ResumedRequests> {
        if self.deferred.is_empty() {
            self.never_accepted.clear();
            self.any_finished = false;
        }
        let may_retry = now_ms >= self.retry_at_ms;
        let any_finished = std::mem::take(&mut self.any_finished);
        let any_overdue = self.deferred.iter().any(|request| request.is_overdue(now_ms));
        if !(any_finished && may_retry || any_overdue) {
            // Before `retry_at_ms`, the flag is set, so that the requests are resumed at that time even if no other
            // lookup finishes.
            self.any_finished = !may_retry;
            return None;
        }
        for job in std::mem::take(&mut self.to_read) {
            self.requested.remove(&job);
        }
        Some(ResumedRequests {
            requests: std::mem::take(&mut self.deferred),
            findings: LookupFindings(std::mem::take(&mut self.never_accepted)),
        })
    }
}

#[cfg(test)]
mod tests;
