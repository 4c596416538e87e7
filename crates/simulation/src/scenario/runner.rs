//! Runs scenarios: builds the simulation, runs it to its end, and reports violated rules and unmet expectations.

use super::model::{Scenario, SiteSettings};
use super::options::RunOptions;
use crate::cloud::Offer;
use crate::simulation::Simulation;
use crate::trace_digest::TraceDigest;
use shaleshunt_core::Settings;
use shaleshunt_core::settings::StoreQuota;
use std::ops::RangeInclusive;

/// Number of owned machines above which the store and the cloud return pages of full size. Smaller fleets get small
/// pages, so that they exercise paging too.
const MAX_MACHINES_WITH_SMALL_PAGES: u32 = 500;
/// Number of keys on a full page of the key-value store: 512 KiB hold this many values of the maximum size.
const FULL_PAGE_KEYS: usize = 32;
/// Request rate of the key-value store that the settings announce if a scenario sets no limit.
const DEFAULT_REQUESTS_PER_S: f64 = 200.0;
/// Age of the data in the cloud's machine lists, in ms.
const LIST_LAG_MS: u64 = 3_000;
/// Prime that spreads the delays of faults over the jitter, differently for each seed and time.
const JITTER_FACTOR: u64 = 7_919;

/// The digest of all commands and effects of a simulation with one seed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SeedDigest {
    /// Seed of the simulation.
    pub seed: u64,
    /// Digest in hexadecimal digits.
    pub digest: String,
}

impl Scenario {
    /// Simulates the scenario with each of its seeds, and returns the violated rules and unmet expectations.
    pub fn run(&self, options: &RunOptions) -> Vec<String> {
        let mut problems = Vec::new();
        for seed in self.seeds(options.seed_count) {
            let mut simulation = self.build_simulation(seed);
            for repetition in &options.repetitions {
                simulation.repeat_requests(repetition.clone());
            }
            simulation.recording.log = (options.logged_seed == Some(seed)).then(Vec::new);
            simulation.run_until(self.end_ms);
            for line in simulation.recording.log.iter().flatten() {
                println!("{line}");
            }
            problems.extend(self.problems(&simulation, seed));
        }
        problems
    }

    /// Simulates the scenario with each of its seeds and returns a digest for each. `seed_count` replaces the number of
    /// seeds.
    pub fn trace_digests(&self, seed_count: Option<u64>) -> Vec<SeedDigest> {
        let digest = |seed| {
            let mut simulation = self.build_simulation(seed);
            simulation.recording.trace_digest = Some(TraceDigest::default());
            simulation.run_until(self.end_ms);
            let digest = simulation.recording.trace_digest.map_or_else(String::new, |trace| trace.finish());
            SeedDigest { seed, digest }
        };
        self.seeds(seed_count).map(digest).collect()
    }

    /// The seeds from 1 up to `seed_count`, or up to the scenario's own number.
    fn seeds(&self, seed_count: Option<u64>) -> RangeInclusive<u64> {
        1..=seed_count.unwrap_or(self.seeds)
    }

    /// Describes the violated rules and unmet expectations of a simulation.
    fn problems(&self, simulation: &Simulation, seed: u64) -> Vec<String> {
        let violations = simulation.checker.violations.iter();
        let mut problems: Vec<String> = violations.map(|violation| format!("seed {seed}: {violation}")).collect();
        for line in &self.expectations {
            if let Err(unmet) = line.expectation.evaluate(simulation) {
                problems.push(format!("seed {seed}, line {}: {unmet}", line.line));
            }
        }
        problems
    }

    /// Builds the simulation for a seed, ready to run.
    pub fn build_simulation(&self, seed: u64) -> Simulation {
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
            simulation.add_fault(timed.at_ms + self.jitter_ms(seed, timed.at_ms), timed.fault.clone());
        }
        simulation
    }

    /// Delay of a fault planned for `at_ms`, in ms. The delay differs between seeds, so that a fault meets different
    /// states of the site.
    fn jitter_ms(&self, seed: u64, at_ms: u64) -> u64 {
        if self.jitter_ms == 0 {
            return 0;
        }
        seed * JITTER_FACTOR * (1 + at_ms) % self.jitter_ms
    }

    fn has_large_fleet(&self) -> bool {
        self.machines.owned.iter().map(|owned| owned.count).sum::<u32>() > MAX_MACHINES_WITH_SMALL_PAGES
    }

    fn set_up_store(&self, simulation: &mut Simulation) {
        let store = simulation.store_mut();
        if self.has_large_fleet() {
            store.page_size = FULL_PAGE_KEYS;
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
        cloud.reuses_addresses = self.machines.reuse_addresses;
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

    /// The settings of the controller with this index.
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
