//! The stored record of the machine types, which makes them available to controllers during an outage of the cloud.

use super::transaction::{Space, TransactionBuilder};
use crate::records::keys;
use serde_json::json;
use shaleshunt_wire::Revision;
use shaleshunt_wire::cloud::Catalog;

/// Estimated bytes of a machine type in the record.
const ESTIMATED_MACHINE_TYPE_BYTES: usize = 300;

/// Bookkeeping for the record of the machine types.
#[derive(Debug, Default)]
pub(super) struct CatalogRecord {
    /// Version of the stored record. `None` if it is not stored.
    version: Option<Revision>,
    pending: bool,
}

impl CatalogRecord {
    /// Restores the version of a record that an earlier leader stored.
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

    /// Adds the record to a transaction if there is space, and returns whether it was added. A record that exceeds a
    /// value is not written; each controller then asks the cloud for the machine types.
    pub(super) fn collect(
        &mut self,
        catalog: Option<&Catalog>,
        max_value_bytes: usize,
        builder: &mut TransactionBuilder,
    ) -> bool {
        let Some(catalog) = catalog.filter(|_| self.pending) else { return false };
        let estimate = Space::one_write(catalog.machine_types.len() * ESTIMATED_MACHINE_TYPE_BYTES);
        // The record is written only once, so space reserved for task pages is not considered.
        if !builder.has_space_without_reserved(estimate) {
            return false;
        }
        let value = json!(catalog);
        let bytes = value.to_string().len();
        self.pending = false;
        if bytes > max_value_bytes {
            return false;
        }
        builder.set(keys::CATALOG.into(), self.version.unwrap_or(Revision::ABSENT), value, bytes);
        true
    }

    /// Applies the committed write of the record.
    pub(super) fn apply_committed(&mut self, revision: Revision) {
        self.version = Some(revision);
    }
}
