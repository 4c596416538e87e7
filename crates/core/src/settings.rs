//! Settings: what the platform hands over, and the operators' own ([`Tuning`]).

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

/// A team's guarantee and limit.
#[derive(Debug, Clone, Default)]
pub struct TeamQuota {
    /// What the team gets before other teams exceed their guarantees; zero for no guarantee.
    pub guarantee: ComputeAmount,
    /// The most that the team may use; zero for no limit.
    pub limit: ComputeAmount,
}

impl TeamQuota {
    /// Whether `used` is within the limit.
    pub fn within_limit(&self, used: &Resources) -> bool {
        let within = |limit: i64, used: i64| limit == 0 || used <= limit;
        within(self.limit.cores, used.cores) && within(self.limit.accelerators, used.accelerators)
    }

    /// How many times `need` fits between `used` and the limit.
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

/// How many times `need` fits between `used` and a limit, zero being none.
fn times_within(limit: i64, used: i64, need: i64) -> i64 {
    match (limit, need) {
        (0, _) | (_, 0) => i64::from(u32::MAX),
        _ => (limit - used).max(0) / need,
    }
}

/// Service-level objectives of a class of jobs.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ServiceObjective {
    /// Tasks start within these times, in seconds.
    pub start_s: Vec<f64>,
    /// Jobs complete within these times, in seconds.
    pub finish_s: Vec<f64>,
    /// Jobs complete within these multiples of their deadlines.
    pub deadline_multiples: Vec<f64>,
}

impl ServiceObjective {
    /// The shortest of the times within which tasks start, in seconds; `None` without such an objective.
    pub fn shortest_start_s(&self) -> Option<f64> {
        self.start_s.iter().copied().reduce(f64::min)
    }

    /// The shortest of the times within which jobs complete, in seconds; `None` without such an objective.
    pub fn shortest_finish_s(&self) -> Option<f64> {
        self.finish_s.iter().copied().reduce(f64::min)
    }
}

const BYTES_PER_KIB: f64 = 1024.0;
/// Share of the largest value that is used; the rest is left to what the store adds to it.
const VALUE_FILL: f64 = 0.95;

/// Limits of the key-value store.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct StoreQuota {
    /// Largest value, in KiB.
    pub value_kb: f64,
    /// Most writes in a transaction.
    pub txn_ops: usize,
    /// Most writes in a second.
    pub write_rps: f64,
}

impl StoreQuota {
    /// Largest value in bytes, less a margin for what the store adds.
    pub fn max_value_bytes(&self) -> usize {
        (self.value_kb * BYTES_PER_KIB * VALUE_FILL) as usize
    }
}

/// The platform's settings, as the owner needs them.
#[derive(Debug, Clone, Default)]
pub struct Settings {
    /// Name of this node.
    pub node_name: String,
    /// Zone of this node.
    pub zone: String,
    /// Names and zones of the other nodes.
    pub peers: Vec<(String, String)>,
    /// All zones.
    pub zones: Vec<String>,
    /// Quotas by team.
    pub teams: BTreeMap<String, TeamQuota>,
    /// Service-level objectives by class of jobs.
    pub objectives: BTreeMap<String, ServiceObjective>,
    /// Interval between an agent's heartbeats, in seconds.
    pub heartbeat_interval_s: f64,
    /// An agent's lease, in seconds: it stops its tasks when the lease expires.
    pub lease_s: f64,
    /// Time within which a cancelled job must have stopped everywhere, in seconds.
    pub cancel_s: f64,
    /// Key-value store: most requests in a second.
    pub kv_rps: f64,
    /// Key-value store: its present limits.
    pub store_quota: StoreQuota,
    /// Key-value store: limits that come into force at a time that is not announced.
    pub next_store_quota: Option<StoreQuota>,
    /// Cloud: most requests in a second.
    pub cloud_rps: f64,
    /// Cloud: how far its list of machines lags behind, in seconds.
    pub machine_list_lag_s: f64,
    /// Memory that this process may use, in MiB.
    pub mem_mb: f64,
    /// Share of a processor core that this process may use.
    pub core_share: f64,
    /// Most sockets that this process may have open.
    pub sockets: usize,
}

impl Settings {
    /// How long a controller may go without an answer from the key-value store and still renew agents' leases, in
    /// milliseconds: a cancellation that it missed just after the last answer must have taken effect, lease expiry
    /// included, within `cancel_s`. The margin covers clocks (0.05% each way) and timers that fire late.
    pub fn lease_renewal_window_ms(&self) -> u64 {
        let margin_s = (self.cancel_s * 0.015).max(0.2);
        ((self.cancel_s - self.lease_s * 1.002 - margin_s).max(0.0) * 1000.0) as u64
    }

    /// Time after which a lease has surely expired, counted from the last heartbeat received, in milliseconds.
    pub fn lease_expiry_ms(&self) -> u64 {
        (self.lease_s * 1002.0 + self.heartbeat_interval_s * 100.0) as u64
    }

    /// Longest time between two batches of a process that is not short of processor time, in milliseconds.
    pub fn max_batch_interval_ms(&self) -> u64 {
        (self.heartbeat_interval_s * 1000.0 / 60.0) as u64
    }

    /// Interval between an agent's heartbeats, in milliseconds.
    pub fn heartbeat_interval_ms(&self) -> u64 {
        (self.heartbeat_interval_s * 1000.0) as u64
    }
}
