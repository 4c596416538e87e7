use super::*;
use crate::model::samples;
use shaleshunt_wire::{Attempt, Epoch};

const EPOCH: Epoch = Epoch(1);
const ADDRESS: &str = "10.1.0.9:9000";

fn fleet_with(names: &[&str]) -> Fleet {
    let mut fleet = Fleet::new(0);
    for name in names {
        fleet.machines.insert(samples::machine(name));
    }
    fleet
}

/// Gives the machine the address, and returns the token of a direct call that then starts a task there.
fn token_of_direct_start(fleet: &mut Fleet, name: &str) -> shaleshunt_wire::FencingToken {
    fleet.set_endpoint(name, ADDRESS).unwrap();
    let agent = &mut fleet.machines.get_mut(name).unwrap().agent;
    agent.fencing.record_direct_start(Attempt(9));
    agent.token(EPOCH)
}

#[test]
fn a_new_machine_refuses_calls_to_a_returned_machine_with_its_address() {
    let mut fleet = fleet_with(&["vm-1", "vm-2"]);
    let old = token_of_direct_start(&mut fleet, "vm-1");
    fleet.remove("vm-1");
    assert!(token_of_direct_start(&mut fleet, "vm-2") > old);
}

#[test]
fn a_new_machine_refuses_calls_to_a_lost_machine_with_its_address() {
    let mut fleet = fleet_with(&["vm-1", "vm-2"]);
    let old = token_of_direct_start(&mut fleet, "vm-1");
    assert!(token_of_direct_start(&mut fleet, "vm-2") > old);
}

#[test]
fn a_machine_whose_address_another_reports_is_not_called_any_more() {
    let mut fleet = fleet_with(&["vm-1", "vm-2"]);
    token_of_direct_start(&mut fleet, "vm-1");
    token_of_direct_start(&mut fleet, "vm-2");
    assert!(!fleet.machines.get("vm-1").unwrap().agent.can_be_called());
    assert_eq!(fleet.machines.get("vm-2").unwrap().agent.endpoint, ADDRESS);
}

#[test]
fn the_list_gives_no_machine_an_address_that_another_one_reports() {
    let mut fleet = fleet_with(&["vm-1", "vm-2"]);
    assert!(fleet.takes_listed_endpoint("vm-1", ADDRESS));
    token_of_direct_start(&mut fleet, "vm-1");
    token_of_direct_start(&mut fleet, "vm-2");
    assert!(!fleet.takes_listed_endpoint("vm-1", ADDRESS), "vm-2 reports it");
    assert!(!fleet.takes_listed_endpoint("vm-2", "10.1.0.1:9000"), "vm-2 has one");
}

#[test]
fn a_machine_refuses_calls_to_a_machine_that_left_its_address() {
    let mut fleet = fleet_with(&["vm-1", "vm-2"]);
    let old = token_of_direct_start(&mut fleet, "vm-1");
    fleet.set_endpoint("vm-1", "10.1.0.1:9000").unwrap();
    assert!(token_of_direct_start(&mut fleet, "vm-2") > old);
}

#[test]
fn an_address_that_no_machine_had_leaves_the_token_confirmed() {
    let mut fleet = fleet_with(&["vm-1"]);
    fleet.machines.get_mut("vm-1").unwrap().agent.token_confirmed = true;
    fleet.set_endpoint("vm-1", ADDRESS).unwrap();
    let agent = &fleet.machines.get("vm-1").unwrap().agent;
    assert!(agent.token_confirmed && agent.token(EPOCH).counter() == 0);
}
