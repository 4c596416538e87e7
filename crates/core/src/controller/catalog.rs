//! Reading of the catalog of machine types: from the key-value store, or from the cloud while the store has none.

use super::context::Context;
use super::pending::PendingRequest;
use crate::io::{CloudReply, CloudRequest, KvReply, KvRequest, RequestError};
use crate::model::keys;
use shaleshunt_wire::cloud::Catalog;

/// Reads per heartbeat interval while no catalog is known.
const READS_PER_INTERVAL_UNKNOWN: u64 = 3;
/// A known catalog is read again after this many times the interval between reads while none is known.
const KNOWN_INTERVAL_FACTOR: u64 = 20;

/// When the catalog is read next.
#[derive(Debug)]
pub(super) struct CatalogReader {
    due_at: u64,
}

impl CatalogReader {
    /// A reader that begins now.
    pub fn new(now: u64) -> CatalogReader {
        CatalogReader { due_at: now }
    }

    /// Reads the catalog if that is due.
    pub fn run_due(&mut self, ctx: &mut Context) {
        let now = ctx.now_ms();
        if now < self.due_at {
            return;
        }
        let factor = if ctx.catalog.is_some() { KNOWN_INTERVAL_FACTOR } else { 1 };
        self.due_at = now + ctx.settings.heartbeat_interval_ms() * factor / READS_PER_INTERVAL_UNKNOWN;
        ctx.send_kv(KvRequest::Get { key: keys::CATALOG.into() }, PendingRequest::Catalog);
    }
}

/// Takes in the key-value store's reply; asks the cloud if neither the store nor this process knows a catalog.
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

/// Takes in the cloud's reply.
pub(super) fn handle_cloud_reply(ctx: &mut Context, result: Result<CloudReply, RequestError>) {
    if let Ok(CloudReply::Catalog(catalog)) = result {
        set_catalog(ctx, catalog);
    }
}

/// An empty catalog is a fault of its source: the known one stays.
fn set_catalog(ctx: &mut Context, catalog: Catalog) {
    if !catalog.machine_types.is_empty() {
        ctx.catalog = Some(catalog);
    }
}
