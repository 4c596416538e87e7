use super::*;
use crate::leader::scheduler::fixture::{ChangeJob, Fixture, NOW};
use crate::settings::{ComputeAmount, TeamQuota};
use shaleshunt_wire::Resources;
use shaleshunt_wire::user::{JobKind, Priority};

/// A job that fills the only machine, and whether its task is preempted for an urgent job.
struct Case {
    name: &'static str,
    urgent: ChangeJob,
    victim: ChangeJob,
    preempted: bool,
}

fn high(job: &mut Job) {
    job.scheduling.priority = Priority::High;
}

#[test]
fn only_less_urgent_tasks_without_checkpoints_are_preempted() {
    let plain: ChangeJob = |_| {};
    let cases = [
        Case { name: "victim is less urgent", urgent: high, victim: plain, preempted: true },
        Case { name: "victim is as urgent", urgent: plain, victim: plain, preempted: false },
        Case { name: "victim is more urgent", urgent: plain, victim: high, preempted: false },
        Case {
            name: "victim takes checkpoints",
            urgent: high,
            victim: |j| j.spec.checkpoint_interval_s = 60.0,
            preempted: false,
        },
        Case { name: "victim is a service", urgent: high, victim: |j| j.spec.kind = JobKind::Service, preempted: true },
        Case {
            name: "machine type is not allowed",
            urgent: |j| {
                high(j);
                j.spec.machine_types = Some(vec!["big".into()]);
            },
            victim: plain,
            preempted: false,
        },
    ];
    for case in cases {
        let mut fixture = Fixture::new();
        let machine = fixture.add_machine("machine", |_| {});
        let victim = fixture.add_job("victim", case.victim);
        fixture.jobs.get_mut(&victim).expect("job").need = Resources::new(16.0, 0.0, 1.0);
        let placement = fixture.run_task(&victim, &machine, 1_000);
        let urgent = fixture.add_job("urgent", case.urgent);
        let search = choose_preemption(&fixture.view(), &fixture.jobs[&urgent], PreemptionReason::NoRoom, None);
        let expected = case.preempted.then(|| Preemption { machine: machine.clone(), placements: vec![placement] });
        assert_eq!(search.preemption, expected, "{}", case.name);
        assert_eq!(search.last_examined, Some(machine), "{}", case.name);
    }
}

#[test]
fn the_shortest_running_tasks_are_preempted_and_no_more_than_needed() {
    let mut fixture = Fixture::new();
    let victim = fixture.add_job("victim", |_| {});
    let machines = ["one", "two"].map(|id| fixture.add_machine(id, |_| {}));
    for run_ms in [9_000, 4_000, 6_000, 5_000] {
        fixture.run_task(&victim, &machines[0], run_ms);
    }
    let shorter = [8_000, 1_000, 7_000, 3_000].map(|run_ms| fixture.run_task(&victim, &machines[1], run_ms));
    let urgent = fixture.add_job("urgent", |j| {
        high(j);
        j.need = Resources::new(8.0, 0.0, 1.0);
    });
    let search = choose_preemption(&fixture.view(), &fixture.jobs[&urgent], PreemptionReason::NoRoom, None);
    let expected = Preemption { machine: machines[1].clone(), placements: vec![shorter[1], shorter[3]] };
    assert_eq!(search.preemption, Some(expected));
    // A machine that holds the image is preferred, whatever run time is lost there.
    fixture.machines.get_mut("one").expect("machine").images.add_if_absent(0, 1.0);
    let search = choose_preemption(&fixture.view(), &fixture.jobs[&urgent], PreemptionReason::NoRoom, None);
    assert_eq!(search.preemption.map(|preemption| preemption.machine), Some(machines[0].clone()));
}

#[test]
fn a_task_that_is_already_stopping_is_not_preempted() {
    let mut fixture = Fixture::new();
    let machine = fixture.add_machine("machine", |_| {});
    let victim = fixture.add_job("victim", |j| j.need = Resources::new(16.0, 0.0, 1.0));
    fixture.run_task(&victim, &machine, 1_000);
    fixture.machines.get_mut("machine").expect("machine").placements[0].stop_grace_s = Some(0.0);
    let urgent = fixture.add_job("urgent", high);
    let search = choose_preemption(&fixture.view(), &fixture.jobs[&urgent], PreemptionReason::NoRoom, None);
    assert_eq!(search.preemption, None);
}

#[test]
fn run_time_lost_to_save_a_fetch_is_limited_except_for_services() {
    let preempted = |run_ms: u64, kind: JobKind| {
        let mut fixture = Fixture::new();
        fixture.add_machine_type("std", 1.0, 0.5, &["a"]);
        let machine = fixture.add_machine("machine", |m| m.images.add_if_absent(0, 1.0));
        fixture.add_machine("without-image", |_| {});
        let victim = fixture.add_job("victim", |j| j.need = Resources::new(16.0, 0.0, 1.0));
        fixture.run_task(&victim, &machine, run_ms);
        let urgent = fixture.add_job("urgent", |j| {
            high(j);
            (j.spec.kind, j.spec.image_gb) = (kind, 10.0);
        });
        let reason = PreemptionReason::ImageAbsent;
        choose_preemption(&fixture.view(), &fixture.jobs[&urgent], reason, None).preemption.is_some()
    };
    // The fetch takes ten seconds.
    assert!(preempted(20_000, JobKind::Array));
    assert!(!preempted(20_001, JobKind::Array));
    assert!(preempted(20_001, JobKind::Service));
}

#[test]
fn a_guarantee_is_reclaimed_from_teams_that_exceed_theirs() {
    let preempted = |other_guarantee: i64, reason: PreemptionReason, guaranteed: &[&str]| {
        let mut fixture = Fixture::new();
        let quota =
            TeamQuota { guarantee: ComputeAmount { cores: other_guarantee, accelerators: 0 }, ..TeamQuota::default() };
        fixture.settings.teams.insert("other".into(), quota);
        let machine = fixture.add_machine("machine", |m| m.images.add_if_absent(0, 1.0));
        let victim = fixture.add_job("victim", |j| {
            j.spec.team = "other".into();
            j.need = Resources::new(16.0, 0.0, 1.0);
        });
        fixture.run_task(&victim, &machine, 1_000);
        let need = Resources::new(16.0, 0.0, 1.0);
        fixture.scheduler.usage.add("class", "other", &need, crate::leader::scheduler::usage::Ownership::Owned);
        fixture.scheduler.ranks.guaranteed = guaranteed.iter().map(|id| Id::from(*id)).collect();
        let reclaiming = fixture.add_job("reclaiming", |_| {});
        choose_preemption(&fixture.view(), &fixture.jobs[&reclaiming], reason, None).preemption.is_some()
    };
    assert!(preempted(8_000, PreemptionReason::NoRoom, &["reclaiming"]));
    assert!(!preempted(16_000, PreemptionReason::NoRoom, &["reclaiming"]), "the other team is within its guarantee");
    assert!(!preempted(8_000, PreemptionReason::NoRoom, &[]), "the job is beyond the guarantee of its team");
    assert!(
        !preempted(8_000, PreemptionReason::NoRoom, &["reclaiming", "victim"]),
        "the victim is within a guarantee too"
    );
    assert!(!preempted(8_000, PreemptionReason::ImageAbsent, &["reclaiming"]), "another machine has room");
}

#[test]
fn consecutive_searches_examine_different_samples() {
    let mut fixture = Fixture::new();
    fixture.tuning.machine_sample_size = 2.0;
    let victim = fixture.add_job("victim", |j| j.need = Resources::new(16.0, 0.0, 1.0));
    for number in 0..3 {
        let machine = fixture.add_machine(&format!("machine-{number}"), |_| {});
        fixture.run_task(&victim, &machine, 1_000);
    }
    fixture.add_machine("machine-slow", |m| m.health.slow_until_ms = NOW.monotonic_ms + 1);
    let urgent = fixture.add_job("urgent", high);
    let mut start = None;
    let mut chosen = Vec::new();
    for _ in 0..3 {
        let reason = PreemptionReason::NoRoom;
        let search = choose_preemption(&fixture.view(), &fixture.jobs[&urgent], reason, start.as_ref());
        start = search.last_examined;
        chosen.extend(search.preemption.map(|preemption| preemption.machine.to_string()));
    }
    assert_eq!(chosen, ["machine-0", "machine-2", "machine-1"]);
}
