//! Numbers with types of their own.

use shaleshunt_wire::{Attempt, Epoch, FencingToken};

#[test]
fn a_token_holds_its_epoch_above_the_counter() {
    let token = FencingToken::new(Epoch(7), 3);
    assert_eq!(token, FencingToken(7 * 1_048_576 + 3));
    assert_eq!(token.epoch(), Epoch(7));
    assert!(FencingToken::new(Epoch(7), 1_048_575) < FencingToken::new(Epoch(8), 0));
    assert_eq!(serde_json::to_string(&token).unwrap(), "7340035");
}

#[test]
fn a_later_epoch_has_higher_attempts() {
    assert_eq!(Attempt::new(Epoch(2), 5), Attempt(2 * 268_435_456 + 5));
    assert!(Attempt::new(Epoch(2), 268_435_455) < Attempt::new(Epoch(3), 1));
}
