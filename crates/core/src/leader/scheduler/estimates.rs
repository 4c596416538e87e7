//! Estimates of task run times and image fetch times.

use crate::model::Job;
use shaleshunt_wire::cloud::Catalog;
use std::collections::BTreeMap;

/// Weight of the user's estimate, as a number of finished tasks of the class.
const USER_ESTIMATE_WEIGHT_TASKS: f64 = 10.0;

/// Bounds of the factor by which the run times of a class correct the users' estimates.
const MIN_CORRECTION_FACTOR: f64 = 0.3;
const MAX_CORRECTION_FACTOR: f64 = 3.0;

/// Sums of the actual and estimated run times of the finished tasks of a class, in seconds.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct RunTimeStatistics {
    actual_s: f64,
    estimated_s: f64,
}

/// Run-time statistics by class.
#[derive(Debug, Default)]
pub(crate) struct RunTimesByClass {
    classes: BTreeMap<String, RunTimeStatistics>,
}

impl RunTimesByClass {
    /// Records that a task of `class` ran for `actual_s` and was estimated to run for `estimated_s`.
    pub(crate) fn record(&mut self, class: &str, actual_s: f64, estimated_s: f64) {
        let statistics = self.classes.entry(class.to_string()).or_default();
        statistics.actual_s += actual_s;
        statistics.estimated_s += estimated_s;
    }

    /// Estimated run time of one task of the job, in seconds: the user's estimate, corrected by the error of
    /// earlier estimates in the class.
    pub(crate) fn run_s(&self, job: &Job) -> f64 {
        let statistics = self.classes.get(&job.spec.class).copied().unwrap_or_default();
        let weight = job.spec.estimated_run_s * USER_ESTIMATE_WEIGHT_TASKS;
        let correction =
            if weight > 0.0 { (statistics.actual_s + weight) / (statistics.estimated_s + weight) } else { 1.0 };
        job.spec.estimated_run_s * correction.clamp(MIN_CORRECTION_FACTOR, MAX_CORRECTION_FACTOR)
    }
}

/// Estimates from run-time statistics and the cloud's catalog.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Estimates<'a> {
    pub(crate) run_times: &'a RunTimesByClass,
    pub(crate) catalog: Option<&'a Catalog>,
    /// Interval between two heartbeats of an agent, in seconds.
    pub(crate) heartbeat_interval_s: f64,
}

impl Estimates<'_> {
    /// Estimated run time of one task of the job, in seconds.
    pub(crate) fn run_s(&self, job: &Job) -> f64 {
        self.run_times.run_s(job)
    }

    /// Estimated run time of one task of the job, in whole milliseconds.
    pub(crate) fn run_ms(&self, job: &Job) -> u64 {
        (self.run_s(job) * 1000.0) as u64
    }

    /// Time to fetch the image of the job at the slowest fetch rate of the catalog, in seconds; zero if no rate is
    /// known.
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

    /// Time that the job adds to the critical path after its dependencies, in milliseconds: its image fetch, its
    /// run time, and the delay until a heartbeat reports its end.
    pub(crate) fn critical_path_ms(&self, job: &Job) -> u64 {
        let report_delay_s = self.heartbeat_interval_s / 4.0;
        ((self.run_s(job) + self.image_fetch_s(job) + report_delay_s) * 1000.0) as u64
    }
}
