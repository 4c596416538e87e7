//! A query about one job, typed by what it is for.

use crate::api::NO_REQUEST;
use crate::api::answers::RefusalReason;
use crate::io::RequestId;

/// How often a read or a cancellation that lost a race is tried again.
const MAX_RETRIES: u32 = 3;

/// What a query is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum QueryPurpose {
    /// A user asks for the job's status.
    Status,
    /// A user submitted a job of this name, and there is one: its status is the answer.
    Resubmission,
    /// A submission is to be refused, unless the job has been accepted before.
    Refusal(RefusalReason),
    /// A user cancels the job.
    Cancellation,
    /// Another job depends on it: nobody waits for an answer.
    DependencyLookup {
        /// Its place in the order of submissions and lookups.
        sequence: u64,
    },
}

/// A query about a job.
#[derive(Debug, Clone)]
pub(crate) struct JobQuery {
    /// The user's request.
    pub request: RequestId,
    /// Name of the job.
    pub job: String,
    /// What it is for.
    pub purpose: QueryPurpose,
    /// How often it was tried again.
    retries: u32,
}

impl JobQuery {
    /// A user's query.
    pub fn new(request: RequestId, job: String, purpose: QueryPurpose) -> JobQuery {
        JobQuery { request, job, purpose, retries: 0 }
    }

    /// A lookup of a job that another one depends on.
    pub fn dependency_lookup(job: String, sequence: u64) -> JobQuery {
        JobQuery::new(NO_REQUEST, job, QueryPurpose::DependencyLookup { sequence })
    }

    /// Whether it is a lookup.
    pub fn is_dependency_lookup(&self) -> bool {
        matches!(self.purpose, QueryPurpose::DependencyLookup { .. })
    }

    /// Counts another try. Returns false if it was tried too often.
    pub fn retry(&mut self) -> bool {
        let may_retry = self.retries < MAX_RETRIES;
        if may_retry {
            self.retries += 1;
        }
        may_retry
    }
}
