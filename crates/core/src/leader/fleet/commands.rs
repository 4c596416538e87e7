//! The commands that a machine currently needs. Commands are idempotent, so they are derived anew each time.

use crate::model::{Machine, Placement, PlacementState, UnexpectedTask};
use shaleshunt_wire::worker::{TaskCommand, split_task_name};

/// Maximum number of commands in one message, to bound its size.
const MAX_COMMANDS_PER_MESSAGE: usize = 300;

/// Channel by which commands reach a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CommandChannel {
    /// In the reply to a heartbeat, which has shown which earlier commands did not arrive.
    HeartbeatReply,
    /// By a direct call. No command is repeated on this channel, because a heartbeat shows which were lost.
    DirectCall,
}

/// Commands for a machine.
#[derive(Debug, Default, PartialEq)]
pub(crate) struct MachineCommands {
    /// Commands to send.
    pub commands: Vec<TaskCommand>,
    /// Placements with a start command, by their number.
    pub starts: Vec<u64>,
}

/// The commands that a machine currently needs. `outcome_pending` tells whether the outcome of a job's task still waits
/// for its commit.
pub(crate) fn commands_for(
    machine: &Machine,
    channel: CommandChannel,
    outcome_pending: impl Fn(&str, u32) -> bool,
) -> MachineCommands {
    let mut stops = Vec::new();
    let mut others = Vec::new();
    let mut starts = Vec::new();
    for placement in &machine.placements {
        match placement_command(placement, channel) {
            Some(command @ TaskCommand::Stop { .. }) => stops.push(command),
            Some(command) => {
                starts.push(placement.placement_id);
                others.push(command);
            }
            None => {}
        }
    }
    for task in &machine.agent.unexpected_tasks {
        match unexpected_task_command(machine, task, channel, &outcome_pending) {
            Some(command @ TaskCommand::Stop { .. }) => stops.push(command),
            Some(command) => others.push(command),
            None => {}
        }
    }
    // Stops come first, because the starts may need the resources that they free.
    let mut commands = stops;
    commands.extend(others);
    commands.truncate(MAX_COMMANDS_PER_MESSAGE);
    MachineCommands { commands, starts }
}

/// The command that a placement needs, if any: a start or a stop.
fn placement_command(placement: &Placement, channel: CommandChannel) -> Option<TaskCommand> {
    let task = || format!("{}/{}", placement.job, placement.task);
    let attempt = placement.attempt;
    let stop = |grace_period_s| Some(TaskCommand::Stop { task: task(), attempt, grace_period_s });
    match (placement.state, placement.stop_grace_s) {
        (PlacementState::Fetching | PlacementState::Running, Some(grace_period_s)) => stop(grace_period_s),
        // The task saves a checkpoint already; only a stop without a grace period changes anything.
        (PlacementState::Checkpointing, Some(0.0)) => stop(0.0),
        // No heartbeat has shown the task yet. If its start command arrives, the stop after it ends the task.
        (PlacementState::Committed, Some(_)) => stop(0.0),
        (PlacementState::Committed, None) if !placement.start_sent || channel == CommandChannel::HeartbeatReply => {
            Some(TaskCommand::Run { task: task(), attempt })
        }
        _ => None,
    }
}

/// The command for a task without a placement: a stop, or a forget once the task has ended.
fn unexpected_task_command(
    machine: &Machine,
    unexpected: &UnexpectedTask,
    channel: CommandChannel,
    outcome_pending: impl Fn(&str, u32) -> bool,
) -> Option<TaskCommand> {
    let (task, attempt) = (unexpected.task.clone(), unexpected.attempt);
    if unexpected.exit.is_none() {
        return machine.agent.token_confirmed.then_some(TaskCommand::Stop { task, attempt, grace_period_s: 0.0 });
    }
    // A task may be forgotten only in the reply to a heartbeat and without a direct call in flight. Then no `run` of
    // that attempt can still arrive, because earlier replies have been processed or dropped.
    let no_start_in_flight = channel == CommandChannel::HeartbeatReply && machine.call.is_idle();
    let pending = || split_task_name(&task).is_some_and(|(job, number)| outcome_pending(job, number));
    (no_start_in_flight && !pending()).then(|| TaskCommand::Forget { task: task.clone(), attempt })
}

#[cfg(test)]
mod tests;
