use super::*;
use crate::model::samples;

const CLOCK: LeaseTiming = LeaseTiming { now_ms: 1000, lease_ms: 100, renewal_window_ms: 30, elected_at_ms: 500 };

fn machine(last_heard: Option<u64>, token_confirmed: bool) -> Machine {
    let mut machine = samples::machine("vm-1");
    machine.zone = "a".into();
    machine.agent.last_heartbeat_ms = last_heard;
    machine.agent.token_confirmed = token_confirmed;
    machine
}

/// A controller that says it kept no lease since before the machine was last heard.
fn peer(zone: &str) -> PeerLeaseReport {
    PeerLeaseReport { zone: zone.into(), last_heartbeat_at_ms: 1000, sent_after_ms: 1000, last_renewal_at_ms: 0 }
}

#[test]
fn a_lease_expires_after_the_last_time_that_it_could_be_renewed() {
    let early = LeaseTiming { now_ms: 630, ..CLOCK };
    let cases = [
        ("heard a lease ago", CLOCK, machine(Some(900), true), false),
        ("heard longer ago", CLOCK, machine(Some(899), true), true),
        ("heard, but an earlier leader may have replied since", early, machine(Some(400), false), false),
        (
            "a lease after an earlier leader's term",
            LeaseTiming { now_ms: 631, ..CLOCK },
            machine(Some(400), false),
            true,
        ),
        ("the same with a confirmed token", early, machine(Some(400), true), true),
        ("never heard", early, machine(None, false), false),
        ("never heard, a lease after the term", LeaseTiming { now_ms: 631, ..CLOCK }, machine(None, false), true),
    ];
    for (name, clock, machine, expected) in cases {
        assert_eq!(clock.has_expired(&machine, &[]), expected, "{name}");
    }
}

#[test]
fn a_lease_does_not_expire_while_a_controller_of_the_zone_may_keep_it() {
    let silent = machine(Some(800), true);
    let kept = PeerLeaseReport { last_renewal_at_ms: 901, ..peer("a") };
    let not_said = PeerLeaseReport { sent_after_ms: 899, last_heartbeat_at_ms: 870, ..peer("a") };
    let term_over = PeerLeaseReport { sent_after_ms: 0, last_heartbeat_at_ms: 869, ..peer("a") };
    let cases = [
        ("kept none", peer("a"), true),
        ("kept it until less than a lease ago", kept.clone(), false),
        ("said nothing for a lease, and may still keep it", not_said, false),
        ("said nothing, but its term is over", term_over, true),
        ("of another zone", PeerLeaseReport { zone: "b".into(), ..kept.clone() }, true),
    ];
    for (name, peer, expected) in cases {
        assert_eq!(CLOCK.has_expired(&silent, &[&peer]), expected, "{name}");
    }
    // Every controller counts for a machine whose zone is not known.
    let anywhere = Machine { zone: String::new(), ..machine(Some(800), true) };
    let elsewhere = PeerLeaseReport { zone: "b".into(), ..kept };
    assert!(!CLOCK.has_expired(&anywhere, &[&peer("a"), &elsewhere]));
}
