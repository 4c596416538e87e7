use super::*;
use crate::model::samples;
use shaleshunt_wire::AgentEpoch;

const NOW: u64 = 100;

fn reachable() -> Machine {
    let mut machine = samples::machine("vm-1");
    machine.agent.endpoint = "10.0.0.1:80".into();
    machine.agent.epoch = AgentEpoch(1);
    machine
}

fn changed(change: impl FnOnce(&mut Machine)) -> Machine {
    let mut machine = reachable();
    change(&mut machine);
    machine
}

#[test]
fn the_decision_to_call_depends_on_the_machines_state() {
    let cases = [
        ("reachable", reachable(), CallDecision::Call),
        ("back-off over", changed(|m| m.call.back_off_until(NOW)), CallDecision::Call),
        ("failed recently", changed(|m| m.call.back_off_until(NOW + 1)), CallDecision::Later(NOW + 1)),
        ("call in flight", changed(samples::begin_call), CallDecision::AfterCurrentCall),
        ("partitioned", changed(|m| m.agent.partitioned = true), CallDecision::ReleaseUnsent),
        ("no address", changed(|m| m.agent.endpoint.clear()), CallDecision::AgentUnknown),
        ("epoch unknown", changed(|m| m.agent.epoch = AgentEpoch::NONE), CallDecision::AgentUnknown),
    ];
    for (name, machine, expected) in cases {
        assert_eq!(decide_call(&machine, NOW), expected, "{name}");
    }
    // What the call in flight carries has been sent, so it is not released.
    let called_and_partitioned = changed(|m| {
        samples::begin_call(m);
        m.agent.partitioned = true;
    });
    assert_eq!(decide_call(&called_and_partitioned, NOW), CallDecision::AfterCurrentCall);
}

#[test]
fn calls_become_due_at_their_time() {
    let mut calls = CallQueue::default();
    calls.call_at(20, "c".into());
    calls.call_at(10, "b".into());
    calls.call_soon("a".into());
    assert_eq!(calls.take_due(10), BTreeSet::from(["a".into(), "b".into()]));
    assert!(calls.take_due(19).is_empty());
    assert_eq!(calls.take_due(20), BTreeSet::from(["c".into()]));
}

#[test]
fn the_number_of_confirmations_in_flight_is_limited() {
    let mut calls = CallQueue::default();
    calls.set_unconfirmed(["a", "b", "c"].into_iter().map(Id::from));
    assert_eq!(calls.next_unconfirmed(1, |id| id != "a").as_deref(), Some("b"));
    calls.confirmation_started();
    assert_eq!(calls.next_unconfirmed(1, |_| true), None);
    calls.confirmation_ended();
    assert_eq!(calls.next_unconfirmed(1, |_| true).as_deref(), Some("c"));
    assert_eq!(calls.next_unconfirmed(1, |_| true), None);
}
