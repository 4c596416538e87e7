use super::*;
use crate::leader::scheduler::fixture::{ChangeJob, ChangeMachine, Fixture, NOW, names, place_in_zone, set_tasks};
use crate::model::Machine;
use crate::settings::ServiceObjective;
use shaleshunt_wire::Resources;
use shaleshunt_wire::user::{JobKind, Priority};

const ANYWHERE: Search = Search { zone: None, max_candidates: None };

/// Two machines, of which the only task of a job goes to the better one.
struct Case {
    name: &'static str,
    job: ChangeJob,
    better: ChangeMachine,
    worse: ChangeMachine,
}

fn with_image(machine: &mut Machine) {
    machine.images.add_if_absent(0, 1.0);
}

fn half_full(machine: &mut Machine) {
    machine.capacity.used = Resources::new(8.0, 0.0, 8.0);
}

#[test]
fn a_task_goes_to_the_best_ranked_machine() {
    let plain: ChangeMachine = |_| {};
    let batch: ChangeJob = |_| {};
    let high: ChangeJob = |j| j.scheduling.priority = Priority::High;
    let cases = [
        Case { name: "holding the image", job: batch, better: with_image, worse: plain },
        Case { name: "owned", job: batch, better: plain, worse: |m| m.owned = false },
        Case { name: "the emptiest, for a preemptible job", job: batch, better: plain, worse: half_full },
        Case { name: "the fullest, for a preempting job", job: high, better: half_full, worse: plain },
        Case { name: "image before free cores", job: batch, better: |m| (with_image(m), half_full(m)).1, worse: plain },
        Case {
            name: "not on probation, before image",
            job: batch,
            better: plain,
            worse: |m| {
                with_image(m);
                m.zone = "a".into();
                m.health.quarantine_count = 1;
            },
        },
        Case {
            name: "spot, for an offloaded spot job",
            job: |j| (j.spec.spot, j.scheduling.offloaded) = (true, true),
            better: |m| m.spot = true,
            worse: with_image,
        },
        Case {
            name: "on demand, for a long spot job",
            job: |j| j.spec.spot = true,
            better: plain,
            worse: |m| {
                with_image(m);
                m.spot = true;
            },
        },
    ];
    for case in cases {
        let mut fixture = Fixture::new();
        // The IDs sort against the expected order, so that they can't produce it.
        fixture.add_machine("z-better", case.better);
        fixture.add_machine("a-worse", case.worse);
        let id = fixture.add_job("job", case.job);
        let found = find_machines(&fixture.view(), &fixture.jobs[&id], 1, ANYWHERE);
        assert_eq!(names(&found), ["z-better"], "{}", case.name);
    }
}

#[test]
fn machines_that_cannot_take_a_task_are_excluded() {
    let cases: [(&str, ChangeJob, ChangeMachine); 11] = [
        ("no room", |_| {}, |m| m.capacity.used = Resources::new(13.0, 0.0, 1.0)),
        ("no accelerators", |j| j.need = Resources::new(1.0, 1.0, 1.0), |_| {}),
        ("record not committed", |_| {}, |m| m.record.committed = false),
        ("in quarantine", |_| {}, |m| m.health.quarantined_until_ms = NOW.monotonic_ms + 1),
        ("unreachable", |_| {}, |m| m.agent.last_heartbeat_ms = Some(NOW.monotonic_ms - 7_500)),
        ("slow machine", |_| {}, |m| m.health.slow_until_ms = NOW.monotonic_ms + 1),
        ("spot machine", |_| {}, |m| m.spot = true),
        ("other type", |j| j.spec.machine_types = Some(vec!["big".into()]), |_| {}),
        ("other zone", |j| j.spec.zone = Some("b".into()), |_| {}),
        ("a task failed there", |j| j.failures.machines = ["machine".into()].into(), |_| {}),
        (
            "single-zone job with a task in another zone",
            |j| {
                j.spec.single_zone = true;
                set_tasks(j, 2);
                place_in_zone(j, "b");
            },
            |_| {},
        ),
    ];
    for (name, change_job, change_machine) in cases {
        let mut fixture = Fixture::new();
        fixture.add_machine("machine", change_machine);
        let id = fixture.add_job("job", change_job);
        assert!(find_machines(&fixture.view(), &fixture.jobs[&id], 1, ANYWHERE).is_empty(), "{name}");
    }
}

#[test]
fn a_job_that_failed_on_many_machines_no_longer_avoids_them() {
    let mut fixture = Fixture::new();
    fixture.add_machine("one", |_| {});
    let id = fixture.add_job("job", |j| j.failures.machines = ["one".into(), "two".into(), "three".into()].into());
    assert_eq!(names(&find_machines(&fixture.view(), &fixture.jobs[&id], 1, ANYWHERE)), ["one"]);
}

#[test]
fn tasks_are_packed_and_a_machine_on_probation_gets_one() {
    let mut fixture = Fixture::new();
    fixture.add_machine("full", |m| m.capacity.used = Resources::new(8.0, 0.0, 1.0));
    fixture.add_machine("empty", |_| {});
    fixture.add_machine("probation", |m| m.health.quarantine_count = 1);
    let id = fixture.add_job("job", |j| (j.spec.tasks, j.scheduling.priority) = (9, Priority::High));
    let found = find_machines(&fixture.view(), &fixture.jobs[&id], 9, ANYWHERE);
    assert_eq!(names(&found), ["full", "full", "empty", "empty", "empty", "empty", "probation"]);
}

#[test]
fn tasks_of_a_job_are_kept_together_in_its_home_zone() {
    let mut fixture = Fixture::new();
    fixture.add_machine("a-1", |m| m.zone = "a".into());
    fixture.add_machine("b-1", |m| m.zone = "b".into());
    fixture.add_machine("b-2", |m| m.zone = "b".into());
    let id = fixture.add_job("job", |j| j.spec.tasks = 6);
    let found = |fixture: &Fixture| {
        let found = find_machines(&fixture.view(), &fixture.jobs[&id], 5, ANYWHERE);
        names(&found).into_iter().map(str::to_string).collect::<Vec<_>>()
    };
    // Zone b has the most room.
    assert_eq!(found(&fixture), ["b-1", "b-1", "b-1", "b-1", "b-2"]);
    // A zone that has a task of the job is preferred to one with more room.
    fixture.run_task(&id, &"a-1".into(), 1);
    assert_eq!(found(&fixture), ["a-1", "a-1", "a-1", "b-1", "b-1"]);
    // A single-zone job stays in the zone of its task.
    fixture.jobs.get_mut(&id).expect("job").spec.single_zone = true;
    assert_eq!(found(&fixture), ["a-1", "a-1", "a-1"]);
}

#[test]
fn tasks_of_services_and_spread_jobs_are_spread() {
    let mut fixture = Fixture::new();
    fixture.add_machine("a-1", |m| m.zone = "a".into());
    fixture.add_machine("a-2", |m| m.zone = "a".into());
    fixture.add_machine("b-1", |m| m.zone = "b".into());
    let service = fixture.add_job("service", |j| (j.spec.kind, j.spec.tasks) = (JobKind::Service, 4));
    let found = find_machines(&fixture.view(), &fixture.jobs[&service], 4, ANYWHERE);
    assert_eq!(names(&found), ["a-1", "b-1", "a-2", "b-1"]);
    // At most half of the tasks may be in one zone.
    let spread = fixture.add_job("spread", |j| (j.spec.spread_zones, j.spec.tasks) = (true, 3));
    fixture.machines.remove("a-2");
    fixture.machines.remove("a-1");
    let found = find_machines(&fixture.view(), &fixture.jobs[&spread], 3, ANYWHERE);
    assert_eq!(names(&found), ["b-1", "b-1"]);
}

#[test]
fn a_job_that_must_start_before_its_image_fetch_ranks_the_image_first() {
    let mut fixture = Fixture::new();
    fixture.add_machine_type("std", 1.0, 0.5, &["a"]);
    let objective = ServiceObjective { start_s: vec![5.0], ..ServiceObjective::default() };
    fixture.settings.objectives.insert("class".into(), objective);
    fixture.add_machine("a-on-demand", |_| {});
    fixture.add_machine("z-spot", |m| (m.spot, m.owned) = (true, false));
    with_image(fixture.machines.get_mut("z-spot").expect("machine"));
    let id = fixture.add_job("job", |j| (j.spec.spot, j.spec.image_gb) = (true, 10.0));
    assert_eq!(names(&find_machines(&fixture.view(), &fixture.jobs[&id], 1, ANYWHERE)), ["z-spot"]);
}

#[test]
fn a_limited_search_stops_at_its_candidate_limit() {
    let mut fixture = Fixture::new();
    for number in 0..10 {
        fixture.add_machine(&format!("machine-{number}"), |_| {});
    }
    let id = fixture.add_job("job", |_| {});
    let search = Search { zone: None, max_candidates: Some(3) };
    assert_eq!(find_machines(&fixture.view(), &fixture.jobs[&id], 1, search).len(), 1);
    assert_eq!(fixture.work.counts().machines_examined, 3);
    let other_zone = Search { zone: Some("b"), max_candidates: None };
    assert!(find_machines(&fixture.view(), &fixture.jobs[&id], 1, other_zone).is_empty());
}
