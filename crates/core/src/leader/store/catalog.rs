//! The recorded machine types, so that nodes know them in an outage of the cloud.

use super::transaction::{Space, TransactionBuilder};
use crate::records::keys;
use serde_json::json;
use shaleshunt_wire::Revision;
use shaleshunt_wire::cloud::Catalog;

/// Bytes that a machine type takes, as a first guess.
const MACHINE_TYPE_BYTES: usize = 300;

/// What is known of the machine types' record.
#[derive(Debug, Default)]
pub(super) struct CatalogRecord {
    version: Option<Revision>,
    pending: bool,
}

impl CatalogRecord {
    /// The record was read during a failover.
    pub(super) fn restore(&mut self, version: Revision) {
        self.version = Some(version);
    }

    pub(super) fn is_recorded(&self) -> bool {
        self.version.is_some()
    }

    /// Queues the record to be written.
    pub(super) fn record(&mut self) {
        self.pending = true;
    }

    /// Puts the record into a transaction if there is room. One that is too long for a value is not
    /// written: each node asks the cloud for it. Whether it is in the transaction.
    pub(super) fn collect(
        &mut self,
        catalog: Option<&Catalog>,
        value_bytes: usize,
        builder: &mut TransactionBuilder,
    ) -> bool {
        let Some(catalog) = catalog.filter(|_| self.pending) else { return false };
        let guess = Space::one_write(catalog.machine_types.len() * MACHINE_TYPE_BYTES);
        // Pages being put together are left out of account here: the record is written once.
        if !builder.has_space_without_reserved(guess) {
            return false;
        }
        let value = json!(catalog);
        let bytes = value.to_string().len();
        self.pending = false;
        if bytes > value_bytes {
            return false;
        }
        builder.set(keys::CATALOG.into(), self.version.unwrap_or(Revision::ABSENT), value, bytes);
        true
    }

    /// The record is stored.
    pub(super) fn apply_committed(&mut self, revision: Revision) {
        self.version = Some(revision);
    }
}
