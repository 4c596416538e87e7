//! Events about the commands that a leader sends to agents, and about tasks that agents report unexpectedly.

use super::{EventValue, Severity};
use crate::model::Id;
use shaleshunt_wire::worker::{ExitCause, TaskStatus};
use shaleshunt_wire::{AgentEpoch, Attempt, FencingToken};
use std::fmt;

/// One attempt at a task on a machine, with the fencing token of a message about it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptOnMachine {
    /// Name of the task.
    pub task: String,
    /// Number of the attempt.
    pub attempt: Attempt,
    /// Name of the machine.
    pub machine: Id,
    /// Fencing token of the command, or the one that the machine has seen.
    pub token: FencingToken,
}

/// Why a leader commands an agent to stop a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReason {
    /// The job was cancelled.
    JobCancelled,
    /// The cloud is about to reclaim the machine.
    Interruption,
    /// A job of higher priority gets the capacity, or the placement was superseded.
    Preempted,
    /// The leader has no placement of this attempt on the machine.
    WithoutPlacement,
}

impl StopReason {
    fn name(self) -> &'static str {
        match self {
            StopReason::JobCancelled => "job_cancelled",
            StopReason::Interruption => "interruption",
            StopReason::Preempted => "preempted",
            StopReason::WithoutPlacement => "without_placement",
        }
    }
}

/// A direct call whose commands an agent refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RefusedCall {
    /// Name of the machine.
    pub machine: Id,
    /// Fencing token of the call.
    pub token: FencingToken,
    /// Highest fencing token that the agent has seen.
    pub seen_token: FencingToken,
    /// Agent epoch that the call was for.
    pub agent_epoch: AgentEpoch,
    /// Current epoch of the agent.
    pub current_epoch: AgentEpoch,
}

/// An event about commands to agents or about tasks that they report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AgentEvent {
    /// A start command was sent for a task that had been placed before in this leadership.
    TaskStartRepeated(AttemptOnMachine),
    /// A stop command was sent.
    TaskStopSent(AttemptOnMachine, StopReason),
    /// The agent was told to forget an attempt that ended without success.
    TaskForgetSent(AttemptOnMachine, ExitCause),
    /// The first start of a task, or the command to forget a completed attempt, was sent.
    TaskCommandSent(AttemptOnMachine, &'static str),
    /// A machine reports an attempt that the leader has not placed there.
    TaskWithoutPlacement(AttemptOnMachine, TaskStatus),
    /// An agent refused the commands of a direct call.
    CommandsRefused(RefusedCall),
    /// Events of this kind were left out since the last of these lines, because there were too many.
    TaskEventsSuppressed {
        /// Number of events.
        events: u64,
    },
}

impl AgentEvent {
    pub(super) fn severity(&self) -> Severity {
        match self {
            AgentEvent::TaskCommandSent(..) => Severity::Debug,
            _ => Severity::Info,
        }
    }

    pub(super) fn name(&self) -> &'static str {
        match self {
            AgentEvent::TaskStartRepeated(_) => "task_start_repeated",
            AgentEvent::TaskStopSent(..) => "task_stop_sent",
            AgentEvent::TaskForgetSent(..) => "task_forget_sent",
            AgentEvent::TaskCommandSent(..) => "task_command_sent",
            AgentEvent::TaskWithoutPlacement(..) => "task_without_placement",
            AgentEvent::CommandsRefused(_) => "commands_refused",
            AgentEvent::TaskEventsSuppressed { .. } => "task_events_suppressed",
        }
    }

    pub(super) fn fields(&self) -> Vec<(&'static str, EventValue<'_>)> {
        match self {
            AgentEvent::TaskStartRepeated(attempt) => attempt.fields(),
            AgentEvent::TaskStopSent(attempt, reason) => attempt.fields_and("reason", reason.name()),
            AgentEvent::TaskForgetSent(attempt, cause) => attempt.fields_and("cause", DebugText(cause)),
            AgentEvent::TaskCommandSent(attempt, command) => attempt.fields_and("command", *command),
            AgentEvent::TaskWithoutPlacement(attempt, status) => attempt.fields_and("status", DebugText(status)),
            AgentEvent::CommandsRefused(call) => call.fields(),
            AgentEvent::TaskEventsSuppressed { events } => vec![("events", (*events).into())],
        }
    }
}

impl AttemptOnMachine {
    fn fields(&self) -> Vec<(&'static str, EventValue<'_>)> {
        vec![
            ("task", self.task.as_str().into()),
            ("attempt", self.attempt.0.into()),
            ("machine", (&*self.machine).into()),
            ("token", self.token.0.into()),
        ]
    }

    fn fields_and<'a>(
        &'a self,
        name: &'static str,
        value: impl Into<EventValue<'a>>,
    ) -> Vec<(&'static str, EventValue<'a>)> {
        let mut fields = self.fields();
        fields.push((name, value.into()));
        fields
    }
}

impl RefusedCall {
    fn fields(&self) -> Vec<(&'static str, EventValue<'_>)> {
        vec![
            ("machine", (&*self.machine).into()),
            ("token", self.token.0.into()),
            ("seen_token", self.seen_token.0.into()),
            ("agent_epoch", self.agent_epoch.0.into()),
            ("current_epoch", self.current_epoch.0.into()),
        ]
    }
}

/// A value that is logged in its `Debug` form, such as `InsufficientResources`.
struct DebugText<T>(T);

impl<T: fmt::Debug> From<DebugText<T>> for EventValue<'_> {
    fn from(value: DebugText<T>) -> Self {
        format!("{:?}", value.0).into()
    }
}
