use super::*;
use crate::model::Id;

const FIRST_FAILURE: JobFailureEvidence = JobFailureEvidence { any_done: false, failed_machines: 1, failures: 1 };
const JUST_STARTED: SiblingTaskEvidence = SiblingTaskEvidence { outlasted: false, runs_on_healthy_machine: true };
const NOT_RUNNING: SiblingTaskEvidence = SiblingTaskEvidence { outlasted: false, runs_on_healthy_machine: false };
const OUTLASTED: SiblingTaskEvidence = SiblingTaskEvidence { outlasted: true, runs_on_healthy_machine: false };

#[test]
fn a_job_is_assessed_by_its_failures_and_its_other_tasks() {
    let on_three_machines = JobFailureEvidence { failed_machines: 3, failures: 3, ..FIRST_FAILURE };
    let six_times = JobFailureEvidence { failures: 6, ..FIRST_FAILURE };
    let five_times_on_two = JobFailureEvidence { failed_machines: 2, failures: 5, ..FIRST_FAILURE };
    let one_done = JobFailureEvidence { any_done: true, ..six_times };
    let cases: [(&str, JobFailureEvidence, &[SiblingTaskEvidence], JobDiagnosis); 10] = [
        ("first failure", FIRST_FAILURE, &[], JobDiagnosis::Unknown),
        ("first failure, others run", FIRST_FAILURE, &[JUST_STARTED], JobDiagnosis::Unknown),
        ("first failure, another ran for longer", FIRST_FAILURE, &[NOT_RUNNING, OUTLASTED], JobDiagnosis::Healthy),
        ("five failures on two machines", five_times_on_two, &[], JobDiagnosis::Unknown),
        ("failed on three machines", on_three_machines, &[], JobDiagnosis::Broken),
        ("failed six times", six_times, &[NOT_RUNNING], JobDiagnosis::Broken),
        ("failed often, others run", six_times, &[JUST_STARTED], JobDiagnosis::Suspect),
        ("failed on three, others run", on_three_machines, &[NOT_RUNNING, JUST_STARTED], JobDiagnosis::Suspect),
        ("failed often, another ran for longer", six_times, &[OUTLASTED], JobDiagnosis::Healthy),
        ("failed often, one done", one_done, &[], JobDiagnosis::Healthy),
    ];
    for (name, job, siblings, expected) in cases {
        assert_eq!(diagnose_job(job, siblings.iter().copied()), expected, "{name}");
    }
}

#[test]
fn a_machine_is_failing_if_the_job_is_healthy_or_several_jobs_failed_on_it() {
    let health = |failed_jobs: &[&str], quarantine_count| {
        let mut health = MachineHealth::default();
        failed_jobs.iter().for_each(|job| health.record_job_failure(Id::from(*job)));
        health.quarantine_count = quarantine_count;
        health
    };
    let (once, again) = (health(&["a"], 0), health(&["a", "a", "a"], 0));
    let (two_jobs, was_failing) = (health(&["a", "b"], 0), health(&["a"], 1));
    let cases = [
        ("one failure", &once, JobDiagnosis::Unknown, MachineDiagnosis::Unknown),
        ("the same job again", &again, JobDiagnosis::Suspect, MachineDiagnosis::Unknown),
        ("a healthy job", &once, JobDiagnosis::Healthy, MachineDiagnosis::Failing),
        ("two jobs", &two_jobs, JobDiagnosis::Unknown, MachineDiagnosis::Failing),
        ("two jobs, one suspect", &two_jobs, JobDiagnosis::Suspect, MachineDiagnosis::Failing),
        ("tried after a quarantine", &was_failing, JobDiagnosis::Unknown, MachineDiagnosis::Failing),
        ("a broken job", &two_jobs, JobDiagnosis::Broken, MachineDiagnosis::Unknown),
        ("a broken job after a quarantine", &was_failing, JobDiagnosis::Broken, MachineDiagnosis::Unknown),
    ];
    for (name, health, job, expected) in cases {
        assert_eq!(diagnose_machine(health, job), expected, "{name}");
    }
}

#[test]
fn a_broken_job_is_held_back_longer_with_each_failure_up_to_a_limit() {
    let pauses: Vec<f64> = [3, 4, 5, 6, 7, 8, 100].map(|failures| broken_job_pause_ms(failures, 8000.0)).into();
    assert_eq!(pauses, [1000.0, 2000.0, 4000.0, 8000.0, 16000.0, 16000.0, 16000.0]);
}
