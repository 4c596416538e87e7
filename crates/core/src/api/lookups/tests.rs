use super::*;
use crate::api::job_query::QueryPurpose;
use crate::api::tests::pending_submission;

fn submit(received_at_ms: u64) -> DeferredRequest {
    DeferredRequest::Submit(Box::new(pending_submission(1, "wk-1", received_at_ms)))
}

fn query(received_at_ms: u64) -> DeferredRequest {
    let since = BatchTime { batch: 1, at_ms: received_at_ms };
    DeferredRequest::Query(JobQuery::new(2, "wk-2".into(), QueryPurpose::Status), since)
}

#[test]
fn requests_are_overdue_after_the_maximum_wait() {
    for (request, max_wait_ms) in [(submit(100), 3000), (query(100), 1200)] {
        assert!(!request.is_overdue(100 + max_wait_ms));
        assert!(request.is_overdue(101 + max_wait_ms));
    }
}

#[test]
fn deferred_requests_are_resumed_once_a_lookup_finishes() {
    let mut lookups = DependencyLookups::default();
    assert!(lookups.request("wk-9") && !lookups.request("wk-9"));
    lookups.push_read("wk-9".into());
    lookups.defer(submit(0));
    lookups.defer(query(0));
    assert!(lookups.resume(10).is_none());
    assert_eq!(lookups.pop_read().as_deref(), Some("wk-9"));
    lookups.finish("wk-9");
    assert!(lookups.is_idle());
    let resumed = lookups.resume(20).unwrap();
    assert!(matches!(resumed.requests[..], [DeferredRequest::Submit(_), DeferredRequest::Query(..)]));
    assert!(lookups.resume(30).is_none());
}

#[test]
fn overdue_request_resumes_all_requests_and_drops_queued_reads() {
    let mut lookups = DependencyLookups::default();
    lookups.request("wk-9");
    lookups.push_read("wk-9".into());
    lookups.defer(query(0));
    assert!(lookups.is_read_due(1201));
    assert_eq!(lookups.resume(1201).unwrap().requests.len(), 1);
    assert!(lookups.is_idle() && !lookups.is_read_due(1201));
}

#[test]
fn failed_lookup_delays_reads_and_resumption_until_the_retry_time() {
    let mut lookups = DependencyLookups::default();
    lookups.request("wk-8");
    lookups.defer(submit(0));
    lookups.fail("wk-8", 50);
    lookups.request("wk-9");
    lookups.push_read("wk-9".into());
    assert!(lookups.resume(49).is_none() && !lookups.is_read_due(49));
    assert!(lookups.is_read_due(50));
    assert!(lookups.resume(50).is_some());
}

#[test]
fn finding_of_a_lookup_applies_only_to_submissions_that_arrived_before_it() {
    let mut submission = pending_submission(7, "wk-1", 0);
    submission.submission.dependencies = vec!["wk-9".into()];
    for (job, sequence, applies) in [("wk-9", 8, true), ("wk-9", 7, false), ("wk-9", 6, false), ("wk-5", 8, false)] {
        let mut lookups = DependencyLookups::default();
        lookups.defer(submit(0));
        lookups.request(job);
        lookups.finish_never_accepted(job.into(), sequence);
        let resumed = lookups.resume(1).unwrap();
        assert_eq!(resumed.findings.shows_unaccepted_dependency(&submission), applies, "{job} {sequence}");
    }
}

#[test]
fn findings_are_dropped_without_deferred_requests() {
    let mut lookups = DependencyLookups::default();
    lookups.finish_never_accepted("wk-9".into(), 1);
    assert!(lookups.resume(1).is_none());
    assert!(lookups.never_accepted.is_empty());
}
