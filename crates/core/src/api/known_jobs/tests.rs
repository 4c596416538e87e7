use super::*;

fn unfinished(version: u64) -> UnfinishedJob {
    UnfinishedJob { record_version: Revision(version), dependencies: vec!["wk-0".into()], confirmed_at: time(1) }
}

fn time(batch: u64) -> BatchTime {
    BatchTime { batch, at_ms: batch * 10 }
}

#[test]
fn oldest_job_is_evicted_first() {
    let mut known = KnownJobs::new(2);
    for job in ["wk-1", "wk-2", "wk-1", "wk-3"] {
        known.record_final(job, FinalState::Done { tasks: 1 });
    }
    // Recording a job again does not change its position.
    assert_eq!(known.final_state("wk-1"), None);
    assert!(known.final_state("wk-2").is_some() && known.final_state("wk-3").is_some());
}

#[test]
fn removed_job_keeps_its_position_in_the_eviction_order() {
    let mut known = KnownJobs::new(2);
    known.record_unfinished("wk-1", unfinished(1));
    known.forget_unfinished("wk-1");
    known.record_unfinished("wk-2", unfinished(2));
    known.record_unfinished("wk-3", unfinished(3));
    assert!(known.unfinished("wk-1").is_none());
    assert!(known.unfinished("wk-2").is_some() && known.unfinished("wk-3").is_some());
}

#[test]
fn final_state_takes_precedence_over_an_unfinished_state() {
    let mut known = KnownJobs::new(10);
    assert!(matches!(known.get("wk-1"), KnownJob::Unknown));
    known.record_unfinished("wk-1", unfinished(1));
    assert!(matches!(known.get("wk-1"), KnownJob::Unfinished(_)));
    known.record_final("wk-1", FinalState::Cancelled);
    assert!(matches!(known.get("wk-1"), KnownJob::Final(FinalState::Cancelled)));
}

#[test]
fn newly_cancelled_jobs_are_returned_once() {
    let mut known = KnownJobs::new(10);
    known.record_final("wk-1", FinalState::Done { tasks: 1 });
    known.record_final("wk-2", FinalState::Cancelled);
    assert_eq!(known.take_newly_cancelled(), ["wk-2"]);
    assert!(known.take_newly_cancelled().is_empty());
}

#[test]
fn confirmation_never_moves_back_in_time() {
    let mut known = KnownJobs::new(10);
    known.record_unfinished("wk-1", unfinished(1));
    for (sent, expected) in [(time(5), time(5)), (time(3), time(5)), (time(6), time(6))] {
        known.confirm_unfinished("wk-1", sent);
        assert_eq!(known.unfinished("wk-1").unwrap().confirmed_at, expected);
    }
}

#[test]
fn versions_shared_by_the_leader_replace_older_ones_and_clear_dependencies() {
    let mut known = KnownJobs::new(10);
    known.record_unfinished("wk-1", unfinished(5));
    known.learn_record_version("wk-1", Revision(3));
    known.learn_record_version("wk-2", Revision(4));
    let (old, new) = (known.unfinished("wk-1").unwrap(), known.unfinished("wk-2").unwrap());
    assert_eq!((old.record_version, old.confirmed_at), (Revision(5), time(1)));
    assert!(old.dependencies.is_empty());
    assert_eq!((new.record_version, new.confirmed_at), (Revision(4), BatchTime::default()));
}
