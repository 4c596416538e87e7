use super::*;
use crate::leader::store::transaction::TransactionLimits;
use crate::model::samples::job;
use shaleshunt_wire::kv::Write;

fn parts(job: &str) -> SubmissionParts {
    let key = |number| format!("s/{job}/n0-1-1/{number:04}");
    (0..2).map(|number| VersionedKey { key: key(number), version: Revision(4) }).collect()
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

#[test]
fn the_first_part_is_removed_if_its_job_has_no_record() {
    let mut unreferenced = UnreferencedRecords::default();
    unreferenced.add_submission_parts([parts("wk-1"), parts("wk-2")]);
    let known = job(1);
    let jobs = BTreeMap::from([(known.id.clone(), known)]);
    let mut builder = builder(9);
    let removed = unreferenced.collect_submission_parts(&mut builder, &jobs);
    assert_eq!(removed, [parts("wk-2"), parts("wk-1")]);
    assert_eq!(dropped(&builder), ["s/wk-2/n0-1-1/0000", "s/wk-1/n0-1-1/0000"]);
    let required: Vec<&str> = builder.transaction().preconditions.iter().map(|c| c.key.as_str()).collect();
    assert!(required.contains(&"j/wk-2"), "its record may still be created");
    assert!(!required.contains(&"j/wk-1"), "a known job refers to other parts");
}

#[test]
fn submissions_that_do_not_fit_stay_queued() {
    let mut unreferenced = UnreferencedRecords::default();
    unreferenced.add_submission_parts([parts("wk-1"), parts("wk-2")]);
    let removed = unreferenced.collect_submission_parts(&mut builder(1), &BTreeMap::new());
    assert_eq!(removed.len(), 1);
    assert_eq!(unreferenced.collect_submission_parts(&mut builder(9), &BTreeMap::new()).len(), 1);
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
