use super::*;
use crate::model::Id;

const FIRST_FAILURE: JobFailureEvidence = JobFailureEvidence { any_done: false, failed_machines: 1, failures: 1 };
const JUST_BEGUN: MateEvidence = MateEvidence { outlasted: false, runs_on_sound_machine: true };
const NOT_RUNNING: MateEvidence = MateEvidence { outlasted: false, runs_on_sound_machine: false };
const OUTLASTED: MateEvidence = MateEvidence { outlasted: true, runs_on_sound_machine: false };

#[test]
fn a_job_is_judged_by_its_failures_and_its_other_tasks() {
    let on_three_machines = JobFailureEvidence { failed_machines: 3, failures: 3, ..FIRST_FAILURE };
    let six_times = JobFailureEvidence { failures: 6, ..FIRST_FAILURE };
    let five_times_on_two = JobFailureEvidence { failed_machines: 2, failures: 5, ..FIRST_FAILURE };
    let one_done = JobFailureEvidence { any_done: true, ..six_times };
    let cases: [(&str, JobFailureEvidence, &[MateEvidence], JobVerdict); 10] = [
        ("first failure", FIRST_FAILURE, &[], JobVerdict::Unknown),
        ("first failure, others run", FIRST_FAILURE, &[JUST_BEGUN], JobVerdict::Unknown),
        ("first failure, another lasts", FIRST_FAILURE, &[NOT_RUNNING, OUTLASTED], JobVerdict::Sound),
        ("five failures on two machines", five_times_on_two, &[], JobVerdict::Unknown),
        ("failed on three machines", on_three_machines, &[], JobVerdict::Broken),
        ("failed six times", six_times, &[NOT_RUNNING], JobVerdict::Broken),
        ("failed often, others run", six_times, &[JUST_BEGUN], JobVerdict::Suspect),
        ("failed on three, others run", on_three_machines, &[NOT_RUNNING, JUST_BEGUN], JobVerdict::Suspect),
        ("failed often, another lasts", six_times, &[OUTLASTED], JobVerdict::Sound),
        ("failed often, one done", one_done, &[], JobVerdict::Sound),
    ];
    for (name, job, mates, expected) in cases {
        assert_eq!(judge_job(job, mates.iter().copied()), expected, "{name}");
    }
}

#[test]
fn a_machine_fails_if_the_job_is_sound_or_several_jobs_failed_on_it() {
    let health = |failed_jobs: &[&str], quarantine_count| {
        let mut health = MachineHealth::default();
        failed_jobs.iter().for_each(|job| health.blame_for(Id::from(*job)));
        health.quarantine_count = quarantine_count;
        health
    };
    let (once, again) = (health(&["a"], 0), health(&["a", "a", "a"], 0));
    let (two_jobs, was_failing) = (health(&["a", "b"], 0), health(&["a"], 1));
    let cases = [
        ("one failure", &once, JobVerdict::Unknown, MachineVerdict::Unknown),
        ("the same job again", &again, JobVerdict::Suspect, MachineVerdict::Unknown),
        ("a sound job", &once, JobVerdict::Sound, MachineVerdict::Failing),
        ("two jobs", &two_jobs, JobVerdict::Unknown, MachineVerdict::Failing),
        ("two jobs, one suspect", &two_jobs, JobVerdict::Suspect, MachineVerdict::Failing),
        ("tried after a quarantine", &was_failing, JobVerdict::Unknown, MachineVerdict::Failing),
        ("a broken job", &two_jobs, JobVerdict::Broken, MachineVerdict::Unknown),
        ("a broken job after a quarantine", &was_failing, JobVerdict::Broken, MachineVerdict::Unknown),
    ];
    for (name, health, job, expected) in cases {
        assert_eq!(judge_machine(health, job), expected, "{name}");
    }
}

#[test]
fn a_broken_job_is_held_back_longer_with_each_failure_up_to_a_limit() {
    let pauses: Vec<f64> = [3, 4, 5, 6, 7, 8, 100].map(|failures| broken_job_pause_ms(failures, 8000.0)).into();
    assert_eq!(pauses, [1000.0, 2000.0, 4000.0, 8000.0, 16000.0, 16000.0, 16000.0]);
}
