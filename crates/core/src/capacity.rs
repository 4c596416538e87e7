//! What a controller needs for a fleet compared with what its settings grant: for warnings, not for limits.
//!
//! The needs were measured with the real program and stand-in machines on loopback at 4,000 machines
//! (`docs/limits.md`), with a margin.

use crate::settings::Settings;
use shaleshunt_wire::cloud::Catalog;
use std::fmt;

/// Share of a core for one heartbeat a second, with the work that follows from it.
const CORE_PER_HEARTBEAT: f64 = 0.16e-3;
/// Memory without any machine, in MiB.
const BASE_MIB: f64 = 10.0;
/// Memory for a machine with its connection and its part of the jobs, in MiB.
const MIB_PER_MACHINE: f64 = 25.0 / 1024.0;
/// Sockets without any machine.
const BASE_SOCKETS: f64 = 64.0;
/// Sockets for a machine: more machines than connections take turns.
const SOCKETS_PER_MACHINE: f64 = 0.25;

/// A setting that grants less than a fleet needs.
#[derive(Debug, Clone, PartialEq)]
pub struct InsufficientSetting {
    /// The setting's path in the settings file.
    pub setting: &'static str,
    /// What it grants, in the setting's unit.
    pub value: f64,
    /// The least value that is enough.
    pub required: f64,
    /// The number of machines that it is compared for.
    pub machines: u32,
}

impl fmt::Display for InsufficientSetting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let InsufficientSetting { setting, value, required, machines } = self;
        write!(f, "{setting}: {value} is little for {machines} machines, which need {required:.3} at least")
    }
}

/// Which settings grant less than so many machines need.
pub fn insufficient_settings(settings: &Settings, machines: u32) -> Vec<InsufficientSetting> {
    let fleet = f64::from(machines);
    let heartbeats_per_s = fleet / settings.heartbeat_interval_s;
    let requirements = [
        ("params.resources.core_share", settings.core_share, heartbeats_per_s * CORE_PER_HEARTBEAT),
        ("params.resources.mem_mb", settings.mem_mb, BASE_MIB + fleet * MIB_PER_MACHINE),
        ("params.resources.fd_limit", settings.sockets as f64, BASE_SOCKETS + fleet * SOCKETS_PER_MACHINE),
    ];
    let small = requirements.into_iter().filter(|(_, value, required)| value < required);
    small.map(|(setting, value, required)| InsufficientSetting { setting, value, required, machines }).collect()
}

/// The most machines that the teams' limits allow, of the smallest type in the catalog; `None` if a team has no
/// limit or no type is known.
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
