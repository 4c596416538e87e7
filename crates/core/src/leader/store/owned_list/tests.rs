use super::*;
use crate::leader::store::transaction::TransactionLimits;

fn names(count: usize) -> BTreeSet<String> {
    (0..count).map(|n| format!("vm-{n:06}")).collect()
}

#[test]
fn parts_fit_into_a_value_each_and_contain_all_names() {
    for (count, max_value_bytes, parts) in [(0, 100, 1), (8, 96, 1), (9, 96, 2), (80, 96, 10)] {
        let split = split_into_values(&names(count), max_value_bytes);
        assert_eq!(split.len(), parts, "{count} names of 9 bytes in {max_value_bytes}");
        assert_eq!(split.concat(), names(count).into_iter().collect::<Vec<_>>());
    }
}

#[test]
fn the_first_part_is_written_last_and_abandoned_parts_are_queued_again() {
    let mut list = OwnedList::default();
    list.record(&names(20), 96);
    let mut builder = TransactionBuilder::new(TransactionLimits { writes: 2, preconditions: 9 });
    let writes = list.collect(&mut builder);
    let written: Vec<&str> = writes.iter().map(|write| write.key.as_str()).collect();
    assert_eq!(written, ["c/owned/2", "c/owned/1"]);
    list.apply_abandoned(writes);
    let mut builder = TransactionBuilder::new(TransactionLimits { writes: 9, preconditions: 9 });
    let writes = list.collect(&mut builder);
    assert_eq!(writes.last().unwrap().key, keys::OWNED);
    assert!(!list.is_recorded());
    list.apply_committed(writes, Revision::ABSENT);
    assert!(list.is_recorded());
}

/// Guards against rented machines that count as owned because a leader that failed left them in a part of its list.
#[test]
fn parts_that_a_failed_leader_left_are_emptied() {
    let mut list = OwnedList::default();
    for number in [1, 3] {
        list.restore(keys::owned_list_part(number), Revision(5));
    }
    list.record(&names(9), 96);
    let mut builder = TransactionBuilder::new(TransactionLimits { writes: 9, preconditions: 9 });
    let writes = list.collect(&mut builder);
    let sizes: Vec<(u32, usize)> = writes.iter().map(|write| (write.number, write.machines.len())).collect();
    assert_eq!(sizes, [(3, 0), (1, 1), (0, 8)]);
    assert_eq!(builder.required_version("c/owned/3"), Revision(5));
}
