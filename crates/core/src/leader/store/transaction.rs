//! Builds transactions within the limits of the key-value store.

use crate::model::{Id, Job};
use crate::records::keys;
use serde_json::Value;
use shaleshunt_wire::kv::{Precondition, Transaction, Write};
use shaleshunt_wire::{MAX_BODY_BYTES, Revision};
use std::collections::BTreeSet;

/// Bytes around a key and its value in a request. The key itself occurs twice: in the write and in its precondition.
const WRITE_FRAME_BYTES: usize = 60;
/// Bytes around a key in a precondition.
const PRECONDITION_FRAME_BYTES: usize = 40;

/// Maximum number of writes and preconditions in a transaction.
#[derive(Debug, Clone, Copy)]
pub(super) struct TransactionLimits {
    pub writes: usize,
    pub preconditions: usize,
}

/// Space that a change needs in a transaction.
#[derive(Debug, Clone, Copy)]
pub(super) struct Space {
    pub writes: usize,
    pub preconditions: usize,
    pub bytes: usize,
}

impl Space {
    /// Space for one write and the precondition on its key.
    pub(super) fn one_write(bytes: usize) -> Space {
        Space { writes: 1, preconditions: 1, bytes }
    }
}

/// A transaction under construction. Each write has a precondition on the key's version as the leader knows it.
#[derive(Debug)]
pub(super) struct TransactionBuilder {
    transaction: Transaction,
    /// Jobs with a precondition on the version of their record.
    jobs: BTreeSet<Id>,
    bytes: usize,
    /// Number of writes that will be added later, each with a precondition on its key. Their sizes are not included in
    /// `bytes`.
    reserved_writes: usize,
    limits: TransactionLimits,
}

impl TransactionBuilder {
    /// Maximum bytes of a transaction. The eighth of the body limit that remains is for what surrounds the values.
    pub(super) const MAX_BYTES: usize = MAX_BODY_BYTES * 7 / 8;

    /// Creates an empty transaction.
    pub(super) fn new(limits: TransactionLimits) -> TransactionBuilder {
        let transaction = Transaction { preconditions: Vec::new(), writes: Vec::new() };
        TransactionBuilder { transaction, jobs: BTreeSet::new(), bytes: 0, reserved_writes: 0, limits }
    }

    /// Whether a change fits in addition to the reserved writes. An oversized change fits if the transaction is empty
    /// and no writes are reserved, so that the change is sent alone.
    pub(super) fn has_space_for(&self, space: Space) -> bool {
        let reserved = self.reserved_writes;
        (reserved == 0 || self.fits_bytes(space.bytes))
            && self.has_space_without_reserved(Space {
                writes: space.writes + reserved,
                preconditions: space.preconditions + reserved,
                bytes: space.bytes,
            })
    }

    /// Whether a change fits if the reserved writes are not counted.
    pub(super) fn has_space_without_reserved(&self, space: Space) -> bool {
        self.transaction.writes.len() + space.writes <= self.limits.writes
            && self.transaction.preconditions.len() + space.preconditions <= self.limits.preconditions
            && (self.fits_bytes(space.bytes) || self.transaction.writes.is_empty())
    }

    fn fits_bytes(&self, bytes: usize) -> bool {
        self.bytes + bytes <= Self::MAX_BYTES
    }

    /// Reserves a write that will be added later.
    pub(super) fn reserve_write(&mut self) {
        self.reserved_writes += 1;
    }

    /// Releases all reservations, before the reserved writes are added.
    pub(super) fn release_reserved(&mut self) {
        self.reserved_writes = 0;
    }

    /// Number of writes, including the reserved ones.
    pub(super) fn write_count_with_reserved(&self) -> usize {
        self.write_count() + self.reserved_writes
    }

    pub(super) fn limits(&self) -> TransactionLimits {
        self.limits
    }

    pub(super) fn write_count(&self) -> usize {
        self.transaction.writes.len()
    }

    pub(super) fn is_full(&self) -> bool {
        self.write_count() >= self.limits.writes
    }

    pub(super) fn transaction(&self) -> &Transaction {
        &self.transaction
    }

    /// Requires that the epoch's key has a version, so that the transaction fails after another leader was elected. The
    /// bytes of the precondition aren't counted, as the limit leaves enough space.
    pub(super) fn require_epoch(&mut self, version: Revision) {
        self.transaction.preconditions.push(Precondition { key: keys::EPOCH.into(), version });
    }

    /// Requires that a key doesn't exist.
    pub(super) fn require_absent(&mut self, key: String) {
        self.bytes += key.len() + PRECONDITION_FRAME_BYTES;
        self.transaction.preconditions.push(Precondition { key, version: Revision::ABSENT });
    }

    /// Requires that a job's record has the version known to the leader.
    pub(super) fn require_job_version(&mut self, job: &Job) {
        if self.jobs.insert(job.id.clone()) {
            let key = keys::job(&job.id);
            self.bytes += key.len() + PRECONDITION_FRAME_BYTES;
            self.transaction.preconditions.push(Precondition { key, version: job.record.version });
        }
    }

    /// Sets a key to a value of `bytes` bytes, if the key still has this version.
    pub(super) fn set(&mut self, key: String, version: Revision, value: Value, bytes: usize) {
        self.bytes += bytes + key.len() * 2 + WRITE_FRAME_BYTES;
        self.transaction.preconditions.push(Precondition { key: key.clone(), version });
        self.transaction.writes.push(Write::set(key, value));
    }

    /// Removes a key, if it still has this version.
    pub(super) fn drop_key(&mut self, key: String, version: Revision) {
        self.bytes += key.len() * 2 + WRITE_FRAME_BYTES;
        self.transaction.preconditions.push(Precondition { key: key.clone(), version });
        self.transaction.writes.push(Write::delete(key));
    }

    /// Removes a job's record. The precondition on its version is added unless the transaction already has it.
    pub(super) fn drop_job(&mut self, job: &Job) {
        let key = keys::job(&job.id);
        if self.jobs.insert(job.id.clone()) {
            self.drop_key(key, job.record.version);
        } else {
            self.transaction.writes.push(Write::delete(key));
        }
    }

    /// The version that a key is required to have, or `Revision::ABSENT` for a key without a precondition.
    pub(super) fn required_version(&self, key: &str) -> Revision {
        let precondition = self.transaction.preconditions.iter().find(|precondition| precondition.key == key);
        precondition.map_or(Revision::ABSENT, |precondition| precondition.version)
    }

    /// Returns the marker: a written key whose version shows whether the transaction was committed, with its version
    /// before. Only the leader makes this kind of change to the key. `None` while there are no writes.
    pub(super) fn marker(&self) -> Option<Precondition> {
        let set = self.transaction.writes.iter().find_map(|write| match write {
            Write::Set { key, .. } if !key.starts_with(keys::JOBS) => Some(key),
            _ => None,
        });
        let dropped = self.transaction.writes.iter().find_map(|write| match write {
            Write::Drop { key } => Some(key),
            Write::Set { .. } => None,
        });
        let key = set.or(dropped)?;
        Some(Precondition { key: key.clone(), version: self.required_version(key) })
    }
}

#[cfg(test)]
mod tests;
