//! The data model of a parsed scenario.

use super::expectation::Expectation;
use crate::simulation::{Fault, PlannedJob, ProgramVersion};
use shaleshunt_core::settings::{ServiceObjective, StoreQuota, TeamQuota};
use shaleshunt_wire::cloud::MachineType;
use std::collections::BTreeMap;

/// The settings of a site that scenarios can change; the defaults are those of [`SiteSettings::default`].
#[derive(Debug, Clone)]
pub(super) struct SiteSettings {
    /// Number of controllers; controller N is in zone N modulo the number of zones.
    pub(super) controllers: usize,
    pub(super) zones: Vec<String>,
    pub(super) heartbeat_interval_s: f64,
    pub(super) lease_s: f64,
    /// Time in seconds after which a cancelled job's tasks must have stopped.
    pub(super) cancel_s: f64,
    pub(super) teams: BTreeMap<String, TeamQuota>,
    pub(super) objectives: BTreeMap<String, ServiceObjective>,
    pub(super) store: StoreSettings,
    /// The version that all controllers run at first.
    pub(super) version: ProgramVersion,
}

/// The limits of the key-value store.
#[derive(Debug, Clone)]
pub(super) struct StoreSettings {
    pub(super) writes_per_s: f64,
    /// Maximum number of writes per transaction.
    pub(super) transaction_writes: usize,
    /// Maximum rate of requests; 0 means no limit.
    pub(super) requests_per_s: f64,
    /// Future limits that the controllers' settings announce; `None` if they announce none.
    pub(super) announced_limits: Option<StoreQuota>,
}

/// The number of machines of one type that the cloud can provide in a zone.
#[derive(Debug, Clone)]
pub(super) struct Capacity {
    pub(super) machine_type: String,
    pub(super) zone: String,
    pub(super) on_demand: u32,
    pub(super) spot: u32,
}

/// Machines that the site owns and that run from the beginning.
#[derive(Debug, Clone)]
pub(super) struct OwnedMachines {
    pub(super) machine_type: String,
    pub(super) zone: String,
    pub(super) count: u32,
}

/// The machine types of the cloud, the cloud's capacity and the owned machines of the site.
#[derive(Debug, Clone, Default)]
pub(super) struct MachineSetup {
    pub(super) types: Vec<MachineType>,
    pub(super) capacity: Vec<Capacity>,
    pub(super) owned: Vec<OwnedMachines>,
    /// Whether a new machine gets the address of one that is gone.
    pub(super) reuse_addresses: bool,
}

/// The state before the simulation starts.
#[derive(Debug, Clone, Default)]
pub(super) struct InitialState {
    /// Entries of the key-value store.
    pub(super) store_entries: Vec<StoredValue>,
    /// Names of tasks that count as completed.
    pub(super) completed: Vec<String>,
}

/// A key of the key-value store and its value.
#[derive(Debug, Clone)]
pub(super) struct StoredValue {
    pub(super) key: String,
    pub(super) value: serde_json::Value,
}

/// A fault and the time at which it begins.
#[derive(Debug, Clone)]
pub struct TimedFault {
    /// Beginning of the fault in ms since the simulation started, before jitter is added.
    pub at_ms: u64,
    /// The fault to inject.
    pub fault: Fault,
}

/// An expectation and its line in the scenario file.
#[derive(Debug, Clone)]
pub struct ExpectationLine {
    /// Line number, counted from 1.
    pub line: usize,
    /// The condition that must hold when the simulation ends.
    pub expectation: Expectation,
}

/// A parsed scenario.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Number of seeds to simulate; each seed gives other message delays.
    pub(super) seeds: u64,
    /// Exclusive upper bound of the delay that a seed adds to the beginning of each fault, in ms; 0 adds none.
    pub(super) jitter_ms: u64,
    pub(super) site: SiteSettings,
    pub(super) machines: MachineSetup,
    pub(super) initial: InitialState,
    pub(super) jobs: Vec<PlannedJob>,
    pub(super) faults: Vec<TimedFault>,
    /// End of the simulation in ms since its start.
    pub(super) end_ms: u64,
    pub(super) expectations: Vec<ExpectationLine>,
}

impl Default for SiteSettings {
    fn default() -> SiteSettings {
        SiteSettings {
            controllers: 3,
            zones: vec!["a".into(), "b".into(), "c".into()],
            heartbeat_interval_s: 3.0,
            lease_s: 27.0,
            cancel_s: 52.0,
            teams: BTreeMap::from([("t".to_string(), TeamQuota::default())]),
            objectives: BTreeMap::new(),
            store: StoreSettings {
                writes_per_s: 80.0,
                transaction_writes: 24,
                requests_per_s: 0.0,
                announced_limits: None,
            },
            version: ProgramVersion::Current,
        }
    }
}

impl Default for Scenario {
    fn default() -> Scenario {
        Scenario {
            seeds: 1,
            jitter_ms: 0,
            site: SiteSettings::default(),
            machines: MachineSetup::default(),
            initial: InitialState::default(),
            jobs: Vec::new(),
            faults: Vec::new(),
            end_ms: 60_000,
            expectations: Vec::new(),
        }
    }
}
