//! The cloud's catalog of machine types, asked for every few heartbeat intervals.

use crate::controller::Context;
use crate::io::CloudRequest;
use crate::leader::{Leader, LeaderRequest};
use shaleshunt_wire::Resources;
use shaleshunt_wire::cloud::{Catalog, MachineType};

/// Heartbeat intervals between two requests for the catalog.
const INTERVAL_HEARTBEATS: u64 = 10;

/// After a failed request it is asked for again in this part of a heartbeat interval.
const RETRIES_PER_HEARTBEAT: u64 = 2;

/// When the catalog is asked for next.
#[derive(Debug)]
pub(super) struct CatalogPoll {
    /// Steady clock, in ms.
    next_at: u64,
}

impl CatalogPoll {
    pub(super) fn new(now: u64) -> CatalogPoll {
        CatalogPoll { next_at: now }
    }
}

/// What of a machine type the controllers must know while the cloud can't be asked.
#[derive(PartialEq)]
struct StoredType<'a> {
    name: &'a str,
    resources: Resources,
    zones: &'a [String],
}

impl StoredType<'_> {
    fn of(machine_type: &MachineType) -> StoredType<'_> {
        StoredType { name: &machine_type.name, resources: machine_type.resources(), zones: &machine_type.zones }
    }
}

/// Whether two catalogs say the same of what must be known while the cloud can't be asked.
fn same_types(one: &Catalog, other: &Catalog) -> bool {
    one.machine_types.iter().map(StoredType::of).eq(other.machine_types.iter().map(StoredType::of))
}

impl Leader {
    /// Asks for the catalog if that is due.
    pub(super) fn request_catalog(&mut self, ctx: &mut Context) {
        let now = ctx.now.monotonic_ms;
        if now < self.autoscaler.catalog_poll.next_at {
            return;
        }
        self.autoscaler.catalog_poll.next_at = now + ctx.settings.heartbeat_interval_ms() * INTERVAL_HEARTBEATS;
        let wait = self.pending_request(LeaderRequest::Catalog);
        ctx.send_cloud(CloudRequest::Catalog, wait);
    }

    /// The catalog has come. It is stored if types changed, so that controllers know them when the cloud
    /// can't be asked.
    pub(super) fn take_catalog(&mut self, ctx: &mut Context, catalog: Catalog) {
        let changed = ctx.catalog.as_ref().is_none_or(|known| !same_types(known, &catalog));
        if changed || !self.store.has_catalog() {
            self.store.record_catalog();
        }
        self.fleet.machines.set_capacities(|name| catalog.machine_type(name).map(MachineType::resources));
        ctx.catalog = Some(catalog);
        self.scheduler.request_pass();
    }

    /// The catalog did not come, or was empty.
    pub(super) fn retry_catalog(&mut self, ctx: &Context) {
        let retry_ms = ctx.settings.heartbeat_interval_ms() / RETRIES_PER_HEARTBEAT;
        self.autoscaler.catalog_poll.next_at = ctx.now.monotonic_ms + retry_ms;
    }
}
