use super::*;

/// Guards against transactions that exceed the store's size limit and are then retried forever. This happened with
/// hundreds of jobs at once while the size check counted only the writes already in the transaction, without the pages
/// that were still being filled.
#[test]
fn reserved_pages_count_against_the_limits() {
    let mut builder = TransactionBuilder::new(TransactionLimits { writes: 24, preconditions: 96 });
    let has_space =
        |builder: &TransactionBuilder, writes, bytes| builder.has_space_for(Space { writes, preconditions: 2, bytes });
    assert!(has_space(&builder, 1, MAX_BODY_BYTES * 2), "an oversized change is sent alone");
    builder.reserve_write();
    assert!(has_space(&builder, 1, TransactionBuilder::MAX_BYTES));
    assert!(!has_space(&builder, 1, TransactionBuilder::MAX_BYTES + 1));
    assert!(!has_space(&builder, 24, 100), "the reserved page is a write too");
}
