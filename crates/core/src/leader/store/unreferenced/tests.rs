use super::*;
use crate::leader::store::split_submissions::SplitSubmissionRead;
use crate::leader::store::transaction::TransactionLimits;
use crate::model::samples::{job, split_submission_record};
use shaleshunt_wire::kv::{KeyValue, Write};

fn stored_parts(job: &str) -> Vec<KeyValue> {
    let key = |number| format!("s/{job}/n0-1-1/{number:04}");
    (0..2)
        .map(|number| KeyValue { key: key(number), value: "text".into(), version: Revision(4), lease: None })
        .collect()
}

fn parts(job: &str) -> SubmissionParts {
    stored_parts(job).into_iter().map(VersionedKey::from).collect()
}

/// A read of the parts of [`parts`], to which a record refers that the leader's watch has just shown.
fn read(job: &str) -> SplitSubmissionRead {
    SplitSubmissionRead::new(split_submission_record(job), Revision(5))
}

fn builder(writes: usize) -> TransactionBuilder {
    TransactionBuilder::new(TransactionLimits { writes, preconditions: writes * 4 })
}

fn dropped(builder: &TransactionBuilder) -> Vec<&str> {
    fn key(write: &Write) -> Option<&str> {
        match write {
            Write::Drop { key } => Some(key.as_str()),
            Write::Set { .. } => None,
        }
    }
    builder.transaction().writes.iter().filter_map(key).collect()
}

fn required(builder: &TransactionBuilder, key: &str) -> Option<Revision> {
    let preconditions = &builder.transaction().preconditions;
    preconditions.iter().find(|precondition| precondition.key == key).map(|precondition| precondition.version)
}

/// Guards against the loss of an accepted job whose record was created after recovery had read its parts: a known job
/// was taken to refer to other parts, and the first part of its own submission was removed.
#[test]
fn parts_that_a_record_refers_to_by_now_are_kept() {
    let mut unreferenced = UnreferencedRecords::default();
    unreferenced.add_submission_parts([parts("wk-1"), parts("wk-2"), parts("wk-3")]);
    let mut submissions = SplitSubmissions::default();
    submissions.add("wk-1".into(), stored_parts("wk-1"));
    submissions.begin_read(&read("wk-2"));
    let known = job(1);
    let jobs = BTreeMap::from([(known.id.clone(), known)]);
    let mut builder = builder(9);
    assert_eq!(unreferenced.collect_submission_parts(&mut builder, &jobs, &submissions), [parts("wk-3")]);
    assert_eq!(dropped(&builder), ["s/wk-3/n0-1-1/0000"]);
    let ended = SplitSubmissions::default();
    assert!(unreferenced.collect_submission_parts(&mut builder, &BTreeMap::new(), &ended).is_empty(), "kept for good");
}

#[test]
fn the_first_part_is_removed_only_with_a_precondition_on_the_record_of_its_job() {
    let mut unreferenced = UnreferencedRecords::default();
    unreferenced.add_submission_parts([parts("wk-1"), parts("wk-2")]);
    let known = job(1);
    let version = known.record.version;
    let jobs = BTreeMap::from([(known.id.clone(), known)]);
    let mut builder = builder(9);
    let removed = unreferenced.collect_submission_parts(&mut builder, &jobs, &SplitSubmissions::default());
    assert_eq!(removed, [parts("wk-1"), parts("wk-2")]);
    assert_eq!(dropped(&builder), ["s/wk-1/n0-1-1/0000", "s/wk-2/n0-1-1/0000"]);
    assert_eq!(required(&builder, "j/wk-1"), Some(version), "the known record does not refer to the parts");
    assert_eq!(required(&builder, "j/wk-2"), Some(Revision::ABSENT), "its record may still be created");
}

#[test]
fn parts_stay_queued_while_the_record_of_their_job_is_read_again() {
    let mut unreferenced = UnreferencedRecords::default();
    unreferenced.add_submission_parts([parts("wk-1")]);
    let mut stale = job(1);
    stale.record.stale = true;
    let mut jobs = BTreeMap::from([(stale.id.clone(), stale)]);
    let none = SplitSubmissions::default();
    assert!(unreferenced.collect_submission_parts(&mut builder(9), &jobs, &none).is_empty());
    jobs.values_mut().for_each(|job| job.record.stale = false);
    assert_eq!(unreferenced.collect_submission_parts(&mut builder(9), &jobs, &none), [parts("wk-1")]);
}

#[test]
fn parts_that_are_queued_twice_are_removed_once() {
    let mut unreferenced = UnreferencedRecords::default();
    unreferenced.add_submission_parts([parts("wk-1"), parts("wk-1")]);
    let none = SplitSubmissions::default();
    assert_eq!(unreferenced.collect_submission_parts(&mut builder(9), &BTreeMap::new(), &none), [parts("wk-1")]);
}

#[test]
fn submissions_that_do_not_fit_stay_queued() {
    let mut unreferenced = UnreferencedRecords::default();
    unreferenced.add_submission_parts([parts("wk-1"), parts("wk-2")]);
    let (jobs, none) = (BTreeMap::new(), SplitSubmissions::default());
    assert_eq!(unreferenced.collect_submission_parts(&mut builder(1), &jobs, &none).len(), 1);
    assert_eq!(unreferenced.collect_submission_parts(&mut builder(9), &jobs, &none).len(), 1);
}

#[test]
fn keys_of_version_0_1_are_removed_once_released() {
    let mut unreferenced = UnreferencedRecords::default();
    unreferenced.add_v0_1_key("m/vm-1".to_string(), Revision(2));
    assert_eq!(unreferenced.collect_next_key(&mut builder(9)), None);
    unreferenced.release_v0_1_keys();
    let mut builder = builder(9);
    assert_eq!(unreferenced.collect_next_key(&mut builder).as_deref(), Some("m/vm-1"));
    assert_eq!((dropped(&builder), builder.required_version("m/vm-1")), (vec!["m/vm-1"], Revision(2)));
}
