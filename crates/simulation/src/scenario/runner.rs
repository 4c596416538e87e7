//! Plays scenarios: builds the simulation, runs it, and holds rules and expectations against it.

use super::model::{Scenario, SiteSettings};
use crate::cloud::Offer;
use crate::simulation::Simulation;
use crate::trace_digest::TraceDigest;
use shaleshunt_core::Settings;
use shaleshunt_core::settings::StoreQuota;
use std::ops::RangeInclusive;

/// Fleets with more machines than this are played with pages of full size.
const LARGE_FLEET: u32 = 500;
/// Keys on a page of the key-value store there: what 512 KiB hold of the largest values.
const LARGE_PAGE: usize = 32;
/// Requests a second that the settings name where a scenario sets no limit.
const DEFAULT_REQUESTS_PER_S: f64 = 200.0;
/// How old the cloud's lists are, in ms.
const LIST_LAG_MS: u64 = 3_000;
/// Spreads the beginnings of faults over the jitter, differently for each seed and time.
const JITTER_FACTOR: u64 = 7_919;

/// The digest of all commands and effects of a seed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SeedDigest {
    /// The seed.
    pub seed: u64,
    /// The digest, in hexadecimal digits.
    pub digest: String,
}

impl Scenario {
    /// Plays the scenario with all its seeds, or as many as the variable `SEEDS` says; what went wrong, if
    /// anything. The variable `LOGGED` names a seed whose log is printed.
    pub fn play(&self) -> Vec<String> {
        let wanted = std::env::var("SEEDS").ok().and_then(|count| count.parse().ok());
        let logged = std::env::var("LOGGED").ok().and_then(|seed| seed.parse().ok());
        let mut problems = Vec::new();
        for seed in self.seeds(wanted) {
            let mut simulation = self.simulation(seed);
            simulation.recording.log = (logged == Some(seed)).then(Vec::new);
            simulation.run(self.until);
            for line in simulation.recording.log.iter().flatten() {
                println!("{line}");
            }
            problems.extend(self.problems(&simulation, seed));
        }
        problems
    }

    /// Plays the scenario with all its seeds, or as many as wanted; the digest of all commands and
    /// effects of each.
    pub fn trace_digests(&self, wanted: Option<u64>) -> Vec<SeedDigest> {
        let digest = |seed| {
            let mut simulation = self.simulation(seed);
            simulation.recording.trace = Some(TraceDigest::default());
            simulation.run(self.until);
            let digest = simulation.recording.trace.map_or_else(String::new, |trace| trace.finish());
            SeedDigest { seed, digest }
        };
        self.seeds(wanted).map(digest).collect()
    }

    fn seeds(&self, wanted: Option<u64>) -> RangeInclusive<u64> {
        1..=wanted.unwrap_or(self.seeds)
    }

    /// Rules that were broken and expectations that were not met.
    fn problems(&self, simulation: &Simulation, seed: u64) -> Vec<String> {
        let violations = simulation.checker.violations.iter();
        let mut problems: Vec<String> = violations.map(|violation| format!("seed {seed}: {violation}")).collect();
        for expected in &self.expectations {
            if let Err(unmet) = expected.expectation.judge(simulation) {
                problems.push(format!("seed {seed}, line {}: {unmet}", expected.line));
            }
        }
        problems
    }

    /// The simulation for a seed.
    pub fn simulation(&self, seed: u64) -> Simulation {
        let settings = (0..self.site.controllers).map(|index| self.site.settings(index)).collect();
        let mut simulation = Simulation::new(settings, seed);
        for controller in 0..self.site.controllers {
            simulation.set_version(controller, self.site.version);
        }
        self.set_up_store(&mut simulation);
        self.set_up_cloud(&mut simulation);
        simulation.checker.completed_tasks.extend(self.initial.completed.iter().cloned());
        for job in &self.jobs {
            simulation.add_user(job.clone());
        }
        for timed in &self.faults {
            simulation.add_fault(timed.at + self.jitter_ms(seed, timed.at), timed.fault.clone());
        }
        simulation
    }

    /// By how much a fault begins later with this seed, so that many moments are hit.
    fn jitter_ms(&self, seed: u64, at: u64) -> u64 {
        if self.jitter_ms == 0 {
            return 0;
        }
        seed * JITTER_FACTOR * (1 + at) % self.jitter_ms
    }

    fn has_large_fleet(&self) -> bool {
        self.machines.owned.iter().map(|owned| owned.count).sum::<u32>() > LARGE_FLEET
    }

    fn set_up_store(&self, simulation: &mut Simulation) {
        let store = simulation.store_mut();
        if self.has_large_fleet() {
            store.page_size = LARGE_PAGE;
        }
        store.requests_per_s = self.site.store.requests_per_s;
        for entry in &self.initial.store_entries {
            store.put(&entry.key, entry.value.clone());
        }
    }

    fn set_up_cloud(&self, simulation: &mut Simulation) {
        let cloud = simulation.cloud_mut();
        cloud.catalog.machine_types = self.machines.types.clone();
        cloud.list_lag_ms = LIST_LAG_MS;
        if self.has_large_fleet() {
            cloud.page_size = shaleshunt_wire::MAX_MACHINES_PER_PAGE as usize;
        }
        for capacity in &self.machines.capacity {
            let on_demand = Offer::on_demand(&capacity.machine_type, &capacity.zone);
            let spot = Offer { spot: true, ..on_demand.clone() };
            cloud.capacity.insert(on_demand, capacity.on_demand);
            cloud.capacity.insert(spot, capacity.spot);
        }
        for owned in &self.machines.owned {
            let offer = Offer::on_demand(&owned.machine_type, &owned.zone);
            for _ in 0..owned.count {
                cloud.create(0, offer.clone(), Some(0));
            }
        }
    }
}

impl SiteSettings {
    fn node_name(index: usize) -> String {
        format!("n{index}")
    }

    fn zone(&self, index: usize) -> String {
        self.zones[index % self.zones.len()].clone()
    }

    /// The settings of one controller.
    fn settings(&self, index: usize) -> Settings {
        let others = (0..self.controllers).filter(|other| *other != index);
        let store = &self.store;
        Settings {
            node_name: SiteSettings::node_name(index),
            zone: self.zone(index),
            peers: others.map(|other| (SiteSettings::node_name(other), self.zone(other))).collect(),
            zones: self.zones.clone(),
            teams: self.teams.clone(),
            objectives: self.objectives.clone(),
            heartbeat_interval_s: self.heartbeat_interval_s,
            lease_s: self.lease_s,
            cancel_s: self.cancel_s,
            kv_rps: if store.requests_per_s > 0.0 { store.requests_per_s } else { DEFAULT_REQUESTS_PER_S },
            store_quota: StoreQuota {
                value_kb: 16.0,
                txn_ops: store.transaction_writes,
                write_rps: store.writes_per_s,
            },
            next_store_quota: store.announced_limits.clone(),
            cloud_rps: 5.0,
            machine_list_lag_s: LIST_LAG_MS as f64 / 1000.0,
            mem_mb: 128.0,
            core_share: 1.0,
            sockets: 3000,
        }
    }
}
