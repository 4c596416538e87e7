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
fn a_call_depends_on_what_is_known_of_the_machine() {
    let cases = [
        ("reachable", reachable(), CallDecision::Call),
        ("pause over", changed(|m| m.call.back_off_until(NOW)), CallDecision::Call),
        ("failed lately", changed(|m| m.call.back_off_until(NOW + 1)), CallDecision::Later(NOW + 1)),
        ("called already", changed(samples::begin_call), CallDecision::AfterCurrentCall),
        ("cut off", changed(|m| m.agent.partitioned = true), CallDecision::ReleaseUnsent),
        ("no address", changed(|m| m.agent.endpoint.clear()), CallDecision::AgentUnknown),
        ("never heard", changed(|m| m.agent.epoch = AgentEpoch::NONE), CallDecision::AgentUnknown),
    ];
    for (name, machine, expected) in cases {
        assert_eq!(decide_call(&machine, NOW), expected, "{name}");
    }
    // What the call under way holds has left: it is not released.
    let called_and_cut_off = changed(|m| {
        samples::begin_call(m);
        m.agent.partitioned = true;
    });
    assert_eq!(decide_call(&called_and_cut_off, NOW), CallDecision::AfterCurrentCall);
}

#[test]
fn calls_come_due_at_their_time() {
    let mut calls = CallQueue::default();
    calls.call_at(20, "c".into());
    calls.call_at(10, "b".into());
    calls.call_soon("a".into());
    assert_eq!(calls.take_due(10), BTreeSet::from(["a".into(), "b".into()]));
    assert!(calls.take_due(19).is_empty());
    assert_eq!(calls.take_due(20), BTreeSet::from(["c".into()]));
}

#[test]
fn so_many_confirmations_are_under_way_at_most() {
    let mut calls = CallQueue::default();
    calls.set_unconfirmed(["a", "b", "c"].into_iter().map(Id::from));
    assert_eq!(calls.next_unconfirmed(1, |id| id != "a").as_deref(), Some("b"));
    calls.confirmation_started();
    assert_eq!(calls.next_unconfirmed(1, |_| true), None);
    calls.confirmation_ended();
    assert_eq!(calls.next_unconfirmed(1, |_| true).as_deref(), Some("c"));
    assert_eq!(calls.next_unconfirmed(1, |_| true), None);
}
