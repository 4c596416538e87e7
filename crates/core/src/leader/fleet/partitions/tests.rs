use super::*;
use crate::model::samples;

const INTERVAL: u64 = 1000;
const NOW: u64 = 100_000;

/// The latest time of a heartbeat that is overdue, and the earliest of one that is not.
const OVERDUE: u64 = NOW - 1301;
const IN_TIME: u64 = NOW - 1300;

const CHECK: PartitionCheck = PartitionCheck { now_ms: NOW, interval_ms: INTERVAL, elected_at_ms: 0 };

/// A fleet of (zone, number of machines, time of their last heartbeat). The zone's last heartbeat has the same time.
fn fleet(zones: &[(&str, u32, u64)]) -> Fleet {
    let mut fleet = Fleet::new(0);
    for (zone, count, last_heartbeat_ms) in zones {
        for number in 0..*count {
            add(&mut fleet, &format!("vm-{zone}-{number}"), zone, *last_heartbeat_ms);
        }
        fleet.reachability.record_zone_heartbeat(zone, *last_heartbeat_ms);
    }
    fleet.update_zone_machine_counts(NOW, u64::MAX);
    fleet
}

fn add(fleet: &mut Fleet, name: &str, zone: &str, last_heartbeat_ms: u64) {
    let mut machine = samples::machine(name);
    machine.zone = zone.into();
    machine.agent.epoch = AgentEpoch(1);
    machine.agent.last_heartbeat_ms = Some(last_heartbeat_ms);
    fleet.machines.insert(machine);
}

fn zones(names: &[&str]) -> PartitionFinding {
    PartitionFinding::Zones(names.iter().map(|name| (*name).to_string()).collect())
}

#[test]
fn a_zone_is_partitioned_if_enough_heartbeats_are_overdue_while_others_arrive() {
    let cases = [
        ("all send heartbeats", fleet(&[("a", 100, NOW), ("b", 100, NOW)]), zones(&[])),
        ("one zone is overdue", fleet(&[("a", 100, NOW), ("b", 100, OVERDUE)]), zones(&["b"])),
        ("none is overdue yet", fleet(&[("a", 100, NOW), ("b", 100, IN_TIME)]), zones(&[])),
        ("a small zone, all overdue", fleet(&[("a", 100, NOW), ("b", 2, NOW - 4001)]), zones(&["b"])),
        ("a small zone, too early to tell", fleet(&[("a", 100, NOW), ("b", 2, NOW - 4000)]), zones(&[])),
        ("two zones", fleet(&[("a", 100, NOW), ("b", 90, OVERDUE), ("c", 90, OVERDUE)]), zones(&["b", "c"])),
    ];
    for (name, fleet, expected) in cases {
        assert_eq!(CHECK.run(&fleet), expected, "{name}");
    }
}

#[test]
fn without_any_heartbeats_the_leader_is_partitioned_after_a_timeout() {
    let quiet = fleet(&[("a", 100, NOW - 501)]);
    assert_eq!(CHECK.run(&quiet), PartitionFinding::Inconclusive, "none overdue");
    let overdue = fleet(&[("a", 100, OVERDUE), ("b", 100, OVERDUE)]);
    assert_eq!(CHECK.run(&overdue), PartitionFinding::LeaderPartitioned);
    let just_elected = PartitionCheck { elected_at_ms: NOW - 2500, ..CHECK };
    assert_eq!(
        just_elected.run(&overdue),
        PartitionFinding::Inconclusive,
        "machines need time to switch to a new leader"
    );
    let empty = Fleet::new(0);
    assert_eq!(CHECK.run(&empty), PartitionFinding::Inconclusive, "no machines");
}

#[test]
fn machines_of_a_partitioned_zone_are_marked_until_the_partition_ends() {
    let mut fleet = fleet(&[("a", 1, NOW), ("b", 1, OVERDUE)]);
    let partitioned = |fleet: &Fleet| {
        let marked = fleet.machines.values().filter(|machine| machine.agent.partitioned);
        marked.map(|machine| machine.zone.clone()).collect::<Vec<_>>()
    };
    let new = fleet.reachability.set_partitioned_zones(BTreeSet::from(["b".to_string()]));
    assert_eq!(new, Some(vec!["b".to_string()]));
    fleet.mark_partitioned_machines();
    assert_eq!(partitioned(&fleet), ["b"]);
    assert_eq!(fleet.reachability.set_partitioned_zones(BTreeSet::from(["b".to_string()])), None);
    assert_eq!(fleet.reachability.set_partitioned_zones(BTreeSet::new()), Some(Vec::new()));
    fleet.mark_partitioned_machines();
    assert!(partitioned(&fleet).is_empty());
}
