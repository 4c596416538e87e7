//! Tests that a job which is accepted while a new leader reads the records is known to this leader and to the next
//! ones, and runs. Other controllers create records and parts of submissions at any time, also between the reads.

mod common;

use common::leader::{Leader, StoreResponse, submission};
use serde_json::{Value, json};
use shaleshunt_core::KvRequest;
use shaleshunt_wire::user::JobStatus;

/// Prefix of the parts of the submission of job `wk-1`, which another controller has written.
const PARTS_PREFIX: &str = "s/wk-1/n9-5-1/";
/// Time in which a leader writes the ends of the cancelled jobs and then removes unreferenced records, in ms.
const CLEANUP_MS: u64 = 10_000;
/// Number of cancelled jobs whose ends take all writes of a new leader for some seconds.
const CANCELLED_JOBS: u32 = 200;

/// The record of job `wk-1`, which refers to its parts.
fn record() -> Value {
    json!({"p": PARTS_PREFIX, "n": 2, "at": 1_700_000_000_000_u64, "x": false, "k": false})
}

/// Both parts of the submission of job `wk-1`.
fn parts() -> [(String, Value); 2] {
    let text = serde_json::to_string(&submission()).unwrap();
    let (first, second) = text.split_at(text.len() / 2);
    [(format!("{PARTS_PREFIX}0000"), json!(first)), (format!("{PARTS_PREFIX}0001"), json!(second))]
}

fn write_part(leader: &mut Leader, number: usize) {
    let (key, value) = parts()[number].clone();
    leader.site.put(&key, value);
}

/// Stores cancelled jobs, which have not ended.
fn write_cancelled_jobs(leader: &mut Leader) {
    for number in 0..CANCELLED_JOBS {
        let mut submission = submission();
        submission.id = format!("wk-9{number:03}");
        leader
            .site
            .put(&format!("j/{}", submission.id), json!({"s": submission, "at": 1_700_000_000_000_u64, "x": true}));
    }
}

/// A leader whose read of the first page with this prefix is held, and that has read all other records.
fn leader_without(prefix: &'static str, prepare: impl FnOnce(&mut Leader)) -> Leader {
    let mut leader = Leader::new(move |request| match request {
        KvRequest::Scan { prefix: scanned, .. } if scanned == prefix => StoreResponse::Hold,
        _ => StoreResponse::Serve,
    });
    prepare(&mut leader);
    leader.pass_time(1000);
    assert!(!leader.site.controller.is_active_leader());
    leader
}

fn run_heartbeats(leader: &mut Leader) {
    for _ in 0..3 {
        leader.send_heartbeat();
        leader.pass_time(1000);
    }
}

fn assert_job_runs(leader: &mut Leader) {
    run_heartbeats(leader);
    assert_eq!(leader.status(), Some(JobStatus::Running));
    assert_eq!(leader.tasks.len(), 2, "{:?}", leader.commands);
}

/// Restarts the controller twice, and checks that each leader knows the job.
fn assert_next_leaders_know_the_job(leader: &mut Leader) {
    for _ in 0..2 {
        leader.restart();
        leader.pass_time(CLEANUP_MS);
        assert!(leader.site.controller.is_active_leader());
        assert_job_runs(leader);
    }
}

/// Guards against the removal of the parts of an accepted job: they were taken to be unreferenced because the record
/// was created after the read of the records.
#[test]
fn job_accepted_after_the_read_of_the_records_is_known_to_all_later_leaders() {
    let mut leader = leader_without("s/", write_cancelled_jobs);
    write_part(&mut leader, 0);
    write_part(&mut leader, 1);
    leader.release_held();
    assert!(leader.site.controller.is_active_leader());
    leader.site.put("j/wk-1", record());
    leader.pass_time(CLEANUP_MS);
    assert_eq!(leader.site.stored("j/"), ["j/wk-1"], "the cancelled jobs have ended");
    assert_eq!(leader.site.stored("s/").len(), 2);
    assert_job_runs(&mut leader);
    assert_next_leaders_know_the_job(&mut leader);
}

/// Guards against a leader that ignores an accepted job: it took the parts that it had read before the others were
/// written for the whole submission.
#[test]
fn job_whose_parts_were_read_incompletely_before_its_record_runs() {
    let mut leader = leader_without("j/", |leader| write_part(leader, 0));
    write_part(&mut leader, 1);
    leader.site.put("j/wk-1", record());
    leader.release_held();
    leader.pass_time(CLEANUP_MS);
    assert!(leader.site.controller.is_active_leader());
    assert_job_runs(&mut leader);
    assert_next_leaders_know_the_job(&mut leader);
}

#[test]
fn parts_that_no_record_refers_to_are_removed() {
    let mut leader = leader_without("s/", |_| ());
    write_part(&mut leader, 0);
    write_part(&mut leader, 1);
    leader.release_held();
    leader.pass_time(CLEANUP_MS);
    assert_eq!(leader.site.stored("s/"), Vec::<String>::new());
}
