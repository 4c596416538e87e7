use super::*;
use crate::model::{CallInFlight, CallPurpose, samples};
use shaleshunt_wire::worker::ExitCause;
use shaleshunt_wire::{AgentEpoch, Attempt, FencingToken};

fn attempt() -> Attempt {
    samples::attempt(9)
}

fn placement(state: PlacementState, start_sent: bool, stop_grace_s: Option<f64>) -> Placement {
    Placement { start_sent, stop_grace_s, ..samples::placement(state) }
}

fn machine() -> Machine {
    samples::machine("vm-1")
}

fn machine_with_unexpected(exit: Option<ExitCause>) -> Machine {
    let mut machine = machine();
    machine.agent.token_confirmed = true;
    machine.agent.unexpected_tasks.push(UnexpectedTask { task: "wk-2/5".into(), attempt: attempt(), exit });
    machine
}

fn run() -> Option<TaskCommand> {
    Some(TaskCommand::Run { task: "wk-1/3".into(), attempt: attempt() })
}

fn stop(grace_period_s: f64) -> Option<TaskCommand> {
    Some(TaskCommand::Stop { task: "wk-1/3".into(), attempt: attempt(), grace_period_s })
}

#[test]
fn a_placement_gets_the_command_that_its_state_needs() {
    use CommandChannel::{DirectCall, HeartbeatReply};
    use PlacementState::{Checkpointing, Committed, Fetching, Planned, Running};
    let cases = [
        ("planned", placement(Planned, false, None), None, None),
        ("planned, to stop", placement(Planned, false, Some(0.0)), None, None),
        ("committed", placement(Committed, false, None), run(), run()),
        ("committed and sent", placement(Committed, true, None), run(), None),
        ("committed, to stop", placement(Committed, true, Some(5.0)), stop(0.0), stop(0.0)),
        ("fetching", placement(Fetching, true, None), None, None),
        ("fetching, to stop", placement(Fetching, true, Some(5.0)), stop(5.0), stop(5.0)),
        ("running", placement(Running, true, None), None, None),
        ("running, to stop", placement(Running, true, Some(5.0)), stop(5.0), stop(5.0)),
        ("saving, to stop", placement(Checkpointing, true, Some(5.0)), None, None),
        ("saving, to stop at once", placement(Checkpointing, true, Some(0.0)), stop(0.0), stop(0.0)),
    ];
    for (name, placement, in_reply, in_call) in cases {
        assert_eq!(placement_command(&placement, HeartbeatReply), in_reply, "{name}, with a reply");
        assert_eq!(placement_command(&placement, DirectCall), in_call, "{name}, by a call");
    }
}

#[test]
fn an_unexpected_task_is_stopped_only_under_a_confirmed_token() {
    let mut machine = machine_with_unexpected(None);
    for channel in [CommandChannel::HeartbeatReply, CommandChannel::DirectCall] {
        let commands = commands_for(&machine, channel, |_, _| true).commands;
        let stop = TaskCommand::Stop { task: "wk-2/5".into(), attempt: attempt(), grace_period_s: 0.0 };
        assert_eq!(commands, [stop]);
    }
    machine.agent.token_confirmed = false;
    let commands = commands_for(&machine, CommandChannel::HeartbeatReply, |_, _| false);
    assert_eq!(commands, MachineCommands::default());
}

#[test]
fn an_ended_task_is_forgotten_once_no_start_is_in_flight_and_its_outcome_is_committed() {
    let mut machine = machine_with_unexpected(Some(ExitCause::Done));
    let forget = TaskCommand::Forget { task: "wk-2/5".into(), attempt: attempt() };
    let pending = |job: &str, task| job == "wk-2" && task == 5;
    assert_eq!(commands_for(&machine, CommandChannel::HeartbeatReply, |_, _| false).commands, [forget]);
    assert!(commands_for(&machine, CommandChannel::HeartbeatReply, pending).commands.is_empty());
    assert!(commands_for(&machine, CommandChannel::DirectCall, |_, _| false).commands.is_empty());
    machine.call.begin(CallInFlight {
        request: 1,
        purpose: CallPurpose::ConfirmToken,
        token: FencingToken::default(),
        agent_epoch: AgentEpoch::NONE,
        has_commands: false,
        first_starts: Vec::new(),
        follow_up_needed: false,
    });
    assert!(commands_for(&machine, CommandChannel::HeartbeatReply, |_, _| false).commands.is_empty());
}

#[test]
fn stops_come_before_starts_and_the_size_of_a_message_is_limited() {
    let mut machine = machine_with_unexpected(Some(ExitCause::Done));
    machine.placements = vec![
        placement(PlacementState::Committed, false, None),
        Placement { placement_id: 8, ..placement(PlacementState::Running, true, Some(1.0)) },
    ];
    let planned = commands_for(&machine, CommandChannel::HeartbeatReply, |_, _| false);
    assert_eq!(planned.starts, [7]);
    let names: Vec<&str> = planned.commands.iter().map(command_name).collect();
    assert_eq!(names, ["stop", "run", "forget"]);
    machine.placements = vec![placement(PlacementState::Committed, false, None); MAX_COMMANDS_PER_MESSAGE + 5];
    let planned = commands_for(&machine, CommandChannel::DirectCall, |_, _| false);
    assert_eq!(
        (planned.commands.len(), planned.starts.len()),
        (MAX_COMMANDS_PER_MESSAGE, MAX_COMMANDS_PER_MESSAGE + 5)
    );
}

fn command_name(command: &TaskCommand) -> &'static str {
    match command {
        TaskCommand::Run { .. } => "run",
        TaskCommand::Stop { .. } => "stop",
        TaskCommand::Forget { .. } => "forget",
    }
}
