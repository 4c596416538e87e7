use super::*;
use crate::model::{Capacity, PlacementState, samples};

const NOW: u64 = 9;

fn placement(placement_id: u64, need: Resources) -> Placement {
    Placement { placement_id, need, ..samples::placement(PlacementState::Planned) }
}

fn machine(number: u32, cores: f64) -> Machine {
    let capacity = Capacity { total: Resources::new(cores, 0.0, 64.0), used: Resources::default() };
    Machine { capacity, ..samples::machine(&format!("vm-{number:06}")) }
}

fn names<'a>(machines: impl Iterator<Item = &'a Machine>) -> Vec<&'a str> {
    machines.map(|m| &*m.id).collect()
}

#[test]
fn machines_with_free_cores_are_found_as_placements_are_added_and_removed() {
    let mut fleet = MachineIndex::default();
    for number in 0..100 {
        fleet.insert(machine(number, 16.0));
    }
    let need = Resources::new(4.0, 0.0, 1.0);
    // Fills all machines but the last two, and one of these in part.
    for number in 0..99 {
        for placement_id in 0..if number == 98 { 2 } else { 4 } {
            fleet.add_placement(&format!("vm-{number:06}"), placement(placement_id, need));
        }
    }
    assert!(fleet.is_consistent());
    assert_eq!(names(fleet.fullest_first(need.cores)), ["vm-000098", "vm-000099"]);
    assert_eq!(names(fleet.emptiest_first(need.cores)), ["vm-000099", "vm-000098"]);
    assert_eq!(names(fleet.with_free_cores(Resources::new(10.0, 0.0, 1.0).cores)), ["vm-000099"]);
    assert!(fleet.remove_placement("vm-000007", 3, NOW).is_some());
    assert!(fleet.remove_placement("vm-000007", 3, NOW).is_none());
    assert_eq!(names(fleet.fullest_first(need.cores))[0], "vm-000007");
    assert_eq!(fleet.count_with_free_cores(need.cores), 3);
    assert!(fleet.remove("vm-000007").is_some() && fleet.remove("vm-000007").is_none());
    assert_eq!(fleet.count_with_free_cores(need.cores), 2);
    assert!(fleet.is_consistent());
}

#[test]
fn capacity_counts_as_soon_as_it_is_known() {
    let mut fleet = MachineIndex::default();
    fleet.insert(Machine { machine_type: "f".into(), ..machine(1, 0.0) });
    fleet.insert(machine(2, 8.0));
    let resources = Resources::new(16.0, 0.0, 64.0);
    assert_eq!(fleet.count_with_free_cores(resources.cores), 0);
    fleet.set_capacities(|machine_type| (machine_type == "f").then_some(resources));
    assert_eq!(names(fleet.with_free_cores(resources.cores)), ["vm-000001"]);
    // A machine that is inserted again under the same name replaces the old one.
    fleet.insert(machine(1, 4.0));
    assert_eq!(fleet.count_with_free_cores(1), 2);
    assert!(fleet.is_consistent());
}

/// Guards against changes of capacity that bypass the index: machines would then be found with too little free
/// capacity, or not at all.
#[test]
fn a_change_that_bypasses_the_index_is_detected() {
    let mut fleet = MachineIndex::default();
    fleet.insert(machine(1, 16.0));
    if let Some(m) = fleet.get_mut("vm-000001") {
        m.capacity.used = Resources::new(4.0, 0.0, 1.0);
    }
    assert!(!fleet.is_consistent());
}

#[test]
fn a_machine_is_idle_since_its_last_placement_was_removed() {
    let mut fleet = MachineIndex::default();
    fleet.insert(machine(1, 16.0));
    let need = Resources::new(4.0, 0.0, 1.0);
    for placement_id in [1, 2] {
        let machine = fleet.add_placement("vm-000001", placement(placement_id, need));
        assert!(machine.is_some_and(|machine| machine.placement(placement_id).is_some()));
    }
    assert!(fleet.add_placement("vm-000002", placement(3, need)).is_none());
    let idle_since = |fleet: &MachineIndex| fleet["vm-000001"].lifecycle.idle_since_ms;
    let before = idle_since(&fleet);
    fleet.remove_placement("vm-000001", 1, NOW);
    assert_eq!(idle_since(&fleet), before);
    fleet.remove_placement("vm-000001", 2, NOW);
    assert_eq!(idle_since(&fleet), NOW);
    assert!(fleet.is_consistent() && fleet["vm-000001"].capacity.used == Resources::default());
}

#[test]
fn an_address_belongs_to_the_machine_that_got_it_last() {
    let at = |number: u32, endpoint: &str| {
        let mut machine = machine(number, 16.0);
        machine.agent.endpoint = endpoint.into();
        machine
    };
    let mut fleet = MachineIndex::default();
    fleet.insert(at(1, "10.1.0.1:9000"));
    fleet.insert(at(2, "10.1.0.1:9000"));
    assert_eq!(fleet.machine_at("10.1.0.1:9000"), Some(&fleet["vm-000002"].id));
    assert!(fleet["vm-000001"].agent.endpoint.is_empty() && fleet.is_consistent());
    fleet.set_endpoint("vm-000001", "10.1.0.1:9000".into());
    assert!(fleet["vm-000002"].agent.endpoint.is_empty() && fleet.is_consistent());
    fleet.insert(at(1, "10.1.0.3:9000"));
    assert!(fleet.machine_at("10.1.0.1:9000").is_none() && fleet.is_consistent());
    fleet.remove("vm-000001");
    assert!(fleet.machine_at("10.1.0.3:9000").is_none() && fleet.is_consistent());
}
