use super::*;
use crate::model::samples;

const TIMING: LeaseTiming = LeaseTiming { now_ms: 1000, lease_ms: 100, renewal_window_ms: 30, elected_at_ms: 500 };

fn machine(last_heartbeat_ms: Option<u64>, token_confirmed: bool) -> Machine {
    let mut machine = samples::machine("vm-1");
    machine.zone = "a".into();
    machine.agent.last_heartbeat_ms = last_heartbeat_ms;
    machine.agent.token_confirmed = token_confirmed;
    machine
}

/// A controller that reports that it has renewed no lease since before the machine's last heartbeat.
fn peer(zone: &str) -> PeerLeaseReport {
    PeerLeaseReport { zone: zone.into(), last_heartbeat_at_ms: 1000, sent_after_ms: 1000, last_renewal_at_ms: 0 }
}

#[test]
fn a_lease_expires_one_lease_time_after_its_last_possible_renewal() {
    let early = LeaseTiming { now_ms: 630, ..TIMING };
    let cases = [
        ("heartbeat a lease ago", TIMING, machine(Some(900), true), false),
        ("heartbeat longer ago", TIMING, machine(Some(899), true), true),
        ("an earlier leader may have replied since the heartbeat", early, machine(Some(400), false), false),
        (
            "a lease after an earlier leader's renewal window",
            LeaseTiming { now_ms: 631, ..TIMING },
            machine(Some(400), false),
            true,
        ),
        ("the same with a confirmed token", early, machine(Some(400), true), true),
        ("no heartbeat", early, machine(None, false), false),
        (
            "no heartbeat, a lease after the renewal window",
            LeaseTiming { now_ms: 631, ..TIMING },
            machine(None, false),
            true,
        ),
    ];
    for (name, timing, machine, expected) in cases {
        assert_eq!(timing.has_expired(&machine, &[]), expected, "{name}");
    }
}

#[test]
fn a_lease_does_not_expire_while_a_controller_of_the_zone_may_renew_it() {
    let unreachable = machine(Some(800), true);
    let renewed = PeerLeaseReport { last_renewal_at_ms: 901, ..peer("a") };
    let not_reported = PeerLeaseReport { sent_after_ms: 899, last_heartbeat_at_ms: 870, ..peer("a") };
    let window_over = PeerLeaseReport { sent_after_ms: 0, last_heartbeat_at_ms: 869, ..peer("a") };
    let cases = [
        ("renewed none", peer("a"), true),
        ("renewed it until less than a lease ago", renewed.clone(), false),
        ("no report for a lease, and may still renew it", not_reported, false),
        ("no report, but its renewal window is over", window_over, true),
        ("of another zone", PeerLeaseReport { zone: "b".into(), ..renewed.clone() }, true),
    ];
    for (name, peer, expected) in cases {
        assert_eq!(TIMING.has_expired(&unreachable, &[&peer]), expected, "{name}");
    }
    // For a machine of unknown zone every controller counts.
    let unknown_zone = Machine { zone: String::new(), ..machine(Some(800), true) };
    let other_zone_peer = PeerLeaseReport { zone: "b".into(), ..renewed };
    assert!(!TIMING.has_expired(&unknown_zone, &[&peer("a"), &other_zone_peer]));
}
