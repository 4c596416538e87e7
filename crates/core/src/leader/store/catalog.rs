//! The recorded machine types, so that nodes know them in an outage of the cloud.

use super::changes::Changes;
use super::transaction::Space;
use crate::controller::Context;
use crate::records::keys;
use serde_json::json;
use shaleshunt_wire::Revision;

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
    /// written: each node asks the cloud for it.
    pub(super) fn collect(&mut self, ctx: &Context, changes: &mut Changes) {
        let Some(catalog) = ctx.catalog.as_ref().filter(|_| self.pending) else { return };
        let guess = Space::one_write(catalog.machine_types.len() * MACHINE_TYPE_BYTES);
        // Pages being put together are left out of account here: the record is written once.
        if !changes.builder.has_space_for(guess) {
            return;
        }
        let value = json!(catalog);
        let bytes = value.to_string().len();
        if bytes <= ctx.limits.value_bytes() {
            let version = self.version.unwrap_or(Revision::ABSENT);
            changes.builder.set(keys::CATALOG.into(), version, value, bytes);
            changes.catalog = true;
        }
        self.pending = false;
    }

    /// The record is stored.
    pub(super) fn apply_committed(&mut self, revision: Revision) {
        self.version = Some(revision);
    }
}
