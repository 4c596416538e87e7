//! The stored list of owned machines.

use super::transaction::{Space, TransactionBuilder};
use crate::records::keys;
use serde_json::json;
use shaleshunt_wire::Revision;
use std::collections::{BTreeMap, BTreeSet};

/// Bytes around a name in a list: quotes and comma.
const NAME_FRAME_BYTES: usize = 3;

/// Write of a part of the list in a transaction.
#[derive(Debug)]
pub(super) struct OwnedListWrite {
    key: String,
    number: u32,
    machines: Vec<String>,
}

/// The stored list of owned machines. A list that exceeds a value is split into parts. The first part is written last:
/// the others are ignored while it doesn't exist. A leader that failed before it wrote the first part may have left
/// others, which must not become parts of the next leader's list.
#[derive(Debug, Default)]
pub(super) struct OwnedList {
    /// Versions of the stored parts, by key.
    versions: BTreeMap<String, Revision>,
    /// Parts to be written, by number.
    pending: BTreeMap<u32, Vec<String>>,
}

impl OwnedList {
    /// Restores the version of a part that an earlier leader stored.
    pub(super) fn restore(&mut self, key: String, version: Revision) {
        self.versions.insert(key, version);
    }

    /// Whether a complete list is stored.
    pub(super) fn is_recorded(&self) -> bool {
        self.versions.contains_key(keys::OWNED)
    }

    /// Queues a list to be written, in parts of at most `max_value_bytes` bytes. Parts that are stored and not part of
    /// this list are emptied.
    pub(super) fn record(&mut self, machines: &BTreeSet<String>, max_value_bytes: usize) {
        let stored = self.versions.keys().filter_map(|key| keys::owned_list_part_number(key));
        self.pending = stored.map(|number| (number, Vec::new())).collect();
        self.pending.extend((0..).zip(split_into_values(machines, max_value_bytes)));
    }

    /// Whether parts wait to be written.
    pub(super) fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Adds pending parts to a transaction, the first part last, while there is space.
    pub(super) fn collect(&mut self, builder: &mut TransactionBuilder) -> Vec<OwnedListWrite> {
        let mut writes = Vec::new();
        while let Some((number, machines)) = self.pending.last_key_value() {
            let value = json!(machines);
            let bytes = value.to_string().len();
            if !builder.has_space_for(Space::one_write(bytes)) {
                break;
            }
            let key = keys::owned_list_part(*number);
            let version = self.versions.get(&key).copied().unwrap_or(Revision::ABSENT);
            builder.set(key.clone(), version, value, bytes);
            let part = self.pending.pop_last();
            writes.extend(part.map(|(number, machines)| OwnedListWrite { key, number, machines }));
        }
        writes
    }

    /// Applies committed writes of parts.
    pub(super) fn apply_committed(&mut self, writes: Vec<OwnedListWrite>, revision: Revision) {
        self.versions.extend(writes.into_iter().map(|write| (write.key, revision)));
    }

    /// Queues the parts of an abandoned transaction again.
    pub(super) fn apply_abandoned(&mut self, writes: Vec<OwnedListWrite>) {
        self.pending.extend(writes.into_iter().map(|write| (write.number, write.machines)));
    }
}

fn split_into_values(machines: &BTreeSet<String>, max_value_bytes: usize) -> Vec<Vec<String>> {
    let mut parts = vec![Vec::new()];
    let mut used = 0;
    for name in machines {
        let bytes = name.len() + NAME_FRAME_BYTES;
        if used + bytes > max_value_bytes {
            parts.push(Vec::new());
            used = 0;
        }
        used += bytes;
        if let Some(part) = parts.last_mut() {
            part.push(name.clone());
        }
    }
    parts
}

#[cfg(test)]
mod tests;
