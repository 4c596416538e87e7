use super::*;

/// A first try counted only what was in the transaction already, not the pages still being put
/// together: hundreds of jobs at once made one larger than the state service takes, and that
/// was sent again for ever.
#[test]
fn pages_being_put_together_count_against_the_limit() {
    let mut f = Flight::default();
    (f.txn.ops, f.txn.conditions) = (24, 96);
    assert!(f.takes(1, 2, MAX_BODY * 2), "what is too large for all goes alone");
    f.drafts.push(Draft::default());
    assert!(f.takes(1, 2, Txn0::MOST_BYTES));
    assert!(!f.takes(1, 2, Txn0::MOST_BYTES + 1));
    assert!(!f.takes(24, 2, 100), "the draft is a write too");
}
