//! Compares the resources that a controller needs for a fleet with those that its settings grant. The result is used
//! for warnings only; no limit follows from it.
//!
//! The requirements were measured with the controller binary and simulated agents on loopback at 4,000 machines
//! (`docs/limits.md`) and include a margin.

use crate::settings::Settings;
use shaleshunt_wire::cloud::Catalog;
use std::fmt;

/// Processor cores for one heartbeat per second, including the work that follows from a heartbeat.
const CORES_PER_HEARTBEAT_PER_S: f64 = 0.16e-3;
/// Memory of a controller without machines, in MiB.
const BASE_MIB: f64 = 10.0;
/// Memory for a machine, its connection and its part of the jobs, in MiB.
const MIB_PER_MACHINE: f64 = 25.0 / 1024.0;
/// Sockets of a controller without machines.
const BASE_SOCKETS: f64 = 64.0;
/// Sockets for a machine; below 1 because machines share connections in turn.
const SOCKETS_PER_MACHINE: f64 = 0.25;

/// A setting that grants less than a fleet needs.
#[derive(Debug, Clone, PartialEq)]
pub struct InsufficientSetting {
    /// Path of the setting in the settings file.
    pub setting: &'static str,
    /// Granted value, in the setting's unit.
    pub value: f64,
    /// Smallest value that is sufficient, in the setting's unit.
    pub required: f64,
    /// Number of machines for which the value is required.
    pub machines: u32,
}

impl fmt::Display for InsufficientSetting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let InsufficientSetting { setting, value, required, machines } = self;
        write!(f, "{setting}: {value} is too small for {machines} machines, which need at least {required:.3}")
    }
}

/// Settings that grant less than this number of machines needs.
pub fn insufficient_settings(settings: &Settings, machines: u32) -> Vec<InsufficientSetting> {
    let fleet_size = f64::from(machines);
    let heartbeats_per_s = fleet_size / settings.heartbeat_interval_s;
    let requirements = [
        ("params.resources.core_share", settings.core_share, heartbeats_per_s * CORES_PER_HEARTBEAT_PER_S),
        ("params.resources.mem_mb", settings.mem_mb, BASE_MIB + fleet_size * MIB_PER_MACHINE),
        ("params.resources.fd_limit", settings.sockets as f64, BASE_SOCKETS + fleet_size * SOCKETS_PER_MACHINE),
    ];
    let insufficient = requirements.into_iter().filter(|(_, value, required)| value < required);
    insufficient.map(|(setting, value, required)| InsufficientSetting { setting, value, required, machines }).collect()
}

/// Maximum number of machines that the teams' limits allow, all of the smallest type in the catalog; `None` if a team
/// has no limit or no type is known.
pub fn max_machines(settings: &Settings, catalog: &Catalog) -> Option<u32> {
    let smallest = catalog
        .machine_types
        .iter()
        .map(|machine_type| machine_type.resources().cores)
        .filter(|cores| *cores > 0)
        .min()?;
    let limits: Vec<i64> = settings.teams.values().map(|team| team.limit.cores).collect();
    if limits.is_empty() || limits.contains(&0) {
        return None;
    }
    let cores: i64 = limits.iter().sum();
    u32::try_from((cores + smallest - 1) / smallest).ok()
}

#[cfg(test)]
mod tests;
