use super::*;
use crate::leader::scheduler::fixture::{ChangeMachine, Fixture, NOW};

/// Input of a scale-in decision besides machines and jobs.
struct Situation {
    elected_at_ms: u64,
    few_overdue: bool,
    zones_with_controllers: &'static [&'static str],
}

const LONG_ELECTED: Situation = Situation { elected_at_ms: 0, few_overdue: true, zones_with_controllers: &[] };

fn plan(fixture: &Fixture, situation: &Situation) -> Vec<ScaleIn> {
    plan_scale_in(&ScaleInView {
        jobs: &fixture.jobs,
        machines: &fixture.machines,
        catalog: Some(&fixture.catalog),
        settings: &fixture.settings,
        tuning: &fixture.tuning,
        now: NOW,
        elected_at_ms: situation.elected_at_ms,
        few_overdue: situation.few_overdue,
        zones_with_controllers: situation.zones_with_controllers.iter().copied().collect(),
    })
}

/// Three heartbeat intervals.
const TIMEOUT_MS: u64 = 9_000;

fn set_heartbeat_age(machine: &mut Machine, ms: u64) {
    machine.agent.last_heartbeat_ms = Some(NOW.monotonic_ms - ms);
}

fn set_idle(machine: &mut Machine, ms: u64) {
    machine.lifecycle.idle_since_ms = NOW.monotonic_ms - ms;
}

fn set_no_heartbeat_yet(machine: &mut Machine, rented_s_ago: u64) {
    machine.agent.last_heartbeat_ms = None;
    machine.agent.epoch = AgentEpoch::NONE;
    machine.rented_at_ms = NOW.wall_ms - rented_s_ago * 1000;
}

struct Case {
    name: &'static str,
    machine: ChangeMachine,
    situation: Situation,
    reason: Option<ScaleInReason>,
}

fn case(name: &'static str, machine: ChangeMachine, reason: Option<ScaleInReason>) -> Case {
    Case { name, machine, situation: LONG_ELECTED, reason }
}

fn cases() -> Vec<Case> {
    let recent = || Situation { elected_at_ms: NOW.monotonic_ms - TIMEOUT_MS * 2, ..LONG_ELECTED };
    let many_overdue = || Situation { few_overdue: false, ..LONG_ELECTED };
    let renewed_in_a = || Situation { zones_with_controllers: &["a"], ..LONG_ELECTED };
    let partitioned: ChangeMachine = |m| {
        m.agent.partitioned = true;
        set_heartbeat_age(m, 30_000);
    };
    let misses_commands: ChangeMachine = |m| {
        m.agent.unacknowledged_commands = 1;
        set_heartbeat_age(m, TIMEOUT_MS / 2 + 1);
    };
    // In the zone, leases are renewed for 47,076 ms, and the last expires 12,324 ms later.
    let past_leases: ChangeMachine = |m| {
        m.agent.partitioned = true;
        set_heartbeat_age(m, 60_000);
    };
    vec![
        case("in use", |_| {}, None),
        case("unreachable", |m| set_heartbeat_age(m, TIMEOUT_MS + 1), Some(ScaleInReason::Unreachable)),
        case("no heartbeat for a while", |m| set_heartbeat_age(m, TIMEOUT_MS), None),
        case("commands unacknowledged", misses_commands, Some(ScaleInReason::Unreachable)),
        Case { situation: many_overdue(), ..case("commands unacknowledged, many overdue", misses_commands, None) },
        case("partitioned", partitioned, Some(ScaleInReason::Unreachable)),
        Case { situation: renewed_in_a(), ..case("partitioned, lease renewed", partitioned, None) },
        Case { situation: renewed_in_a(), ..case("lease expired", past_leases, Some(ScaleInReason::Unreachable)) },
        case("idle for too long", |m| set_idle(m, 45_001), Some(ScaleInReason::Idle)),
        case("idle for a while", |m| set_idle(m, 45_000), None),
        case("idle but needed", |m| (set_idle(m, 45_001), m.lifecycle.needed_at_ms = NOW.monotonic_ms).1, None),
        case("preempted and empty", |m| m.lifecycle.preemption_at_ms = Some(0), Some(ScaleInReason::Preempted)),
        case("did not come up", |m| set_no_heartbeat_yet(m, 244), Some(ScaleInReason::NeverBooted)),
        case("may still come up", |m| set_no_heartbeat_yet(m, 243), None),
        Case { situation: recent(), ..case("did not come up, leader is new", |m| set_no_heartbeat_yet(m, 244), None) },
        case("no heartbeat", |m| m.agent.last_heartbeat_ms = None, Some(ScaleInReason::NoHeartbeat)),
        Case { situation: recent(), ..case("no heartbeat yet", |m| m.agent.last_heartbeat_ms = None, None) },
        case(
            "return in flight",
            |m| {
                set_heartbeat_age(m, TIMEOUT_MS + 1);
                (m.lifecycle.scale_in_wanted, m.lifecycle.scale_in_requested) = (true, true);
            },
            None,
        ),
    ]
}

#[test]
fn a_rented_machine_is_returned_only_for_a_reason_and_an_owned_one_never() {
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
        assert_eq!(plan(&fixture, &case.situation), expected, "{}", case.name);
    }
}

#[test]
fn a_machine_with_tasks_is_not_idle_and_times_out_earlier_with_a_deadline() {
    let planned = |deadline_s: Option<f64>, heartbeat_age_ms: u64| {
        let mut fixture = Fixture::new();
        let machine = fixture.add_machine("rented", |m| {
            (m.owned, m.agent.partitioned) = (false, true);
            set_heartbeat_age(m, heartbeat_age_ms);
            set_idle(m, 99_000);
            m.lifecycle.preemption_at_ms = Some(0);
        });
        let job = fixture.add_job("job", |j| j.spec.deadline_s = deadline_s);
        fixture.run_task(&job, &machine, 1_000);
        let situation = Situation { zones_with_controllers: &["a"], ..LONG_ELECTED };
        plan(&fixture, &situation).first().map(|scale_in| scale_in.reason)
    };
    assert_eq!(planned(None, 6_001), None);
    assert_eq!(planned(Some(900.0), 6_000), None);
    assert_eq!(planned(Some(900.0), 6_001), Some(ScaleInReason::Unreachable));
}
