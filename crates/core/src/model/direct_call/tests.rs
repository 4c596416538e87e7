use super::*;

fn call(request: RequestId) -> CallInFlight {
    CallInFlight {
        request,
        purpose: CallPurpose::SendCommands,
        has_commands: true,
        first_starts: vec![7, 8],
        more_to_send: false,
    }
}

#[test]
fn only_the_answer_to_the_call_under_way_ends_it() {
    let mut direct_call = DirectCall::default();
    assert!(direct_call.is_idle() && direct_call.finish(1).is_none());
    direct_call.begin(call(1));
    assert!(direct_call.finish(2).is_none() && !direct_call.is_idle());
    assert!(direct_call.finish(1).is_some_and(|call| !call.more_to_send));
    assert!(direct_call.is_idle());
}

#[test]
fn what_comes_up_during_a_call_is_remembered_with_it() {
    let mut direct_call = DirectCall::default();
    direct_call.send_more_afterwards();
    direct_call.start_repeated(7);
    direct_call.begin(call(1));
    direct_call.send_more_afterwards();
    direct_call.start_repeated(7);
    let ended = direct_call.finish(1);
    assert!(ended.is_some_and(|call| call.more_to_send && call.first_starts == [8]));
}

#[test]
fn a_pause_after_a_failure_outlasts_other_calls() {
    let mut direct_call = DirectCall::default();
    direct_call.back_off_until(500);
    direct_call.begin(call(1));
    direct_call.finish(1);
    assert_eq!(direct_call.not_before(), 500);
}
