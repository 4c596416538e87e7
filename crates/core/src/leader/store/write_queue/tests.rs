use super::*;
use crate::records::JobRecord;
use shaleshunt_wire::Revision;

fn job(id: &str, accepted_at_ms: u64) -> Job {
    let submission = format!(
        r#"{{"ref":"{id}","crew":"t","jobline":"work","shape":"array","urgency":"normal","pieces":3,"cores":4.0,"cards":0.0,"ramGb":4.0,"bundle":"img","imageGb":0.5,"expectS":9.0,"markEveryS":0.0,"markTakesS":0.0,"borrowed":true,"scatter":false,"oneZone":false}}"#
    );
    Job::new(JobRecord::new(serde_json::from_str(&submission).unwrap(), accepted_at_ms), Revision::ABSENT)
}

#[test]
fn placements_are_urgent_and_outcomes_are_deferred() {
    let mut queue = WriteQueue::default();
    let (mut placed, mut done) = (job("wk-1", 1), job("wk-2", 2));
    queue.record_task_change(5, &mut done, 0, WriteUrgency::Deferred);
    assert!(!queue.has_urgent_work() && !queue.is_empty());
    queue.record_task_change(6, &mut placed, 0, WriteUrgency::Immediate);
    assert!(queue.has_urgent_work() && placed.writes.urgent && !done.writes.urgent);
    assert_eq!(
        (queue.urgent_count(), queue.deferred_count()),
        (1, 2),
        "the job with a placement is among the deferred ones too"
    );
    let first = queue.first_deferred().unwrap();
    assert_eq!((&*first.job, first.since_ms), ("wk-2", 5));
    queue.remove_deferred(&first);
    assert_eq!(&*queue.first_deferred().unwrap().job, "wk-1");
}

#[test]
fn a_later_change_of_a_task_has_a_higher_number() {
    let mut queue = WriteQueue::default();
    let mut job = job("wk-1", 1);
    queue.record_task_change(5, &mut job, 0, WriteUrgency::Deferred);
    let first = job.writes.tasks[&0];
    queue.record_task_change(9, &mut job, 0, WriteUrgency::Deferred);
    assert!(job.writes.tasks[&0] > first);
    assert_eq!(
        (queue.deferred_count(), queue.first_deferred().unwrap().since_ms),
        (1, 5),
        "the job waits since its first change"
    );
}

#[test]
fn urgent_jobs_are_ordered_by_priority_and_acceptance_time() {
    let mut queue = WriteQueue::default();
    let mut jobs = [job("wk-3", 3), job("wk-1", 1), job("wk-2", 2)];
    jobs[0].scheduling.priority = Priority::High;
    for job in &mut jobs {
        queue.record_task_change(5, job, 0, WriteUrgency::Immediate);
    }
    let order: Vec<String> = queue.first_urgent(9).iter().map(|urgent| urgent.job.to_string()).collect();
    assert_eq!(order, ["wk-3", "wk-1", "wk-2"]);
    assert_eq!(queue.first_urgent(2).len(), 2);
}

#[test]
fn the_end_of_a_job_cancelled_by_dependency_is_written_last() {
    let mut queue = WriteQueue::default();
    let (mut with_another, mut by_user) = (job("wk-1", 1), job("wk-2", 2));
    (with_another.cancelled, by_user.cancelled) = (true, true);
    by_user.record.has_cancellation_key = true;
    queue.queue(5, &mut with_another);
    queue.queue(9, &mut by_user);
    assert_eq!((queue.job_end_count(), queue.urgent_count()), (2, 0));
    let first = queue.first_job_end().unwrap();
    assert_eq!(&*first.job, "wk-2");
    queue.remove_job_end(&first);
    queue.queue(20, &mut with_another);
    assert_eq!(queue.job_end_count(), 1, "a job that is queued again keeps its place");
}
