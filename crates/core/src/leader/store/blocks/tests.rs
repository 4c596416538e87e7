use super::*;
use crate::io::Timestamp;
use crate::leader::store::transaction::TransactionLimits;

const MAX_MACHINES: usize = 2;

fn machine(n: usize) -> Machine {
    let now = Timestamp { monotonic_ms: 0, wall_ms: 0 };
    Machine { zone: "a".to_string(), machine_type: "std".to_string(), ..Machine::new(format!("vm-{n}").into(), now) }
}

fn fleet_of(count: usize, blocks: &mut MachineBlocks, max_machines: usize) -> MachineIndex {
    let mut machines = MachineIndex::default();
    for n in 0..count {
        let mut machine = machine(n);
        blocks.join(&mut machine, max_machines);
        machines.insert(machine);
    }
    machines
}

/// Collects blocks into a transaction of at most `writes` writes.
fn collect(blocks: &mut MachineBlocks, machines: &mut MachineIndex, writes: usize) -> Vec<BlockWrite> {
    let mut builder = TransactionBuilder::new(TransactionLimits { writes, preconditions: 99 });
    let mut members = BlockMembers { machines, images: &ImageNames::default() };
    let limits = BlockLimits { max_machines: MAX_MACHINES, max_value_bytes: 9999, max_writes: writes };
    blocks.collect(0, &mut builder, &mut members, limits)
}

fn numbers(writes: &[BlockWrite]) -> Vec<u32> {
    writes.iter().map(|write| write.number).collect()
}

fn revision(number: u64) -> Revision {
    serde_json::from_value(json!(number)).unwrap()
}

#[test]
fn a_block_holds_machines_of_one_zone_and_one_kind_of_ownership_up_to_a_limit() {
    let mut blocks = MachineBlocks::default();
    let mut in_zone = [machine(0), machine(1), machine(2)];
    let mut elsewhere = Machine { zone: "b".to_string(), ..machine(3) };
    let mut owned = Machine { owned: true, ..machine(4) };
    for machine in in_zone.iter_mut().chain([&mut elsewhere, &mut owned]) {
        blocks.join(machine, MAX_MACHINES);
    }
    let block_of = |machine: &Machine| machine.record.block;
    assert_eq!(in_zone.each_ref().map(block_of), [Some(1), Some(1), Some(2)]);
    assert_eq!((block_of(&elsewhere), block_of(&owned)), (Some(3), Some(4)));
}

#[test]
fn a_block_is_written_once_and_again_after_an_abandoned_transaction() {
    let mut blocks = MachineBlocks::default();
    let mut machines = fleet_of(3, &mut blocks, MAX_MACHINES);
    let writes = collect(&mut blocks, &mut machines, 9);
    assert_eq!(numbers(&writes), [1, 2]);
    assert!(!blocks.has_dirty());
    blocks.apply_abandoned(&writes);
    let writes = collect(&mut blocks, &mut machines, 1);
    assert_eq!(numbers(&writes), [1], "no more than the transaction has space for");
    let stored = writes.into_iter().flat_map(|write| blocks.apply_committed(write, revision(7)));
    assert_eq!(stored.count(), 2);
}

#[test]
fn an_empty_block_is_removed_and_its_number_is_not_reused() {
    let mut blocks = MachineBlocks::default();
    let mut machines = fleet_of(1, &mut blocks, MAX_MACHINES);
    for write in collect(&mut blocks, &mut machines, 9) {
        blocks.apply_committed(write, revision(7));
    }
    blocks.remove_machine(&machines.remove("vm-0").unwrap());
    assert!(!blocks.has_dirty(), "the write is optional");
    blocks.queue_optional_rewrite(0, 9);
    let writes = collect(&mut blocks, &mut machines, 9);
    assert_eq!((numbers(&writes), writes[0].machines.len()), (vec![1], 0));
    for write in writes {
        blocks.apply_committed(write, revision(8));
    }
    let mut next = machine(1);
    blocks.join(&mut next, MAX_MACHINES);
    assert_eq!(next.record.block, Some(2));
}

#[test]
fn an_oversized_block_shrinks_after_the_other_blocks_are_stored() {
    let mut blocks = MachineBlocks::default();
    let mut machines = fleet_of(5, &mut blocks, 5);
    assert_eq!(
        numbers(&collect(&mut blocks, &mut machines, 9)),
        [] as [u32; 0],
        "the excess machines move to other blocks first"
    );
    let others = collect(&mut blocks, &mut machines, 9);
    assert_eq!(numbers(&others), [2, 3], "the first block waits for the others");
    for write in others {
        blocks.apply_committed(write, revision(7));
    }
    assert_eq!(numbers(&collect(&mut blocks, &mut machines, 9)), [1]);
}

#[test]
fn a_block_is_rewritten_after_the_rewrite_interval() {
    let mut blocks = MachineBlocks::default();
    let mut machines = fleet_of(1, &mut blocks, MAX_MACHINES);
    collect(&mut blocks, &mut machines, 9);
    blocks.queue_optional_rewrite(100, 100);
    assert!(!blocks.has_dirty());
    blocks.queue_optional_rewrite(101, 100);
    assert!(blocks.has_dirty());
}
