//! Compares a heartbeat with the placements on its machine. Nothing is changed here.
//!
//! Only the following proves that a placement is gone:
//! - a heartbeat under the current fencing token that shows the task ended;
//! - a heartbeat under the current token that lacks the task, while no command is in flight that could still start it,
//!   and no direct call under that token carried its start command, since a copy of that call may still arrive;
//! - a newer agent epoch;
//! - a return of the machine that the cloud has confirmed (see the autoscaler);
//! - no heartbeat for longer than a lease after the last time that any controller could have renewed it (see
//!   `lease_expiry`).

use crate::model::{Placement, PlacementState, UnexpectedTask};
use shaleshunt_wire::worker::{ExitCause, TaskReport, TaskStatus, split_task_name};
use shaleshunt_wire::{AgentEpoch, Attempt};

/// What a heartbeat can prove.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HeartbeatEvidence<'a> {
    /// Agent epoch that sent the heartbeat.
    pub agent_epoch: AgentEpoch,
    /// Whether the heartbeat shows the fencing token that proofs require.
    pub token_is_current: bool,
    /// Whether the heartbeat shows the fencing token of the commands that are sent now.
    pub token_is_latest: bool,
    /// Whether a command in flight may still start a task.
    pub commands_in_flight: bool,
    /// Attempts of which a direct call under the token of the commands that are sent now carried the start command.
    pub direct_starts: &'a [Attempt],
}

/// Finding about one placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Finding {
    /// The placement was for an earlier agent epoch, so it is gone.
    EarlierAgentEpoch,
    /// The task is on the machine, in this state.
    Present(PlacementState),
    /// The task has ended.
    Ended(ExitCause),
    /// The task is reported as ended, but the fencing token is not current, so that this proves nothing.
    EndedUnproven,
    /// The task is not on the machine and no command can still start it, so the placement is gone.
    Absent,
    /// The task is not on the machine, but a copy of the direct call that carried its start command may still arrive: the
    /// token has to be raised before the placement is gone.
    Unfenced,
    /// The start command was lost.
    StartLost,
    /// The heartbeat changes nothing.
    NoChange,
}

/// Result of comparing a heartbeat with its machine's placements.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Reconciliation {
    /// One finding per placement, in the order of the machine's placements.
    pub findings: Vec<Finding>,
    /// Reported tasks without a placement on the machine.
    pub unexpected: Vec<UnexpectedTask>,
    /// Whether the heartbeat shows a task whose start command had not been acknowledged yet.
    pub start_acknowledged: bool,
}

/// A reported task with the fields that identify its placement.
struct Reported<'a> {
    job: &'a str,
    task: u32,
    attempt: Attempt,
    report: &'a TaskReport,
    expected: bool,
}

impl Reported<'_> {
    fn key(&self) -> (&str, u32, Attempt) {
        (self.job, self.task, self.attempt)
    }
}

/// Compares a machine's placements with the tasks in a heartbeat.
pub(crate) fn reconcile(
    placements: &[Placement],
    tasks: &[TaskReport],
    evidence: HeartbeatEvidence<'_>,
) -> Reconciliation {
    let mut unexpected = Vec::new();
    let mut reported = Vec::with_capacity(tasks.len());
    for report in tasks {
        match split_task_name(&report.task) {
            Some((job, task)) => {
                reported.push(Reported { job, task, attempt: report.attempt, report, expected: false })
            }
            None => unexpected.push(unexpected_task(report)),
        }
    }
    reported.sort_unstable_by(|a, b| a.key().cmp(&b.key()));
    let mut findings = Vec::with_capacity(placements.len());
    let mut start_acknowledged = false;
    for placement in placements {
        if placement.agent_epoch < evidence.agent_epoch {
            findings.push(Finding::EarlierAgentEpoch);
            continue;
        }
        let key = (&*placement.job, placement.task, placement.attempt);
        let at = reported.binary_search_by(|entry| entry.key().cmp(&key)).ok();
        let report = at.and_then(|at| reported.get_mut(at)).map(|entry| {
            entry.expected = true;
            entry.report
        });
        start_acknowledged |= report.is_some() && placement.state == PlacementState::Committed;
        findings.push(finding(placement, report, evidence));
    }
    unexpected.extend(reported.iter().filter(|entry| !entry.expected).map(|entry| unexpected_task(entry.report)));
    Reconciliation { findings, unexpected, start_acknowledged }
}

/// The finding about a placement of the agent's current epoch, given the report of its task.
fn finding(placement: &Placement, report: Option<&TaskReport>, evidence: HeartbeatEvidence<'_>) -> Finding {
    let Some(report) = report else { return finding_for_missing(placement, evidence) };
    match report.status {
        TaskStatus::Exited if evidence.token_is_current => Finding::Ended(report.cause.unwrap_or(ExitCause::Unknown)),
        TaskStatus::Exited => Finding::EndedUnproven,
        TaskStatus::Fetching | TaskStatus::WaitingForGang => Finding::Present(PlacementState::Fetching),
        TaskStatus::Checkpointing => Finding::Present(PlacementState::Checkpointing),
        TaskStatus::Running | TaskStatus::Unknown => Finding::Present(PlacementState::Running),
    }
}

/// The finding about a placement that the heartbeat lacks.
fn finding_for_missing(placement: &Placement, evidence: HeartbeatEvidence<'_>) -> Finding {
    if !evidence.token_is_current || evidence.commands_in_flight {
        return Finding::NoChange;
    }
    match placement.state {
        PlacementState::Planned => Finding::NoChange,
        PlacementState::Committed if placement.stop_grace_s.is_some() => absent(placement, evidence),
        PlacementState::Committed if placement.start_sent => Finding::StartLost,
        PlacementState::Committed => Finding::NoChange,
        PlacementState::Fetching | PlacementState::Running | PlacementState::Checkpointing => {
            absent(placement, evidence)
        }
    }
}

/// The finding about a placement whose task is not on the machine and is not to be started any more.
fn absent(placement: &Placement, evidence: HeartbeatEvidence<'_>) -> Finding {
    if evidence.direct_starts.contains(&placement.attempt) {
        Finding::Unfenced
    } else if evidence.token_is_latest {
        Finding::Absent
    } else {
        Finding::NoChange
    }
}

fn unexpected_task(report: &TaskReport) -> UnexpectedTask {
    let exit = (report.status == TaskStatus::Exited).then_some(report.cause.unwrap_or(ExitCause::Unknown));
    UnexpectedTask { task: report.task.clone(), attempt: report.attempt, exit }
}

#[cfg(test)]
mod tests;
