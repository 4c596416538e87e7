//! Queries about one job, typed by purpose.

use crate::api::NO_REQUEST;
use crate::api::answers::RefusalReason;
use crate::io::RequestId;
use crate::records::CancellationCause;

/// Maximum number of retries of a read or a cancellation after a conflict.
const MAX_RETRIES: u32 = 3;

/// Purpose of a query.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum QueryPurpose {
    /// A user's status query.
    Status,
    /// A submission of a job that already exists. The answer is the job's status.
    Resubmission,
    /// A submission that is refused for this reason unless the job was accepted before.
    Refusal(RefusalReason),
    /// A user's cancellation.
    Cancellation,
    /// A cancellation because a job that this one depends on is cancelled. Users' queries wait for it in
    /// [`DependencyCancellations`](super::dependency_cancellations::DependencyCancellations).
    DependencyCancellation,
    /// A lookup for another job that depends on this one. No user waits for an answer.
    DependencyLookup {
        /// Sequence number among the submissions and lookups of this process.
        sequence: u64,
    },
}

/// A query about a job.
#[derive(Debug, Clone)]
pub(crate) struct JobQuery {
    /// The user's request; [`NO_REQUEST`] for a dependency lookup and for a dependency cancellation.
    pub request: RequestId,
    /// Name of the job.
    pub job: String,
    /// Purpose of the query.
    pub purpose: QueryPurpose,
    /// Number of retries so far.
    retries: u32,
}

impl JobQuery {
    /// Creates a user's query.
    pub fn new(request: RequestId, job: String, purpose: QueryPurpose) -> JobQuery {
        JobQuery { request, job, purpose, retries: 0 }
    }

    /// Creates a lookup of a job that another job depends on.
    pub fn dependency_lookup(job: String, sequence: u64) -> JobQuery {
        JobQuery::new(NO_REQUEST, job, QueryPurpose::DependencyLookup { sequence })
    }

    /// Creates the cancellation of a job that depends on a cancelled one.
    pub fn dependency_cancellation(job: String) -> JobQuery {
        JobQuery::new(NO_REQUEST, job, QueryPurpose::DependencyCancellation)
    }

    /// Returns the cause of the cancellation that the query is to record; `None` if it records none.
    pub fn cancellation_cause(&self) -> Option<CancellationCause> {
        match self.purpose {
            QueryPurpose::Cancellation => Some(CancellationCause::User),
            QueryPurpose::DependencyCancellation => Some(CancellationCause::Dependency),
            QueryPurpose::Status
            | QueryPurpose::Resubmission
            | QueryPurpose::Refusal(_)
            | QueryPurpose::DependencyLookup { .. } => None,
        }
    }

    /// Returns whether the query is a dependency lookup.
    pub fn is_dependency_lookup(&self) -> bool {
        matches!(self.purpose, QueryPurpose::DependencyLookup { .. })
    }

    /// Counts a retry. Returns false, without counting, if no retry is left.
    pub fn retry(&mut self) -> bool {
        let may_retry = self.retries < MAX_RETRIES;
        if may_retry {
            self.retries += 1;
        }
        may_retry
    }
}
