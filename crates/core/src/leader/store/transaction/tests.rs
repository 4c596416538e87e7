use super::*;
use serde_json::json;

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

#[test]
fn the_marker_is_a_key_that_only_the_leader_writes() {
    let mut builder = TransactionBuilder::new(TransactionLimits { writes: 9, preconditions: 9 });
    assert_eq!(builder.marker(), None, "there is nothing to write");
    builder.drop_key("j/wk-1".to_string(), Revision::ABSENT);
    assert_eq!(builder.marker().unwrap().key, "j/wk-1", "only the leader removes job records");
    builder.set("j/wk-2".to_string(), Revision::ABSENT, json!(1), 1);
    assert_eq!(builder.marker().unwrap().key, "j/wk-1", "users set job records too");
    builder.set("p/1".to_string(), Revision::ABSENT, json!(1), 1);
    assert_eq!(builder.marker().unwrap().key, "p/1");
}
