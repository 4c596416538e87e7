use super::*;
use crate::model::samples::{AGENT_EPOCH, attempt, placement};

const PROOF: HeartbeatEvidence<'_> = HeartbeatEvidence {
    agent_epoch: AGENT_EPOCH,
    token_is_current: true,
    token_is_latest: true,
    commands_in_flight: false,
    direct_starts: &[],
};
const OLD_TOKEN: HeartbeatEvidence<'_> = HeartbeatEvidence { token_is_current: false, ..PROOF };
const COMMANDS_IN_FLIGHT: HeartbeatEvidence<'_> = HeartbeatEvidence { commands_in_flight: true, ..PROOF };

fn report(task: &str, number: u64, status: TaskStatus, cause: Option<ExitCause>) -> TaskReport {
    TaskReport { task: task.into(), attempt: attempt(number), status, cause, checkpointed: None }
}

fn reported(status: TaskStatus) -> Vec<TaskReport> {
    vec![report("wk-1/3", 9, status, None)]
}

fn finding_for(placement: Placement, tasks: &[TaskReport], evidence: HeartbeatEvidence<'_>) -> Finding {
    reconcile(&[placement], tasks, evidence).findings[0]
}

#[test]
fn a_missing_placement_is_gone_only_if_no_command_can_still_start_it() {
    use PlacementState::{Checkpointing, Committed, Fetching, Planned, Running};
    let stopping = |stage| Placement { stop_grace_s: Some(0.0), ..placement(stage) };
    let unsent = Placement { start_sent: false, ..placement(Committed) };
    let cases = [
        ("planned, so nothing was sent", placement(Planned), Finding::NoChange),
        ("planned and to stop", stopping(Planned), Finding::NoChange),
        ("committed, start command lost", placement(Committed), Finding::StartLost),
        ("committed, start command not sent yet", unsent, Finding::NoChange),
        ("committed and to stop", stopping(Committed), Finding::Absent),
        ("fetched its image", placement(Fetching), Finding::Absent),
        ("ran", placement(Running), Finding::Absent),
        ("saved a checkpoint", placement(Checkpointing), Finding::Absent),
        ("ran and was to stop", stopping(Running), Finding::Absent),
    ];
    for (name, placement, expected) in cases {
        assert_eq!(finding_for(placement.clone(), &[], PROOF), expected, "{name}");
        assert_eq!(finding_for(placement.clone(), &[], OLD_TOKEN), Finding::NoChange, "{name}, old token");
        assert_eq!(finding_for(placement, &[], COMMANDS_IN_FLIGHT), Finding::NoChange, "{name}, commands in flight");
    }
}

#[test]
fn only_the_current_token_proves_that_a_task_ended() {
    let done = [report("wk-1/3", 9, TaskStatus::Exited, Some(ExitCause::Done))];
    let cases = [
        ("under the current token", PROOF, Finding::Ended(ExitCause::Done)),
        ("also while commands are in flight", COMMANDS_IN_FLIGHT, Finding::Ended(ExitCause::Done)),
        ("under an older token", OLD_TOKEN, Finding::EndedUnproven),
    ];
    for (name, evidence, expected) in cases {
        assert_eq!(finding_for(placement(PlacementState::Running), &done, evidence), expected, "{name}");
    }
    let without_cause = reported(TaskStatus::Exited);
    let finding = finding_for(placement(PlacementState::Running), &without_cause, PROOF);
    assert_eq!(finding, Finding::Ended(ExitCause::Unknown));
}

#[test]
fn a_newer_agent_epoch_proves_that_earlier_placements_are_gone() {
    let of_earlier = |stage| Placement { agent_epoch: AgentEpoch(4), ..placement(stage) };
    for stage in [PlacementState::Planned, PlacementState::Committed, PlacementState::Running] {
        for evidence in [PROOF, OLD_TOKEN, COMMANDS_IN_FLIGHT] {
            assert_eq!(finding_for(of_earlier(stage), &[], evidence), Finding::EarlierAgentEpoch, "{stage:?}");
        }
    }
    // The reported task of the same name belongs to a different placement.
    let result = reconcile(&[of_earlier(PlacementState::Running)], &reported(TaskStatus::Running), PROOF);
    assert_eq!(result.findings, [Finding::EarlierAgentEpoch]);
    assert_eq!(result.unexpected.len(), 1);
    assert!(!result.start_acknowledged);
}

#[test]
fn a_reported_state_is_accepted_under_any_token() {
    let cases = [
        (TaskStatus::Fetching, PlacementState::Fetching),
        (TaskStatus::WaitingForGang, PlacementState::Fetching),
        (TaskStatus::Running, PlacementState::Running),
        (TaskStatus::Checkpointing, PlacementState::Checkpointing),
        (TaskStatus::Unknown, PlacementState::Running),
    ];
    for (status, expected) in cases {
        for evidence in [PROOF, OLD_TOKEN, COMMANDS_IN_FLIGHT] {
            let finding = finding_for(placement(PlacementState::Committed), &reported(status), evidence);
            assert_eq!(finding, Finding::Present(expected), "{status:?}");
        }
    }
}

#[test]
fn a_start_command_is_acknowledged_by_its_task_in_any_state() {
    let cases = [
        (PlacementState::Committed, reported(TaskStatus::Fetching), true),
        (PlacementState::Committed, reported(TaskStatus::Exited), true),
        (PlacementState::Committed, Vec::new(), false),
        (PlacementState::Running, reported(TaskStatus::Running), false),
    ];
    for (stage, tasks, expected) in cases {
        for evidence in [PROOF, OLD_TOKEN] {
            let result = reconcile(&[placement(stage)], &tasks, evidence);
            assert_eq!(result.start_acknowledged, expected, "{stage:?} {tasks:?}");
        }
    }
}

#[test]
fn tasks_without_a_placement_are_unexpected() {
    let tasks = [
        report("wk-1/3", 9, TaskStatus::Running, None),
        report("wk-1/3", 8, TaskStatus::Exited, Some(ExitCause::Stopped)),
        report("wk-0/3", 9, TaskStatus::Running, None),
        report("no task's name", 1, TaskStatus::Exited, None),
    ];
    let result = reconcile(&[placement(PlacementState::Running)], &tasks, PROOF);
    assert_eq!(result.findings, [Finding::Present(PlacementState::Running)]);
    let unexpected = |task: &str, number, exit| UnexpectedTask { task: task.into(), attempt: attempt(number), exit };
    assert_eq!(
        result.unexpected,
        [
            unexpected("no task's name", 1, Some(ExitCause::Unknown)),
            unexpected("wk-0/3", 9, None),
            unexpected("wk-1/3", 8, Some(ExitCause::Stopped)),
        ]
    );
}

#[test]
fn findings_are_in_the_order_of_the_placements() {
    let second = Placement { task: 1, placement_id: 2, ..placement(PlacementState::Running) };
    let placements = [placement(PlacementState::Running), second];
    let tasks = [report("wk-1/1", 9, TaskStatus::Checkpointing, None)];
    let result = reconcile(&placements, &tasks, PROOF);
    assert_eq!(result.findings, [Finding::Absent, Finding::Present(PlacementState::Checkpointing)]);
}

#[test]
fn a_missing_placement_is_not_gone_while_a_copy_of_its_direct_call_would_start_it() {
    let started = [attempt(9)];
    let unfenced = HeartbeatEvidence { direct_starts: &started, ..PROOF };
    let former_token = HeartbeatEvidence { token_is_latest: false, ..PROOF };
    let stopping = Placement { stop_grace_s: Some(0.0), ..placement(PlacementState::Committed) };
    for missing in [stopping, placement(PlacementState::Fetching), placement(PlacementState::Running)] {
        assert_eq!(finding_for(missing.clone(), &[], unfenced), Finding::Unfenced);
        assert_eq!(finding_for(missing.clone(), &[], former_token), Finding::NoChange);
        assert_eq!(finding_for(missing, &[], PROOF), Finding::Absent);
    }
}

#[test]
fn an_ended_task_is_proven_ended_under_the_former_token_too() {
    let ended = [report("wk-1/3", 9, TaskStatus::Exited, Some(ExitCause::Done))];
    let former_token = HeartbeatEvidence { token_is_latest: false, direct_starts: &[], ..PROOF };
    assert_eq!(finding_for(placement(PlacementState::Running), &ended, former_token), Finding::Ended(ExitCause::Done));
}
