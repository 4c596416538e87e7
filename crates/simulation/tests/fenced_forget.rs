//! A machine is told to forget an attempt only under a token that fences off the direct call that started it.

mod common;

use common::leader::{Leader, StoreResponse, submission};
use shaleshunt_core::io::Command;
use shaleshunt_wire::worker::{ExitCause, TaskCommand, TaskStatus};

/// A leader whose machine runs both tasks of job `wk-1`, started by a direct call.
fn leader_with_running_job() -> Leader {
    let mut leader = Leader::new(|_| StoreResponse::Serve);
    leader.pass_time(1000);
    leader.send_heartbeat();
    leader.send_heartbeat();
    leader.pass_time(1000);
    leader.send(|id| Command::Submit(id, Box::new(submission())));
    leader.pass_time(1000);
    assert_eq!(leader.tasks.len(), 2, "{:?}", leader.commands);
    leader
}

#[test]
fn attempt_that_failed_or_was_refused_is_forgotten_under_a_higher_token_than_its_start() {
    for cause in [ExitCause::Error, ExitCause::InsufficientResources, ExitCause::AttemptConflict, ExitCause::Done] {
        let mut leader = leader_with_running_job();
        let token_of_start = leader.seen_token();
        let attempt = leader.tasks[0].attempt;
        for task in &mut leader.tasks {
            task.status = TaskStatus::Exited;
            task.cause = Some(cause);
        }
        leader.send_heartbeat();
        leader.pass_time(2000);
        leader.send_heartbeat();
        let is_forget =
            |command: &&TaskCommand| matches!(command, TaskCommand::Forget { attempt: of, .. } if *of == attempt);
        assert_eq!(leader.commands.iter().filter(is_forget).count(), 2, "{cause:?}: {:?}", leader.commands);
        assert!(leader.seen_token() > token_of_start, "{cause:?}");
    }
}
