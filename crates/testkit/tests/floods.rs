//! Floods of requests meet the owner: each is answered at once or with a time to come back, and what
//! other users are owed is not held up.

use shaleshunt_core::io::{Answer, Command, Effect};
use shaleshunt_core::settings::Limits;
use shaleshunt_core::{Controller, KvReply, KvRequest, Settings, Timestamp, Tuning};
use shaleshunt_wire::Revision;
use shaleshunt_wire::kv::KeyValue;
use std::collections::BTreeMap;

fn node() -> Controller {
    let settings = Settings {
        node_name: "n0".into(),
        location: "a".into(),
        peers: vec![("n1".into(), "b".into())],
        zones: vec!["a".into(), "b".into()],
        teams: BTreeMap::new(),
        objectives: BTreeMap::new(),
        heartbeat_interval_s: 5.0,
        lease_s: 27.0,
        cancel_s: 52.0,
        kv_rps: 250.0,
        state: Limits { value_kb: 16.0, txn_ops: 24, write_rps: 90.0 },
        state_next: None,
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

const JOB: &str = r#"{"s":{"ref":"wk-1","jobline":"x","crew":"t","shape":"array","urgency":"high","pieces":2,"cores":2.0,
"cards":0.0,"ramGb":1.0,"bundle":"i","imageGb":1.0,"oneZone":false,"scatter":false,"borrowed":false,
"expectS":1.0,"markEveryS":0.0,"markTakesS":0.0,"frames":null,"hall":null},"at":1}"#;

/// Polls for jobs that nobody submitted, by the thousand, took all requests of the state service:
/// leases and elections found none. They keep to their share, and a poll for a job that is known
/// goes beside them, on one comparison with others.
#[test]
fn polls_for_unknown_jobs_leave_room_for_the_rest() {
    let mut n = node();
    let mut asked = 1000;
    // A poll reads a job's record once.
    let read = n.step(at(1000), vec![Command::Status(1, "wk-1".into())]);
    let wanted = |e: &Effect| match e {
        Effect::Kv(id, KvRequest::Get { key }, _) if key == "j/wk-1" => Some(*id),
        _ => None,
    };
    let id = read.iter().find_map(wanted).unwrap();
    let pair =
        KeyValue { path: "j/wk-1".into(), v: serde_json::from_str(JOB).unwrap(), version: Revision(7), pass: None };
    let told = n.step(at(1010), vec![Command::Kv(id, Ok(KvReply::Found(pair)))]);
    assert!(told.iter().any(|e| matches!(e, Effect::Answer(1, Answer::Job(200, _)))));
    let (mut reads, mut later, mut compared) = (0, 0, 0);
    for tenth in 0..20 {
        let mut batch: Vec<Command> = (0..500)
            .map(|_| {
                asked += 1;
                Command::Status(asked, format!("wk-9{asked}"))
            })
            .collect();
        if tenth % 5 == 0 {
            batch.extend((0..10).map(|i| Command::Status(100 + tenth * 10 + i, "wk-1".into())));
        }
        for e in n.step(at(1100 + tenth * 100), batch) {
            match e {
                Effect::Kv(_, KvRequest::Get { key }, _) => reads += u32::from(key.starts_with("j/")),
                Effect::Kv(id, KvRequest::Transaction(transaction), _) => {
                    assert!(
                        transaction.writes.is_empty()
                            && transaction.conditions.len() == 1
                            && transaction.conditions[0].version == Revision(7)
                    );
                    let answers =
                        n.step(at(1101 + tenth * 100), vec![Command::Kv(id, Ok(KvReply::Committed(Revision(9))))]);
                    compared += answers.iter().filter(|e| matches!(e, Effect::Answer(_, Answer::Job(200, _)))).count();
                }
                Effect::Answer(_, Answer::Problem { status, retry_after, .. }) => {
                    assert!(status == 503 && retry_after.is_some());
                    later += 1;
                }
                _ => {}
            }
        }
    }
    // Two seconds' worth of half the rate, and a second's worth that was in hand.
    assert!((200..=400).contains(&reads), "{reads} reads");
    assert_eq!(reads + later, 10_000, "each is read or told to come back");
    assert_eq!(compared, 40, "polls for a known job are all answered");
}

/// A job's record that changed is read again; of the others nothing is said before another look.
#[test]
fn a_changed_record_is_never_taken_for_the_old_one() {
    let mut n = node();
    let first = n.step(at(1000), vec![Command::Status(1, "wk-1".into())]);
    let id = first
        .iter()
        .find_map(|e| match e {
            Effect::Kv(id, KvRequest::Get { key }, _) if key == "j/wk-1" => Some(*id),
            _ => None,
        })
        .unwrap();
    let pair =
        KeyValue { path: "j/wk-1".into(), v: serde_json::from_str(JOB).unwrap(), version: Revision(7), pass: None };
    n.step(at(1010), vec![Command::Kv(id, Ok(KvReply::Found(pair)))]);
    n.step(at(6000), vec![Command::Status(2, "wk-1".into())]);
    let sent = n.step(at(6200), vec![Command::Tick]);
    let id = sent
        .iter()
        .find_map(|e| match e {
            Effect::Kv(id, KvRequest::Transaction(t), _) if t.writes.is_empty() => Some(*id),
            _ => None,
        })
        .unwrap();
    let after = n.step(at(6210), vec![Command::Kv(id, Ok(KvReply::Conflict(vec!["j/wk-1".into()])))]);
    assert!(!after.iter().any(|e| matches!(e, Effect::Answer(2, _))), "not answered from what was known");
    let read = |e: &Effect| matches!(e, Effect::Kv(_, KvRequest::Get { key }, _) if key == "j/wk-1");
    assert!(after.iter().any(read));
}
