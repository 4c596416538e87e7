use super::*;

fn order(agent_epoch: u64, sequence: u64) -> HeartbeatOrder {
    HeartbeatOrder { agent_epoch: AgentEpoch(agent_epoch), sequence }
}

#[test]
fn a_heartbeat_is_outdated_after_a_later_one_was_accepted() {
    let mut agent = Agent { epoch: AgentEpoch(2), ..Agent::default() };
    let outdated = |agent: &Agent| {
        [order(1, 9), order(2, 0), order(2, 4), order(2, 5), order(3, 0)].map(|heartbeat| agent.is_outdated(heartbeat))
    };
    // Before the first heartbeat, any heartbeat of the recorded agent epoch or a later one is accepted.
    assert_eq!(outdated(&agent), [true, false, false, false, false]);
    agent.record_heartbeat(order(2, 4), 100);
    assert_eq!(outdated(&agent), [true, true, true, false, false]);
    agent.record_heartbeat(order(3, 0), 200);
    assert_eq!(outdated(&agent), [true; 5]);
    assert_eq!((agent.epoch, agent.last_heartbeat_ms), (AgentEpoch(3), Some(200)));
}

#[test]
fn a_raised_token_needs_a_new_confirmation() {
    let mut agent = Agent { unacknowledged_commands: 3, ..Agent::default() };
    let first = agent.token(Epoch(7));
    assert!(agent.confirm_token() && !agent.confirm_token());
    assert_eq!(agent.unacknowledged_commands, 0);
    agent.raise_token().unwrap();
    assert!(!agent.token_confirmed && agent.token(Epoch(7)) > first);
    assert_eq!(agent.token(Epoch(7)).epoch(), Epoch(7));
}
