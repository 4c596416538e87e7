use super::*;
use crate::model::samples;
use shaleshunt_wire::FencingToken;

fn forget() -> TaskCommand {
    TaskCommand::Forget { task: "wk-1/3".into(), attempt: samples::attempt(9) }
}

fn machine_with_direct_start(counter: u64) -> Machine {
    let mut machine = samples::machine("vm-1");
    machine.agent.fencing = Fencing::starting_at(counter);
    machine.agent.fencing.record_direct_start(samples::attempt(9));
    machine
}

#[test]
fn an_attempt_started_by_a_direct_call_is_forgotten_under_a_higher_token() {
    let mut machine = machine_with_direct_start(4);
    let mut commands = vec![forget()];
    fence_forgotten_attempts(&mut machine, &mut commands).unwrap();
    assert_eq!((machine.agent.fencing.counter(), commands.len()), (5, 1));
    fence_forgotten_attempts(&mut machine, &mut commands).unwrap();
    assert_eq!(machine.agent.fencing.counter(), 5, "the start is fenced off already");
}

#[test]
fn an_attempt_that_cannot_be_fenced_off_is_not_forgotten() {
    let mut machine = machine_with_direct_start(FencingToken::MAX_COUNTER);
    let stop = TaskCommand::Stop { task: "wk-2/0".into(), attempt: samples::attempt(8), grace_period_s: 0.0 };
    let mut commands = vec![stop.clone(), forget()];
    assert_eq!(fence_forgotten_attempts(&mut machine, &mut commands), Err(TokenExhausted));
    assert_eq!(commands, [stop]);
}
