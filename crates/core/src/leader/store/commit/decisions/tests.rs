use super::EarlierCopies::{Answered, Unanswered, UnansweredThenConflict, UnansweredThenRejected};
use super::*;

fn keys_of(names: &[&str]) -> Vec<String> {
    names.iter().map(ToString::to_string).collect()
}

#[test]
fn each_reply_leads_to_its_action() {
    let conflict = |names: &[&str]| Ok(KvReply::Conflict(keys_of(names)));
    let rejected = || Err(RequestError::Rejected("too large".to_string()));
    let too_large = || ReplyAction::TooLarge("too large".to_string());
    let job = keys_of(&["j/wk-1"]);
    let cases = [
        (Answered, Ok(KvReply::Committed(Revision::ABSENT)), ReplyAction::Apply(Revision::ABSENT)),
        (Unanswered, Ok(KvReply::Committed(Revision::ABSENT)), ReplyAction::Apply(Revision::ABSENT)),
        (Answered, conflict(&["j/wk-1", "l/epoch"]), ReplyAction::StepDown),
        (Unanswered, conflict(&["l/epoch"]), ReplyAction::StepDown),
        (Answered, conflict(&["j/wk-1"]), ReplyAction::Abandon(job.clone())),
        (Unanswered, conflict(&["j/wk-1"]), ReplyAction::ReadMarkerNow(UnansweredThenConflict(job))),
        (Unanswered, conflict(&[]), ReplyAction::ReadMarkerNow(Unanswered)),
        (Answered, Err(RequestError::NotSent), ReplyAction::Retry),
        (Unanswered, Err(RequestError::LocalOverload), ReplyAction::Retry),
        (Answered, Err(RequestError::Unavailable), ReplyAction::Retry),
        (Answered, Err(RequestError::Throttled), ReplyAction::Retry),
        (Answered, rejected(), too_large()),
        (Unanswered, rejected(), too_large()),
        (UnansweredThenRejected, rejected(), ReplyAction::ReadMarkerLater),
        (Answered, Err(RequestError::OutcomeUnknown), ReplyAction::ReadMarkerLater),
        (Answered, Err(RequestError::ResponseTooLong), ReplyAction::ReadMarkerLater),
        (Answered, Err(RequestError::MalformedResponse), ReplyAction::ReadMarkerLater),
        (Answered, Ok(KvReply::Done), ReplyAction::ReadMarkerLater),
    ];
    for (copies, result, expected) in cases {
        let case = format!("{copies:?} {result:?}");
        assert_eq!(reply_action(&copies, result), expected, "{case}");
    }
}

#[test]
fn an_unchanged_marker_leads_to_a_resend_or_an_abandoned_transaction() {
    let failed = keys_of(&["j/wk-1"]);
    assert_eq!(unchanged_marker_action(Unanswered), UnchangedMarkerAction::Resend);
    assert_eq!(unchanged_marker_action(UnansweredThenRejected), UnchangedMarkerAction::Abandon(Vec::new()));
    assert_eq!(unchanged_marker_action(UnansweredThenConflict(failed.clone())), UnchangedMarkerAction::Abandon(failed));
}
