use super::*;
use crate::api::NO_REQUEST;
use crate::api::tests::pending_submission;

#[test]
fn parts_fit_into_values_and_concatenate_to_the_text() {
    let text = "a\"b\\c\u{1}ä€😀".repeat(500);
    let parts = split_text(&text, 300);
    assert!(parts.iter().all(|p| json!(p).to_string().len() <= 300) && parts.len() > 20);
    assert_eq!(parts.concat(), text);
}

fn split(parts: &[&str]) -> SplitSubmission {
    SplitSubmission {
        submission: pending_submission(1, "wk-1", 100),
        prefix: "s/wk-1/n0-5-1/".into(),
        parts: parts.iter().map(|part| part.to_string()).collect(),
        written: 0,
        first_part_version: Revision::ABSENT,
        in_flight: InFlight::Record,
        user_answered: false,
    }
}

fn keys_and_versions(transaction: &Transaction) -> Vec<(&str, u64)> {
    transaction.preconditions.iter().map(|precondition| (precondition.key.as_str(), precondition.version.0)).collect()
}

#[test]
fn record_is_written_last_with_the_first_parts_version_as_precondition() {
    let mut split = split(&["one", "two", "three"]);
    let first = split.next_transaction(2);
    let job_is_unknown = [("j/wk-1", 0), ("f/wk-1", 0)];
    let with_parts = |parts: &[(&'static str, u64)]| [&job_is_unknown, parts].concat();
    assert_eq!(keys_and_versions(&first), with_parts(&[("s/wk-1/n0-5-1/0000", 0), ("s/wk-1/n0-5-1/0001", 0)]));
    assert!(split.is_writing_parts());
    split.commit_parts(Revision(7));
    let second = split.next_transaction(2);
    assert_eq!(keys_and_versions(&second), with_parts(&[("s/wk-1/n0-5-1/0002", 0)]));
    // Without a commit, the same transaction is sent again.
    assert_eq!(split.next_transaction(2), second);
    split.commit_parts(Revision(8));
    let record = split.next_transaction(2);
    assert_eq!(keys_and_versions(&record), with_parts(&[("s/wk-1/n0-5-1/0000", 7)]));
    assert!(matches!(&record.writes[..], [Write::Set { key, .. }] if key == "j/wk-1"));
    assert!(!split.is_writing_parts());
}

#[test]
fn transaction_holds_as_many_parts_as_fit_into_a_body_but_at_least_one() {
    let long = "x".repeat(MAX_BODY_BYTES);
    let mut split = split(&[&long, "two", "three"]);
    assert_eq!(split.next_transaction(10).writes.len(), 1);
    split.commit_parts(Revision(7));
    assert_eq!(split.next_transaction(10).writes.len(), 2);
}

#[test]
fn overdue_user_is_answered_once_while_the_submission_is_still_written() {
    let mut all = SplitSubmissions::default();
    all.begin(split(&["one"]));
    assert!(all.contains("wk-1"));
    assert!(all.take_overdue_requests(1100, 1000).is_empty());
    assert_eq!(all.take_overdue_requests(1101, 1000), [1]);
    assert!(all.take_overdue_requests(1101, 1000).is_empty());
    assert_eq!(all.pop().unwrap().into_submission().request, NO_REQUEST);
    all.finish("wk-1");
    assert!(!all.contains("wk-1") && all.pop().is_none());
}
