use super::EarlierCopies::{Answered, Unanswered, UnansweredThenConflict, UnansweredThenRejected};
use super::*;
use crate::leader::store::transaction::TransactionBuilder;
use serde_json::json;

fn keys_of(names: &[&str]) -> Vec<String> {
    names.iter().map(ToString::to_string).collect()
}

#[test]
fn what_follows_from_each_answer() {
    let conflict = |names: &[&str]| Ok(KvReply::Conflict(keys_of(names)));
    let rejected = || Err(RequestError::Rejected("too large".to_string()));
    let too_large = || AfterReply::TooLarge("too large".to_string());
    let job = keys_of(&["j/wk-1"]);
    let cases = [
        (Answered, Ok(KvReply::Committed(Revision::ABSENT)), AfterReply::Apply(Revision::ABSENT)),
        (Unanswered, Ok(KvReply::Committed(Revision::ABSENT)), AfterReply::Apply(Revision::ABSENT)),
        (Answered, conflict(&["j/wk-1", "l/epoch"]), AfterReply::StepDown),
        (Unanswered, conflict(&["l/epoch"]), AfterReply::StepDown),
        (Answered, conflict(&["j/wk-1"]), AfterReply::Abandon(job.clone())),
        (Unanswered, conflict(&["j/wk-1"]), AfterReply::Settle(UnansweredThenConflict(job))),
        (Unanswered, conflict(&[]), AfterReply::Settle(Unanswered)),
        (Answered, Err(RequestError::NotSent), AfterReply::Retry),
        (Unanswered, Err(RequestError::LocalOverload), AfterReply::Retry),
        (Answered, Err(RequestError::Unavailable), AfterReply::Retry),
        (Answered, Err(RequestError::Throttled), AfterReply::Retry),
        (Answered, rejected(), too_large()),
        (Unanswered, rejected(), too_large()),
        (UnansweredThenRejected, rejected(), AfterReply::SettleLater),
        (Answered, Err(RequestError::OutcomeUnknown), AfterReply::SettleLater),
        (Answered, Err(RequestError::ResponseTooLong), AfterReply::SettleLater),
        (Answered, Err(RequestError::MalformedResponse), AfterReply::SettleLater),
        (Answered, Ok(KvReply::Done), AfterReply::SettleLater),
    ];
    for (copies, result, expected) in cases {
        let case = format!("{copies:?} {result:?}");
        assert_eq!(after_reply(&copies, result), expected, "{case}");
    }
}

#[test]
fn what_follows_when_no_copy_was_carried_out() {
    let failed = keys_of(&["j/wk-1"]);
    assert_eq!(after_unchanged_marker(Unanswered), AfterSettling::Resend);
    assert_eq!(after_unchanged_marker(UnansweredThenRejected), AfterSettling::Abandon(Vec::new()));
    assert_eq!(after_unchanged_marker(UnansweredThenConflict(failed.clone())), AfterSettling::Abandon(failed));
}

#[test]
fn the_marker_is_a_key_that_only_the_leader_writes() {
    let mut builder = TransactionBuilder::new(TransactionLimits { writes: 9, conditions: 9 });
    assert_eq!(builder.marker(), None, "nothing to write");
    builder.drop_key("j/wk-1".to_string(), Revision::ABSENT);
    assert_eq!(builder.marker().unwrap().key, "j/wk-1", "removed by the leader alone");
    builder.set("j/wk-2".to_string(), Revision::ABSENT, json!(1), 1);
    assert_eq!(builder.marker().unwrap().key, "j/wk-1", "users set such keys too");
    builder.set("p/1".to_string(), Revision::ABSENT, json!(1), 1);
    assert_eq!(builder.marker().unwrap().key, "p/1");
}
