use super::*;

/// A first try counted only what was in the transaction already, not the pages still being put
/// together: hundreds of jobs at once made one larger than the state service takes, and that
/// was sent again for ever.
#[test]
fn pages_being_put_together_count_against_the_limit() {
    let mut f = InFlightTransaction::default();
    (f.transaction.ops, f.transaction.conditions) = (24, 96);
    assert!(f.has_space_for(1, 2, MAX_BODY * 2), "what is too large for all goes alone");
    f.drafts.push(PageDraft::default());
    assert!(f.has_space_for(1, 2, TransactionBuilder::MOST_BYTES));
    assert!(!f.has_space_for(1, 2, TransactionBuilder::MOST_BYTES + 1));
    assert!(!f.has_space_for(24, 2, 100), "the draft is a write too");
}
