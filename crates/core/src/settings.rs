//! Settings: what the platform hands over, and the operators' own.

use shaleshunt_wire::Resources;
use std::collections::BTreeMap;

/// A team's guarantee and limit; zero means none.
#[derive(Debug, Clone, Default)]
pub struct TeamQuota {
    /// Guaranteed CPUs and cards, in thousandths.
    pub guarantee: (i64, i64),
    /// Most CPUs and cards, in thousandths; 0 for no limit.
    pub limit: (i64, i64),
}

impl TeamQuota {
    /// Whether `used` is within the limit.
    pub fn allows(&self, used: &Resources) -> bool {
        (self.limit.0 == 0 || used.cores <= self.limit.0) && (self.limit.1 == 0 || used.accelerators <= self.limit.1)
    }
    /// How many times `need` fits between `used` and the limit.
    pub fn max_tasks(&self, used: &Resources, need: &Resources) -> u32 {
        let part = |limit: i64, used: i64, need: i64| match (limit, need) {
            (0, _) | (_, 0) => i64::from(u32::MAX),
            _ => (limit - used).max(0) / need,
        };
        let times =
            part(self.limit.0, used.cores, need.cores).min(part(self.limit.1, used.accelerators, need.accelerators));
        times as u32
    }
    /// Whether `used` is within the guarantee.
    pub fn guarantees(&self, used: &Resources) -> bool {
        used.cores <= self.guarantee.0 && used.accelerators <= self.guarantee.1
    }
}

/// What a class of jobs is expected to do.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ServiceObjective {
    /// Tasks start within these times.
    pub start_s: Vec<f64>,
    /// Jobs are done within these times.
    pub finish_s: Vec<f64>,
    /// Jobs are done within these multiples of their deadlines.
    pub times: Vec<f64>,
}

impl ServiceObjective {
    /// The shortest time for starts.
    pub fn start(&self) -> Option<f64> {
        self.start_s.iter().copied().reduce(f64::min)
    }
    /// The shortest time for ends.
    pub fn finish(&self) -> Option<f64> {
        self.finish_s.iter().copied().reduce(f64::min)
    }
}

/// Limits of the state service.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Limits {
    /// KiB per value.
    pub value_kb: f64,
    /// Writes per transaction.
    pub txn_ops: usize,
    /// Writes a second.
    pub write_rps: f64,
}

impl Limits {
    /// Bytes that one value may have, with room for its frame.
    pub fn value_bytes(&self) -> usize {
        (self.value_kb * 1024.0 * 0.95) as usize
    }
}

/// The platform's settings, as the owner needs them.
#[derive(Debug, Clone, Default)]
pub struct Settings {
    /// This node.
    pub node_name: String,
    /// Its zone.
    pub location: String,
    /// The other nodes, with their zones.
    pub peers: Vec<(String, String)>,
    /// All zones.
    pub zones: Vec<String>,
    /// Teams by name.
    pub teams: BTreeMap<String, TeamQuota>,
    /// Aims by class.
    pub objectives: BTreeMap<String, ServiceObjective>,
    /// Interval between reports.
    pub heartbeat_interval_s: f64,
    /// Workers' lease.
    pub lease_s: f64,
    /// Time in which a cancelled job must be gone.
    pub cancel_s: f64,
    /// State service: requests a second.
    pub kv_rps: f64,
    /// State service: its limits today.
    pub state: Limits,
    /// State service: its limits from some moment on, of which nobody tells.
    pub state_next: Option<Limits>,
    /// Cloud: requests a second.
    pub cloud_rps: f64,
    /// Cloud: how old a list is.
    pub machine_list_lag_s: f64,
    /// Memory limit.
    pub mem_mb: f64,
    /// Share of a core.
    pub core_share: f64,
    /// Most open sockets.
    pub sockets: usize,
}

/// Keys of earlier versions with their names of today. They are still read.
const RENAMED: [(&str, &str); 2] =
    [("floor.silent-reports", "machine.silent-reports"), ("floor.sick-s", "machine.sick-s")];

/// The name of today of a key that has been renamed.
pub fn renamed_key(key: &str) -> Option<&'static str> {
    RENAMED.iter().find(|(old, _)| *old == key).map(|(_, new)| *new)
}

macro_rules! tuning {
    ($($(#[doc = $doc:literal])* $field:ident = $key:literal : $default:expr, $low:expr, $high:expr;)*) => {
        /// The operators' own settings. Every one has a default; `deploy/shaleshunt.properties` lists them.
        #[derive(Debug, Clone, PartialEq)]
        pub struct Tuning { $($(#[doc = $doc])* pub $field: f64,)* }
        impl Default for Tuning {
            fn default() -> Self { Tuning { $($field: $default,)* } }
        }
        impl Tuning {
            /// Every key with its value and its least and greatest value.
            pub fn entries(&self) -> Vec<(&'static str, f64, f64, f64)> { vec![$(($key, self.$field, $low, $high),)*] }
            /// Sets a key; says what is wrong with it otherwise.
            pub fn set(&mut self, key: &str, value: &str) -> Result<(), String> {
                let key = renamed_key(key).unwrap_or(key);
                let number: f64 = value.trim().parse().map_err(|_| format!("{key}: not a number: {value}"))?;
                match key {
                    $($key => {
                        if !(number.is_finite() && ($low..=$high).contains(&number)) {
                            return Err(format!("{key}: must be from {} to {}, not {value}", $low, $high));
                        }
                        self.$field = number;
                    })*
                    _ => return Err(format!("{key}: no such property")),
                }
                Ok(())
            }
        }
    };
}

tuning! {
    /// A task with less slack than this goes to rented machines (design: boot allowance).
    boot_allowance_s = "slack.boot-allowance-s": 60.0, 0.0, 3600.0;
    /// Jobs without a deadline rent after this wait.
    scale_out_wait_s = "rent.plain-wait-s": 60.0, 0.0, 86400.0;
    /// Share of a class's aim, less a boot, that its jobs wait before they rent.
    objective_share = "rent.aim-share": 0.25, 0.0, 1.0;
    /// Room is kept for as much as arrived within so many boot times.
    reserve_boot_times = "rent.reserve-boots": 2.0, 0.0, 20.0;
    /// Interval between rounds of renting.
    autoscaler_interval_s = "rent.round-s": 1.0, 0.1, 60.0;
    /// A rented machine without work goes back after this time.
    idle_before_scale_in_s = "rent.idle-s": 45.0, 1.0, 86400.0;
    /// Share of the cloud's request rate that hires use.
    scale_out_request_share = "rent.call-share": 0.4, 0.01, 1.0;
    /// A job of which nothing has begun after half of this time goes before others of its urgency,
    /// and after three quarters one task of it goes before everything.
    start_within_s = "queue.begin-within-s": 240.0, 1.0, 86400.0;
    /// Machines looked at, as a sample, when less urgent work is to make room.
    sample = "queue.sample": 64.0, 1.0, 100000.0;
    /// Machines examined for room in one pass over the queue before a sample is looked at for each further job.
    pass_machines = "queue.machines-per-pass": 40000.0, 1.0, 10000000.0;
    /// Passes over the queue in a reporting interval, at most.
    passes_per_heartbeat = "queue.passes-per-report": 80.0, 1.0, 1000.0;
    /// Term of a block of owned machines.
    zone_lease_term_s = "block.term-s": 30.0, 1.0, 600.0;
    /// The leader's lease at the state service, in reporting intervals of the workers.
    leader_lease_intervals = "lead.life-reports": 0.7, 0.2, 10.0;
    /// Share of the state service's write rate that the leader uses.
    write_share = "state.write-share": 0.7, 0.1, 1.0;
    /// Share of the state service's request rate that the leader's transactions use.
    request_share = "state.request-share": 0.2, 0.01, 1.0;
    /// A rented machine silent for so many reporting intervals is returned.
    missed_heartbeats = "machine.silent-reports": 3.0, 2.0, 100.0;
    /// A machine that failed is tried again after this time, doubled each time.
    quarantine_s = "machine.sick-s": 45.0, 1.0, 3600.0;
}

impl Settings {
    /// How long a node may go without news from the state service and still renew workers' leases:
    /// a cancellation that it missed just after its last news must be over, lease and all, within
    /// `cancel_s`. The margin covers clocks (0.05% each way) and timers that fire late.
    pub fn lease_renewal_window_ms(&self) -> u64 {
        let margin = (self.cancel_s * 0.015).max(0.2);
        ((self.cancel_s - self.lease_s * 1.002 - margin).max(0.0) * 1000.0) as u64
    }
    /// Time after which a lease has surely run out, counted from the last report received.
    pub fn lease_expiry_ms(&self) -> u64 {
        (self.lease_s * 1002.0 + self.heartbeat_interval_s * 100.0) as u64
    }
    /// Longest time between two batches of a node that is not short of processor time.
    pub fn max_batch_interval_ms(&self) -> u64 {
        (self.heartbeat_interval_s * 1000.0 / 60.0) as u64
    }
    /// Reporting interval in milliseconds.
    pub fn heartbeat_interval_ms(&self) -> u64 {
        (self.heartbeat_interval_s * 1000.0) as u64
    }
}
