use super::ZoneLeases;
use crate::controller::Context;
use crate::io::Timestamp;
use crate::settings::{Settings, Tuning};
use shaleshunt_wire::worker::{Heartbeat, TaskCommand};
use shaleshunt_wire::{Epoch, FencingToken};
use std::collections::BTreeSet;

const EPOCH: Epoch = Epoch(3);

fn context(now_ms: u64) -> Context {
    let settings =
        Settings { zone: "z1".into(), heartbeat_interval_s: 3.0, lease_s: 9.0, cancel_s: 20.0, ..Settings::default() };
    Context::new(settings, Tuning::default(), Timestamp { monotonic_ms: now_ms, wall_ms: 0 }, 1)
}

fn heartbeat(zone: &str, epoch: Epoch) -> Heartbeat {
    let body = serde_json::json!({
        "loom": "m1", "endpoint": "127.0.0.1:1", "frame": "std", "hall": zone, "borrowed": false, "shift": 1,
        "tick": 1, "baton": FencingToken::new(epoch, 5),
        "pieces": [
            {"piece": "a/0", "try": 1, "status": "running"},
            {"piece": "a/1", "try": 1, "status": "exited"},
            {"piece": "b/0", "try": 2, "status": "running"},
            {"piece": "c/0", "try": 1, "status": "running"},
        ],
    });
    Heartbeat::parse(body.to_string().as_bytes()).expect("a heartbeat")
}

/// The last heartbeat of epoch 3's leader arrived at 10,000 and echoes one sent at 9,000; cancellations are known up to
/// 9,500.
fn zone_leases() -> ZoneLeases {
    let mut leases = ZoneLeases::default();
    leases.record_leader_heartbeat(EPOCH, 10_000, Some(9_000));
    leases.set_cancellations(9_500, BTreeSet::new());
    leases
}

#[test]
fn lease_is_renewed_within_the_term_for_the_own_zone_and_the_known_epoch() {
    let term_ms = context(0).settings.lease_renewal_window_ms();
    assert!(term_ms < 20_000 && term_ms > 5_000);
    // Current time, known epoch, zone of the machine, epoch of its token, and whether its lease is renewed.
    let cases = [
        (11_500, EPOCH, "z1", EPOCH, false),
        (11_501, EPOCH, "z1", EPOCH, true),
        (9_000 + term_ms - 1, EPOCH, "z1", EPOCH, true),
        (9_000 + term_ms, EPOCH, "z1", EPOCH, false),
        (12_000, EPOCH, "z2", EPOCH, false),
        (12_000, EPOCH, "z1", Epoch(2), false),
        (12_000, EPOCH, "z1", Epoch(4), false),
        (12_000, Epoch(4), "z1", EPOCH, false),
    ];
    for (now_ms, epoch, zone, token_epoch, renewed) in cases {
        let heartbeat = heartbeat(zone, token_epoch);
        let commands = zone_leases().renew(&context(now_ms), epoch, &heartbeat, |_| false);
        assert_eq!(commands.is_some(), renewed, "at {now_ms} in {zone}, epoch {epoch}, token of {token_epoch}");
    }
}

#[test]
fn no_lease_is_renewed_without_an_echo_of_the_leader_and_a_read_of_cancellations() {
    let context = context(12_000);
    let mut never_echoed = ZoneLeases::default();
    never_echoed.record_leader_heartbeat(EPOCH, 10_000, None);
    never_echoed.set_cancellations(9_500, BTreeSet::new());
    assert!(never_echoed.renew(&context, EPOCH, &heartbeat("z1", EPOCH), |_| false).is_none());

    let mut no_cancellations_read = ZoneLeases::default();
    no_cancellations_read.record_leader_heartbeat(EPOCH, 10_000, Some(9_000));
    assert!(no_cancellations_read.renew(&context, EPOCH, &heartbeat("z1", EPOCH), |_| false).is_none());
    no_cancellations_read.confirm_cancellations(9_500);
    assert!(no_cancellations_read.renew(&context, EPOCH, &heartbeat("z1", EPOCH), |_| false).is_some());
}

#[test]
fn echo_in_an_earlier_epoch_does_not_count_for_a_new_leader() {
    let mut leases = zone_leases();
    leases.record_leader_heartbeat(Epoch(4), 10_100, None);
    assert!(leases.renew(&context(12_000), Epoch(4), &heartbeat("z1", Epoch(4)), |_| false).is_none());
}

#[test]
fn term_starts_at_the_older_of_the_echo_and_the_known_cancellations() {
    let term_ms = context(0).settings.lease_renewal_window_ms();
    let mut leases = zone_leases();
    leases.record_leader_heartbeat(EPOCH, 10_000, Some(9_900));
    let last_ms = 9_500 + term_ms;
    assert!(leases.renew(&context(last_ms - 1), EPOCH, &heartbeat("z1", EPOCH), |_| false).is_some());
    assert!(leases.renew(&context(last_ms), EPOCH, &heartbeat("z1", EPOCH), |_| false).is_none());
}

#[test]
fn tasks_of_cancelled_jobs_are_stopped_unless_exited() {
    let mut leases = zone_leases();
    leases.set_cancellations(9_500, BTreeSet::from(["a".to_string()]));
    let commands = leases.renew(&context(12_000), EPOCH, &heartbeat("z1", EPOCH), |job| job == "b").expect("renewed");
    let stopped: Vec<&str> = commands
        .iter()
        .map(|command| match command {
            TaskCommand::Stop { task, grace_period_s, .. } => {
                assert_eq!(*grace_period_s, 0.0);
                task.as_str()
            }
            other => panic!("{other:?}"),
        })
        .collect();
    assert_eq!(stopped, ["a/0", "b/0"]);
}

#[test]
fn renewal_age_counts_only_heartbeats_that_renewed_a_lease() {
    let mut leases = zone_leases();
    assert!(leases.renew(&context(11_000), EPOCH, &heartbeat("z1", EPOCH), |_| false).is_none());
    assert_eq!(leases.renewal_age_ms(13_000), 13_000);
    assert!(leases.renew(&context(12_000), EPOCH, &heartbeat("z1", EPOCH), |_| false).is_some());
    assert_eq!(leases.renewal_age_ms(13_000), 1_000);
}
