use super::*;

#[test]
fn a_machine_in_quarantine_is_left_alone_longer_each_time() {
    let mut health = MachineHealth::default();
    let pauses: Vec<f64> = (0..5).map(|_| health.quarantine(0, 100.0)).collect();
    assert_eq!(pauses, [100.0, 200.0, 400.0, 800.0, 800.0]);
    assert!(health.in_quarantine(799) && !health.in_quarantine(800));
    health.task_failed(50);
    health.task_succeeded(50);
    assert_eq!(health.quarantine_count, 5);
    health.task_succeeded(51);
    assert_eq!(health.quarantine_count, 0);
}

#[test]
fn failures_count_against_a_machine_until_they_are_forgiven_or_a_task_succeeds() {
    let (a, b) = (Id::from("a"), Id::from("b"));
    let mut health = MachineHealth::default();
    for job in [&a, &b, &a] {
        health.blame_for(job.clone());
    }
    assert_eq!(health.failed_job_count(), 2);
    health.forgive(&a);
    assert!(!health.is_blamed_for(&a) && health.is_blamed_for(&b));
    health.task_succeeded(1);
    assert_eq!(health.failed_job_count(), 0);
}

#[test]
fn a_pause_never_shortens_a_quarantine() {
    let mut health = MachineHealth::default();
    health.quarantine(0, 100.0);
    health.pause_until(50);
    assert_eq!(health.quarantined_until, 100);
    health.pause_until(150);
    assert_eq!((health.quarantined_until, health.quarantine_count), (150, 1));
}

#[test]
fn a_slow_machine_is_newly_slow_once_its_time_is_over() {
    let mut health = MachineHealth::default();
    assert!(health.mark_slow(10, 20));
    assert!(!health.mark_slow(19, 29));
    assert!(health.mark_slow(29, 39));
    assert_eq!(health.slow_until, 39);
}
