use super::*;
use crate::leader::scheduler::fixture::{ChangeMachine, Fixture, NOW};

/// What the leader knows besides machines and jobs.
struct Known {
    elected_at: u64,
    few_overdue: bool,
    zones_with_controllers: &'static [&'static str],
}

const LONG_ELECTED: Known = Known { elected_at: 0, few_overdue: true, zones_with_controllers: &[] };

fn plan(fixture: &Fixture, known: &Known) -> Vec<ScaleIn> {
    plan_scale_in(&ScaleInView {
        jobs: &fixture.jobs,
        machines: &fixture.machines,
        catalog: Some(&fixture.catalog),
        settings: &fixture.settings,
        tuning: &fixture.tuning,
        now: NOW,
        elected_at: known.elected_at,
        few_overdue: known.few_overdue,
        zones_with_controllers: known.zones_with_controllers.iter().copied().collect(),
    })
}

/// Three heartbeat intervals.
const SILENCE_MS: u64 = 9_000;

fn silent_for(machine: &mut Machine, ms: u64) {
    machine.agent.last_heartbeat_ms = Some(NOW.monotonic_ms - ms);
}

fn idle_for(machine: &mut Machine, ms: u64) {
    machine.lifecycle.idle_since_ms = NOW.monotonic_ms - ms;
}

fn never_heard(machine: &mut Machine, rented_s_ago: u64) {
    machine.agent.last_heartbeat_ms = None;
    machine.agent.epoch = AgentEpoch::NONE;
    machine.rented_at_ms = NOW.wall_ms - rented_s_ago * 1000;
}

struct Case {
    name: &'static str,
    machine: ChangeMachine,
    known: Known,
    reason: Option<ScaleInReason>,
}

fn case(name: &'static str, machine: ChangeMachine, reason: Option<ScaleInReason>) -> Case {
    Case { name, machine, known: LONG_ELECTED, reason }
}

fn cases() -> Vec<Case> {
    let recent = || Known { elected_at: NOW.monotonic_ms - SILENCE_MS * 2, ..LONG_ELECTED };
    let many_overdue = || Known { few_overdue: false, ..LONG_ELECTED };
    let kept_in_a = || Known { zones_with_controllers: &["a"], ..LONG_ELECTED };
    let partitioned: ChangeMachine = |m| {
        m.agent.partitioned = true;
        silent_for(m, 30_000);
    };
    let deaf: ChangeMachine = |m| {
        m.agent.unacknowledged_commands = 1;
        silent_for(m, SILENCE_MS / 2 + 1);
    };
    // Leases are renewed for 47,076 ms there, and the last expires 12,324 ms after that.
    let past_leases: ChangeMachine = |m| {
        m.agent.partitioned = true;
        silent_for(m, 60_000);
    };
    vec![
        case("in use", |_| {}, None),
        case("silent for long", |m| silent_for(m, SILENCE_MS + 1), Some(ScaleInReason::Silent)),
        case("silent for a while", |m| silent_for(m, SILENCE_MS), None),
        case("silent and sent commands", deaf, Some(ScaleInReason::Silent)),
        Case { known: many_overdue(), ..case("silent and sent commands, like many", deaf, None) },
        case("partitioned", partitioned, Some(ScaleInReason::Silent)),
        Case { known: kept_in_a(), ..case("partitioned, its leases renewed there", partitioned, None) },
        Case { known: kept_in_a(), ..case("leases there are over", past_leases, Some(ScaleInReason::Silent)) },
        case("idle for long", |m| idle_for(m, 45_001), Some(ScaleInReason::Idle)),
        case("idle for a while", |m| idle_for(m, 45_000), None),
        case("idle but needed", |m| (idle_for(m, 45_001), m.lifecycle.needed_at_ms = NOW.monotonic_ms).1, None),
        case("preempted and empty", |m| m.lifecycle.preemption_at_ms = Some(0), Some(ScaleInReason::Preempted)),
        case("did not come up", |m| never_heard(m, 244), Some(ScaleInReason::NeverBooted)),
        case("may still come up", |m| never_heard(m, 243), None),
        Case { known: recent(), ..case("did not come up, leader is new", |m| never_heard(m, 244), None) },
        case("not heard by this leader", |m| m.agent.last_heartbeat_ms = None, Some(ScaleInReason::NeverHeard)),
        Case { known: recent(), ..case("not heard yet", |m| m.agent.last_heartbeat_ms = None, None) },
        case(
            "return under way",
            |m| {
                silent_for(m, SILENCE_MS + 1);
                (m.lifecycle.scale_in_wanted, m.lifecycle.scale_in_requested) = (true, true);
            },
            None,
        ),
    ]
}

#[test]
fn machines_are_returned_for_a_reason() {
    for case in cases() {
        let mut fixture = Fixture::new();
        fixture.add_machine_type("std", 1.0, 0.4, &["a"]);
        fixture.add_machine("rented", |m| {
            m.owned = false;
            (case.machine)(m);
        });
        // An owned machine in the same state is kept.
        fixture.add_machine("owned", case.machine);
        let expected: Vec<ScaleIn> =
            case.reason.into_iter().map(|reason| ScaleIn { machine: "rented".into(), reason }).collect();
        assert_eq!(plan(&fixture, &case.known), expected, "{}", case.name);
    }
}

#[test]
fn a_machine_with_tasks_is_neither_idle_nor_kept_waiting_with_a_deadline() {
    let planned = |deadline_s: Option<f64>, silent_ms: u64| {
        let mut fixture = Fixture::new();
        let machine = fixture.add_machine("rented", |m| {
            (m.owned, m.agent.partitioned) = (false, true);
            silent_for(m, silent_ms);
            idle_for(m, 99_000);
            m.lifecycle.preemption_at_ms = Some(0);
        });
        let job = fixture.add_job("job", |j| j.spec.deadline_s = deadline_s);
        fixture.run_task(&job, &machine, 1_000);
        let known = Known { zones_with_controllers: &["a"], ..LONG_ELECTED };
        plan(&fixture, &known).first().map(|scale_in| scale_in.reason)
    };
    assert_eq!(planned(None, 6_001), None);
    assert_eq!(planned(Some(900.0), 6_000), None);
    assert_eq!(planned(Some(900.0), 6_001), Some(ScaleInReason::Silent));
}
