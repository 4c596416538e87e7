//! Which commands a machine needs now. Each can be repeated, so they are worked out anew every time.

use crate::model::{Machine, Placement, PlacementState, UnexpectedTask};
use shaleshunt_wire::worker::{TaskCommand, split_task_name};

/// Most commands in one message, so that no line grows too long.
const MOST_COMMANDS: usize = 300;

/// How commands get to a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CommandChannel {
    /// With the reply to a heartbeat, which has shown what of earlier commands did not arrive.
    HeartbeatReply,
    /// By a direct call. It repeats nothing: what was lost shows in a heartbeat.
    DirectCall,
}

/// Commands for a machine.
#[derive(Debug, Default, PartialEq)]
pub(crate) struct MachineCommands {
    /// Those to send.
    pub commands: Vec<TaskCommand>,
    /// Placements that are started, by number.
    pub starts: Vec<u64>,
}

/// The commands that a machine needs. `outcome_pending` tells of a job's task whether its outcome
/// still waits to be committed.
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
    // Stops come first: what they free may be needed by what is started.
    let mut commands = stops;
    commands.extend(others);
    commands.truncate(MOST_COMMANDS);
    MachineCommands { commands, starts }
}

/// The command that a placement needs: a start, a stop or none.
fn placement_command(placement: &Placement, channel: CommandChannel) -> Option<TaskCommand> {
    let task = || format!("{}/{}", placement.job, placement.task);
    let attempt = placement.attempt;
    let stop = |grace_period_s| Some(TaskCommand::Stop { task: task(), attempt, grace_period_s });
    match (placement.state, placement.stop_grace_s) {
        (PlacementState::Fetching | PlacementState::Running, Some(grace_period_s)) => stop(grace_period_s),
        // It saves already; only a stop at once says more.
        (PlacementState::Checkpointing, Some(0.0)) => stop(0.0),
        // Not seen yet: if the command to start it arrives, the stop behind it ends it.
        (PlacementState::Committed, Some(_)) => stop(0.0),
        (PlacementState::Committed, None) if !placement.start_sent || channel == CommandChannel::HeartbeatReply => {
            Some(TaskCommand::Run { task: task(), attempt })
        }
        _ => None,
    }
}

/// The command for a task that has no placement: a stop, or once it has ended to forget it.
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
    // Only with the reply to a heartbeat and no direct call under way: then no `run` of that attempt
    // can still arrive, since earlier replies have been taken or dropped.
    let no_start_under_way = channel == CommandChannel::HeartbeatReply && machine.call.is_idle();
    let pending = || split_task_name(&task).is_some_and(|(job, number)| outcome_pending(job, number));
    (no_start_under_way && !pending()).then(|| TaskCommand::Forget { task: task.clone(), attempt })
}

#[cfg(test)]
mod tests;
