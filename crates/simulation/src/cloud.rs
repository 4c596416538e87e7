//! A simulated cloud with limited capacity for each offer and an eventually consistent list of machines.
//!
//! Times are milliseconds of simulated time since the start of the run, unless a name has another unit.

use shaleshunt_core::RequestError;
use shaleshunt_core::io::{CloudReply, CloudRequest};
use shaleshunt_wire::cloud::{Catalog, ListPage, ListedMachine, ListedMachineStatus, ScaleOutRequest};
use std::collections::{BTreeMap, VecDeque};

/// Default number of machines on a page of the list; small, so that scenarios exercise paging.
const DEFAULT_MACHINES_PER_PAGE: usize = 5;
/// Minimum interval between two snapshots of the list of machines, in ms.
const LIST_SNAPSHOT_INTERVAL_MS: u64 = 500;
/// Fraction of the machine type's boot time that the first machine of a scale-out request takes to boot.
const FIRST_BOOT_FRACTION: f64 = 0.7;
/// Additional fraction of the boot time for each further machine of the same request.
const BOOT_FRACTION_STEP: f64 = 0.1;

/// A kind of machine that can be requested: all machines of an offer are interchangeable.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Offer {
    /// Name of the machine type.
    pub machine_type: String,
    /// Zone in which the machines run.
    pub zone: String,
    /// Whether the machines are spot instances.
    pub spot: bool,
}

impl Offer {
    /// The offer of machines that the cloud does not reclaim.
    pub fn on_demand(machine_type: &str, zone: &str) -> Offer {
        Offer { machine_type: machine_type.into(), zone: zone.into(), spot: false }
    }
}

/// A machine that the cloud has granted and not taken back.
#[derive(Debug, Clone)]
pub struct Instance {
    /// Name of the machine.
    pub id: String,
    /// Address of the machine's agent.
    pub address: String,
    /// Offer to which the machine belongs.
    pub offer: Offer,
    /// When the cloud granted the machine, in ms.
    pub created_at_ms: u64,
    /// When the boot completes, in ms; `None` if the machine never boots.
    pub up_at_ms: Option<u64>,
}

/// Result of a request to the cloud.
pub struct CloudOutcome {
    /// Reply to the requester.
    pub reply: Result<CloudReply, RequestError>,
    /// Names of the machines that the request scaled in.
    pub scaled_in: Vec<String>,
}

/// The list of machines at one time.
struct Snapshot {
    taken_at_ms: u64,
    machines: Vec<ListedMachine>,
}

/// A simulated cloud.
#[derive(Default)]
pub struct Cloud {
    /// Machine types that the cloud offers.
    pub catalog: Catalog,
    /// Number of machines that can still be granted, by offer; none for an offer without an entry.
    pub capacity: BTreeMap<Offer, u32>,
    /// Machines that exist, by name.
    pub instances: BTreeMap<String, Instance>,
    /// Names of the machines granted to each scale-out request, by idempotency key.
    requests: BTreeMap<String, Vec<String>>,
    created_count: u32,
    /// Whether a new machine gets the address of a machine that is gone, if there is one.
    pub reuses_addresses: bool,
    /// Addresses of machines that are gone, in the order in which they became free.
    free_addresses: VecDeque<String>,
    snapshots: Vec<Snapshot>,
    /// Minimum age of the snapshot that a list request returns, in ms; 0 by default.
    pub list_lag_ms: u64,
    /// Maximum number of machines on a page of the list; 0 selects the default, 5.
    pub page_size: usize,
    /// Whether the cloud refuses every request.
    pub down: bool,
    /// How many of the next machines granted by scale-out requests never boot.
    pub boot_failures_left: u32,
}

impl Cloud {
    /// Creates a machine whose boot completes at `up_at_ms`, and returns its name.
    pub fn create(&mut self, now: u64, offer: Offer, up_at_ms: Option<u64>) -> String {
        self.created_count += 1;
        let id = format!("vm-{:06}", self.created_count);
        let reused = if self.reuses_addresses { self.free_addresses.pop_front() } else { None };
        let address = reused.unwrap_or_else(|| id.clone());
        self.instances.insert(id.clone(), Instance { id: id.clone(), address, offer, created_at_ms: now, up_at_ms });
        id
    }

    /// Executes a request and returns its outcome.
    pub fn handle(&mut self, now: u64, request: CloudRequest) -> CloudOutcome {
        if self.down {
            return CloudOutcome { reply: Err(RequestError::Unavailable), scaled_in: Vec::new() };
        }
        let mut scaled_in = Vec::new();
        let reply = match request {
            CloudRequest::Catalog => CloudReply::Catalog(self.catalog.clone()),
            CloudRequest::ScaleOut(request) => self.scale_out(now, request),
            CloudRequest::ScaleIn(names) => {
                for name in &names {
                    self.release(name);
                }
                scaled_in = names;
                CloudReply::ScaledIn
            }
            CloudRequest::List { after } => CloudReply::MachineList(self.list(now, &after)),
        };
        CloudOutcome { reply: Ok(reply), scaled_in }
    }

    /// Grants the requested number of machines or as many as remain; a repeated request gets its first reply again.
    fn scale_out(&mut self, now: u64, request: ScaleOutRequest) -> CloudReply {
        if let Some(earlier) = self.requests.get(&request.request) {
            return CloudReply::ScaledOut(earlier.clone());
        }
        let offer = Offer { machine_type: request.machine_type, zone: request.zone, spot: request.spot };
        let remaining = self.capacity.get(&offer).copied().unwrap_or(0);
        let granted = remaining.min(request.count);
        if granted == 0 {
            return CloudReply::NoCapacity;
        }
        self.capacity.insert(offer.clone(), remaining - granted);
        let boot_s = self.catalog.machine_type(&offer.machine_type).map_or(0.0, |machine_type| machine_type.boot_s);
        let mut names = Vec::new();
        for number in 0..granted {
            let boots = self.boot_failures_left == 0;
            self.boot_failures_left = self.boot_failures_left.saturating_sub(1);
            let fraction = FIRST_BOOT_FRACTION + f64::from(number) * BOOT_FRACTION_STEP;
            let up_at_ms = now + (boot_s * 1000.0 * fraction) as u64;
            names.push(self.create(now, offer.clone(), boots.then_some(up_at_ms)));
        }
        self.requests.insert(request.request, names.clone());
        CloudReply::ScaledOut(names)
    }

    /// The page with the machines after a name, from the newest snapshot that is at least `list_lag_ms` old.
    fn list(&self, now: u64, after: &str) -> ListPage {
        let snapshot = self.snapshots.iter().rev().find(|snapshot| snapshot.taken_at_ms + self.list_lag_ms <= now);
        let listed = snapshot.map_or(&[][..], |snapshot| &snapshot.machines);
        let mut machines: Vec<ListedMachine> =
            listed.iter().filter(|machine| machine.id.as_str() > after).cloned().collect();
        let size = if self.page_size > 0 { self.page_size } else { DEFAULT_MACHINES_PER_PAGE };
        let truncated = machines.len() > size;
        machines.truncate(size);
        ListPage { machines, truncated }
    }

    /// Removes a machine and makes its capacity available again.
    pub fn release(&mut self, id: &str) {
        if let Some(instance) = self.instances.remove(id) {
            *self.capacity.entry(instance.offer).or_default() += 1;
            self.free_addresses.push_back(instance.address);
        }
    }

    /// Advances the cloud to `now`: takes a snapshot of the machines and drops snapshots no longer needed.
    pub fn advance(&mut self, now: u64) {
        if self.snapshots.last().is_some_and(|last| now < last.taken_at_ms + LIST_SNAPSHOT_INTERVAL_MS) {
            return;
        }
        let machines = self.instances.values().map(|instance| instance.listed(now)).collect();
        self.snapshots.push(Snapshot { taken_at_ms: now, machines });
        // Snapshots older than the newest one that may be listed are never listed again.
        let may_be_listed = |snapshot: &Snapshot| snapshot.taken_at_ms + self.list_lag_ms <= now;
        let newest = self.snapshots.iter().rposition(may_be_listed).unwrap_or(0);
        self.snapshots.drain(..newest);
    }
}

impl Instance {
    /// Whether the machine has booted by `now`.
    pub fn is_up(&self, now: u64) -> bool {
        self.up_at_ms.is_some_and(|up_at_ms| up_at_ms <= now)
    }

    fn listed(&self, now: u64) -> ListedMachine {
        ListedMachine {
            id: self.id.clone(),
            endpoint: self.address.clone(),
            machine_type: self.offer.machine_type.clone(),
            zone: self.offer.zone.clone(),
            spot: self.offer.spot,
            status: if self.is_up(now) { ListedMachineStatus::Running } else { ListedMachineStatus::Booting },
            age_s: (now - self.created_at_ms) as f64 / 1000.0,
        }
    }
}
