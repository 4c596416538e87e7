//! Tests floods of status queries: each query is answered at once or told when to retry, and does not delay the answers
//! to other users.

use shaleshunt_core::io::{Answer, Command, Effect, RequestId};
use shaleshunt_core::settings::StoreQuota;
use shaleshunt_core::{Controller, KvReply, KvRequest, Settings, Timestamp, Tuning};
use shaleshunt_wire::Revision;
use shaleshunt_wire::kv::KeyValue;
use std::collections::BTreeMap;

fn controller() -> Controller {
    let settings = Settings {
        node_name: "n0".into(),
        zone: "a".into(),
        peers: vec![("n1".into(), "b".into())],
        zones: vec!["a".into(), "b".into()],
        teams: BTreeMap::new(),
        objectives: BTreeMap::new(),
        heartbeat_interval_s: 5.0,
        lease_s: 27.0,
        cancel_s: 52.0,
        kv_rps: 250.0,
        store_quota: StoreQuota { value_kb: 16.0, txn_ops: 24, write_rps: 90.0 },
        next_store_quota: None,
        cloud_rps: 6.0,
        machine_list_lag_s: 3.0,
        mem_mb: 158.0,
        ..Settings::default()
    };
    Controller::new(settings, Tuning::default(), at(1), 1)
}

fn at(monotonic_ms: u64) -> Timestamp {
    Timestamp { monotonic_ms, wall_ms: 1_700_000_000_000 + monotonic_ms }
}

/// The stored record of a job.
const JOB_RECORD: &str = r#"{"s":{"ref":"wk-1","jobline":"x","crew":"t","shape":"array","urgency":"high","pieces":2,
"cores":2.0,"cards":0.0,"ramGb":1.0,"bundle":"i","imageGb":1.0,"oneZone":false,"scatter":false,"borrowed":false,
"expectS":1.0,"markEveryS":0.0,"markTakesS":0.0,"frames":null,"hall":null},"at":1}"#;

/// The key-value store's reply to a read of the job's record.
fn record_reply() -> KvReply {
    let v = serde_json::from_str(JOB_RECORD).unwrap();
    KvReply::Found(KeyValue { key: "j/wk-1".into(), value: v, version: Revision(7), lease: None })
}

/// The id of the request that reads the job's record, if there is one.
fn record_read_request(effects: &[Effect]) -> Option<RequestId> {
    effects.iter().find_map(|effect| match effect {
        Effect::Kv(id, KvRequest::Get { key }, _) if key == "j/wk-1" => Some(*id),
        _ => None,
    })
}

/// Number of effects that answer a status query with a job's status.
fn status_answers(effects: &[Effect]) -> usize {
    effects.iter().filter(|effect| matches!(effect, Effect::Answer(_, Answer::Job(200, _)))).count()
}

/// Results of status queries for unknown jobs and for a known one.
#[derive(Default)]
struct Outcome {
    /// Reads of job records from the store.
    reads: u32,
    /// Queries answered with status 503 and a time to retry.
    told_to_retry: u32,
    /// Queries answered with a job's status.
    answered: usize,
}

impl Outcome {
    /// Counts an effect. A transaction that only compares the version of the known job's record gets the reply that the
    /// record is unchanged.
    fn count(&mut self, controller: &mut Controller, at_ms: u64, effect: &Effect) {
        match effect {
            Effect::Kv(_, KvRequest::Get { key }, _) => self.reads += u32::from(key.starts_with("j/")),
            Effect::Kv(id, KvRequest::Transaction(transaction), _) => {
                let [precondition] = transaction.preconditions.as_slice() else { panic!("{transaction:?}") };
                assert!(transaction.writes.is_empty() && precondition.version == Revision(7));
                let unchanged = Command::Kv(*id, Ok(KvReply::Committed(Revision(9))));
                self.answered += status_answers(&controller.step(at(at_ms), vec![unchanged]));
            }
            Effect::Answer(_, Answer::Error { status, retry_after, .. }) => {
                assert!(*status == 503 && retry_after.is_some());
                self.told_to_retry += 1;
            }
            _ => {}
        }
    }
}

/// Thousands of status queries for unknown jobs once used up the request rate of the key-value store, so that none were
/// left for leases and elections. Such queries now get only a share of the rate. A query for a known job does not count
/// against the share: one comparison of record versions serves several such queries.
#[test]
fn queries_for_unknown_jobs_use_only_their_share_of_store_requests() {
    let mut controller = controller();
    // The first query for a job reads the record.
    let polled = controller.step(at(1000), vec![Command::Status(1, "wk-1".into())]);
    let id = record_read_request(&polled).unwrap();
    let answered = controller.step(at(1010), vec![Command::Kv(id, Ok(record_reply()))]);
    assert!(answered.iter().any(|effect| matches!(effect, Effect::Answer(1, Answer::Job(200, _)))));
    let mut outcome = Outcome::default();
    let mut last_id = 1000;
    for tenth in 0..20 {
        let mut batch = Vec::new();
        for _ in 0..500 {
            last_id += 1;
            batch.push(Command::Status(last_id, format!("wk-9{last_id}")));
        }
        if tenth % 5 == 0 {
            batch.extend((0..10).map(|query| Command::Status(100 + tenth * 10 + query, "wk-1".into())));
        }
        let at_ms = 1100 + tenth * 100;
        for effect in controller.step(at(at_ms), batch) {
            outcome.count(&mut controller, at_ms + 1, &effect);
        }
    }
    // The flood lasts two seconds at half of the request rate, after one second's allowance was saved up.
    assert!((200..=400).contains(&outcome.reads), "{} reads", outcome.reads);
    assert_eq!(outcome.reads + outcome.told_to_retry, 10_000, "each query reads a record or is told to retry");
    assert_eq!(outcome.answered, 40, "all queries for the known job are answered");
}

/// When the version of a cached job record differs from the stored one, the leader answers the query only after it has
/// read the record again.
#[test]
fn changed_record_is_read_again_before_the_answer() {
    let mut controller = controller();
    let polled = controller.step(at(1000), vec![Command::Status(1, "wk-1".into())]);
    let id = record_read_request(&polled).unwrap();
    controller.step(at(1010), vec![Command::Kv(id, Ok(record_reply()))]);
    controller.step(at(6000), vec![Command::Status(2, "wk-1".into())]);
    let sent = controller.step(at(6200), vec![Command::Tick]);
    let comparison = sent.iter().find_map(|effect| match effect {
        Effect::Kv(id, KvRequest::Transaction(transaction), _) if transaction.writes.is_empty() => Some(*id),
        _ => None,
    });
    let conflict = KvReply::Conflict(vec!["j/wk-1".into()]);
    let after = controller.step(at(6210), vec![Command::Kv(comparison.unwrap(), Ok(conflict))]);
    let answered = after.iter().any(|effect| matches!(effect, Effect::Answer(2, _)));
    assert!(!answered, "no answer from the outdated record");
    assert!(record_read_request(&after).is_some());
}
