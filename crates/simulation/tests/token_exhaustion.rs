//! A leader whose fencing tokens for a machine are nearly used up hands over to the next epoch.

mod common;

use common::leader::{Leader, StoreResponse};
use shaleshunt_wire::{Epoch, FencingToken};

/// Time within which the next leader acts, in ms: two heartbeat intervals and an election.
const HANDOVER_MS: u64 = 15_000;

/// A leader of the first epoch whose machine has seen a token with this counter.
fn leader_with_seen_counter(counter: u64) -> Leader {
    let mut leader = Leader::new(|_| StoreResponse::Serve);
    leader.pass_time(1000);
    leader.send_heartbeat();
    assert_eq!(leader.seen_token().epoch(), Epoch(1));
    leader.show_token(FencingToken::new(Epoch(1), counter));
    leader.send_heartbeat();
    leader
}

#[test]
fn leader_with_nearly_used_up_tokens_continues_in_the_next_epoch() {
    let mut leader = leader_with_seen_counter(FencingToken::MAX_COUNTER - 10);
    assert_eq!(leader.seen_token().epoch(), Epoch(1), "the token does not reach the next epoch before the handover");
    leader.pass_time(HANDOVER_MS);
    assert!(leader.site.controller.is_active_leader());
    leader.send_heartbeat();
    assert_eq!(leader.seen_token(), FencingToken::new(Epoch(2), 0));
}

#[test]
fn leader_whose_machine_has_seen_the_last_token_of_the_epoch_continues_in_the_next_epoch() {
    let mut leader = leader_with_seen_counter(FencingToken::MAX_COUNTER);
    leader.pass_time(HANDOVER_MS);
    assert!(leader.site.controller.is_active_leader());
    leader.send_heartbeat();
    assert_eq!(leader.seen_token(), FencingToken::new(Epoch(2), 0));
}
