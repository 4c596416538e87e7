use super::*;
use crate::api::job_query::QueryPurpose;
use crate::api::known_jobs::UnfinishedJob;
use shaleshunt_wire::Revision;

const LIMITS: ComparisonLimits = ComparisonLimits { max_preconditions: 2, max_delay_ms: 100 };

fn query(request: u64, job: &str) -> JobQuery {
    JobQuery::new(request, job.into(), QueryPurpose::Status)
}

fn known(jobs: &[&str]) -> KnownJobs {
    let mut known = KnownJobs::new(100);
    for (number, job) in jobs.iter().enumerate() {
        let record_version = Revision(number as u64 + 1);
        known.record_unfinished(job, UnfinishedJob { record_version, ..UnfinishedJob::default() });
    }
    known
}

fn requests(queries: &[JobQuery]) -> Vec<u64> {
    queries.iter().map(|query| query.request).collect()
}

#[test]
fn batch_is_due_if_full_or_after_the_maximum_delay() {
    let known = known(&["wk-1", "wk-2"]);
    let mut queue = ComparisonQueue::default();
    queue.push(1000, query(1, "wk-1"));
    assert!(queue.next_batch(1099, LIMITS, &known).is_none());
    queue.push(1099, query(2, "wk-2"));
    let full = queue.next_batch(1099, LIMITS, &known).unwrap();
    assert_eq!(requests(&full.queries), [1, 2]);
    queue.push(2000, query(3, "wk-1"));
    assert!(queue.next_batch(2100, LIMITS, &known).is_some());
}

#[test]
fn queries_for_one_job_share_a_precondition_and_unknown_jobs_are_returned() {
    let known = known(&["wk-1", "wk-2"]);
    let mut queue = ComparisonQueue::default();
    for (request, job) in [(1, "wk-1"), (2, "wk-9"), (3, "wk-1"), (4, "wk-2"), (5, "wk-2")] {
        queue.push(0, query(request, job));
    }
    let batch = queue.next_batch(0, LIMITS, &known).unwrap();
    let preconditions = [("j/wk-1", 1), ("j/wk-2", 2)]
        .map(|(key, version)| Precondition { key: key.into(), version: Revision(version) });
    assert_eq!(batch.transaction, Transaction { preconditions: preconditions.into(), writes: Vec::new() });
    assert_eq!((requests(&batch.queries), requests(&batch.unknown)), (vec![1, 3, 4], vec![2]));
}

#[test]
fn at_most_two_nonempty_batches_are_in_flight() {
    let known = known(&["wk-1"]);
    let mut queue = ComparisonQueue::default();
    queue.push(0, query(1, "wk-9"));
    assert!(queue.next_batch(100, LIMITS, &known).unwrap().queries.is_empty());
    for request in 2..5 {
        queue.push(0, query(request, "wk-1"));
        assert_eq!(queue.next_batch(100, LIMITS, &known).is_some(), request < 4);
    }
    queue.finish_transaction();
    assert!(queue.next_batch(100, LIMITS, &known).is_some());
}

#[test]
fn retried_queries_come_first_and_are_due_at_once() {
    let known = known(&["wk-1", "wk-2"]);
    let mut queue = ComparisonQueue::default();
    queue.push(1000, query(3, "wk-2"));
    queue.retry(vec![query(1, "wk-1"), query(2, "wk-1")]);
    assert_eq!(requests(&queue.next_batch(1000, LIMITS, &known).unwrap().queries), [1, 2, 3]);
}
