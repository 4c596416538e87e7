//! The recorded list of owned machines.

use super::transaction::{Space, TransactionBuilder};
use crate::records::keys;
use serde_json::json;
use shaleshunt_wire::Revision;
use std::collections::BTreeMap;

/// A part of the list in a transaction.
#[derive(Debug)]
pub(super) struct OwnedListWrite {
    key: String,
    number: u32,
    machines: Vec<String>,
}

/// The recorded list of owned machines. More names than a value holds are in further parts; the first
/// part is written last, since without it the others do not count.
#[derive(Debug, Default)]
pub(super) struct OwnedList {
    /// Versions of the keys that hold it.
    versions: BTreeMap<String, Revision>,
    /// Parts to be written.
    pending: BTreeMap<u32, Vec<String>>,
}

impl OwnedList {
    /// A part was read during a failover.
    pub(super) fn restore(&mut self, key: String, version: Revision) {
        self.versions.insert(key, version);
    }

    /// Whether a complete list is stored.
    pub(super) fn is_recorded(&self) -> bool {
        self.versions.contains_key(keys::OWNED)
    }

    /// Queues a list to be written, in parts that fit into a value each.
    pub(super) fn record(&mut self, parts: Vec<Vec<String>>) {
        self.pending = (0..).zip(parts).collect();
    }

    /// Puts parts into a transaction while there is room.
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

    /// Parts are stored.
    pub(super) fn apply_committed(&mut self, writes: Vec<OwnedListWrite>, revision: Revision) {
        self.versions.extend(writes.into_iter().map(|write| (write.key, revision)));
    }

    /// Parts were not stored: they wait again.
    pub(super) fn apply_abandoned(&mut self, writes: Vec<OwnedListWrite>) {
        self.pending.extend(writes.into_iter().map(|write| (write.number, write.machines)));
    }
}

#[cfg(test)]
mod tests;
