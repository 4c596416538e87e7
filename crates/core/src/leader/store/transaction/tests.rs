use super::*;

/// A first try counted only what was in the transaction already, not the pages still being put
/// together: hundreds of jobs at once made one larger than the state service takes, and that
/// was sent again for ever.
#[test]
fn pages_being_put_together_count_against_the_limit() {
    let mut builder = TransactionBuilder::new(TransactionLimits { writes: 24, conditions: 96 });
    let has_space =
        |builder: &TransactionBuilder, writes, bytes| builder.has_space_for(Space { writes, conditions: 2, bytes });
    assert!(has_space(&builder, 1, MAX_BODY_BYTES * 2), "what is too large for all goes alone");
    builder.reserve_write();
    assert!(has_space(&builder, 1, TransactionBuilder::MAX_BYTES));
    assert!(!has_space(&builder, 1, TransactionBuilder::MAX_BYTES + 1));
    assert!(!has_space(&builder, 24, 100), "the page is a write too");
}
