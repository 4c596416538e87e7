//! Numbers with types of their own.

use shaleshunt_wire::{Epoch, FencingToken};

#[test]
fn a_token_holds_its_epoch_above_the_counter() {
    let token = FencingToken::new(Epoch(7), 3);
    assert_eq!(token, FencingToken(7 * 1_048_576 + 3));
    assert_eq!(token.epoch(), Epoch(7));
    assert!(FencingToken::new(Epoch(7), 1_048_575) < FencingToken::new(Epoch(8), 0));
    assert_eq!(serde_json::to_string(&token).unwrap(), "7340035");
}
