use super::*;
use crate::model::{PlacementState, samples};
use shaleshunt_wire::user::JobKind;

const NOW: u64 = 100_000;

/// A machine that is preempted in `left_s` seconds, with a task that has run since `running_since_ms`.
fn machine(left_s: Option<u64>, running_since_ms: Option<u64>) -> Machine {
    let mut machine = samples::machine("vm-1");
    machine.lifecycle.preemption_at_ms = left_s.map(|left_s| NOW + left_s * 1000);
    machine.placements.push(Placement { running_since_ms, ..samples::placement(PlacementState::Running) });
    machine
}

fn jobs(change: impl FnOnce(&mut Job)) -> BTreeMap<Id, Job> {
    let mut job = samples::job(4);
    change(&mut job);
    BTreeMap::from([(job.id.clone(), job)])
}

#[test]
fn a_task_that_cannot_finish_before_the_preemption_is_stopped() {
    let started_50_s_ago = Some(NOW - 50_000);
    let cases = [
        ("no notice", machine(None, None), None),
        ("not started, 60 s to run, 60 s left", machine(Some(60), None), None),
        ("not started, 60 s to run, 59 s left", machine(Some(59), None), Some(0.0)),
        ("10 s to run, 10 s left", machine(Some(10), started_50_s_ago), None),
        ("10 s to run, 9 s left", machine(Some(9), started_50_s_ago), Some(0.0)),
    ];
    for (name, mut machine, expected) in cases {
        let any = stop_before_interruption(&mut machine, &jobs(|_| ()), NOW);
        assert_eq!((any, machine.placements[0].stop_grace_s), (expected.is_some(), expected), "{name}");
    }
}

#[test]
fn a_service_is_always_stopped_and_a_job_with_checkpoints_gets_time_to_save_one() {
    let service = jobs(|job| job.spec.kind = JobKind::Service);
    let with_checkpoints = jobs(|job| {
        job.spec.checkpoint_interval_s = 30.0;
        job.spec.checkpoint_duration_s = 5.0;
    });
    for (jobs, left_s, grace_s) in [(service, 600, 0.0), (with_checkpoints, 20, 5.0)] {
        let mut machine = machine(Some(left_s), None);
        assert!(stop_before_interruption(&mut machine, &jobs, NOW));
        assert_eq!(machine.placements[0].stop_grace_s, Some(grace_s));
    }
}

#[test]
fn a_task_that_is_already_to_stop_keeps_its_grace_period() {
    let mut machine = machine(Some(1), None);
    machine.placements[0].stop_grace_s = Some(7.0);
    assert!(!stop_before_interruption(&mut machine, &jobs(|_| ()), NOW));
    assert_eq!(machine.placements[0].stop_grace_s, Some(7.0));
}
