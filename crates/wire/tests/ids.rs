//! Layout and order of numeric identifiers.

use shaleshunt_wire::{Attempt, Epoch, FencingToken};

#[test]
fn fencing_token_has_the_epoch_above_the_counter() {
    let token = FencingToken::new(Epoch(7), 3);
    assert_eq!(token, FencingToken(7 * 1_048_576 + 3));
    assert_eq!(token.epoch(), Epoch(7));
    assert!(FencingToken::new(Epoch(7), 1_048_575) < FencingToken::new(Epoch(8), 0));
    assert_eq!(serde_json::to_string(&token).unwrap(), "7340035");
}

#[test]
fn attempts_of_a_later_epoch_are_higher() {
    assert_eq!(Attempt::new(Epoch(2), 5), Attempt(2 * 268_435_456 + 5));
    assert!(Attempt::new(Epoch(2), 268_435_455) < Attempt::new(Epoch(3), 1));
}
