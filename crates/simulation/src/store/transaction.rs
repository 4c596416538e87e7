//! Transactions: writes of several keys under preconditions on the versions of keys.

use super::KeyValueStore;
use serde_json::Value;
use shaleshunt_core::{KvReply, RequestError};
use shaleshunt_wire::kv::{Transaction, Write};
use shaleshunt_wire::{MAX_BODY_BYTES, PRECONDITIONS_PER_WRITE, Revision};

impl KeyValueStore {
    pub(super) fn transact(&mut self, now: u64, transaction: Transaction) -> Result<KvReply, RequestError> {
        if self.exceeds_limits(&transaction) {
            self.rejections += 1;
            return Err(RequestError::Rejected("too large".into()));
        }
        if !self.write_rate.try_acquire(now, transaction.writes.len() as f64, self.limits.write_rps) {
            return Err(RequestError::Throttled);
        }
        let failed = self.failed_preconditions(&transaction);
        if !failed.is_empty() {
            return Ok(KvReply::Conflict(failed));
        }
        self.validate_writes(&transaction)?;
        if transaction.writes.is_empty() {
            return Ok(KvReply::Committed(self.revision));
        }
        self.revision = self.revision.next();
        for write in transaction.writes {
            match write {
                Write::Set { key, value, lease } => self.set(key, value, lease),
                Write::Drop { key } => self.delete(key),
            }
        }
        Ok(KvReply::Committed(self.revision))
    }

    fn exceeds_limits(&self, transaction: &Transaction) -> bool {
        let limits = &self.limits;
        let value_length = |value: &Value| value.to_string().len() as f64;
        let is_long =
            |write: &Write| matches!(write, Write::Set { value, .. } if value_length(value) > limits.value_kb * 1024.0);
        transaction.writes.len() > limits.txn_ops
            || transaction.preconditions.len() > limits.txn_ops * PRECONDITIONS_PER_WRITE
            || serde_json::to_string(transaction).map_or(0, |text| text.len()) > MAX_BODY_BYTES
            || transaction.writes.iter().any(is_long)
    }

    /// The keys whose version differs from the version in the transaction's precondition.
    fn failed_preconditions(&self, transaction: &Transaction) -> Vec<String> {
        let revision = |key: &str| self.entries.get(key).map_or(Revision::ABSENT, |entry| entry.revision);
        let failed =
            transaction.preconditions.iter().filter(|precondition| revision(&precondition.key) != precondition.version);
        failed.map(|precondition| precondition.key.clone()).collect()
    }

    /// Rejects writes under an unknown lease and writes of a key without a precondition on the key.
    fn validate_writes(&self, transaction: &Transaction) -> Result<(), RequestError> {
        let without_lease =
            |write: &Write| matches!(write, Write::Set { lease: Some(lease), .. } if !self.leases.contains_key(lease));
        if transaction.writes.iter().any(without_lease) {
            return Err(RequestError::Rejected("no such lease".into()));
        }
        for write in &transaction.writes {
            let key = key_of(write);
            if !transaction.preconditions.iter().any(|precondition| precondition.key == *key) {
                return Err(RequestError::Rejected(format!("write of {key} without a condition on it")));
            }
        }
        Ok(())
    }
}

fn key_of(write: &Write) -> &String {
    match write {
        Write::Set { key, .. } => key,
        Write::Drop { key } => key,
    }
}
