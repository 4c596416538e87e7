//! Floods of requests: each is answered at once or with a time to come back, and what
//! other users are owed is not held up.

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

/// The record of a job.
const JOB: &str = r#"{"s":{"ref":"wk-1","jobline":"x","crew":"t","shape":"array","urgency":"high","pieces":2,"cores":2.0,
"cards":0.0,"ramGb":1.0,"bundle":"i","imageGb":1.0,"oneZone":false,"scatter":false,"borrowed":false,
"expectS":1.0,"markEveryS":0.0,"markTakesS":0.0,"frames":null,"hall":null},"at":1}"#;

/// The job's record as the key-value store has it.
fn record() -> KvReply {
    let v = serde_json::from_str(JOB).unwrap();
    KvReply::Found(KeyValue { key: "j/wk-1".into(), value: v, version: Revision(7), lease: None })
}

/// The number of the request that reads the job's record, if there is one.
fn read_of_record(effects: &[Effect]) -> Option<RequestId> {
    effects.iter().find_map(|effect| match effect {
        Effect::Kv(id, KvRequest::Get { key }, _) if key == "j/wk-1" => Some(*id),
        _ => None,
    })
}

/// How many effects answer a question with a job.
fn answers(effects: &[Effect]) -> usize {
    effects.iter().filter(|effect| matches!(effect, Effect::Answer(_, Answer::Job(200, _)))).count()
}

/// What became of polls for jobs that nobody submitted, and for a known one.
#[derive(Default)]
struct Outcome {
    reads: u32,
    told_to_retry: u32,
    answered: usize,
}

impl Outcome {
    /// Takes in an effect; a comparison of the known job's record is answered with no change.
    fn take(&mut self, controller: &mut Controller, at_ms: u64, effect: &Effect) {
        match effect {
            Effect::Kv(_, KvRequest::Get { key }, _) => self.reads += u32::from(key.starts_with("j/")),
            Effect::Kv(id, KvRequest::Transaction(transaction), _) => {
                let [condition] = transaction.preconditions.as_slice() else { panic!("{transaction:?}") };
                assert!(transaction.writes.is_empty() && condition.version == Revision(7));
                let unchanged = Command::Kv(*id, Ok(KvReply::Committed(Revision(9))));
                self.answered += answers(&controller.step(at(at_ms), vec![unchanged]));
            }
            Effect::Answer(_, Answer::Error { status, retry_after, .. }) => {
                assert!(*status == 503 && retry_after.is_some());
                self.told_to_retry += 1;
            }
            _ => {}
        }
    }
}

/// Polls for jobs that nobody submitted, by the thousand, took all requests of the key-value store:
/// leases and elections found none. They keep to their share, and a poll for a job that is known
/// goes beside them, on one comparison with others.
#[test]
fn polls_for_unknown_jobs_leave_room_for_the_rest() {
    let mut controller = controller();
    // A poll reads a job's record once.
    let polled = controller.step(at(1000), vec![Command::Status(1, "wk-1".into())]);
    let id = read_of_record(&polled).unwrap();
    let told = controller.step(at(1010), vec![Command::Kv(id, Ok(record()))]);
    assert!(told.iter().any(|effect| matches!(effect, Effect::Answer(1, Answer::Job(200, _)))));
    let mut outcome = Outcome::default();
    let mut last_id = 1000;
    for tenth in 0..20 {
        let mut batch = Vec::new();
        for _ in 0..500 {
            last_id += 1;
            batch.push(Command::Status(last_id, format!("wk-9{last_id}")));
        }
        if tenth % 5 == 0 {
            batch.extend((0..10).map(|poll| Command::Status(100 + tenth * 10 + poll, "wk-1".into())));
        }
        let at_ms = 1100 + tenth * 100;
        for effect in controller.step(at(at_ms), batch) {
            outcome.take(&mut controller, at_ms + 1, &effect);
        }
    }
    // Two seconds' worth of half the rate, and a second's worth that was in hand.
    assert!((200..=400).contains(&outcome.reads), "{} reads", outcome.reads);
    assert_eq!(outcome.reads + outcome.told_to_retry, 10_000, "each is read or told to come back");
    assert_eq!(outcome.answered, 40, "polls for a known job are all answered");
}

/// A job's record that changed is read again; of the others nothing is said before another look.
#[test]
fn a_changed_record_is_never_taken_for_the_old_one() {
    let mut controller = controller();
    let polled = controller.step(at(1000), vec![Command::Status(1, "wk-1".into())]);
    let id = read_of_record(&polled).unwrap();
    controller.step(at(1010), vec![Command::Kv(id, Ok(record()))]);
    controller.step(at(6000), vec![Command::Status(2, "wk-1".into())]);
    let sent = controller.step(at(6200), vec![Command::Tick]);
    let comparison = sent.iter().find_map(|effect| match effect {
        Effect::Kv(id, KvRequest::Transaction(transaction), _) if transaction.writes.is_empty() => Some(*id),
        _ => None,
    });
    let conflict = KvReply::Conflict(vec!["j/wk-1".into()]);
    let after = controller.step(at(6210), vec![Command::Kv(comparison.unwrap(), Ok(conflict))]);
    let answered = after.iter().any(|effect| matches!(effect, Effect::Answer(2, _)));
    assert!(!answered, "not answered from what was known");
    assert!(read_of_record(&after).is_some());
}
