//! Writes a controller's settings file.

use crate::arguments::Arguments;
use crate::site::{
    CONTROLLER_COUNT, ControllerNode, STORE_REQUESTS_PER_S, Site, machine_type, store_limits, zone_name,
};
use crate::users::TEAM;
use shaleshunt_wire::Resources;
use std::fmt;

/// Time within which a cancelled job must have stopped everywhere, in machine lease durations.
const CANCELLATION_LEASES: f64 = 2.0;

/// The settings of one controller; its `Display` output is the TOML file.
pub struct SettingsFile<'a> {
    /// The simulated site, with the addresses of all controllers and services.
    pub site: &'a Site,
    /// The controller that reads the file.
    pub controller: &'a ControllerNode,
    /// Arguments with the limits and intervals to set.
    pub arguments: &'a Arguments,
}

impl fmt::Display for SettingsFile<'_> {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.write_addresses(f)?;
        self.write_workload(f)?;
        self.write_limits(f)
    }
}

impl SettingsFile<'_> {
    fn write_addresses(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let ControllerNode { node_name, zone, client_address, peer_address } = self.controller;
        write!(
            f,
            "label = \"{node_name}\"\nlocation = \"{zone}\"\nfront = \"{client_address}\"\nback = \"{peer_address}\"\n"
        )?;
        for other in self.site.controllers.iter().filter(|other| other.node_name != *node_name) {
            let ControllerNode { node_name, zone, peer_address, .. } = other;
            write!(f, "[[seeds]]\nlabel = \"{node_name}\"\nlocation = \"{zone}\"\naddress = \"{peer_address}\"\n")?;
        }
        write!(f, "[endpoints]\ncloud = \"{}\"\nstate = \"{}\"\n", self.site.cloud_address, self.site.store_address)
    }

    /// Writes one team whose quota is the whole fleet, and one objective for the urgent class.
    fn write_workload(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let zones: Vec<String> = (0..CONTROLLER_COUNT).map(zone_name).collect();
        let cores_per_machine = Resources::new(machine_type().cores, 0.0, 0.0).cores / 1000;
        let cores = cores_per_machine * i64::from(self.arguments.machines);
        write!(f, "[params]\ninitial_size = {CONTROLLER_COUNT}\nzones = {zones:?}\nskew_ms = 5.0\n")?;
        write!(f, "[[params.teams]]\nname = \"{TEAM}\"\ncpus = {cores}.0\ncpus_max = {cores}.0\n")?;
        write!(f, "[[params.objectives]]\nkind = \"wait\"\nclass = \"urgent\"\nwithin_s = 5.0\nshare = 0.9\n")
    }

    fn write_limits(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Arguments { heartbeat_interval_s, lease_s, mem_mb, sockets, .. } = self.arguments;
        let cancel_s = lease_s * CANCELLATION_LEASES;
        let limits = store_limits();
        let (write_rps, value_kb, txn_ops) = (limits.write_rps, limits.value_kb, limits.txn_ops);
        write!(
            f,
            "[params.workers]\nreport_s = {heartbeat_interval_s:?}\nlease_s = {lease_s:?}\ncancel_s = {cancel_s:?}\n"
        )?;
        write!(f, "[params.state]\nrps = {STORE_REQUESTS_PER_S:?}\nwrite_rps = {write_rps:?}\n")?;
        write!(f, "value_kb = {value_kb:?}\ntxn_ops = {txn_ops}\n")?;
        write!(f, "[params.cloud]\nrps = 5.0\nlist_lag_s = 3.0\n")?;
        write!(f, "[params.resources]\ncore_share = 0.06\nmem_mb = {mem_mb:?}\nfd_limit = {sockets}\n")
    }
}
