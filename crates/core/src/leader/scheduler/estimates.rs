//! Estimates of how long tasks run and images take to fetch.

use crate::model::Job;
use shaleshunt_wire::cloud::Catalog;
use std::collections::BTreeMap;

/// The owner's estimate weighs as much as so many finished tasks of the class.
const OWNER_WEIGHT_TASKS: f64 = 10.0;

/// Bounds of the factor by which a class corrects its owners' estimates.
const LEAST_CORRECTION: f64 = 0.3;
const MOST_CORRECTION: f64 = 3.0;

/// Actual and estimated run times of a class's finished tasks, summed, in seconds.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct RuntimeStatistics {
    actual_s: f64,
    estimated_s: f64,
}

/// Run-time statistics of each class.
#[derive(Debug, Default)]
pub(crate) struct RuntimesByClass {
    classes: BTreeMap<String, RuntimeStatistics>,
}

impl RuntimesByClass {
    /// Records that a task of `class` ran for `actual_s` and was estimated at `estimated_s`.
    pub(crate) fn record(&mut self, class: &str, actual_s: f64, estimated_s: f64) {
        let statistics = self.classes.entry(class.to_string()).or_default();
        statistics.actual_s += actual_s;
        statistics.estimated_s += estimated_s;
    }

    /// Estimated run time of one of the job's tasks, in seconds: the owner's estimate, corrected by how
    /// far off the estimates of its class were.
    pub(crate) fn run_s(&self, job: &Job) -> f64 {
        let seen = self.classes.get(&job.spec.class).copied().unwrap_or_default();
        let weight = job.spec.estimated_run_s * OWNER_WEIGHT_TASKS;
        let correction = if weight > 0.0 { (seen.actual_s + weight) / (seen.estimated_s + weight) } else { 1.0 };
        job.spec.estimated_run_s * correction.clamp(LEAST_CORRECTION, MOST_CORRECTION)
    }
}

/// Estimates from run-time statistics and the cloud's catalog.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Estimates<'a> {
    pub(crate) runtimes: &'a RuntimesByClass,
    pub(crate) catalog: Option<&'a Catalog>,
    /// Interval between two heartbeats of an agent, in seconds.
    pub(crate) heartbeat_interval_s: f64,
}

impl Estimates<'_> {
    /// Estimated run time of one of the job's tasks, in seconds.
    pub(crate) fn run_s(&self, job: &Job) -> f64 {
        self.runtimes.run_s(job)
    }

    /// Estimated run time of one of the job's tasks, in whole milliseconds.
    pub(crate) fn run_ms(&self, job: &Job) -> u64 {
        (self.run_s(job) * 1000.0) as u64
    }

    /// Time to fetch the job's image at the slowest known fetch rate, in seconds; zero if none is known.
    pub(crate) fn image_fetch_s(&self, job: &Job) -> f64 {
        let rate = self
            .catalog
            .iter()
            .flat_map(|catalog| &catalog.machine_types)
            .map(|machine_type| machine_type.fetch_gb_per_s)
            .filter(|rate| *rate > 0.0)
            .fold(f64::INFINITY, f64::min);
        if rate.is_finite() { job.spec.image_gb / rate } else { 0.0 }
    }

    /// Time that the job adds to the critical path behind its dependencies, in milliseconds: its image
    /// fetch, its run and the time until its end is heard of.
    pub(crate) fn critical_path_ms(&self, job: &Job) -> u64 {
        let until_heard_s = self.heartbeat_interval_s / 4.0;
        ((self.run_s(job) + self.image_fetch_s(job) + until_heard_s) * 1000.0) as u64
    }
}
