//! Machine blocks: groups of machines that share one stored record.

use super::transaction::{Space, TransactionBuilder};
use crate::leader::fleet::images::ImageNames;
use crate::leader::fleet::machines::MachineIndex;
use crate::model::{Id, Machine};
use crate::records::{BlockRecord, ImageRecord, MachineRecord, keys};
use serde_json::{Value, json};
use shaleshunt_wire::Revision;
use std::collections::{BTreeMap, BTreeSet};

/// Transaction bytes reserved for the removal of a block.
const REMOVAL_SPACE_BYTES: usize = 100;

/// A machine block, as it is stored or will be.
#[derive(Debug, Default)]
struct Block {
    zone: String,
    /// Whether the block's machines are owned. Owned and rented machines are never in the same block.
    owned: bool,
    machines: BTreeSet<Id>,
    /// Version of the block's record, or `Revision::ABSENT` if it is not stored.
    version: Revision,
    /// Time of the last write (ms, monotonic). Cached images change all the time and are recorded at intervals.
    written_at_ms: u64,
    /// Blocks that took over some of this block's machines and have to be stored before it.
    store_after: BTreeSet<u32>,
}

/// Write of a block's record in a transaction. `machines` is empty if the record is removed.
#[derive(Debug)]
pub(super) struct BlockWrite {
    number: u32,
    machines: Vec<Id>,
}

/// A block that a new leader read from the store.
#[derive(Debug)]
pub(crate) struct StoredBlock {
    pub number: u32,
    pub zone: String,
    pub owned: bool,
    pub machines: BTreeSet<Id>,
    pub version: Revision,
}

/// Limits for writing blocks.
#[derive(Debug, Clone, Copy)]
pub(super) struct BlockLimits {
    /// Maximum number of machines in a block.
    pub max_machines: usize,
    /// Maximum bytes of a block's record.
    pub max_value_bytes: usize,
    /// Number of writes in the transaction at which no more blocks are added.
    pub max_writes: usize,
}

/// Sources of the contents of block records.
pub(super) struct BlockMembers<'a> {
    pub machines: &'a mut MachineIndex,
    pub images: &'a ImageNames,
}

/// All machine blocks. A machine with `record.block` set is a member of exactly that block. Until the block is stored,
/// the machine is in the record of another block, or it is not recorded.
#[derive(Debug, Default)]
pub(super) struct MachineBlocks {
    blocks: BTreeMap<u32, Block>,
    /// Blocks that have to be written.
    dirty: BTreeSet<u32>,
    /// Blocks that lost machines and are written when there is budget to spare. Delay is harmless: a new leader finds
    /// that these machines send no heartbeats and returns them again.
    blocks_with_removals: BTreeSet<u32>,
    /// The highest block number used so far. Numbers are not reused: a late copy of the transaction that created the
    /// earlier block would commit.
    max_number: u32,
}

impl MachineBlocks {
    /// Restores a block that an earlier leader stored.
    pub(super) fn restore(&mut self, now: u64, stored: StoredBlock) {
        let StoredBlock { number, zone, owned, machines, version } = stored;
        let block = Block { zone, owned, machines, version, written_at_ms: now, store_after: BTreeSet::new() };
        self.max_number = self.max_number.max(number);
        self.blocks.insert(number, block);
    }

    /// Adds a machine that is in no block to the newest suitable block of its zone with space, or to a new one.
    pub(super) fn join(&mut self, machine: &mut Machine, max_machines: usize) {
        if machine.record.block.is_some() {
            return;
        }
        let has_space = |block: &Block| {
            block.zone == machine.zone && block.owned == machine.owned && block.machines.len() < max_machines
        };
        let found = self.blocks.iter().rev().find(|(_, block)| has_space(block)).map(|(number, _)| *number);
        let number = found.unwrap_or(self.max_number + 1);
        self.max_number = self.max_number.max(number);
        let block = self.blocks.entry(number).or_default();
        block.zone.clone_from(&machine.zone);
        block.owned = machine.owned;
        block.machines.insert(machine.id.clone());
        machine.record.block = Some(number);
        self.dirty.insert(number);
    }

    /// Removes a machine that no longer exists from its block.
    pub(super) fn remove_machine(&mut self, machine: &Machine) {
        let Some(number) = machine.record.block else { return };
        if let Some(block) = self.blocks.get_mut(&number) {
            block.machines.remove(&machine.id);
            self.blocks_with_removals.insert(number);
        }
    }

    /// Queues a machine's block to be written after recorded properties of the machine changed.
    pub(super) fn machine_changed(&mut self, machine: &Machine) {
        self.dirty.extend(machine.record.block);
    }

    /// Whether any block has to be written.
    pub(super) fn has_dirty(&self) -> bool {
        !self.dirty.is_empty()
    }

    /// Queues one optional write if no other block has to be written: a block last written more than `rewrite_after_ms`
    /// ago, whose recorded images are outdated, or else one that lost machines.
    pub(super) fn queue_optional_rewrite(&mut self, now: u64, rewrite_after_ms: u64) {
        if self.has_dirty() {
            return;
        }
        let is_old = |block: &Block| now.saturating_sub(block.written_at_ms) > rewrite_after_ms;
        let old = self.blocks.iter().find(|(_, block)| is_old(block)).map(|(number, _)| *number);
        self.dirty.extend(old.or_else(|| self.blocks_with_removals.pop_first()));
    }

    /// Adds blocks that have to be written to a transaction.
    pub(super) fn collect(
        &mut self,
        now: u64,
        builder: &mut TransactionBuilder,
        members: &mut BlockMembers,
        limits: BlockLimits,
    ) -> Vec<BlockWrite> {
        let mut writes = Vec::new();
        for number in self.dirty.clone() {
            if builder.write_count() >= limits.max_writes {
                break;
            }
            let Some(block) = self.blocks.get(&number) else { continue };
            if block.machines.is_empty() {
                writes.extend(self.collect_removal(number, builder));
            } else if !self.must_wait(number, members.machines, limits.max_machines) {
                writes.extend(self.collect_block(now, number, builder, members, limits.max_value_bytes));
            }
        }
        writes
    }

    /// Removes a block without machines, and its record if it is stored.
    fn collect_removal(&mut self, number: u32, builder: &mut TransactionBuilder) -> Option<BlockWrite> {
        let version = self.blocks.get(&number)?.version;
        if version == Revision::ABSENT {
            self.blocks.remove(&number);
            self.dirty.remove(&number);
            return None;
        }
        if !builder.has_space_for(Space::one_write(REMOVAL_SPACE_BYTES)) {
            return None;
        }
        builder.drop_key(keys::machine_block(number), version);
        self.dirty.remove(&number);
        Some(BlockWrite { number, machines: Vec::new() })
    }

    fn collect_block(
        &mut self,
        now: u64,
        number: u32,
        builder: &mut TransactionBuilder,
        members: &BlockMembers,
        max_value_bytes: usize,
    ) -> Option<BlockWrite> {
        let block = self.blocks.get_mut(&number)?;
        let stored = StoredForm::new(block, members, max_value_bytes);
        if !builder.has_space_for(Space::one_write(stored.bytes)) {
            return None;
        }
        builder.set(keys::machine_block(number), block.version, stored.value, stored.bytes);
        block.written_at_ms = now;
        self.dirty.remove(&number);
        self.blocks_with_removals.remove(&number);
        Some(BlockWrite { number, machines: stored.machines })
    }

    /// Whether a block can't be written yet. A block that exceeds `max_machines`, lowered since, first moves the excess
    /// machines to other blocks. Its own record shrinks only after theirs are stored, so that each machine is in some
    /// record at any time.
    fn must_wait(&mut self, number: u32, machines: &mut MachineIndex, max_machines: usize) -> bool {
        let Some(block) = self.blocks.get_mut(&number) else { return false };
        if block.machines.len() <= max_machines {
            return !self.blocks[&number].store_after.iter().all(|other| self.is_stored(*other));
        }
        let excess: Vec<Id> = block.machines.iter().skip(max_machines).cloned().collect();
        block.machines.retain(|id| !excess.contains(id));
        let mut joined = BTreeSet::new();
        for id in &excess {
            if let Some(machine) = machines.get_mut(id) {
                machine.record.block = None;
                self.join(machine, max_machines);
                joined.extend(machine.record.block);
            }
        }
        if let Some(block) = self.blocks.get_mut(&number) {
            block.store_after.extend(joined);
        }
        true
    }

    fn is_stored(&self, number: u32) -> bool {
        let is_committed = self.blocks.get(&number).is_none_or(|block| block.version > Revision::ABSENT);
        is_committed && !self.dirty.contains(&number)
    }

    /// Applies the committed write or removal of a block's record. Returns the machines in the record.
    pub(super) fn apply_committed(&mut self, write: BlockWrite, revision: Revision) -> Vec<Id> {
        let Some(block) = self.blocks.get_mut(&write.number) else { return write.machines };
        if write.machines.is_empty() && block.machines.is_empty() {
            self.blocks.remove(&write.number);
            return write.machines;
        }
        block.version = if write.machines.is_empty() { Revision::ABSENT } else { revision };
        block.store_after.clear();
        write.machines
    }

    /// Queues the blocks of an abandoned transaction again.
    pub(super) fn apply_abandoned(&mut self, writes: &[BlockWrite]) {
        self.dirty.extend(writes.iter().map(|write| write.number));
    }
}

/// The serialized record of a block.
struct StoredForm {
    value: Value,
    bytes: usize,
    machines: Vec<Id>,
}

impl StoredForm {
    /// Builds a block's record. Images, which are only a placement hint, are left out if they make the record larger
    /// than `max_value_bytes`.
    fn new(block: &Block, members: &BlockMembers, max_value_bytes: usize) -> StoredForm {
        let (mut record, machines) = block_record(block, members);
        let mut value = json!(record);
        let mut bytes = value.to_string().len();
        if bytes > max_value_bytes {
            record.images.clear();
            record.machines.values_mut().for_each(|machine| machine.images.clear());
            value = json!(record);
            bytes = value.to_string().len();
        }
        StoredForm { value, bytes, machines }
    }
}

/// Builds a block's record. Returns the record and the machines in it.
fn block_record(block: &Block, members: &BlockMembers) -> (BlockRecord, Vec<Id>) {
    let mut record = BlockRecord { zone: block.zone.clone(), ..BlockRecord::default() };
    let mut index_of_image: BTreeMap<u32, u32> = BTreeMap::new();
    let mut recorded = Vec::new();
    for id in &block.machines {
        let Some(machine) = members.machines.get(id) else { continue };
        let mut images = Vec::new();
        for cached in machine.images.iter() {
            let index = index_of_image.entry(cached.image).or_insert_with(|| {
                let name = members.images.name(cached.image).to_string();
                record.images.push(ImageRecord { name, gb: cached.size_gb });
                record.images.len() as u32 - 1
            });
            images.push(*index);
        }
        record.machines.insert(id.to_string(), machine_record(machine, images));
        recorded.push(id.clone());
    }
    (record, recorded)
}

fn machine_record(machine: &Machine, images: Vec<u32>) -> MachineRecord {
    MachineRecord {
        machine_type: machine.machine_type.clone(),
        spot: machine.spot,
        owned: machine.owned,
        endpoint: machine.agent.endpoint.clone(),
        agent_epoch: machine.agent.epoch,
        rented_at_ms: machine.rented_at_ms,
        images,
    }
}

#[cfg(test)]
mod tests;
