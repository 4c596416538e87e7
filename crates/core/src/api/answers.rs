//! Responses to users: errors with their reasons, and job views.

use crate::api::known_jobs::FinalState;
use crate::io::Answer;
use shaleshunt_wire::user::{JobStatus, JobView};

/// `Retry-After` of requests that cannot be served now, in seconds.
const RETRY_AFTER_S: u32 = 1;

const STATUS_NOT_FOUND: u16 = 404;
const STATUS_UNPROCESSABLE: u16 = 422;
const STATUS_UNAVAILABLE: u16 = 503;

/// Reason why a request cannot be served now. The user may retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum UnavailableReason {
    /// No catalog of machine types has been read yet.
    CatalogUnknown,
    /// The key-value store did not reply, or sent an unexpected reply.
    StoreUnavailable,
    /// More requests are queued than can be served in time.
    TooManyRequests,
    /// The submission is still being written to the store in parts.
    SubmissionInProgress,
    /// The states of the job's dependencies could not be read in time.
    DependenciesUnknown,
    /// A dependency of the job is cancelled, but the job's own cancellation is not recorded yet.
    CancellationPending,
    /// This version cannot decode the job's record.
    RecordUnreadable,
    /// The job's records changed between two reads.
    RecordChanged,
}

impl UnavailableReason {
    /// Returns the error text of the response.
    pub fn message(self) -> &'static str {
        match self {
            UnavailableReason::CatalogUnknown => "machine types not known yet",
            UnavailableReason::StoreUnavailable => "state service does not answer",
            UnavailableReason::TooManyRequests => "too many at once",
            UnavailableReason::SubmissionInProgress => "being written",
            UnavailableReason::DependenciesUnknown => "jobs that it awaits could not be looked at",
            UnavailableReason::CancellationPending => "about to be cancelled",
            UnavailableReason::RecordUnreadable => "record not understood",
            UnavailableReason::RecordChanged => "try again",
        }
    }
}

/// Reason why a submission is permanently refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RefusalReason {
    /// The team is not configured.
    UnknownTeam,
    /// No allowed machine type is large enough for one task.
    NoMachineTypeFits,
    /// The resources of the tasks that must run at the same time exceed the team's limit.
    OverTeamLimit,
    /// A dependency was never accepted.
    DependencyNeverAccepted,
}

impl RefusalReason {
    /// Returns the error text of the response.
    pub fn message(self) -> &'static str {
        match self {
            RefusalReason::UnknownTeam => "unknown team",
            RefusalReason::NoMachineTypeFits => "a task fits no allowed machine type",
            RefusalReason::OverTeamLimit => "more than the team's limit",
            RefusalReason::DependencyNeverAccepted => "awaits a job that was never accepted",
        }
    }
}

/// Returns the response to a request that cannot be served now: 503 with `Retry-After`.
pub(super) fn unavailable(reason: UnavailableReason) -> Answer {
    Answer::Error { status: STATUS_UNAVAILABLE, error: reason.message(), retry_after: Some(RETRY_AFTER_S) }
}

/// Returns the response to a refused submission: 422.
pub(super) fn refused(reason: RefusalReason) -> Answer {
    Answer::Error { status: STATUS_UNPROCESSABLE, error: reason.message(), retry_after: None }
}

/// Returns the response to a request about a job that was never accepted: 404.
pub(super) fn no_such_job() -> Answer {
    Answer::Error { status: STATUS_NOT_FOUND, error: "no such job", retry_after: None }
}

/// Returns the response with the view of an existing job: 200.
pub(super) fn job(view: JobView) -> Answer {
    Answer::Job(200, view)
}

/// Returns the response to a submission that was just accepted: 201.
pub(super) fn job_created(view: JobView) -> Answer {
    Answer::Job(201, view)
}

/// Returns the view of a finished or cancelled job.
pub(super) fn final_view(job: &str, state: FinalState) -> JobView {
    let (status, done) = match state {
        FinalState::Done { tasks } => (JobStatus::Done, Some(tasks)),
        FinalState::Cancelled => (JobStatus::Cancelled, None),
    };
    JobView { id: job.to_string(), status, done, running: None }
}

#[cfg(test)]
mod tests;
