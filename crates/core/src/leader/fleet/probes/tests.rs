use super::*;
use crate::model::{PlacementState, samples};

const NOW: u64 = 10_000;
const INTERVAL: u64 = 1000;
const OVERDUE: Option<u64> = Some(NOW - 1301);
const IN_TIME: Option<u64> = Some(NOW - 1300);

/// A rented machine with a placement.
fn machine(name: &str, last_heartbeat_ms: Option<u64>, change: impl FnOnce(&mut Machine)) -> Machine {
    let mut machine = samples::machine(name);
    machine.agent.last_heartbeat_ms = last_heartbeat_ms;
    machine.placements.push(samples::placement(PlacementState::Running));
    change(&mut machine);
    machine
}

#[test]
fn a_rented_machine_with_placements_is_probed_if_its_heartbeat_is_overdue() {
    let cases = [
        ("overdue", machine("vm-1", OVERDUE, |_| ()), true),
        ("in time", machine("vm-1", IN_TIME, |_| ()), false),
        ("no heartbeat yet", machine("vm-1", None, |_| ()), false),
        ("owned", machine("vm-1", OVERDUE, |m| m.owned = true), false),
        ("without placements", machine("vm-1", OVERDUE, |m| m.placements.clear()), false),
        ("call in flight", machine("vm-1", OVERDUE, samples::begin_call), false),
        ("a call failed recently", machine("vm-1", OVERDUE, |m| m.call.back_off_until(NOW + 1)), false),
        ("to be returned", machine("vm-1", OVERDUE, |m| m.lifecycle.scale_in_wanted = true), false),
        ("in a partitioned zone", machine("vm-1", OVERDUE, |m| m.agent.partitioned = true), false),
    ];
    for (name, machine, expected) in cases {
        let mut fleet = Fleet::new(0);
        fleet.machines.insert(machine);
        assert_eq!(!fleet.machines_to_probe(NOW, INTERVAL).is_empty(), expected, "{name}");
        assert!(fleet.reachability.few_overdue(), "{name}");
    }
}

#[test]
fn no_machine_is_probed_if_many_are_overdue() {
    for (overdue, machines, few) in [(2, 2, true), (3, 10, false), (3, 149, false), (3, 150, true), (4, 150, false)] {
        let mut fleet = Fleet::new(0);
        for number in 0..machines {
            let last_heartbeat_ms = if number < overdue { OVERDUE } else { IN_TIME };
            fleet.machines.insert(machine(&format!("vm-{number}"), last_heartbeat_ms, |_| ()));
        }
        let probed = fleet.machines_to_probe(NOW, INTERVAL).len();
        assert_eq!(probed, if few { overdue } else { 0 }, "{overdue} of {machines}");
        assert_eq!(fleet.reachability.few_overdue(), few, "{overdue} of {machines}");
    }
}
