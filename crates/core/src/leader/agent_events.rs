//! Log events about the commands that the leader sends to agents, and about tasks that agents report unexpectedly.

use crate::controller::Context;
use crate::event::{AgentEvent, AttemptOnMachine, Event, RefusedCall, StopReason};
use crate::leader::Leader;
use crate::model::{CallInFlight, Id, Machine, UnexpectedTask};
use shaleshunt_wire::worker::{ExitCause, Heartbeat, TaskCommand, TaskStatus, split_task_name};
use shaleshunt_wire::{Attempt, FencingToken};

impl Leader {
    /// Logs the commands that are sent to a machine under a fencing token.
    pub(super) fn log_commands(&mut self, ctx: &mut Context, machine: &Id, token: FencingToken, sent: &[TaskCommand]) {
        for command in sent {
            if let Some(event) = self.command_event(machine, token, command) {
                self.emit_agent_event(ctx, event);
            }
        }
    }

    /// Logs the tasks in a heartbeat that the leader has not placed on the machine, unless they were the same in the
    /// heartbeat before: `known`.
    pub(super) fn log_tasks_without_placement(
        &mut self,
        ctx: &mut Context,
        heartbeat: &Heartbeat,
        machine: &Id,
        known: &[UnexpectedTask],
    ) {
        let Some(m) = self.fleet.machines.get(machine) else { return };
        // An earlier leader may not have told the agent to forget the tasks that ended in its time.
        let is_leftover = |task: &UnexpectedTask| task.exit.is_some() && task.attempt.epoch() < self.epoch;
        let is_reportable = |task: &&UnexpectedTask| !is_leftover(task) && has_appeared(task, known);
        let appeared: Vec<UnexpectedTask> = m.agent.unexpected_tasks.iter().filter(is_reportable).cloned().collect();
        for task in appeared {
            let report = heartbeat.tasks.iter().find(|r| r.attempt == task.attempt && r.task == task.task);
            let status = report.map_or(TaskStatus::Unknown, |report| report.status);
            let attempt = attempt_on(machine, heartbeat.token, task.task, task.attempt);
            self.emit_agent_event(ctx, AgentEvent::TaskWithoutPlacement(attempt, status));
        }
    }

    /// Logs that an agent refused the commands of a direct call.
    pub(super) fn log_refused_call(&mut self, ctx: &mut Context, call: &CallInFlight, heartbeat: &Heartbeat) {
        let refused = RefusedCall {
            machine: heartbeat.machine.as_str().into(),
            token: call.token,
            seen_token: heartbeat.token,
            agent_epoch: call.agent_epoch,
            current_epoch: heartbeat.agent_epoch,
        };
        self.emit_agent_event(ctx, AgentEvent::CommandsRefused(refused));
    }

    /// Logs how many events were left out since the last call, if any.
    pub(super) fn log_suppressed_events(&mut self, ctx: &mut Context) {
        let events = self.fleet.events.take_suppressed();
        if events > 0 {
            ctx.emit(Event::Agent(Box::new(AgentEvent::TaskEventsSuppressed { events })));
        }
    }

    /// Emits an event about a single task or call. Those at the level of production are limited in number.
    fn emit_agent_event(&mut self, ctx: &mut Context, event: AgentEvent) {
        let is_limited = !matches!(event, AgentEvent::TaskCommandSent(..));
        if !is_limited || self.fleet.events.take(ctx.now.monotonic_ms) {
            ctx.emit(Event::Agent(Box::new(event)));
        }
    }

    fn command_event(&self, machine: &Id, token: FencingToken, command: &TaskCommand) -> Option<AgentEvent> {
        let m = self.fleet.machines.get(machine)?;
        Some(match command {
            TaskCommand::Run { task, attempt } => {
                let started = attempt_on(machine, token, task.clone(), *attempt);
                match self.was_placed_before(task) {
                    true => AgentEvent::TaskStartRepeated(started),
                    false => AgentEvent::TaskCommandSent(started, "start"),
                }
            }
            TaskCommand::Stop { task, attempt, .. } => {
                let reason = self.stop_reason(m, task, *attempt);
                AgentEvent::TaskStopSent(attempt_on(machine, token, task.clone(), *attempt), reason)
            }
            TaskCommand::Forget { task, attempt } => {
                let ended = attempt_on(machine, token, task.clone(), *attempt);
                match exit_cause(m, task, *attempt) {
                    ExitCause::Done => AgentEvent::TaskCommandSent(ended, "forget"),
                    cause => AgentEvent::TaskForgetSent(ended, cause),
                }
            }
        })
    }

    fn was_placed_before(&self, task: &str) -> bool {
        let Some((job, number)) = split_task_name(task) else { return false };
        self.jobs.get(job).is_some_and(|job| job.tasks.was_released(number))
    }

    fn stop_reason(&self, machine: &Machine, task: &str, attempt: Attempt) -> StopReason {
        let job = split_task_name(task).and_then(|(job, _)| self.jobs.get(job));
        if !machine.placements.iter().any(|placement| placement.attempt == attempt) {
            StopReason::WithoutPlacement
        } else if job.is_none_or(|job| job.cancelled) {
            StopReason::JobCancelled
        } else if machine.lifecycle.preemption_at_ms.is_some() {
            StopReason::Interruption
        } else {
            StopReason::Preempted
        }
    }
}

/// Whether a task without placement is not among those of the heartbeat before, or had ended then in another way: the
/// agent was told to forget it meanwhile, and has started it again.
fn has_appeared(task: &UnexpectedTask, known: &[UnexpectedTask]) -> bool {
    let is_same = |other: &UnexpectedTask| {
        let same_attempt = other.attempt == task.attempt && other.task == task.task;
        same_attempt && (other.exit.is_none() || other.exit == task.exit)
    };
    !known.iter().any(is_same)
}

fn attempt_on(machine: &Id, token: FencingToken, task: String, attempt: Attempt) -> AttemptOnMachine {
    AttemptOnMachine { task, attempt, machine: machine.clone(), token }
}

/// Cause of the end of a task that the machine is told to forget.
fn exit_cause(machine: &Machine, task: &str, attempt: Attempt) -> ExitCause {
    let mut ended = machine.agent.unexpected_tasks.iter();
    let found = ended.find(|ended| ended.attempt == attempt && ended.task == task);
    found.and_then(|ended| ended.exit).unwrap_or(ExitCause::Unknown)
}

#[cfg(test)]
mod tests;
