//! What a heartbeat tells of the placements on its machine. Nothing is changed here.
//!
//! What proves that a placement is gone, and nothing else does:
//! - a heartbeat that shows it ended, under the current fencing token;
//! - a heartbeat that lacks it, under the current token and with no command under way that could
//!   still start it;
//! - a newer agent epoch;
//! - a return of the machine that the cloud has confirmed (see the autoscaler);
//! - silence for longer than a lease since anybody could have renewed it (see `lease_expiry`).

use crate::model::{Placement, PlacementState, UnexpectedTask};
use shaleshunt_wire::worker::{ExitCause, TaskReport, TaskStatus, split_task_name};
use shaleshunt_wire::{AgentEpoch, Attempt};

/// What a heartbeat's claims are worth.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HeartbeatEvidence {
    /// The agent epoch that sent it.
    pub agent_epoch: AgentEpoch,
    /// It shows the fencing token that commands carry now.
    pub token_is_current: bool,
    /// A command that has left may still start a task.
    pub commands_in_flight: bool,
}

/// What a heartbeat tells of one placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Finding {
    /// It was for an earlier agent epoch: gone.
    EarlierAgentEpoch,
    /// It is on the machine.
    Present(PlacementState),
    /// It has ended.
    Ended(ExitCause),
    /// It is shown ended, by a heartbeat that proves nothing.
    EndedUnproven,
    /// It is not on the machine, nor can it come any more: gone.
    Absent,
    /// The command that was to start it has been lost.
    StartLost,
    /// Nothing new.
    NoChange,
}

/// What a heartbeat tells of its machine.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Reconciliation {
    /// Of each placement, in the order of the machine's placements.
    pub findings: Vec<Finding>,
    /// Tasks that have no placement there.
    pub unexpected: Vec<UnexpectedTask>,
    /// A task is shown of which no heartbeat had shown that its start command arrived.
    pub start_acknowledged: bool,
}

/// A reported task by what identifies a placement.
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

/// Compares a machine's placements with the tasks that a heartbeat reports.
pub(crate) fn reconcile(placements: &[Placement], tasks: &[TaskReport], evidence: HeartbeatEvidence) -> Reconciliation {
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
        let shown = at.and_then(|at| reported.get_mut(at)).map(|entry| {
            entry.expected = true;
            entry.report
        });
        start_acknowledged |= shown.is_some() && placement.state == PlacementState::Committed;
        findings.push(finding(placement, shown, evidence));
    }
    unexpected.extend(reported.iter().filter(|entry| !entry.expected).map(|entry| unexpected_task(entry.report)));
    Reconciliation { findings, unexpected, start_acknowledged }
}

/// What a heartbeat tells of a placement for its agent epoch, given its report of the task.
fn finding(placement: &Placement, shown: Option<&TaskReport>, evidence: HeartbeatEvidence) -> Finding {
    let Some(report) = shown else { return finding_of_missing(placement, evidence) };
    match report.status {
        TaskStatus::Exited if evidence.token_is_current => Finding::Ended(report.cause.unwrap_or(ExitCause::Unknown)),
        TaskStatus::Exited => Finding::EndedUnproven,
        TaskStatus::Fetching | TaskStatus::WaitingForGang => Finding::Present(PlacementState::Fetching),
        TaskStatus::Checkpointing => Finding::Present(PlacementState::Checkpointing),
        TaskStatus::Running | TaskStatus::Unknown => Finding::Present(PlacementState::Running),
    }
}

/// What it means that a heartbeat lacks a placement.
fn finding_of_missing(placement: &Placement, evidence: HeartbeatEvidence) -> Finding {
    if !evidence.token_is_current || evidence.commands_in_flight {
        return Finding::NoChange;
    }
    match placement.state {
        PlacementState::Planned => Finding::NoChange,
        PlacementState::Committed if placement.stop_grace_s.is_some() => Finding::Absent,
        PlacementState::Committed if placement.start_sent => Finding::StartLost,
        PlacementState::Committed => Finding::NoChange,
        PlacementState::Fetching | PlacementState::Running | PlacementState::Checkpointing => Finding::Absent,
    }
}

fn unexpected_task(report: &TaskReport) -> UnexpectedTask {
    let exit = (report.status == TaskStatus::Exited).then_some(report.cause.unwrap_or(ExitCause::Unknown));
    UnexpectedTask { task: report.task.clone(), attempt: report.attempt, exit }
}

#[cfg(test)]
mod tests;
