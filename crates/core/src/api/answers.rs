//! Answers to users: the reasons that they may be given, and views of jobs.

use crate::api::known_jobs::FinalState;
use crate::io::Answer;
use shaleshunt_wire::user::{JobStatus, JobView};

/// Seconds after which a user shall repeat a request that could not be served.
const RETRY_AFTER_S: u32 = 1;

const STATUS_NOT_FOUND: u16 = 404;
const STATUS_UNPROCESSABLE: u16 = 422;
const STATUS_UNAVAILABLE: u16 = 503;

/// Why a request cannot be served now. The user may repeat it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum UnavailableReason {
    /// The catalog of machine types has not been read yet.
    CatalogUnknown,
    /// The key-value store did not reply, or not as expected.
    StoreUnavailable,
    /// More requests wait than can be served in time.
    TooManyRequests,
    /// The submission is still being written in parts.
    SubmissionInProgress,
    /// The states of jobs that the job depends on could not be read in time.
    DependenciesUnknown,
    /// A job that the job depends on is cancelled; its own cancellation is not recorded yet.
    CancellationPending,
    /// The job's record has a form that this version does not know.
    RecordUnreadable,
    /// The job's records changed between two reads.
    RecordChanged,
}

impl UnavailableReason {
    /// The text that users read.
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

/// Why a submission is refused for good.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RefusalReason {
    /// The settings name no such team.
    UnknownTeam,
    /// No machine type that the job allows is large enough for one of its tasks.
    NoMachineTypeFits,
    /// What must run at the same time exceeds the team's limit.
    OverTeamLimit,
    /// It depends on a job that was never accepted.
    DependencyNeverAccepted,
}

impl RefusalReason {
    /// The text that users read.
    pub fn message(self) -> &'static str {
        match self {
            RefusalReason::UnknownTeam => "unknown team",
            RefusalReason::NoMachineTypeFits => "a task fits no allowed machine type",
            RefusalReason::OverTeamLimit => "more than the team's limit",
            RefusalReason::DependencyNeverAccepted => "awaits a job that was never accepted",
        }
    }
}

/// The request cannot be served now: the user shall repeat it.
pub(super) fn unavailable(reason: UnavailableReason) -> Answer {
    Answer::Error { status: STATUS_UNAVAILABLE, error: reason.message(), retry_after: Some(RETRY_AFTER_S) }
}

/// The submission is refused.
pub(super) fn refused(reason: RefusalReason) -> Answer {
    Answer::Error { status: STATUS_UNPROCESSABLE, error: reason.message(), retry_after: None }
}

/// No job of this name was ever accepted.
pub(super) fn no_such_job() -> Answer {
    Answer::Error { status: STATUS_NOT_FOUND, error: "no such job", retry_after: None }
}

/// The job exists.
pub(super) fn job(view: JobView) -> Answer {
    Answer::Job(200, view)
}

/// The job has just been accepted.
pub(super) fn job_created(view: JobView) -> Answer {
    Answer::Job(201, view)
}

/// The view of a finished or cancelled job.
pub(super) fn final_view(job: &str, state: FinalState) -> JobView {
    let (status, done) = match state {
        FinalState::Done { tasks } => (JobStatus::Done, Some(tasks)),
        FinalState::Cancelled => (JobStatus::Cancelled, None),
    };
    JobView { id: job.to_string(), status, done, running: None }
}

#[cfg(test)]
mod tests;
