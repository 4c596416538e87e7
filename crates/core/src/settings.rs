//! Settings that the platform provides, and the properties that operators set ([`Tuning`]).

mod tuning;

pub use tuning::{PropertyEntry, PropertyError, Tuning, newer_names, renamed_key};

use shaleshunt_wire::Resources;
use std::collections::BTreeMap;

/// An amount of CPUs and accelerator cards, in thousandths.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ComputeAmount {
    /// CPUs, in thousandths.
    pub cores: i64,
    /// Accelerator cards, in thousandths.
    pub accelerators: i64,
}

/// Guarantee and limit of a team's usage.
#[derive(Debug, Clone, Default)]
pub struct TeamQuota {
    /// Amount that the team gets before other teams may exceed their guarantees; zero for no guarantee.
    pub guarantee: ComputeAmount,
    /// Maximum that the team may use; zero for no limit.
    pub limit: ComputeAmount,
}

impl TeamQuota {
    /// Whether `used` is within the limit.
    pub fn within_limit(&self, used: &Resources) -> bool {
        let within = |limit: i64, used: i64| limit == 0 || used <= limit;
        within(self.limit.cores, used.cores) && within(self.limit.accelerators, used.accelerators)
    }

    /// Number of tasks that take `need` each and fit between `used` and the limit.
    pub fn max_tasks(&self, used: &Resources, need: &Resources) -> u32 {
        let cores = times_within(self.limit.cores, used.cores, need.cores);
        let accelerators = times_within(self.limit.accelerators, used.accelerators, need.accelerators);
        cores.min(accelerators) as u32
    }

    /// Whether `used` is within the guarantee.
    pub fn within_guarantee(&self, used: &Resources) -> bool {
        used.cores <= self.guarantee.cores && used.accelerators <= self.guarantee.accelerators
    }
}

/// Number of times that `need` fits between `used` and `limit`; a limit or a need of zero sets no bound.
fn times_within(limit: i64, used: i64, need: i64) -> i64 {
    match (limit, need) {
        (0, _) | (_, 0) => i64::from(u32::MAX),
        _ => (limit - used).max(0) / need,
    }
}

/// Service-level objectives of a class of jobs. A class may have several of a kind.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ServiceObjective {
    /// Times within which tasks start, in seconds; empty without such an objective.
    pub start_s: Vec<f64>,
    /// Times within which jobs complete, in seconds; empty without such an objective.
    pub finish_s: Vec<f64>,
    /// Multiples of their deadlines within which jobs complete; empty without such an objective.
    pub deadline_multiples: Vec<f64>,
}

impl ServiceObjective {
    /// Shortest of the times within which tasks start, in seconds; `None` without such an objective.
    pub fn shortest_start_s(&self) -> Option<f64> {
        self.start_s.iter().copied().reduce(f64::min)
    }

    /// Shortest of the times within which jobs complete, in seconds; `None` without such an objective.
    pub fn shortest_finish_s(&self) -> Option<f64> {
        self.finish_s.iter().copied().reduce(f64::min)
    }
}

const BYTES_PER_KIB: f64 = 1024.0;
/// Fraction of the largest value that is used; the rest is left to what the store adds to a value.
const USABLE_VALUE_FRACTION: f64 = 0.95;

/// Limits that the platform grants at the key-value store.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct StoreQuota {
    /// Largest value, in KiB.
    pub value_kb: f64,
    /// Maximum number of writes in a transaction.
    pub txn_ops: usize,
    /// Maximum number of writes per second.
    pub write_rps: f64,
}

impl StoreQuota {
    /// Largest value in bytes, less a margin for what the store adds.
    pub fn max_value_bytes(&self) -> usize {
        (self.value_kb * BYTES_PER_KIB * USABLE_VALUE_FRACTION) as usize
    }
}

/// Settings of the platform, in the units in which the controller uses them.
#[derive(Debug, Clone, Default)]
pub struct Settings {
    /// Node name of this controller.
    pub node_name: String,
    /// Zone of this controller.
    pub zone: String,
    /// Node names and zones of the other controllers.
    pub peers: Vec<(String, String)>,
    /// All zones.
    pub zones: Vec<String>,
    /// Quotas by team.
    pub teams: BTreeMap<String, TeamQuota>,
    /// Service-level objectives by class of jobs.
    pub objectives: BTreeMap<String, ServiceObjective>,
    /// Heartbeat interval of an agent, in seconds.
    pub heartbeat_interval_s: f64,
    /// Duration of a machine lease, in seconds. An agent stops its tasks when the lease expires without a renewal.
    pub lease_s: f64,
    /// Time from a cancellation within which all tasks of the job must have stopped, in seconds.
    pub cancel_s: f64,
    /// Maximum number of requests to the key-value store per second.
    pub kv_rps: f64,
    /// Present limits of the key-value store.
    pub store_quota: StoreQuota,
    /// Limits of the key-value store that come into force at an unknown time; `None` if no change is announced.
    pub next_store_quota: Option<StoreQuota>,
    /// Maximum number of requests to the cloud per second.
    pub cloud_rps: f64,
    /// Time by which the cloud's list of machines may lag behind, in seconds.
    pub machine_list_lag_s: f64,
    /// Memory that this process may use, in MiB.
    pub mem_mb: f64,
    /// Fraction of a processor core that this process may use.
    pub core_share: f64,
    /// Maximum number of open sockets of this process.
    pub sockets: usize,
}

impl Settings {
    /// Time since the last response of the key-value store during which a controller may renew machine leases, in
    /// milliseconds. A cancellation that is recorded just after that response must have taken effect, lease expiry
    /// included, within `cancel_s`. The margin covers clock drift (0.05% each way) and timers that fire late.
    pub fn lease_renewal_window_ms(&self) -> u64 {
        let margin_s = (self.cancel_s * 0.015).max(0.2);
        ((self.cancel_s - self.lease_s * 1.002 - margin_s).max(0.0) * 1000.0) as u64
    }

    /// Time since the last heartbeat received after which the machine lease has certainly expired, in milliseconds.
    pub fn lease_expiry_ms(&self) -> u64 {
        (self.lease_s * 1002.0 + self.heartbeat_interval_s * 100.0) as u64
    }

    /// Longest interval between two batches of a process that has enough processor time, in milliseconds.
    pub fn max_batch_interval_ms(&self) -> u64 {
        (self.heartbeat_interval_s * 1000.0 / 60.0) as u64
    }

    /// Heartbeat interval of an agent, in milliseconds.
    pub fn heartbeat_interval_ms(&self) -> u64 {
        (self.heartbeat_interval_s * 1000.0) as u64
    }
}
