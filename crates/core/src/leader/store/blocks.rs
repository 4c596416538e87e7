//! Blocks of machines: groups whose machines share one stored record.

use super::transaction::{Space, TransactionBuilder};
use crate::leader::fleet::images::ImageNames;
use crate::leader::fleet::machines::MachineIndex;
use crate::model::{Id, Machine};
use crate::records::{BlockRecord, ImageRecord, MachineRecord, keys};
use serde_json::{Value, json};
use shaleshunt_wire::Revision;
use std::collections::{BTreeMap, BTreeSet};

/// Room to leave for the removal of a block.
const REMOVAL_BYTES: usize = 100;

/// A block of machines, as its record has or will have it.
#[derive(Debug, Default)]
struct Block {
    zone: String,
    /// Whether its machines are owned.
    owned: bool,
    machines: BTreeSet<Id>,
    /// Version of its record, if there is one.
    version: Revision,
    /// When it was last written (ms, monotonic): images are noted now and then.
    written_at: u64,
    /// Blocks that took over some of its machines: they are stored first.
    stored_after: BTreeSet<u32>,
}

/// A block in a transaction; without machines if its record is removed.
#[derive(Debug)]
pub(super) struct BlockWrite {
    number: u32,
    machines: Vec<Id>,
}

/// A block that was read during a failover.
#[derive(Debug)]
pub(crate) struct StoredBlock {
    pub number: u32,
    pub zone: String,
    pub owned: bool,
    pub machines: BTreeSet<Id>,
    pub version: Revision,
}

/// Limits in force for blocks.
#[derive(Debug, Clone, Copy)]
pub(super) struct BlockLimits {
    /// Most machines of a block.
    pub machines: usize,
    /// Most bytes of its record.
    pub value_bytes: usize,
    /// Writes that a transaction may have after blocks were put into it.
    pub writes: usize,
}

/// What a block's record is made from.
pub(super) struct BlockMembers<'a> {
    pub machines: &'a mut MachineIndex,
    pub images: &'a ImageNames,
}

/// The blocks. A machine with `record.block` set is a member of that block and of no other; until its
/// block is stored, some other stored block holds it, or it is not recorded.
#[derive(Debug, Default)]
pub(super) struct MachineBlocks {
    blocks: BTreeMap<u32, Block>,
    /// Blocks to be written.
    dirty: BTreeSet<u32>,
    /// Blocks from which machines went, to be written when there is room: a new leader finds those
    /// machines silent and returns them once more.
    thinned: BTreeSet<u32>,
    /// The highest number that a block has had. None is used again: a late copy of the transaction
    /// that began the first would be carried out.
    newest: u32,
}

impl MachineBlocks {
    /// Takes in a block that an earlier leader stored.
    pub(super) fn restore(&mut self, now: u64, stored: StoredBlock) {
        let StoredBlock { number, zone, owned, machines, version } = stored;
        let block = Block { zone, owned, machines, version, written_at: now, stored_after: BTreeSet::new() };
        self.newest = self.newest.max(number);
        self.blocks.insert(number, block);
    }

    /// Puts a machine that is in no block into one of its zone.
    pub(super) fn join(&mut self, machine: &mut Machine, max_machines: usize) {
        if machine.record.block.is_some() {
            return;
        }
        let has_space = |block: &Block| {
            block.zone == machine.zone && block.owned == machine.owned && block.machines.len() < max_machines
        };
        let found = self.blocks.iter().rev().find(|(_, block)| has_space(block)).map(|(number, _)| *number);
        let number = found.unwrap_or(self.newest + 1);
        self.newest = self.newest.max(number);
        let block = self.blocks.entry(number).or_default();
        block.zone.clone_from(&machine.zone);
        block.owned = machine.owned;
        block.machines.insert(machine.id.clone());
        machine.record.block = Some(number);
        self.dirty.insert(number);
    }

    /// A machine is gone.
    pub(super) fn remove_machine(&mut self, machine: &Machine) {
        let Some(number) = machine.record.block else { return };
        if let Some(block) = self.blocks.get_mut(&number) {
            block.machines.remove(&machine.id);
            self.thinned.insert(number);
        }
    }

    /// What a block's record holds of a machine has changed.
    pub(super) fn machine_changed(&mut self, machine: &Machine) {
        self.dirty.extend(machine.record.block);
    }

    /// Whether blocks are to be written.
    pub(super) fn has_dirty(&self) -> bool {
        !self.dirty.is_empty()
    }

    /// There is room to write a block that need not be: one that was not written for so long, since
    /// images change all the time, or else one from which machines went.
    pub(super) fn mark_optional(&mut self, now: u64, rewrite_after_ms: u64) {
        if self.has_dirty() {
            return;
        }
        let is_old = |block: &Block| now.saturating_sub(block.written_at) > rewrite_after_ms;
        let old = self.blocks.iter().find(|(_, block)| is_old(block)).map(|(number, _)| *number);
        self.dirty.extend(old.or_else(|| self.thinned.pop_first()));
    }

    /// Puts blocks that are to be written into a transaction.
    pub(super) fn collect(
        &mut self,
        now: u64,
        builder: &mut TransactionBuilder,
        members: &mut BlockMembers,
        limits: BlockLimits,
    ) -> Vec<BlockWrite> {
        let mut writes = Vec::new();
        for number in self.dirty.clone() {
            if builder.write_count() >= limits.writes {
                break;
            }
            let Some(block) = self.blocks.get(&number) else { continue };
            if block.machines.is_empty() {
                writes.extend(self.collect_removal(number, builder));
            } else if !self.is_held_up(number, members.machines, limits.machines) {
                writes.extend(self.collect_block(now, number, builder, members, limits.value_bytes));
            }
        }
        writes
    }

    /// Removes the record of a block without machines.
    fn collect_removal(&mut self, number: u32, builder: &mut TransactionBuilder) -> Option<BlockWrite> {
        let version = self.blocks.get(&number)?.version;
        if version == Revision::ABSENT {
            self.blocks.remove(&number);
            self.dirty.remove(&number);
            return None;
        }
        if !builder.has_space_for(Space::one_write(REMOVAL_BYTES)) {
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
        value_bytes: usize,
    ) -> Option<BlockWrite> {
        let block = self.blocks.get_mut(&number)?;
        let stored = StoredForm::new(block, members, value_bytes);
        if !builder.has_space_for(Space::one_write(stored.bytes)) {
            return None;
        }
        builder.set(keys::machine_block(number), block.version, stored.value, stored.bytes);
        block.written_at = now;
        self.dirty.remove(&number);
        self.thinned.remove(&number);
        Some(BlockWrite { number, machines: stored.machines })
    }

    /// Whether a block has to wait. One with more machines than fit into a value by now gives the rest
    /// to other blocks; its own record shrinks only when theirs are stored, so that at any moment each
    /// machine is in some record.
    fn is_held_up(&mut self, number: u32, machines: &mut MachineIndex, max_machines: usize) -> bool {
        let Some(block) = self.blocks.get_mut(&number) else { return false };
        if block.machines.len() <= max_machines {
            return !self.blocks[&number].stored_after.iter().all(|other| self.is_stored(*other));
        }
        let rest: Vec<Id> = block.machines.iter().skip(max_machines).cloned().collect();
        block.machines.retain(|id| !rest.contains(id));
        let mut joined = BTreeSet::new();
        for id in &rest {
            if let Some(machine) = machines.get_mut(id) {
                machine.record.block = None;
                self.join(machine, max_machines);
                joined.extend(machine.record.block);
            }
        }
        if let Some(block) = self.blocks.get_mut(&number) {
            block.stored_after.extend(joined);
        }
        true
    }

    fn is_stored(&self, number: u32) -> bool {
        let is_committed = self.blocks.get(&number).is_none_or(|block| block.version > Revision::ABSENT);
        is_committed && !self.dirty.contains(&number)
    }

    /// A block's record is stored or removed. Returns the machines that it holds.
    pub(super) fn apply_committed(&mut self, write: BlockWrite, revision: Revision) -> Vec<Id> {
        let Some(block) = self.blocks.get_mut(&write.number) else { return write.machines };
        if write.machines.is_empty() && block.machines.is_empty() {
            self.blocks.remove(&write.number);
            return write.machines;
        }
        block.version = if write.machines.is_empty() { Revision::ABSENT } else { revision };
        block.stored_after.clear();
        write.machines
    }

    /// Nothing was stored: the blocks wait again.
    pub(super) fn apply_abandoned(&mut self, writes: &[BlockWrite]) {
        self.dirty.extend(writes.iter().map(|write| write.number));
    }
}

/// A block's record as it is written.
struct StoredForm {
    value: Value,
    bytes: usize,
    machines: Vec<Id>,
}

impl StoredForm {
    /// Without images if it takes more than so many bytes with them: they are only a help.
    fn new(block: &Block, members: &BlockMembers, value_bytes: usize) -> StoredForm {
        let (mut record, machines) = block_record(block, members);
        let mut value = json!(record);
        let mut bytes = value.to_string().len();
        if bytes > value_bytes {
            record.images.clear();
            record.machines.values_mut().for_each(|machine| machine.images.clear());
            value = json!(record);
            bytes = value.to_string().len();
        }
        StoredForm { value, bytes, machines }
    }
}

/// A block's record, and the machines in it.
fn block_record(block: &Block, members: &BlockMembers) -> (BlockRecord, Vec<Id>) {
    let mut record = BlockRecord { zone: block.zone.clone(), ..BlockRecord::default() };
    let mut place_of_image: BTreeMap<u32, u32> = BTreeMap::new();
    let mut recorded = Vec::new();
    for id in &block.machines {
        let Some(machine) = members.machines.get(id) else { continue };
        let mut images = Vec::new();
        for cached in machine.images.iter() {
            let place = place_of_image.entry(cached.image).or_insert_with(|| {
                let name = members.images.name(cached.image).to_string();
                record.images.push(ImageRecord { name, gb: cached.size_gb });
                record.images.len() as u32 - 1
            });
            images.push(*place);
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
