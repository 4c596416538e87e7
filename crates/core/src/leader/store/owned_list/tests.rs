use super::*;
use crate::leader::store::transaction::TransactionLimits;

#[test]
fn the_first_part_is_written_last_and_what_is_given_up_waits_again() {
    let mut list = OwnedList::default();
    list.record(["vm-1", "vm-2", "vm-3"].map(|name| vec![name.to_string()]).to_vec());
    let mut builder = TransactionBuilder::new(TransactionLimits { writes: 2, conditions: 9 });
    let writes = list.collect(&mut builder);
    let written: Vec<&str> = writes.iter().map(|write| write.key.as_str()).collect();
    assert_eq!(written, ["c/owned/2", "c/owned/1"]);
    list.apply_abandoned(writes);
    let mut builder = TransactionBuilder::new(TransactionLimits { writes: 9, conditions: 9 });
    let writes = list.collect(&mut builder);
    assert_eq!(writes.last().unwrap().key, keys::OWNED);
    assert!(!list.is_recorded());
    list.apply_committed(writes, Revision::ABSENT);
    assert!(list.is_recorded());
}
