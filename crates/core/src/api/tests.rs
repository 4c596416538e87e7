//! Tests of the API through the methods that the controller calls, and test data for the tests of its modules.

use super::*;
use crate::api::acceptance::PendingSubmission;
use crate::controller::PendingRequest;
use crate::io::{Answer, Effect, KvReply, KvRequest, RequestError, Timestamp};
use crate::model::samples;
use crate::settings::{StoreQuota, TeamQuota, Tuning};
use serde_json::{Value, json};
use shaleshunt_wire::cloud::{Catalog, MachineType};
use shaleshunt_wire::kv::{KeyValue, Transaction, Write};
use shaleshunt_wire::user::{JobStatus, Submission};
use std::collections::BTreeMap;

/// The submission of an array of three small tasks.
pub(super) fn submission(job: &str) -> Submission {
    Submission {
        class: "batch".into(),
        team: "research".into(),
        tasks: 3,
        cores: 2.0,
        memory_gb: 4.0,
        ..samples::submission(job)
    }
}

/// A pending submission whose sequence number is the request's identifier.
pub(super) fn pending_submission(request: u64, job: &str, received_at_ms: u64) -> PendingSubmission {
    PendingSubmission {
        request,
        submission: submission(job),
        submitted_at_ms: 1_700_000_000_000,
        received_at_ms,
        sequence: request,
        cancelled_by_dependency: false,
    }
}

/// A machine type with `cores` that is available in `zones`.
pub(super) fn machine_type(name: &str, cores: f64, zones: &[&str]) -> MachineType {
    MachineType {
        name: name.into(),
        cores,
        accelerators: 0.0,
        memory_gb: 64.0,
        local_gb: 100.0,
        fetch_gb_per_s: 1.0,
        price: 1.0,
        spot_price: 0.5,
        boot_s: 30.0,
        zones: zones.iter().map(|zone| zone.to_string()).collect(),
    }
}

/// The API of a controller; the test supplies the store's replies.
pub(super) struct Fixture {
    pub(super) ctx: Context,
    pub(super) api: Api,
    now_ms: u64,
}

/// Reports one running task for each job.
struct OneTaskRunning;

impl TaskCountSource for OneTaskRunning {
    fn task_counts(&self, _job: &str) -> TaskCounts {
        TaskCounts { done: 0, running: 1 }
    }
}

impl Fixture {
    pub(super) fn new() -> Fixture {
        Fixture::with_values_of(64.0)
    }

    /// A fixture whose store takes values of up to `value_kb` KiB.
    fn with_values_of(value_kb: f64) -> Fixture {
        let settings = Settings {
            node_name: "n0".into(),
            teams: BTreeMap::from([("research".to_string(), TeamQuota::default())]),
            heartbeat_interval_s: 6.0,
            cancel_s: 20.0,
            kv_rps: 100.0,
            mem_mb: 100.0,
            store_quota: StoreQuota { value_kb, txn_ops: 100, write_rps: 100.0 },
            ..Settings::default()
        };
        let now = Timestamp { monotonic_ms: 10_000, wall_ms: 1_700_000_000_000 };
        let api = Api::new(&settings);
        let mut ctx = Context::new(settings, Tuning::default(), now, 5);
        ctx.catalog = Some(Catalog { machine_types: vec![machine_type("std", 8.0, &[])] });
        Fixture { ctx, api, now_ms: now.monotonic_ms }
    }

    /// Advances the clock and begins a batch.
    pub(super) fn advance(&mut self, elapsed_ms: u64) {
        self.now_ms += elapsed_ms;
        self.ctx.begin_batch(Timestamp { monotonic_ms: self.now_ms, wall_ms: 1_700_000_000_000 });
    }

    /// Ends the batch; returns the answers to users and the requests to the store.
    pub(super) fn end_batch(&mut self) -> (Vec<(u64, Answer)>, Vec<KvRequest>) {
        self.api.run_due(&mut self.ctx, &OneTaskRunning);
        let (mut answers, mut requests) = (Vec::new(), Vec::new());
        for effect in self.ctx.take_effects() {
            match effect {
                Effect::Answer(id, answer) => answers.push((id, answer)),
                Effect::Kv(_, request, _) => requests.push(request),
                _ => {}
            }
        }
        (answers, requests)
    }

    /// Sends what is due. Returns the pending request of the split submission, and its transaction.
    fn write_split_submission(&mut self) -> (ApiRequest, Transaction) {
        // A submission is split in one batch, and its first transaction is sent in the next.
        for _ in 0..2 {
            self.api.run_due(&mut self.ctx, &OneTaskRunning);
        }
        let effects = self.ctx.take_effects();
        let mut writes = effects.into_iter().filter_map(|effect| match effect {
            Effect::Kv(id, KvRequest::Transaction(transaction), _) => Some((id, transaction)),
            _ => None,
        });
        let (id, transaction) = writes.next().expect("a transaction");
        match self.ctx.complete(id).expect("pending").request {
            PendingRequest::Api(request @ ApiRequest::WriteSplitSubmission(_)) => (request, transaction),
            other => panic!("{other:?}"),
        }
    }

    /// Asks about a job whose record version is known, and waits until the comparison of its record is sent.
    pub(super) fn compare_for_query(&mut self, request: u64, job: &str) {
        self.advance(0);
        self.api.status(&mut self.ctx, request, job.into());
        self.advance(500);
        let (answers, requests) = self.end_batch();
        assert!(answers.is_empty() && matches!(requests[..], [KvRequest::Transaction(_)]), "{requests:?}");
    }

    pub(super) fn reply(&mut self, request: ApiRequest, result: Result<KvReply, RequestError>) {
        let sent = self.ctx.batch_time();
        self.api.handle_kv_reply(&mut self.ctx, request, sent, result, &OneTaskRunning);
    }
}

pub(super) fn status_query(request: u64, job: &str) -> JobQuery {
    JobQuery::new(request, job.into(), QueryPurpose::Status)
}

pub(super) fn found(key: &str, value: Value) -> Result<KvReply, RequestError> {
    Ok(KvReply::Found(KeyValue { key: key.into(), value, version: Revision(7), lease: None }))
}

pub(super) fn get(key: &str) -> KvRequest {
    KvRequest::Get { key: key.into() }
}

pub(super) fn statuses(answers: &[(u64, Answer)]) -> Vec<(u64, u16, Option<JobStatus>)> {
    let status = |answer: &Answer| match answer {
        Answer::Job(code, view) => (*code, Some(view.status)),
        Answer::Error { status, .. } => (*status, None),
        other => panic!("{other:?}"),
    };
    answers.iter().map(|(id, answer)| (*id, status(answer).0, status(answer).1)).collect()
}

#[test]
fn submission_is_answered_after_its_record_is_committed() {
    let mut fixture = Fixture::new();
    fixture.advance(0);
    fixture.api.submit(&mut fixture.ctx, 1, submission("wk-1"));
    let (answers, requests) = fixture.end_batch();
    assert!(answers.is_empty() && matches!(requests[..], [KvRequest::Transaction(_)]));
    fixture.reply(ApiRequest::Accept(vec![pending_submission(1, "wk-1", 10_000)]), Ok(KvReply::Committed(Revision(7))));
    assert_eq!(statuses(&fixture.end_batch().0), [(1, 201, Some(JobStatus::Queued))]);
}

#[test]
fn repeated_submission_is_answered_with_the_jobs_state() {
    let mut fixture = Fixture::new();
    fixture.advance(0);
    fixture.api.submit(&mut fixture.ctx, 1, submission("wk-1"));
    fixture.end_batch();
    let batch = ApiRequest::Accept(vec![pending_submission(1, "wk-1", 10_000)]);
    fixture.reply(batch, Ok(KvReply::Conflict(vec!["j/wk-1".into()])));
    assert_eq!(fixture.end_batch().1, [get("j/wk-1")]);
    let read = JobQuery::new(1, "wk-1".into(), QueryPurpose::Resubmission);
    let record = json!({"s": submission("wk-1"), "at": 5});
    fixture.reply(ApiRequest::ReadRecord(read), found("j/wk-1", record));
    assert_eq!(statuses(&fixture.end_batch().0), [(1, 200, Some(JobStatus::Running))]);
}

#[test]
fn after_a_conflict_only_conflicting_jobs_are_read_and_the_others_are_sent_again() {
    let mut fixture = Fixture::new();
    fixture.advance(0);
    fixture.api.submit(&mut fixture.ctx, 1, submission("wk-1"));
    fixture.end_batch();
    let batch = ApiRequest::Accept(vec![pending_submission(1, "wk-1", 10_000), pending_submission(2, "wk-2", 10_000)]);
    fixture.reply(batch, Ok(KvReply::Conflict(vec!["f/wk-2".into()])));
    let (answers, requests) = fixture.end_batch();
    assert!(answers.is_empty());
    assert_eq!(requests[0], get("j/wk-2"));
    assert!(matches!(&requests[1..], [KvRequest::Transaction(t)] if t.preconditions[0].key == "j/wk-1"));
}

#[test]
fn throttled_acceptance_is_retried_and_unknown_outcome_is_answered_with_503() {
    let mut fixture = Fixture::new();
    fixture.advance(0);
    fixture.api.submit(&mut fixture.ctx, 1, submission("wk-1"));
    fixture.end_batch();
    fixture.reply(ApiRequest::Accept(vec![pending_submission(1, "wk-1", 10_000)]), Err(RequestError::Throttled));
    fixture.advance(99);
    assert!(fixture.end_batch().1.is_empty());
    fixture.advance(1);
    assert_eq!(fixture.end_batch().1.len(), 1);
    fixture.reply(ApiRequest::Accept(vec![pending_submission(1, "wk-1", 10_000)]), Err(RequestError::OutcomeUnknown));
    assert_eq!(statuses(&fixture.end_batch().0), [(1, 503, None)]);
}

#[test]
fn submission_is_refused_only_if_the_job_was_never_accepted() {
    for (reply, expected) in [
        (Ok(KvReply::Missing), (1, 422, None)),
        (found("f/wk-1", json!({"x": false, "n": 3, "t": 5})), (1, 200, Some(JobStatus::Done))),
    ] {
        let mut fixture = Fixture::new();
        fixture.advance(0);
        let refused = Submission { team: "nobody".into(), ..submission("wk-1") };
        fixture.api.submit(&mut fixture.ctx, 1, refused);
        assert_eq!(fixture.end_batch().1, [get("j/wk-1")]);
        let query = || JobQuery::new(1, "wk-1".into(), QueryPurpose::Refusal(answers::RefusalReason::UnknownTeam));
        fixture.reply(ApiRequest::ReadRecord(query()), Ok(KvReply::Missing));
        assert_eq!(fixture.end_batch().1, [get("f/wk-1")]);
        fixture.reply(ApiRequest::ReadFinalRecord(query()), reply);
        assert_eq!(statuses(&fixture.end_batch().0), [expected]);
    }
}

#[test]
fn cancellation_is_retried_three_times_after_conflicts() {
    let mut fixture = Fixture::new();
    fixture.advance(0);
    fixture.api.cancel(&mut fixture.ctx, 1, "wk-1".into());
    assert_eq!(fixture.end_batch().1, [get("j/wk-1")]);
    let mut query = JobQuery::new(1, "wk-1".into(), QueryPurpose::Cancellation);
    for _ in 0..3 {
        fixture.reply(ApiRequest::Cancel(query.clone()), Ok(KvReply::Conflict(vec!["j/wk-1".into()])));
        assert_eq!(fixture.end_batch().1, [get("j/wk-1")]);
        assert!(query.retry());
    }
    fixture.reply(ApiRequest::Cancel(query.clone()), Ok(KvReply::Conflict(vec!["j/wk-1".into()])));
    assert_eq!(statuses(&fixture.end_batch().0), [(1, 503, None)]);
    fixture.reply(ApiRequest::Cancel(query), Ok(KvReply::Committed(Revision(8))));
    assert_eq!(statuses(&fixture.end_batch().0), [(1, 200, Some(JobStatus::Cancelled))]);
}

#[test]
fn after_a_failed_comparison_only_changed_records_are_read_again() {
    let mut fixture = Fixture::new();
    fixture.advance(0);
    fixture.api.learn_record_versions([("wk-1", Revision(3)), ("wk-2", Revision(4))].into_iter());
    fixture.api.status(&mut fixture.ctx, 1, "wk-1".into());
    fixture.api.status(&mut fixture.ctx, 2, "wk-2".into());
    fixture.advance(500);
    let requests = fixture.end_batch().1;
    assert!(matches!(&requests[..], [KvRequest::Transaction(t)] if t.preconditions.len() == 2 && t.writes.is_empty()));
    let batch = ApiRequest::CompareRecords(vec![status_query(1, "wk-1"), status_query(2, "wk-2")]);
    fixture.reply(batch, Ok(KvReply::Conflict(vec!["j/wk-2".into()])));
    let requests = fixture.end_batch().1;
    assert_eq!(requests[0], get("j/wk-2"));
    assert!(matches!(&requests[1..], [KvRequest::Transaction(t)] if t.preconditions[0].key == "j/wk-1"));
    fixture.reply(ApiRequest::CompareRecords(vec![status_query(1, "wk-1")]), Ok(KvReply::Committed(Revision(9))));
    assert_eq!(statuses(&fixture.end_batch().0), [(1, 200, Some(JobStatus::Running))]);
}

/// A submission that takes several values of 1 KiB.
fn long_submission(job: &str) -> Submission {
    Submission { image: "x".repeat(3000), ..submission(job) }
}

pub(super) fn written_keys(transaction: &Transaction) -> Vec<String> {
    let key = |write: &Write| match write {
        Write::Set { key, .. } | Write::Drop { key } => key.clone(),
    };
    transaction.writes.iter().map(key).collect()
}

/// Guards against parts that a leader is about to remove, or that have another size, under the keys of new ones.
#[test]
fn submission_that_is_split_again_gets_other_keys() {
    let first_part_gone = |keys: &[String]| Ok(KvReply::Conflict(vec![keys[0].clone()]));
    let too_large = |_: &[String]| Err(RequestError::Rejected("value too large".into()));
    type Reply<'a> = &'a dyn Fn(&[String]) -> Result<KvReply, RequestError>;
    let replies: [Reply; 2] = [&first_part_gone, &too_large];
    for reply in replies {
        let mut fixture = Fixture::with_values_of(1.0);
        fixture.advance(0);
        fixture.api.submit(&mut fixture.ctx, 1, long_submission("wk-1"));
        let (parts, transaction) = fixture.write_split_submission();
        let first_keys = written_keys(&transaction);
        fixture.reply(parts, Ok(KvReply::Committed(Revision(7))));
        let (record, _) = fixture.write_split_submission();
        fixture.reply(record, reply(&first_keys));
        let (_, again) = fixture.write_split_submission();
        assert!(written_keys(&again).iter().all(|key| key.starts_with("s/wk-1/") && !first_keys.contains(key)));
    }
}

/// Guards against a second answer to a request, after a submission in progress had to be split again.
#[test]
fn user_is_answered_once_if_an_overdue_submission_is_split_again() {
    let mut fixture = Fixture::with_values_of(1.0);
    fixture.advance(0);
    fixture.api.submit(&mut fixture.ctx, 1, long_submission("wk-1"));
    let (parts, _) = fixture.write_split_submission();
    fixture.reply(parts, Err(RequestError::Throttled));
    fixture.advance(MAX_SUBMIT_WAIT_MS + 1);
    fixture.api.answer_overdue_submissions(&mut fixture.ctx);
    let answered = fixture.ctx.take_effects().into_iter().any(|effect| matches!(effect, Effect::Answer(1, _)));
    assert!(answered, "with 503, while the submission is still written");
    let (parts, _) = fixture.write_split_submission();
    fixture.reply(parts, Err(RequestError::Rejected("value too large".into())));
    fixture.advance(MAX_SUBMIT_WAIT_MS + 1);
    let (answers, requests) = fixture.end_batch();
    assert!(answers.is_empty(), "{answers:?}");
    assert!(matches!(requests[..], [KvRequest::Transaction(_)]));
}
