use super::*;
use crate::api::tests::pending_submission;
use crate::settings::{Settings, StoreQuota};

fn limits(value_kb: f64, txn_ops: usize) -> StoreLimits {
    StoreLimits::new(&Settings {
        store_quota: StoreQuota { value_kb, txn_ops, write_rps: 100.0 },
        ..Settings::default()
    })
}

/// A queue whose batch limit has grown to the store's limit.
fn queue_with_full_batches(limits: &StoreLimits) -> AcceptanceQueue {
    let mut queue = AcceptanceQueue::default();
    for _ in 0..10 {
        queue.grow_batches(limits);
    }
    queue
}

fn requests(submissions: &[PendingSubmission]) -> Vec<u64> {
    submissions.iter().map(|submission| submission.request).collect()
}

#[test]
fn acceptance_requires_that_neither_record_of_the_job_exists() {
    let limits = limits(64.0, 100);
    for (cancelled_by_dependency, key) in [(false, "j/wk-1"), (true, "f/wk-1")] {
        let mut queue = AcceptanceQueue::default();
        queue.push(PendingSubmission { cancelled_by_dependency, ..pending_submission(1, "wk-1", 0) });
        let batch = queue.next_batch(&limits).unwrap();
        let preconditions = ["j/wk-1", "f/wk-1"].map(|key| Precondition { key: key.into(), version: Revision::ABSENT });
        assert_eq!(batch.transaction.preconditions, preconditions);
        assert!(matches!(&batch.transaction.writes[..], [Write::Set { key: written_key, .. }] if written_key == key));
    }
}

#[test]
fn transaction_leaves_out_duplicate_and_oversized_submissions() {
    let limits = limits(1.0, 100);
    let mut queue = queue_with_full_batches(&limits);
    let mut large = pending_submission(3, "wk-3", 0);
    large.submission.dependencies = (0..100).map(|number| format!("wk-{number:010}")).collect();
    for submission in
        [pending_submission(1, "wk-1", 0), pending_submission(2, "wk-1", 0), large, pending_submission(4, "wk-4", 0)]
    {
        queue.push(submission);
    }
    let batch = queue.next_batch(&limits).unwrap();
    assert_eq!(requests(&batch.submissions), [1, 4]);
    assert_eq!((requests(&batch.duplicates), requests(&batch.oversized)), (vec![2], vec![3]));
    assert_eq!(batch.transaction.writes.len(), 2);
}

#[test]
fn full_transaction_leaves_the_remaining_submissions_queued() {
    let limits = limits(64.0, 10_000);
    let mut queue = queue_with_full_batches(&limits);
    for request in 0..1000 {
        queue.push(pending_submission(request, &format!("wk-{request}"), 0));
    }
    let batch = queue.next_batch(&limits).unwrap();
    let body = serde_json::to_string(&batch.transaction).unwrap();
    assert!(body.len() <= MAX_BODY_BYTES && body.len() > MAX_BODY_BYTES / 2, "{}", body.len());
    assert_eq!(queue.len(), 1000 - batch.submissions.len());
    let next = queue.next_batch(&limits).unwrap();
    assert_eq!(next.submissions[0].request, batch.submissions.len() as u64);
}

#[test]
fn batches_start_with_one_submission_double_after_commits_and_halve_after_throttling() {
    let limits = limits(64.0, 10);
    let mut queue = AcceptanceQueue::default();
    for request in 0..100 {
        queue.push(pending_submission(request, &format!("wk-{request}"), 0));
    }
    for expected in [1, 2, 4, 8, 10, 10] {
        let batch = queue.next_batch(&limits).unwrap();
        assert_eq!(batch.submissions.len(), expected);
        queue.finish_transaction();
        queue.grow_batches(&limits);
    }
    let batch = queue.next_batch(&limits).unwrap();
    let first = batch.submissions[0].request;
    queue.finish_transaction();
    queue.retry_in_smaller_batches(batch.submissions);
    let smaller = queue.next_batch(&limits).unwrap();
    assert_eq!(requests(&smaller.submissions), (first..first + 5).collect::<Vec<_>>());
}

#[test]
fn at_most_two_nonempty_transactions_are_in_flight() {
    let limits = limits(1.0, 10);
    let mut queue = AcceptanceQueue::default();
    let mut large = pending_submission(9, "wk-9", 0);
    large.submission.image = "x".repeat(2000);
    queue.push(large);
    assert!(queue.next_batch(&limits).unwrap().submissions.is_empty());
    for request in 0..3 {
        queue.push(pending_submission(request, &format!("wk-{request}"), 0));
    }
    assert!(queue.next_batch(&limits).is_some() && queue.next_batch(&limits).is_some());
    assert!(queue.next_batch(&limits).is_none());
    queue.finish_transaction();
    assert!(queue.next_batch(&limits).is_some());
}

#[test]
fn submissions_are_overdue_after_the_maximum_wait() {
    let mut queue = AcceptanceQueue::default();
    queue.push(pending_submission(1, "wk-1", 100));
    queue.push(pending_submission(2, "wk-2", 200));
    assert!(queue.pop_overdue(1100, 1000).is_none());
    assert_eq!(queue.pop_overdue(1101, 1000).unwrap().request, 1);
    assert!(queue.pop_overdue(1101, 1000).is_none());
}
