//! Reads the catalog of machine types from the key-value store, or from the cloud while the store has none.

use super::context::Context;
use super::pending::PendingRequest;
use crate::io::{CloudReply, CloudRequest, KvReply, KvRequest, RequestError};
use crate::model::keys;
use shaleshunt_wire::cloud::Catalog;

/// Catalog reads per heartbeat interval while no catalog is known.
const READS_PER_HEARTBEAT_WITHOUT_CATALOG: u64 = 3;
/// Factor by which the interval between catalog reads grows once a catalog is known.
const KNOWN_CATALOG_INTERVAL_FACTOR: u64 = 20;

/// Schedule of the catalog reads.
#[derive(Debug)]
pub(super) struct CatalogReader {
    /// Time of the next read on the monotonic clock.
    due_at_ms: u64,
}

impl CatalogReader {
    /// Creates a reader whose first read is due at `now_ms`.
    pub fn new(now_ms: u64) -> CatalogReader {
        CatalogReader { due_at_ms: now_ms }
    }

    /// Sends a catalog read if one is due.
    pub fn run_due(&mut self, ctx: &mut Context) {
        let now_ms = ctx.now_ms();
        if now_ms < self.due_at_ms {
            return;
        }
        let factor = if ctx.catalog.is_some() { KNOWN_CATALOG_INTERVAL_FACTOR } else { 1 };
        self.due_at_ms = now_ms + ctx.settings.heartbeat_interval_ms() * factor / READS_PER_HEARTBEAT_WITHOUT_CATALOG;
        ctx.send_kv(KvRequest::Get { key: keys::CATALOG.into() }, PendingRequest::Catalog);
    }
}

/// Handles the key-value store's reply. Requests the catalog from the cloud if neither the store nor this process has
/// one.
pub(super) fn handle_kv_reply(ctx: &mut Context, result: Result<KvReply, RequestError>) {
    let stored = match result {
        Ok(KvReply::Found(pair)) => serde_json::from_value::<Catalog>(pair.value).ok(),
        _ => None,
    };
    match stored {
        Some(catalog) => set_catalog(ctx, catalog),
        None if ctx.catalog.is_none() => ctx.send_cloud(CloudRequest::Catalog, PendingRequest::Catalog),
        None => {}
    }
}

/// Handles the cloud's reply.
pub(super) fn handle_cloud_reply(ctx: &mut Context, result: Result<CloudReply, RequestError>) {
    if let Ok(CloudReply::Catalog(catalog)) = result {
        set_catalog(ctx, catalog);
    }
}

/// Replaces the known catalog, unless the new one is empty: an empty catalog is a fault of its source.
fn set_catalog(ctx: &mut Context, catalog: Catalog) {
    if !catalog.machine_types.is_empty() {
        ctx.catalog = Some(catalog);
    }
}
