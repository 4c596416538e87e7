use super::*;
use shaleshunt_wire::{AgentEpoch, FencingToken};

fn call(request: RequestId) -> CallInFlight {
    CallInFlight {
        request,
        purpose: CallPurpose::SendCommands,
        token: FencingToken::default(),
        agent_epoch: AgentEpoch::NONE,
        has_commands: true,
        first_starts: vec![7, 8],
        follow_up_needed: false,
    }
}

#[test]
fn only_the_answer_to_the_call_in_flight_ends_it() {
    let mut direct_call = DirectCall::default();
    assert!(direct_call.is_idle() && direct_call.finish(1).is_none());
    direct_call.begin(call(1));
    assert!(direct_call.finish(2).is_none() && !direct_call.is_idle());
    assert!(direct_call.finish(1).is_some_and(|call| !call.follow_up_needed));
    assert!(direct_call.is_idle());
}

#[test]
fn follow_ups_and_resent_starts_are_recorded_in_the_call_in_flight() {
    let mut direct_call = DirectCall::default();
    direct_call.request_follow_up_call();
    direct_call.remove_first_start(7);
    direct_call.begin(call(1));
    direct_call.request_follow_up_call();
    direct_call.remove_first_start(7);
    let ended = direct_call.finish(1);
    assert!(ended.is_some_and(|call| call.follow_up_needed && call.first_starts == [8]));
}

#[test]
fn a_back_off_after_a_failure_outlasts_later_calls() {
    let mut direct_call = DirectCall::default();
    direct_call.back_off_until(500);
    direct_call.begin(call(1));
    direct_call.finish(1);
    assert_eq!(direct_call.not_before_ms(), 500);
}
