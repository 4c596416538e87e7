use super::*;
use crate::model::samples;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use std::collections::BTreeSet;

/// Deserializes a record, asserts that it serializes to the same value, and returns the record.
fn round_trip<T: Serialize + DeserializeOwned>(value: &Value) -> T {
    let record: T = serde_json::from_value(value.clone()).unwrap();
    assert_eq!(json!(record), *value);
    record
}

/// Leaders of the version in production and of this version read each other's records. This test guards against records
/// of production that this version can't read or changes, and against new fields that production can neither read nor
/// ignore.
#[test]
fn records_of_production_round_trip_unchanged() {
    let mut seen = BTreeSet::new();
    for line in include_str!("../../testdata/production.store").lines() {
        let (key, text) = line.split_once(' ').unwrap();
        let v: Value = serde_json::from_str(text).unwrap();
        let prefix = &key[..2];
        seen.insert(prefix.to_string());
        match prefix {
            keys::JOBS => {
                let record: JobRecord = round_trip(&v);
                assert!(record.submission.dependencies.is_empty());
                let cancelled = json!(record.into_cancelled(CancellationCause::User));
                // Production requires these fields.
                let kept = ["pieces", "crew", "jobline", "shape", "urgency", "cores", "bundle", "expectS"];
                assert!(kept.iter().all(|f| !cancelled["s"][*f].is_null()) && cancelled["x"] == true);
            }
            keys::TASK_PAGES => drop(round_trip::<PageRecord>(&v)),
            keys::MACHINE_BLOCKS => drop(round_trip::<BlockRecord>(&v)),
            keys::SCALE_OUTS => drop(round_trip::<shaleshunt_wire::cloud::ScaleOutRequest>(&v)),
            keys::FINAL_RECORDS => {
                let record: FinalRecord = serde_json::from_value(v.clone()).unwrap();
                let now = json!(FinalRecord { ended_at_ms: 5, ..record });
                assert_eq!((&now["x"], &now["n"]), (&v["x"], &v["n"]));
            }
            _ if key == keys::CATALOG => drop(round_trip::<shaleshunt_wire::cloud::Catalog>(&v)),
            _ => {}
        }
    }
    assert_eq!(seen.into_iter().collect::<String>(), "b/c/f/h/j/l/p/");
}

/// Deserializes a record, asserts that it serializes to the same bytes, and returns the record.
fn round_trip_text<T: Serialize + DeserializeOwned>(text: &str) -> T {
    let record: T = serde_json::from_str(text).unwrap();
    assert_eq!(serde_json::to_string(&record).unwrap(), text);
    record
}

#[test]
fn a_job_record_round_trips_and_lacks_two_fields_in_version_0_1() {
    let submission = r#"{"ref":"wk-1","crew":"t","jobline":"work","shape":"array","urgency":"normal","pieces":3,"cores":4.0,"cards":0.0,"ramGb":4.0,"bundle":"img","imageGb":0.5,"expectS":9.0,"markEveryS":0.0,"markTakesS":0.0,"borrowed":true,"scatter":false,"oneZone":false}"#;
    let record: JobRecord = serde_json::from_str(&format!(r#"{{"s":{submission},"at":5}}"#)).unwrap();
    assert!(!record.cancelled && !record.has_cancellation_key, "records of version 0.1 lack both");
    let inner = serde_json::to_string(&record.submission).unwrap();
    let text = format!(r#"{{"s":{inner},"at":5,"x":true,"k":false}}"#);
    let record: JobRecord = round_trip_text(&text);
    assert_eq!((record.accepted_at_ms, record.cancelled, record.has_cancellation_key), (5, true, false));
    assert_eq!((record.submission.id.as_str(), record.submission.tasks), ("wk-1", 3));
    let cancelled =
        serde_json::to_string(&JobRecord::new(record.submission, 5).into_cancelled(CancellationCause::User)).unwrap();
    assert!(cancelled.ends_with(r#","at":5,"x":true,"k":true}"#), "{cancelled}");
}

#[test]
fn a_split_submission_record_round_trips() {
    let record: SplitSubmissionRecord = round_trip_text(r#"{"p":"s/wk-1/n0-5-1/","n":3,"at":5,"x":true,"k":false}"#);
    assert_eq!((record.job(), record.tasks, record.accepted_at_ms), ("wk-1", 3, 5));
    assert!(record.cancelled && !record.has_cancellation_key);
    let cancelled = StoredJob::SplitSubmission(record).into_cancelled(CancellationCause::User);
    assert_eq!(cancelled.to_string(), r#"{"at":5,"k":true,"n":3,"p":"s/wk-1/n0-5-1/","x":true}"#);
}

/// The leader removes the cancellation's key with the end of the job, so a record must not claim one that is not there.
#[test]
fn a_record_cancelled_by_a_dependency_has_no_cancellation_key() {
    let records = [
        json!(JobRecord::new(samples::submission("wk-1"), 5)),
        json!({"p": "s/wk-1/n0-5-1/", "n": 3, "at": 5, "x": false, "k": false}),
    ];
    for record in records {
        let cancelled = StoredJob::read(record).unwrap().into_cancelled(CancellationCause::Dependency);
        let cancelled = StoredJob::read(cancelled).unwrap();
        assert!(cancelled.is_cancelled() && !cancelled.has_cancellation_key());
    }
}

#[test]
fn a_final_record_round_trips_and_lacks_the_end_before_version_0_3() {
    let record: FinalRecord = round_trip_text(r#"{"x":true,"n":3,"t":7}"#);
    assert_eq!((record.cancelled, record.tasks, record.ended_at_ms), (true, 3, 7));
    let old: FinalRecord = serde_json::from_str(r#"{"x":false,"n":3}"#).unwrap();
    assert_eq!(old.ended_at_ms, 0);
}

#[test]
fn a_machine_block_round_trips_and_may_lack_images() {
    let text =
        r#"{"z":"a","i":[["img",0.5]],"m":{"vm-1":{"f":"std","b":false,"o":true,"e":"vm-1:9","s":2,"t":7,"i":[0]}}}"#;
    let record: BlockRecord = round_trip_text(text);
    assert_eq!(record.images, [ImageRecord { name: "img".to_string(), gb: 0.5 }]);
    let machine = &record.machines["vm-1"];
    assert_eq!((machine.machine_type.as_str(), machine.endpoint.as_str()), ("std", "vm-1:9"));
    assert_eq!((machine.spot, machine.owned, machine.rented_at_ms), (false, true, 7));
    assert_eq!((record.zone.as_str(), json!(machine.agent_epoch), &machine.images), ("a", json!(2), &vec![0]));
    let old: BlockRecord =
        serde_json::from_str(r#"{"z":"a","m":{"vm-1":{"f":"std","b":true,"o":false,"e":"","s":0,"t":0}}}"#).unwrap();
    assert!(old.images.is_empty() && old.machines["vm-1"].images.is_empty() && old.machines["vm-1"].spot);
}

#[test]
fn a_machine_record_of_version_0_1_round_trips() {
    let text = r#"{"f":"std","z":"a","b":true,"o":false,"e":"vm-1:9","s":2,"t":7,"p":[["wk-1",4,268435921]]}"#;
    let record: V01MachineRecord = round_trip_text(text);
    assert_eq!((record.machine_type.as_str(), record.zone.as_str()), ("std", "a"));
    assert_eq!((record.spot, record.owned, record.rented_at_ms), (true, false, 7));
    assert_eq!((record.endpoint.as_str(), json!(record.agent_epoch)), ("vm-1:9", json!(2)));
    let placement = &record.placements[0];
    assert_eq!((placement.job.as_str(), placement.task, json!(placement.attempt)), ("wk-1", 4, json!(268_435_921)));
}

#[test]
fn a_task_page_round_trips_with_done_placed_and_free_tasks() {
    let text = r#"{"e":[{"j":"wk-1","d":true,"n":[[5,1],[7,3]]},{"j":"wk-2","m":["vm-1",2,268435921],"n":[[16,1]]},{"j":"wk-3","n":[[0,2]]}]}"#;
    let record: PageRecord = round_trip_text(text);
    let [done, placed, free] = &record.entries[..] else { panic!("three entries") };
    assert_eq!(done.runs.iter().flat_map(TaskRun::tasks).collect::<Vec<_>>(), [5, 7, 8, 9]);
    assert!(done.done && done.placement.is_none() && done.task_count() == 4);
    let placement = placed.placement.as_ref().unwrap();
    assert_eq!((placement.machine.as_str(), json!(placement.agent_epoch)), ("vm-1", json!(2)));
    assert_eq!(json!(placement.attempt), json!(268_435_921));
    assert!(!free.done && free.placement.is_none());
}

#[test]
fn consecutive_tasks_form_one_run_and_max_bytes_is_an_upper_bound() {
    let mut entry = TaskEntry::new("wk-1");
    (5..90).chain(100..1200).chain([4_000_000_000]).for_each(|task| entry.push(task));
    assert_eq!(entry.runs.len(), 3);
    assert!(serde_json::to_string(&entry).unwrap().len() <= entry.max_bytes());
}

#[test]
fn keys_have_the_stored_format_and_are_parsed_back() {
    assert_eq!(keys::job("wk-1"), "j/wk-1");
    assert_eq!((keys::job_id("j/wk-1"), keys::job_id("j")), ("wk-1", ""));
    assert_eq!(keys::final_record("wk-1"), "f/wk-1");
    assert_eq!(keys::cancellation("wk-1"), "l/x/wk-1");
    assert_eq!(keys::scale_out("n0-1-13"), "h/n0-1-13");
    assert_eq!(keys::task_page(10), "p/0000000010");
    assert_eq!((keys::task_page_number("p/0000000010"), keys::task_page_number("p/x")), (Some(10), None));
    assert_eq!(keys::machine_block(7), "b/7");
    assert_eq!((keys::machine_block_number("b/7"), keys::machine_block_number("b/")), (Some(7), None));
    assert_eq!((keys::owned_list_part(0), keys::owned_list_part(2)), ("c/owned".to_string(), "c/owned/2".to_string()));
    assert_eq!(keys::job_id_of_submission_part("s/wk-1/n0-5-1/0000"), "wk-1");
    assert_eq!(keys::submission_parts_prefix("s/wk-1/n0-5-1/0000"), "s/wk-1/n0-5-1/");
}

#[test]
fn whole_and_split_records_are_distinguished() {
    let large = json!({"p": "s/wk-1/n0-5-1/", "n": 3, "at": 5, "x": true, "k": true});
    assert!(
        matches!(StoredJob::read(large), Some(StoredJob::SplitSubmission(record)) if record.tasks == 3 && record.cancelled)
    );
    assert!(StoredJob::read(json!({"at": 5})).is_none());
}
