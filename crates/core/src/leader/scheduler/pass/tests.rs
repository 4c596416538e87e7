use super::*;
use crate::leader::scheduler::fixture::{ChangeJob, Fixture, job, names};
use crate::settings::{ComputeAmount, TeamQuota};
use shaleshunt_wire::user::JobKind;

#[test]
fn a_demand_without_room_rules_out_jobs_that_need_as_much_of_the_same_machines() {
    let cases: [(&str, ChangeJob, ChangeJob, bool); 7] = [
        ("same demand", |_| {}, |_| {}, true),
        ("needs more cores", |_| {}, |j| j.need = Resources::new(5.0, 0.0, 1.0), true),
        ("needs fewer cores", |_| {}, |j| j.need = Resources::new(3.0, 0.0, 8.0), false),
        ("may also use spot machines", |_| {}, |j| j.spec.spot = true, false),
        ("may also use slow machines", |_| {}, |j| j.spec.kind = JobKind::Service, false),
        ("restricted to one of the zones", |_| {}, |j| j.spec.zone = Some("a".into()), true),
        ("all zones, one of which is full", |j| j.spec.zone = Some("a".into()), |_| {}, false),
    ];
    for (name, without_room, other, ruled_out) in cases {
        let demand = PlacementDemand::of(&job("without-room", without_room));
        assert_eq!(demand.rules_out(&job("other", other)), ruled_out, "{name}");
    }
}

#[test]
fn a_pass_remembers_demands_without_room() {
    let mut fixture = Fixture::new();
    fixture.add_machine("machine", |_| {});
    let large = fixture.add_job("large", |j| j.need = Resources::new(17.0, 0.0, 1.0));
    let restricted = fixture.add_job("restricted", |j| {
        j.need = Resources::new(17.0, 0.0, 1.0);
        j.failures.machines = ["machine".into()].into();
    });
    let small = fixture.add_job("small", |_| {});
    let view = fixture.view();
    let mut pass = Pass { examined_at_start: 0, unplaceable: Vec::new(), preemption_searches_left: 1 };
    assert!(pass.find_machines(&view, &fixture.jobs[&restricted], 1).is_empty());
    assert!(pass.unplaceable.is_empty(), "a job that avoids machines tells nothing about other jobs");
    assert!(pass.find_machines(&view, &fixture.jobs[&large], 1).is_empty());
    assert_eq!(pass.unplaceable.len(), 1);
    assert_eq!(names(&pass.find_machines(&view, &fixture.jobs[&small], 1)), ["machine"]);
}

#[test]
fn a_pass_examines_samples_once_its_machine_budget_is_used() {
    let mut fixture = Fixture::new();
    (fixture.tuning.machines_per_pass, fixture.tuning.machine_sample_size) = (100.0, 64.0);
    let pass = Pass { examined_at_start: 0, unplaceable: Vec::new(), preemption_searches_left: 1 };
    assert_eq!(pass.max_candidates(&fixture.view(), 5), None);
    fixture.work.count_machines_examined(100);
    assert_eq!(pass.max_candidates(&fixture.view(), 5), Some(64));
    assert_eq!(pass.max_candidates(&fixture.view(), 500), Some(500));
}

#[test]
fn limits_and_failures_bound_the_number_of_placed_tasks() {
    let cases: [(&str, ChangeJob, u32); 4] = [
        ("all waiting tasks", |_| {}, 3),
        ("unknown team", |j| j.spec.team = "nobody".into(), 0),
        ("limit of the team", |j| j.spec.team = "limited".into(), 2),
        ("failures only", |j| j.failures.count = 3, 1),
    ];
    for (name, change, tasks) in cases {
        let mut fixture = Fixture::new();
        let quota = TeamQuota { limit: ComputeAmount { cores: 8_000, accelerators: 0 }, ..TeamQuota::default() };
        fixture.settings.teams.insert("limited".into(), quota);
        let id = fixture.add_job("job", |j| {
            j.spec.tasks = 3;
            change(j);
        });
        assert_eq!(tasks_to_place(&fixture.view(), &fixture.jobs[&id]), tasks, "{name}");
    }
}

#[test]
fn a_gang_is_placed_completely_or_not_at_all() {
    let mut fixture = Fixture::new();
    for (id, zone) in [("a-1", "a"), ("b-1", "b"), ("b-2", "b")] {
        fixture.add_machine(id, |m| m.zone = zone.into());
    }
    let gang = |tasks: u32, single_zone: bool| {
        job("gang", |j| (j.spec.kind, j.spec.tasks, j.spec.single_zone) = (JobKind::Gang, tasks, single_zone))
    };
    let machines = |gang: Job| find_gang_machines(&fixture.view(), &gang).map(|machines| machines.len());
    assert_eq!(machines(gang(12, false)), Some(12));
    assert_eq!(machines(gang(13, false)), None);
    assert_eq!(machines(gang(8, true)), Some(8));
    assert_eq!(machines(gang(9, true)), None);
}
