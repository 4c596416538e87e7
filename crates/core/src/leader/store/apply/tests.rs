use super::*;
use crate::leader::fleet::images::ImageNames;
use crate::leader::fleet::machines::MachineIndex;
use crate::leader::scale_out_requests::ScaleOutRequests;
use crate::leader::store::split_submissions::SplitSubmissions;
use crate::leader::store::transaction::{TransactionBuilder, TransactionLimits};
use crate::model::samples::job;
use std::collections::BTreeMap;

const LIMITS: TransactionLimits = TransactionLimits { writes: 9, preconditions: 36 };

fn parts(job: &str) -> SubmissionParts {
    vec![VersionedKey { key: format!("s/{job}/n0-1-1/0000"), version: Revision(4) }]
}

/// Abandons a transaction that removes the first parts of these jobs' submissions. Returns the parts that are queued
/// to be removed by a later transaction.
fn queued_after_conflict(
    submissions: &[&str],
    conflicting: &[&str],
    jobs: &mut BTreeMap<Id, Job>,
) -> Vec<SubmissionParts> {
    let mut store = Store::new(0, 10.0);
    let mut changes = TransactionChanges::new(LIMITS);
    changes.submission_parts = submissions.iter().map(|job| parts(job)).collect();
    let conflicting: Vec<String> = conflicting.iter().map(|job| keys::job(job)).collect();
    let (mut machines, mut scale_outs) = (MachineIndex::default(), ScaleOutRequests::default());
    let images = ImageNames::default();
    let mut sources = RecordSources { jobs, machines: &mut machines, images: &images, scale_outs: &mut scale_outs };
    store.apply_abandoned(changes, &conflicting, &mut sources);
    let mut builder = TransactionBuilder::new(LIMITS);
    store.unreferenced.collect_submission_parts(&mut builder, sources.jobs, &SplitSubmissions::default())
}

/// Guards against parts that stay in the store because a job whose name begins with the same characters was accepted.
#[test]
fn only_the_parts_of_conflicting_jobs_are_no_longer_queued() {
    let queued = queued_after_conflict(&["wk-1", "wk-10"], &["wk-1"], &mut BTreeMap::new());
    assert_eq!(queued, [parts("wk-10")], "the record of wk-1 may refer to its parts");
}

#[test]
fn parts_of_a_known_job_stay_queued_after_its_record_has_changed() {
    let known = job(1);
    let mut jobs = BTreeMap::from([(known.id.clone(), known)]);
    assert_eq!(queued_after_conflict(&["wk-1"], &["wk-1"], &mut jobs), [parts("wk-1")]);
}
