//! The settings file of a controller.

use crate::arguments::Arguments;
use crate::site::{CONTROLLERS, ControllerSite, STORE_REQUESTS_PER_S, Site, machine_type, store_limits, zone};
use crate::users::TEAM;
use shaleshunt_wire::Resources;
use std::fmt;

/// How many leases a cancelled job may take to be gone.
const LEASES_TO_CANCEL: f64 = 2.0;

/// What a controller's settings are made of; they are its text.
pub struct SettingsFile<'a> {
    /// The site.
    pub site: &'a Site,
    /// The controller.
    pub controller: &'a ControllerSite,
    /// The command line.
    pub arguments: &'a Arguments,
}

impl fmt::Display for SettingsFile<'_> {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.write_addresses(f)?;
        self.write_workload(f)?;
        self.write_services(f)
    }
}

impl SettingsFile<'_> {
    fn write_addresses(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let ControllerSite { node_name, zone, front, back } = self.controller;
        write!(f, "label = \"{node_name}\"\nlocation = \"{zone}\"\nfront = \"{front}\"\nback = \"{back}\"\n")?;
        for other in self.site.controllers.iter().filter(|other| other.node_name != *node_name) {
            let ControllerSite { node_name, zone, back, .. } = other;
            write!(f, "[[seeds]]\nlabel = \"{node_name}\"\nlocation = \"{zone}\"\naddress = \"{back}\"\n")?;
        }
        write!(f, "[endpoints]\ncloud = \"{}\"\nstate = \"{}\"\n", self.site.cloud_address, self.site.store_address)
    }

    /// One team that may use the whole fleet, and one objective for the urgent class.
    fn write_workload(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let zones: Vec<String> = (0..CONTROLLERS).map(zone).collect();
        let cores_of_machine = Resources::new(machine_type().cores, 0.0, 0.0).cores / 1000;
        let cores = cores_of_machine * i64::from(self.arguments.machines);
        write!(f, "[params]\ninitial_size = {CONTROLLERS}\nzones = {zones:?}\nskew_ms = 5.0\n")?;
        write!(f, "[[params.teams]]\nname = \"{TEAM}\"\ncpus = {cores}.0\ncpus_max = {cores}.0\n")?;
        write!(f, "[[params.objectives]]\nkind = \"wait\"\nclass = \"urgent\"\nwithin_s = 5.0\nshare = 0.9\n")
    }

    fn write_services(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Arguments { heartbeat_interval_s, lease_s, mem_mb, sockets, .. } = self.arguments;
        let cancel_s = lease_s * LEASES_TO_CANCEL;
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
