//! Polling of the cloud's catalog of machine types, every few heartbeat intervals.

use crate::controller::Context;
use crate::io::CloudRequest;
use crate::leader::{Leader, LeaderRequest};
use shaleshunt_wire::Resources;
use shaleshunt_wire::cloud::{Catalog, MachineType};

/// Heartbeat intervals between two requests for the catalog.
const HEARTBEATS_PER_REQUEST: u64 = 10;

/// Retries per heartbeat interval after a failed request.
const RETRIES_PER_HEARTBEAT: u64 = 2;

/// Time of the next request for the catalog.
#[derive(Debug)]
pub(super) struct CatalogPoll {
    /// Next request (ms, monotonic).
    next_at_ms: u64,
}

impl CatalogPoll {
    pub(super) fn new(now: u64) -> CatalogPoll {
        CatalogPoll { next_at_ms: now }
    }
}

/// The parts of a machine type that controllers need while the cloud cannot be reached.
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

/// Whether two catalogs agree in the parts that controllers need while the cloud cannot be reached.
fn same_types(one: &Catalog, other: &Catalog) -> bool {
    one.machine_types.iter().map(StoredType::of).eq(other.machine_types.iter().map(StoredType::of))
}

impl Leader {
    /// Requests the catalog if that is due.
    pub(super) fn request_catalog(&mut self, ctx: &mut Context) {
        let now = ctx.now.monotonic_ms;
        if now < self.autoscaler.catalog_poll.next_at_ms {
            return;
        }
        self.autoscaler.catalog_poll.next_at_ms = now + ctx.settings.heartbeat_interval_ms() * HEARTBEATS_PER_REQUEST;
        let pending = self.pending_request(LeaderRequest::Catalog);
        ctx.send_cloud(CloudRequest::Catalog, pending);
    }

    /// Processes a received catalog. A catalog with changed types is stored, so that controllers know the types while
    /// the cloud cannot be reached.
    pub(super) fn take_catalog(&mut self, ctx: &mut Context, catalog: Catalog) {
        let changed = ctx.catalog.as_ref().is_none_or(|known| !same_types(known, &catalog));
        if changed || !self.store.has_catalog() {
            self.store.record_catalog();
        }
        self.fleet.machines.set_capacities(|name| catalog.machine_type(name).map(MachineType::resources));
        ctx.catalog = Some(catalog);
        self.scheduler.request_pass();
    }

    /// Schedules a retry after the catalog was not received or was empty.
    pub(super) fn retry_catalog(&mut self, ctx: &Context) {
        let retry_ms = ctx.settings.heartbeat_interval_ms() / RETRIES_PER_HEARTBEAT;
        self.autoscaler.catalog_poll.next_at_ms = ctx.now.monotonic_ms + retry_ms;
    }
}
