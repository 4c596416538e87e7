//! What a scenario says.

use super::expectation::Expectation;
use crate::simulation::{Fault, PlannedJob, Version};
use shaleshunt_core::settings::{ServiceObjective, StoreQuota, TeamQuota};
use shaleshunt_wire::cloud::MachineType;
use std::collections::BTreeMap;

/// The site's settings, as far as scenarios change them.
#[derive(Debug, Clone)]
pub(super) struct SiteSettings {
    pub(super) controllers: usize,
    pub(super) zones: Vec<String>,
    pub(super) heartbeat_interval_s: f64,
    pub(super) lease_s: f64,
    pub(super) cancel_s: f64,
    pub(super) teams: BTreeMap<String, TeamQuota>,
    pub(super) objectives: BTreeMap<String, ServiceObjective>,
    pub(super) store: StoreSettings,
    pub(super) version: Version,
}

/// What the key-value store grants.
#[derive(Debug, Clone)]
pub(super) struct StoreSettings {
    pub(super) writes_per_s: f64,
    pub(super) transaction_writes: usize,
    /// 0 for no limit.
    pub(super) requests_per_s: f64,
    /// Limits that the settings announce.
    pub(super) announced_limits: Option<StoreQuota>,
}

/// What the cloud can hand out of a machine type in a zone.
#[derive(Debug, Clone)]
pub(super) struct Capacity {
    pub(super) machine_type: String,
    pub(super) zone: String,
    pub(super) on_demand: u32,
    pub(super) spot: u32,
}

/// Machines that the site owns from the beginning.
#[derive(Debug, Clone)]
pub(super) struct OwnedMachines {
    pub(super) machine_type: String,
    pub(super) zone: String,
    pub(super) count: u32,
}

/// The machines of a site and its cloud.
#[derive(Debug, Clone, Default)]
pub(super) struct MachineSetup {
    pub(super) types: Vec<MachineType>,
    pub(super) capacity: Vec<Capacity>,
    pub(super) owned: Vec<OwnedMachines>,
}

/// What is there before anything begins.
#[derive(Debug, Clone, Default)]
pub(super) struct InitialState {
    /// Keys of the key-value store.
    pub(super) store_entries: Vec<StoredValue>,
    /// Names of tasks that have completed.
    pub(super) completed: Vec<String>,
}

/// A key of the key-value store with its value.
#[derive(Debug, Clone)]
pub(super) struct StoredValue {
    pub(super) key: String,
    pub(super) value: serde_json::Value,
}

/// A fault and when it begins, in ms.
#[derive(Debug, Clone)]
pub struct TimedFault {
    /// When it begins, in ms.
    pub at: u64,
    /// The fault.
    pub fault: Fault,
}

/// An expectation and where it stands.
#[derive(Debug, Clone)]
pub struct ExpectedLine {
    /// The line, counted from 1.
    pub line: usize,
    /// What must hold at the end.
    pub expectation: Expectation,
}

/// A scenario that has been read.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// How often it is played, each time with other delays.
    pub(super) seeds: u64,
    /// By how much the seed shifts the beginning of faults, in ms.
    pub(super) jitter_ms: u64,
    pub(super) site: SiteSettings,
    pub(super) machines: MachineSetup,
    pub(super) initial: InitialState,
    pub(super) jobs: Vec<PlannedJob>,
    pub(super) faults: Vec<TimedFault>,
    /// When it ends, in ms.
    pub(super) until: u64,
    pub(super) expectations: Vec<ExpectedLine>,
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
            version: Version::Current,
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
            until: 60_000,
            expectations: Vec::new(),
        }
    }
}
