//! Lookups of jobs that other jobs depend on, and the requests that wait for them.

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
    /// A query, with the time from which on its answer must hold.
    Query(JobQuery, BatchTime),
}

impl DeferredRequest {
    /// Whether its user shall wait no longer.
    pub fn is_overdue(&self, now_ms: u64) -> bool {
        match self {
            DeferredRequest::Submit(submission) => {
                now_ms.saturating_sub(submission.received_at_ms) > MAX_SUBMIT_WAIT_MS
            }
            DeferredRequest::Query(_, since) => now_ms.saturating_sub(since.at_ms) > MAX_STATUS_WAIT_MS,
        }
    }
}

/// A job that a lookup showed never to have been accepted.
#[derive(Debug)]
struct NeverAccepted {
    job: String,
    /// Sequence number of the lookup.
    sequence: u64,
}

/// Deferred requests that are to be tried again.
#[derive(Debug)]
pub(super) struct ResumedRequests {
    /// In the order in which they were deferred.
    pub requests: Vec<DeferredRequest>,
    /// What lookups found meanwhile.
    pub found: LookupFindings,
}

/// Jobs that lookups showed never to have been accepted.
#[derive(Debug)]
pub(super) struct LookupFindings(Vec<NeverAccepted>);

impl LookupFindings {
    /// Whether a lookup that began after a submission came found that a job which it names was never
    /// accepted.
    pub fn shows_unaccepted_dependency(&self, submission: &PendingSubmission) -> bool {
        let refutes = |found: &NeverAccepted| {
            found.sequence > submission.sequence && submission.submission.dependencies.contains(&found.job)
        };
        self.0.iter().any(refutes)
    }
}

/// Lookups that wait, are in flight or have finished.
///
/// Always: a job in `to_read` is in `requested` too. A job stays in `requested` from the request for
/// its lookup to its end.
#[derive(Debug, Default)]
pub(super) struct DependencyLookups {
    deferred: Vec<DeferredRequest>,
    requested: HashSet<String>,
    to_read: VecDeque<String>,
    never_accepted: Vec<NeverAccepted>,
    /// A lookup has finished since deferred requests were last tried again.
    any_finished: bool,
    /// A lookup failed: none is sent before this time.
    retry_at_ms: u64,
}

impl DependencyLookups {
    /// Lets a request wait for lookups.
    pub fn defer(&mut self, request: DeferredRequest) {
        self.deferred.push(request);
    }

    /// Notes that a job is to be looked up. Returns false if that was noted before.
    pub fn request(&mut self, job: &str) -> bool {
        self.requested.insert(job.to_string())
    }

    /// The record of a requested job is to be read.
    pub fn push_read(&mut self, job: String) {
        self.to_read.push_back(job);
    }

    /// Whether a read may be sent now.
    pub fn is_read_due(&self, now_ms: u64) -> bool {
        now_ms >= self.retry_at_ms && !self.to_read.is_empty()
    }

    /// The next job whose record is to be read.
    pub fn pop_read(&mut self) -> Option<String> {
        self.to_read.pop_front()
    }

    /// A lookup has finished.
    pub fn finish(&mut self, job: &str) {
        self.requested.remove(job);
        self.any_finished = true;
    }

    /// A lookup could not be carried out. None is sent before `retry_at_ms`.
    pub fn fail(&mut self, job: &str, retry_at_ms: u64) {
        self.finish(job);
        self.retry_at_ms = retry_at_ms;
    }

    /// A lookup found that the job was never accepted.
    pub fn finish_never_accepted(&mut self, job: String, sequence: u64) {
        self.finish(&job);
        self.never_accepted.push(NeverAccepted { job, sequence });
    }

    /// Whether no lookup waits or is in flight.
    pub fn is_idle(&self) -> bool {
        self.requested.is_empty()
    }

    /// Takes out all deferred requests if a lookup has finished or one of them is overdue. Reads that
    /// were not sent are dropped: what is still wanted is requested anew.
    pub fn resume(&mut self, now_ms: u64) -> Option<ResumedRequests> {
        if self.deferred.is_empty() {
            self.never_accepted.clear();
            self.any_finished = false;
        }
        let may_retry = now_ms >= self.retry_at_ms;
        let any_finished = std::mem::take(&mut self.any_finished);
        let any_overdue = self.deferred.iter().any(|request| request.is_overdue(now_ms));
        if !(any_finished && may_retry || any_overdue) {
            // Once lookups may be sent again, the requests are tried even if no other one finishes.
            self.any_finished = !may_retry;
            return None;
        }
        for job in std::mem::take(&mut self.to_read) {
            self.requested.remove(&job);
        }
        Some(ResumedRequests {
            requests: std::mem::take(&mut self.deferred),
            found: LookupFindings(std::mem::take(&mut self.never_accepted)),
        })
    }
}

#[cfg(test)]
mod tests;
