use super::*;
use crate::model::samples;

const NOW: u64 = 1_000_000;

type Change = fn(&mut Machine);

fn usable(settings: &Settings) -> Machine {
    let mut machine = samples::machine("vm-1");
    machine.record.committed = true;
    machine.agent.endpoint = "10.0.0.1:80".into();
    machine.agent.last_heartbeat_ms = Some(NOW - settings.heartbeat_interval_ms());
    machine
}

#[test]
fn a_machine_is_schedulable_unless_any_condition_forbids_it() {
    let settings = Settings { heartbeat_interval_s: 60.0, ..Settings::default() };
    let cases: [(&str, Change, bool); 9] = [
        ("usable", |_| (), true),
        ("not recorded", |m| m.record.committed = false, false),
        ("a command not acknowledged", |m| m.agent.record_unacknowledged_command(), false),
        ("zone partitioned", |m| m.agent.partitioned = true, false),
        ("no address", |m| m.agent.endpoint.clear(), false),
        ("unreachable", |m| m.agent.last_heartbeat_ms = Some(NOW - 150_000), false),
        ("to be returned", |m| m.lifecycle.scale_in_wanted = true, false),
        ("to be preempted", |m| m.lifecycle.preemption_at_ms = Some(NOW + 1), false),
        ("in quarantine", |m| m.health.quarantined_until_ms = NOW + 1, false),
    ];
    for (name, change, expected) in cases {
        let mut machine = usable(&settings);
        change(&mut machine);
        assert_eq!(machine.is_schedulable(NOW, &settings), expected, "{name}");
    }
}

#[test]
fn free_resources_are_those_that_placements_do_not_use() {
    let mut machine = samples::machine("vm-1");
    machine.capacity.total = Resources::new(16.0, 2.0, 64.0);
    machine.capacity.used = Resources::new(4.0, 2.0, 1.5);
    assert_eq!(machine.free(), Resources::new(12.0, 0.0, 62.5));
}
