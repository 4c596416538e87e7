//! A transaction being put together, within the limits of the key-value store.

use crate::model::{Id, Job};
use crate::records::keys;
use serde_json::Value;
use shaleshunt_wire::kv::{Precondition, Transaction, Write};
use shaleshunt_wire::{MAX_BODY_BYTES, Revision};
use std::collections::BTreeSet;

/// Bytes that frame a key and its value in a request, besides the key's two mentions.
const WRITE_FRAME_BYTES: usize = 60;
/// Bytes that frame a key in a condition.
const CONDITION_FRAME_BYTES: usize = 40;

/// How many writes and conditions a transaction may have.
#[derive(Debug, Clone, Copy)]
pub(super) struct TransactionLimits {
    pub writes: usize,
    pub conditions: usize,
}

/// Room that a change takes in a transaction.
#[derive(Debug, Clone, Copy)]
pub(super) struct Space {
    pub writes: usize,
    pub conditions: usize,
    pub bytes: usize,
}

impl Space {
    /// That of one write with the condition on its own key.
    pub(super) fn one_write(bytes: usize) -> Space {
        Space { writes: 1, conditions: 1, bytes }
    }
}

/// A transaction being put together. Each key that it writes is required to have the version that
/// the leader knows.
#[derive(Debug)]
pub(super) struct TransactionBuilder {
    transaction: Transaction,
    /// Jobs whose record's version is required.
    jobs: BTreeSet<Id>,
    bytes: usize,
    /// Writes that will come for certain, with conditions on their own keys; their bytes are not known yet.
    reserved_writes: usize,
    limits: TransactionLimits,
}

impl TransactionBuilder {
    /// Most bytes, with room for what frames the values.
    pub(super) const MAX_BYTES: usize = MAX_BODY_BYTES * 7 / 8;

    /// An empty transaction.
    pub(super) fn new(limits: TransactionLimits) -> TransactionBuilder {
        let transaction = Transaction { preconditions: Vec::new(), writes: Vec::new() };
        TransactionBuilder { transaction, jobs: BTreeSet::new(), bytes: 0, reserved_writes: 0, limits }
    }

    /// Whether a change fits in beside the reserved writes. While there are none, a change that is too
    /// large for any transaction goes alone.
    pub(super) fn has_space_for(&self, space: Space) -> bool {
        let reserved = self.reserved_writes;
        (reserved == 0 || self.fits_bytes(space.bytes))
            && self.has_space_without_reserved(Space {
                writes: space.writes + reserved,
                conditions: space.conditions + reserved,
                bytes: space.bytes,
            })
    }

    /// Whether a change fits in if the reserved writes are left out of account.
    pub(super) fn has_space_without_reserved(&self, space: Space) -> bool {
        self.transaction.writes.len() + space.writes <= self.limits.writes
            && self.transaction.preconditions.len() + space.conditions <= self.limits.conditions
            && (self.fits_bytes(space.bytes) || self.transaction.writes.is_empty())
    }

    fn fits_bytes(&self, bytes: usize) -> bool {
        self.bytes + bytes <= Self::MAX_BYTES
    }

    /// One more write will come for certain.
    pub(super) fn reserve_write(&mut self) {
        self.reserved_writes += 1;
    }

    /// The reserved writes are put in now.
    pub(super) fn release_reserved(&mut self) {
        self.reserved_writes = 0;
    }

    /// Writes so far, the reserved ones included.
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

    /// Requires the leader's epoch, by its key's version. It counts no bytes: the limit leaves room.
    pub(super) fn require_epoch(&mut self, version: Revision) {
        self.transaction.preconditions.push(Precondition { key: keys::EPOCH.into(), version });
    }

    /// Requires that a key is not there.
    pub(super) fn require_absent(&mut self, key: String) {
        self.bytes += key.len() + CONDITION_FRAME_BYTES;
        self.transaction.preconditions.push(Precondition { key, version: Revision::ABSENT });
    }

    /// Requires that a job's record is the one that is known.
    pub(super) fn require_job_version(&mut self, job: &Job) {
        if self.jobs.insert(job.id.clone()) {
            let path = keys::job(&job.id);
            self.bytes += path.len() + CONDITION_FRAME_BYTES;
            self.transaction.preconditions.push(Precondition { key: path, version: job.record.version });
        }
    }

    /// Sets a key to a value of so many bytes.
    pub(super) fn set(&mut self, key: String, version: Revision, value: Value, bytes: usize) {
        self.bytes += bytes + key.len() * 2 + WRITE_FRAME_BYTES;
        self.transaction.preconditions.push(Precondition { key: key.clone(), version });
        self.transaction.writes.push(Write::set(key, value));
    }

    /// Removes a key.
    pub(super) fn drop_key(&mut self, key: String, version: Revision) {
        self.bytes += key.len() * 2 + WRITE_FRAME_BYTES;
        self.transaction.preconditions.push(Precondition { key: key.clone(), version });
        self.transaction.writes.push(Write::delete(key));
    }

    /// Removes a job's record, whose version may be required already.
    pub(super) fn drop_job(&mut self, job: &Job) {
        let key = keys::job(&job.id);
        if self.jobs.insert(job.id.clone()) {
            self.drop_key(key, job.record.version);
        } else {
            self.transaction.writes.push(Write::delete(key));
        }
    }

    /// The version that a key is required to have; absent for one that is not among the conditions.
    pub(super) fn required_version(&self, key: &str) -> Revision {
        let condition = self.transaction.preconditions.iter().find(|condition| condition.key == key);
        condition.map_or(Revision::ABSENT, |condition| condition.version)
    }

    /// A key that only the leader writes and that shows whether this was carried out, with its
    /// version before. None while there are no writes.
    pub(super) fn marker(&self) -> Option<Precondition> {
        let set = self.transaction.writes.iter().find_map(|write| match write {
            Write::Set { key, .. } if !key.starts_with(keys::JOBS) => Some(key),
            _ => None,
        });
        let dropped = self.transaction.writes.iter().find_map(|write| match write {
            Write::Delete { key } => Some(key),
            Write::Set { .. } => None,
        });
        let key = set.or(dropped)?;
        Some(Precondition { key: key.clone(), version: self.required_version(key) })
    }
}

#[cfg(test)]
mod tests;
