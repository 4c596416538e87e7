use super::*;
use crate::api::requests::ApiRequest;
use crate::api::tests::{Fixture, found, get, status_query, statuses, submission, written_keys};
use crate::io::{Answer, KvReply, KvRequest, RequestError};
use serde_json::{Value, json};
use shaleshunt_wire::Revision;
use shaleshunt_wire::user::{JobStatus, Submission};

/// The record of `wk-1`, which depends on `wk-9`.
fn dependent_record() -> Value {
    json!({"s": Submission { dependencies: vec!["wk-9".into()], ..submission("wk-1") }, "at": 5})
}

/// A fixture that has read `wk-1` for a query with request 1 and found its dependency `wk-9` cancelled. Returns the
/// answers and requests that follow.
fn with_cancelled_dependency() -> (Fixture, Vec<(u64, Answer)>, Vec<KvRequest>) {
    let mut fixture = Fixture::new();
    fixture.advance(0);
    fixture.reply(ApiRequest::ReadRecord(status_query(1, "wk-1")), found("j/wk-1", dependent_record()));
    let (answers, requests) = fixture.end_batch();
    // The query waits for a dependency lookup, which is sent in the same batch.
    assert!(answers.is_empty());
    assert_eq!(requests, [get("j/wk-9")]);
    let lookup = JobQuery::dependency_lookup("wk-9".into(), 1);
    fixture.reply(ApiRequest::ReadFinalRecord(lookup), found("f/wk-9", json!({"x": true, "n": 3, "t": 5})));
    let (answers, requests) = fixture.end_batch();
    (fixture, answers, requests)
}

fn cancellation_of_dependent() -> JobQuery {
    JobQuery::dependency_cancellation("wk-1".into())
}

/// Guards against an answer that another controller, which knows other dependencies, contradicts afterwards.
#[test]
fn job_with_a_cancelled_dependency_is_reported_as_cancelled_when_its_own_record_says_so() {
    let (mut fixture, answers, requests) = with_cancelled_dependency();
    assert!(answers.is_empty() && !fixture.api.is_cancelled("wk-1"));
    assert_eq!(requests, [get("j/wk-1")]);
    // A second query waits for the same cancellation.
    fixture.compare_for_query(2, "wk-1");
    fixture.reply(ApiRequest::CompareRecords(vec![status_query(2, "wk-1")]), Ok(KvReply::Committed(Revision(7))));
    assert_eq!(fixture.end_batch(), (vec![], vec![]));
    fixture.reply(ApiRequest::ReadRecord(cancellation_of_dependent()), found("j/wk-1", dependent_record()));
    let (answers, requests) = fixture.end_batch();
    assert!(answers.is_empty() && !fixture.api.is_cancelled("wk-1"));
    let [KvRequest::Transaction(transaction)] = &requests[..] else { panic!("{requests:?}") };
    assert_eq!(written_keys(transaction), ["j/wk-1"]);
    assert_eq!((transaction.preconditions.len(), transaction.preconditions[0].version), (1, Revision(7)));
    fixture.reply(ApiRequest::Cancel(cancellation_of_dependent()), Ok(KvReply::Committed(Revision(8))));
    let cancelled = Some(JobStatus::Cancelled);
    assert_eq!(statuses(&fixture.end_batch().0), [(1, 200, cancelled), (2, 200, cancelled)]);
    assert!(fixture.api.is_cancelled("wk-1"));
    assert_eq!(fixture.api.take_newly_cancelled(), ["wk-9", "wk-1"]);
}

#[test]
fn cancellation_by_a_dependency_without_a_known_outcome_is_answered_with_503() {
    for error in [RequestError::Throttled, RequestError::OutcomeUnknown] {
        let (mut fixture, ..) = with_cancelled_dependency();
        fixture.reply(ApiRequest::Cancel(cancellation_of_dependent()), Err(error));
        assert_eq!(statuses(&fixture.end_batch().0), [(1, 503, None)]);
        assert!(!fixture.api.is_cancelled("wk-1"));
    }
}

#[test]
fn cancellation_by_a_dependency_that_conflicts_is_answered_from_the_changed_record() {
    let (mut fixture, ..) = with_cancelled_dependency();
    fixture.reply(ApiRequest::Cancel(cancellation_of_dependent()), Ok(KvReply::Conflict(vec!["j/wk-1".into()])));
    assert_eq!(fixture.end_batch().1, [get("j/wk-1")]);
    fixture.reply(ApiRequest::ReadRecord(cancellation_of_dependent()), Ok(KvReply::Missing));
    assert_eq!(fixture.end_batch().1, [get("f/wk-1")]);
    let ended = found("f/wk-1", json!({"x": true, "n": 3, "t": 5}));
    fixture.reply(ApiRequest::ReadFinalRecord(cancellation_of_dependent()), ended);
    assert_eq!(statuses(&fixture.end_batch().0), [(1, 200, Some(JobStatus::Cancelled))]);
}

/// Guards against an answer without a look at the dependencies, which are known only as long as the job is cached.
#[test]
fn job_that_was_dropped_from_the_cache_while_its_query_waited_is_read_again() {
    let mut fixture = Fixture::new();
    fixture.api.learn_record_versions([("wk-1", Revision(7))].into_iter());
    fixture.compare_for_query(1, "wk-1");
    fixture.api.known.forget_unfinished("wk-1");
    fixture.reply(ApiRequest::CompareRecords(vec![status_query(1, "wk-1")]), Ok(KvReply::Committed(Revision(7))));
    assert_eq!(fixture.end_batch(), (vec![], vec![get("j/wk-1")]));
}
