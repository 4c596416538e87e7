//! Tests that a leader which confirms a cancellation itself stops the job's tasks at once. It must not wait for its
//! watch to report the cancellation, because the key-value store may refuse the watch at that moment.

mod common;

use common::leader::{Leader, StoreResponse, submission};
use shaleshunt_core::KvRequest;
use shaleshunt_core::io::{Answer, Command};
use shaleshunt_wire::user::JobStatus;

/// Maximum number of reads of a record in a second by a leader that repeats them after a delay.
const MAX_READS_PER_S: usize = 10;

/// A leader whose machine runs both tasks of job `wk-1`.
fn leader_with_running_job() -> Leader {
    let mut leader = Leader::new(|_| StoreResponse::Serve);
    leader.pass_time(1000);
    assert!(leader.site.controller.is_active_leader());
    leader.send_heartbeat();
    leader.send_heartbeat();
    leader.pass_time(1000);
    leader.send(|id| Command::Submit(id, Box::new(submission())));
    leader.pass_time(1000);
    assert_eq!((leader.tasks.len(), leader.stop_commands()), (2, 0), "both tasks run: {:?}", leader.commands);
    leader
}

#[test]
fn confirmed_cancellation_stops_tasks_without_watch_reply() {
    let mut leader = leader_with_running_job();
    leader.respond = Box::new(|request| match request {
        KvRequest::Watch { .. } => StoreResponse::Hold,
        _ => StoreResponse::Serve,
    });
    leader.pass_time(1000);
    let id = leader.send(|id| Command::Cancel(id, "wk-1".into()));
    let is_confirmed =
        matches!(leader.answers.get(&id), Some(Answer::Job(200, view)) if view.status == JobStatus::Cancelled);
    assert!(is_confirmed, "{:?}", leader.answers.get(&id));
    assert_eq!(leader.stop_commands(), 2, "{:?}", leader.commands);
}

/// Guards against requests without a pause to a store that refuses the read of a record.
#[test]
fn refused_read_of_a_cancelled_jobs_record_is_repeated_after_a_delay() {
    let mut leader = leader_with_running_job();
    let mut is_cancelled = false;
    leader.respond = Box::new(move |request| match request {
        KvRequest::Watch { .. } => StoreResponse::Hold,
        KvRequest::Transaction(_) => {
            is_cancelled = true;
            StoreResponse::Serve
        }
        KvRequest::Get { key } if is_cancelled && key == "j/wk-1" => StoreResponse::Refuse,
        _ => StoreResponse::Serve,
    });
    leader.pass_time(1000);
    leader.send(|id| Command::Cancel(id, "wk-1".into()));
    leader.pass_time(1000);
    assert!((2..=MAX_READS_PER_S).contains(&leader.refused), "{} reads", leader.refused);
    leader.release_held();
    leader.pass_time(1000);
    leader.send_heartbeat();
    leader.pass_time(1000);
    assert_eq!(leader.site.stored("j/"), Vec::<String>::new(), "the job's end is written");
    assert_eq!(leader.site.stored("f/"), ["f/wk-1"]);
}
