use super::changes::Changes;
use super::pages::PageDraft;
use super::transaction::{Space, TransactionBuilder, TransactionLimits};
use shaleshunt_wire::MAX_BODY;

/// A first try counted only what was in the transaction already, not the pages still being put
/// together: hundreds of jobs at once made one larger than the state service takes, and that
/// was sent again for ever.
#[test]
fn pages_being_put_together_count_against_the_limit() {
    let mut changes = Changes::new(TransactionLimits { writes: 24, conditions: 96 });
    let has_space = |changes: &Changes, writes, bytes| changes.has_space_for(Space { writes, conditions: 2, bytes });
    assert!(has_space(&changes, 1, MAX_BODY * 2), "what is too large for all goes alone");
    changes.pages.begin(PageDraft::default());
    assert!(has_space(&changes, 1, TransactionBuilder::MAX_BYTES));
    assert!(!has_space(&changes, 1, TransactionBuilder::MAX_BYTES + 1));
    assert!(!has_space(&changes, 24, 100), "the draft is a write too");
}
