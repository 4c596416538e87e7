use super::*;

#[test]
fn error_texts_are_the_same_as_in_earlier_versions() {
    use UnavailableReason::*;
    let unavailable_texts = [
        (CatalogUnknown, "machine types not known yet"),
        (StoreUnavailable, "state service does not answer"),
        (TooManyRequests, "too many at once"),
        (SubmissionInProgress, "being written"),
        (DependenciesUnknown, "jobs that it awaits could not be looked at"),
        (CancellationPending, "about to be cancelled"),
        (RecordUnreadable, "record not understood"),
        (RecordChanged, "try again"),
    ];
    for (reason, error) in unavailable_texts {
        assert_eq!(unavailable(reason), Answer::Error { status: 503, error, retry_after: Some(1) });
    }
    let refusal_texts = [
        (RefusalReason::UnknownTeam, "unknown team"),
        (RefusalReason::NoMachineTypeFits, "a task fits no allowed machine type"),
        (RefusalReason::OverTeamLimit, "more than the team's limit"),
        (RefusalReason::DependencyNeverAccepted, "awaits a job that was never accepted"),
    ];
    for (reason, error) in refusal_texts {
        assert_eq!(refused(reason), Answer::Error { status: 422, error, retry_after: None });
    }
    assert_eq!(no_such_job(), Answer::Error { status: 404, error: "no such job", retry_after: None });
}

#[test]
fn final_view_has_a_done_count_only_for_a_finished_job() {
    let done = final_view("wk-1", FinalState::Done { tasks: 3 });
    assert_eq!((done.status, done.done, done.running), (JobStatus::Done, Some(3), None));
    let cancelled = final_view("wk-1", FinalState::Cancelled);
    assert_eq!((cancelled.status, cancelled.done, cancelled.running), (JobStatus::Cancelled, None, None));
}
