//! Tests that the checker reports a violation of each rule, and accepts similar histories that violate no rule.

use shaleshunt_simulation::agent::{Machine, TaskEvent};
use shaleshunt_simulation::checker::{Checker, LateStarts, Rule};
use shaleshunt_wire::user::{JobStatus, Submission};
use shaleshunt_wire::{Attempt, Resources};

/// Time limit of cancellations, in ms.
const CANCEL_MS: u64 = 50_000;

/// A job with two tasks that must run in different zones.
fn submission(id: &str) -> Submission {
    let text = format!(
        r#"{{"ref":"{id}","jobline":"x","crew":"t","shape":"array","urgency":"high","pieces":2,"cores":2.0,
        "cards":0.0,"ramGb":1.0,"bundle":"i","imageGb":1.0,"oneZone":false,"scatter":true,"borrowed":false,
        "expectS":1.0,"markEveryS":0.0,"markTakesS":0.0}}"#
    );
    Submission::parse(text.as_bytes()).unwrap()
}

fn submission_after(id: &str, dependency: &str) -> Submission {
    Submission { dependencies: vec![dependency.into()], ..submission(id) }
}

/// A checker that knows the submission of `wk-1`, whose team has a limit of four CPUs.
fn checker() -> Checker {
    let mut checker = Checker::new(CANCEL_MS);
    checker.submissions.insert("wk-1".into(), submission("wk-1"));
    checker.cpu_limits.insert("t".into(), 4.0);
    checker
}

fn machine_in(id: &str, zone: &str) -> Machine {
    Machine {
        id: id.into(),
        address: id.into(),
        machine_type: "f".into(),
        zone: zone.into(),
        spot: false,
        capacity: Resources::default(),
        fetch_gb_per_s: 1.0,
    }
}

fn machine(id: &str) -> Machine {
    machine_in(id, "a")
}

fn started(task: &str, attempt: u64) -> TaskEvent {
    TaskEvent::Started { task: task.into(), attempt: Attempt(attempt) }
}

/// Whether the checker has reported a violation of a rule.
fn is_reported(checker: &Checker, rule: Rule) -> bool {
    checker.violations.iter().any(|violation| violation.rule == rule)
}

/// Records an answer that arrives at the time at which its request is sent.
fn answer(checker: &mut Checker, at: u64, job: &str, http_status: u16, status: Option<JobStatus>) {
    checker.record_answer(at, at, job, http_status, status);
}

#[test]
fn task_on_two_machines_is_reported() {
    let mut checker = checker();
    checker.record_task_event(1, &machine("vm-1"), &started("wk-1/0", 1));
    assert!(checker.violations.is_empty());
    checker.record_task_event(2, &machine("vm-2"), &started("wk-1/0", 2));
    assert!(is_reported(&checker, Rule::RanTwice));
}

#[test]
fn task_on_disallowed_machine_is_reported() {
    let mut crowded = checker();
    crowded.record_task_event(1, &machine("vm-1"), &started("wk-1/0", 1));
    crowded.record_task_event(1, &machine("vm-1"), &started("wk-1/1", 1));
    assert!(is_reported(&crowded, Rule::WrongPlace), "both tasks of a spread job in one zone");

    let mut on_spot = checker();
    on_spot.record_task_event(1, &Machine { spot: true, ..machine("vm-1") }, &started("wk-1/0", 1));
    assert!(is_reported(&on_spot, Rule::WrongPlace), "spot machine");

    let with = |change: fn(&mut Submission)| {
        let mut checker = checker();
        checker.submissions.values_mut().for_each(change);
        checker
    };
    let mut bound_to_zone = with(|spec| spec.zone = Some("b".into()));
    bound_to_zone.record_task_event(1, &machine("vm-1"), &started("wk-1/0", 1));
    assert!(is_reported(&bound_to_zone, Rule::WrongPlace), "another zone");

    let mut bound_to_type = with(|spec| spec.machine_types = Some(vec!["g".into()]));
    bound_to_type.record_task_event(1, &machine("vm-1"), &started("wk-1/0", 1));
    assert!(is_reported(&bound_to_type, Rule::WrongPlace), "another machine type");

    let mut in_one_zone = with(|spec| (spec.spread_zones, spec.single_zone) = (false, true));
    in_one_zone.record_task_event(1, &machine("vm-1"), &started("wk-1/0", 1));
    assert!(in_one_zone.violations.is_empty());
    in_one_zone.record_task_event(1, &machine_in("vm-2", "b"), &started("wk-1/1", 1));
    assert!(is_reported(&in_one_zone, Rule::WrongPlace), "two zones for a single-zone job");
}

#[test]
fn team_above_its_limit_is_reported() {
    let mut checker = checker();
    checker.cpu_limits.insert("t".into(), 3.0);
    checker.record_task_event(1, &machine("vm-1"), &started("wk-1/0", 1));
    assert!(checker.violations.is_empty());
    checker.record_task_event(1, &machine_in("vm-1", "b"), &started("wk-1/1", 1));
    assert!(is_reported(&checker, Rule::Quota));
}

#[test]
fn contradictory_answers_are_reported() {
    let mut checker = checker();
    answer(&mut checker, 1, "wk-1", 201, Some(JobStatus::Queued));
    answer(&mut checker, 2, "wk-1", 404, None);
    assert!(is_reported(&checker, Rule::Forgotten));
    answer(&mut checker, 3, "wk-1", 200, Some(JobStatus::Done));
    assert!(is_reported(&checker, Rule::NotDone));
    answer(&mut checker, 4, "wk-1", 200, Some(JobStatus::Running));
    assert!(is_reported(&checker, Rule::WentBack));
    answer(&mut checker, 4, "wk-9", 200, Some(JobStatus::Running));
    assert!(is_reported(&checker, Rule::Invented));
}

#[test]
fn refused_resubmission_of_accepted_job_is_reported() {
    let mut checker = checker();
    answer(&mut checker, 1, "wk-1", 422, None);
    assert!(checker.violations.is_empty(), "the job was not accepted before");
    assert_eq!(checker.refused_with("wk-1"), Some(422));
    answer(&mut checker, 2, "wk-1", 201, Some(JobStatus::Queued));
    answer(&mut checker, 3, "wk-1", 400, None);
    assert!(is_reported(&checker, Rule::Forgotten));
}

#[test]
fn start_after_cancellation_limit_is_reported() {
    let mut checker = checker();
    checker.record_cancel_request("wk-1");
    answer(&mut checker, 1, "wk-1", 200, Some(JobStatus::Cancelled));
    assert!(checker.violations.is_empty());
    checker.record_task_event(CANCEL_MS + 2, &machine("vm-1"), &started("wk-1/0", 1));
    assert!(is_reported(&checker, Rule::RanCancelled));
}

#[test]
fn task_running_after_cancellation_limit_is_reported() {
    let mut checker = checker();
    checker.record_task_event(1, &machine("vm-1"), &started("wk-1/0", 1));
    checker.record_cancel_request("wk-1");
    answer(&mut checker, 2, "wk-1", 200, Some(JobStatus::Cancelled));
    checker.check_cancelled_tasks(CANCEL_MS + 2);
    assert!(checker.violations.is_empty(), "within the time limit");
    checker.check_cancelled_tasks(CANCEL_MS + 3);
    assert!(is_reported(&checker, Rule::RanCancelled));
}

#[test]
fn cancellation_without_request_is_reported() {
    let mut unrequested = checker();
    answer(&mut unrequested, 1, "wk-1", 200, Some(JobStatus::Cancelled));
    assert!(is_reported(&unrequested, Rule::WentBack));

    let mut by_dependency = checker();
    by_dependency.submissions.insert("wk-2".into(), submission_after("wk-2", "wk-1"));
    by_dependency.record_cancel_request("wk-1");
    answer(&mut by_dependency, 1, "wk-2", 200, Some(JobStatus::Cancelled));
    assert!(by_dependency.violations.is_empty(), "the cancellation of its dependency was requested");
}

#[test]
fn long_time_without_answer_is_reported_once() {
    let mut checker = checker();
    answer(&mut checker, 1, "wk-1", 201, Some(JobStatus::Queued));
    checker.check_answer_gap(75_001, 0, "wk-1");
    checker.check_answer_gap(76_000, 2_000, "wk-1");
    assert!(checker.violations.is_empty(), "the time counts from the end of all faults");
    checker.check_answer_gap(77_001, 2_000, "wk-1");
    assert!(is_reported(&checker, Rule::Forgotten), "no answer for 75 s");
    checker.check_answer_gap(78_000, 2_000, "wk-1");
    assert_eq!(checker.violations.len(), 1, "reported once");
}

#[test]
fn start_before_dependencies_complete_is_reported() {
    let mut checker = checker();
    checker.submissions.insert("wk-2".into(), submission_after("wk-2", "wk-1"));
    checker.completed_tasks.extend(["wk-1/0".to_string(), "wk-1/1".to_string()]);
    checker.record_task_event(1, &machine("vm-1"), &started("wk-2/0", 1));
    assert!(checker.violations.is_empty());
    checker.completed_tasks.remove("wk-1/1");
    checker.record_task_event(2, &machine_in("vm-2", "b"), &started("wk-2/1", 1));
    assert!(is_reported(&checker, Rule::TooEarly));
}

#[test]
fn open_job_after_cancelled_dependency_is_reported() {
    let mut checker = checker();
    checker.submissions.insert("wk-2".into(), submission_after("wk-2", "wk-1"));
    checker.record_cancel_request("wk-1");
    answer(&mut checker, 1, "wk-1", 200, Some(JobStatus::Cancelled));
    answer(&mut checker, CANCEL_MS + 1, "wk-2", 200, Some(JobStatus::Queued));
    assert!(checker.violations.is_empty(), "within the time limit");
    answer(&mut checker, CANCEL_MS + 2, "wk-2", 200, Some(JobStatus::Queued));
    assert!(is_reported(&checker, Rule::Orphaned));
}

#[test]
fn accepted_job_with_unknown_dependency_is_reported() {
    let mut checker = checker();
    checker.submissions.insert("wk-2".into(), submission_after("wk-2", "wk-8"));
    answer(&mut checker, 1, "wk-2", 201, Some(JobStatus::Queued));
    assert!(is_reported(&checker, Rule::Invented));
}

#[test]
fn task_without_submission_is_reported() {
    let mut checker = checker();
    checker.record_task_event(1, &machine("vm-1"), &started("wk-9/0", 1));
    assert!(is_reported(&checker, Rule::Invented));
}

#[test]
fn answers_are_compared_by_when_their_requests_were_sent() {
    // The request was sent before the earlier answer arrived, so its answer may show an older state.
    let mut accepted = checker();
    accepted.record_answer(10, 5, "wk-1", 201, Some(JobStatus::Queued));
    accepted.record_answer(12, 9, "wk-1", 404, None);
    assert!(accepted.violations.is_empty());
    accepted.record_answer(14, 11, "wk-1", 404, None);
    assert!(is_reported(&accepted, Rule::Forgotten));

    let mut cancelled = checker();
    cancelled.record_cancel_request("wk-1");
    cancelled.record_answer(10, 5, "wk-1", 200, Some(JobStatus::Cancelled));
    cancelled.record_answer(12, 9, "wk-1", 200, Some(JobStatus::Running));
    assert!(cancelled.violations.is_empty());
    cancelled.record_answer(14, 11, "wk-1", 200, Some(JobStatus::Queued));
    assert!(is_reported(&cancelled, Rule::WentBack));
}

#[test]
fn different_final_statuses_are_reported_in_any_request_order() {
    let mut checker = checker();
    checker.record_cancel_request("wk-1");
    checker.record_answer(10, 5, "wk-1", 200, Some(JobStatus::Cancelled));
    checker.completed_tasks.extend(["wk-1/0".to_string(), "wk-1/1".to_string()]);
    checker.record_answer(10, 4, "wk-1", 200, Some(JobStatus::Done));
    assert!(is_reported(&checker, Rule::WentBack));
}

/// A second answer with the final status does not move the time of the first one. A request sent between the two
/// answers must therefore not get an open status.
#[test]
fn open_status_after_first_final_answer_is_reported() {
    let mut checker = checker();
    checker.completed_tasks.extend(["wk-1/0".to_string(), "wk-1/1".to_string()]);
    checker.record_answer(10, 5, "wk-1", 200, Some(JobStatus::Done));
    checker.record_answer(20, 18, "wk-1", 200, Some(JobStatus::Done));
    assert!(checker.violations.is_empty());
    checker.record_answer(25, 15, "wk-1", 200, Some(JobStatus::Running));
    assert!(is_reported(&checker, Rule::WentBack));
}

#[test]
fn starts_after_cancellation_are_counted() {
    let mut checker = checker();
    checker.record_cancel_request("wk-1");
    checker.record_task_event(5, &machine("vm-1"), &started("wk-1/0", 1));
    answer(&mut checker, 10, "wk-1", 200, Some(JobStatus::Cancelled));
    assert_eq!(checker.starts_after_cancellation, LateStarts::default());
    checker.record_task_event(35, &machine_in("vm-1", "b"), &started("wk-1/1", 1));
    assert_eq!(checker.starts_after_cancellation, LateStarts { count: 1, longest_ms: 25 });
    assert_eq!(checker.used_millicores("t"), 4000);
    let stopped = TaskEvent::Stopped { task: "wk-1/1".into(), attempt: Attempt(1) };
    checker.record_task_event(36, &machine("vm-1"), &stopped);
    assert_eq!((checker.used_millicores("t"), checker.running_tasks("wk-1")), (2000, 1));
}

/// The wait must be uninterrupted, and counts from the end of all faults.
#[test]
fn long_wait_despite_capacity_is_reported() {
    let mut checker = checker();
    for second in 0..=90 {
        if second == 50 {
            checker.clear_wait("wk-1");
        } else {
            checker.check_wait_despite_capacity(second * 1000, 0, "wk-1");
        }
    }
    assert!(checker.violations.is_empty(), "the wait was interrupted");
    for second in 91..=145 {
        checker.check_wait_despite_capacity(second * 1000, 60_000, "wk-1");
    }
    assert!(checker.violations.is_empty(), "the wait after the faults is within the limit");
    checker.check_wait_despite_capacity(151_001, 60_000, "wk-1");
    assert!(is_reported(&checker, Rule::LeftWaiting));
}
