use super::*;

#[test]
fn each_quarantine_doubles_up_to_eight_times_until_a_task_succeeds() {
    let mut health = MachineHealth::default();
    let pauses: Vec<f64> = (0..5).map(|_| health.quarantine(0, 100.0)).collect();
    assert_eq!(pauses, [100.0, 200.0, 400.0, 800.0, 800.0]);
    assert!(health.is_quarantined(799) && !health.is_quarantined(800));
    health.record_task_failure(50);
    health.record_task_success(50);
    assert_eq!(health.quarantine_count, 5);
    health.record_task_success(51);
    assert_eq!(health.quarantine_count, 0);
}

#[test]
fn failures_count_against_a_machine_until_they_are_cleared_or_a_task_succeeds() {
    let (a, b) = (Id::from("a"), Id::from("b"));
    let mut health = MachineHealth::default();
    for job in [&a, &b, &a] {
        health.record_job_failure(job.clone());
    }
    assert_eq!(health.failed_job_count(), 2);
    health.clear_job_failures(&a);
    assert!(!health.has_job_failure(&a) && health.has_job_failure(&b));
    health.record_task_success(1);
    assert_eq!(health.failed_job_count(), 0);
}

#[test]
fn a_pause_never_shortens_a_quarantine() {
    let mut health = MachineHealth::default();
    health.quarantine(0, 100.0);
    health.pause_until(50);
    assert_eq!(health.quarantined_until_ms, 100);
    health.pause_until(150);
    assert_eq!((health.quarantined_until_ms, health.quarantine_count), (150, 1));
}

#[test]
fn a_machine_can_be_marked_slow_again_after_the_slow_time_ended() {
    let mut health = MachineHealth::default();
    assert!(health.mark_slow(10, 20));
    assert!(!health.mark_slow(19, 29));
    assert!(health.mark_slow(29, 39));
    assert_eq!(health.slow_until_ms, 39);
}
