use super::*;
use crate::model::samples::split_submission_record;

fn read(job: &str, version: u64) -> SplitSubmissionRead {
    SplitSubmissionRead::new(split_submission_record(job), Revision(version))
}

#[test]
fn a_read_for_an_earlier_version_of_the_record_is_outdated() {
    let mut submissions = SplitSubmissions::default();
    submissions.begin_read(&read("wk-1", 5));
    assert!(submissions.is_current(&read("wk-1", 5)));
    submissions.begin_read(&read("wk-1", 8));
    assert!(!submissions.is_current(&read("wk-1", 5)) && submissions.is_current(&read("wk-1", 8)));
    submissions.job_removed("wk-1", Revision(7));
    assert!(submissions.is_current(&read("wk-1", 8)), "the record was created again since");
    submissions.job_removed("wk-1", Revision(9));
    assert!(!submissions.is_current(&read("wk-1", 8)));
}

#[test]
fn a_failed_read_is_retried_when_due_if_the_record_is_unchanged() {
    let mut submissions = SplitSubmissions::default();
    for job in ["wk-1", "wk-2"] {
        submissions.begin_read(&read(job, 5));
        submissions.retry_at(100, read(job, 5));
    }
    submissions.end_read(&read("wk-1", 5));
    assert!(submissions.next_retry(99).is_none());
    let retry = submissions.next_retry(100).unwrap();
    assert_eq!((retry.record.job(), retry.version, retry.parts.len()), ("wk-2", Revision(5), 0));
    assert!(submissions.next_retry(100).is_none());
}

#[test]
fn parts_of_a_job_are_kept_until_it_ends() {
    let mut submissions = SplitSubmissions::default();
    let part =
        KeyValue { key: "s/wk-1/n0-1-1/0000".to_string(), value: "text".into(), version: Revision(4), lease: None };
    submissions.add("wk-1".into(), vec![part]);
    let key = "s/wk-1/n0-1-1/0000".to_string();
    assert_eq!(submissions.remove("wk-1").unwrap(), [VersionedKey { key, version: Revision(4) }]);
    assert!(submissions.remove("wk-1").is_none());
}
