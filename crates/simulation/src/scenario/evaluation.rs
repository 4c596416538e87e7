//! Holds expectations against a simulation that has ended.

use super::expectation::{Count, Expectation};
use crate::simulation::{Simulation, User};
use shaleshunt_wire::user::{JobKind, Submission};
use std::collections::BTreeMap;
use std::fmt;

/// The largest jobs of a class: one of so many.
const LARGEST_SHARE: usize = 10;

/// An expectation that was not met: what was found.
#[derive(Debug, thiserror::Error)]
pub enum Unmet {
    /// A number is not as expected.
    #[error("{found} {what}, expected {expected}")]
    Count {
        /// What was counted.
        what: String,
        /// How many there are.
        found: u64,
        /// How many were expected.
        expected: Count,
    },
    /// A job is not as expected.
    #[error("{job}: {found}, expected {expected}")]
    Job {
        /// The job.
        job: String,
        /// What holds of it.
        found: String,
        /// What was expected.
        expected: String,
    },
    /// Jobs that are not as expected.
    #[error("not {expected}: {jobs:?}")]
    Jobs {
        /// What was expected.
        expected: &'static str,
        /// The jobs.
        jobs: Vec<String>,
    },
    /// Too few jobs of a group are served.
    #[error("{group}: {served} of {jobs} served")]
    Group {
        /// The group.
        group: String,
        /// Its jobs.
        jobs: usize,
        /// Those that are served.
        served: usize,
    },
    /// Tasks started too long after their jobs were cancelled.
    #[error("{count} starts up to {longest_s} s after a confirmed cancellation, expected {within_s} s at most")]
    LateStarts {
        /// How many.
        count: u32,
        /// The longest time.
        longest_s: f64,
        /// The longest time expected.
        within_s: f64,
    },
}

impl fmt::Display for Count {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Count::Exactly(count) => write!(f, "{count}"),
            Count::AtLeast(least) => write!(f, "at least {least}"),
            Count::AtMost(most) => write!(f, "at most {most}"),
        }
    }
}

impl Expectation {
    /// Whether the expectation is met; if not, what was found.
    ///
    /// # Errors
    ///
    /// If it is not met: what was found in its place.
    pub fn judge(&self, simulation: &Simulation) -> Result<(), Unmet> {
        let checker = &simulation.checker;
        match self {
            Expectation::Done { job, by_s } => job_done(simulation, job, *by_s),
            Expectation::TasksComplete { job, by_s } => tasks_complete(simulation, job, *by_s),
            Expectation::Started { job, by_s } => {
                let started_s = seconds(checker.first_start_at(job));
                check_time(job, "started", started_s, *by_s)
            }
            Expectation::HalfServed => half_served(simulation),
            Expectation::AllServed => all_served(simulation),
            Expectation::AllOver => all_over(simulation),
            Expectation::Cancelled { job } => check_job(checker.is_cancelled(job), job, "not cancelled", "cancelled"),
            Expectation::NotOver { job } => check_job(over_s(simulation, job).is_none(), job, "over", "not over"),
            Expectation::Running { job, tasks } => {
                let running = checker.running_tasks(job) as u64;
                check_job(running == *tasks, job, format!("{running} tasks run"), format!("{tasks}"))
            }
            Expectation::Answered { job, within_s } => {
                check_time(job, "longest without answer for", seconds(checker.longest_silence_ms(job)), *within_s)
            }
            Expectation::Refused { job, status } => {
                let found = checker.refused_with(job);
                check_job(found == Some(*status), job, format!("answered {found:?}"), format!("{status}"))
            }
            Expectation::LateStarts { within_s } => late_starts(simulation, *within_s),
            Expectation::LargestStarted { within_s } => largest_started(simulation, *within_s),
            counted => counted.judge_count(simulation),
        }
    }

    fn judge_count(&self, simulation: &Simulation) -> Result<(), Unmet> {
        let checker = &simulation.checker;
        let (what, found, expected) = match self {
            Expectation::Starts(count) => ("starts".to_string(), u64::from(checker.starts), count),
            Expectation::StoreRejections(count) => {
                ("requests rejected by the store".to_string(), u64::from(simulation.store().rejections), count)
            }
            Expectation::Cancellations(count) => ("cancellations".to_string(), checker.cancellations() as u64, count),
            Expectation::Epoch(count) => ("elections".to_string(), simulation.epoch().0, count),
            Expectation::Leaders(count) => ("leaders".to_string(), simulation.leaders() as u64, count),
            Expectation::DirectCalls(count) => {
                ("direct calls".to_string(), u64::from(simulation.recording.direct_calls), count)
            }
            Expectation::IsolatedZones(count) => {
                ("zones taken for cut off".to_string(), u64::from(simulation.recording.isolated_zones), count)
            }
            Expectation::Stored { prefix, keys } => {
                (format!("keys under {prefix}"), simulation.stored_keys(prefix) as u64, keys)
            }
            Expectation::Machines(count) => ("machines".to_string(), simulation.machines() as u64, count),
            _ => return Ok(()),
        };
        if expected.allows(found) { Ok(()) } else { Err(Unmet::Count { what, found, expected: *expected }) }
    }
}

fn seconds(ms: Option<u64>) -> Option<f64> {
    ms.map(|ms| ms as f64 / 1000.0)
}

/// When a job's user was told that it is over.
fn over_s(simulation: &Simulation, job: &str) -> Option<f64> {
    seconds(simulation.users().get(job).and_then(|user| user.ended_at))
}

fn check_job(met: bool, job: &str, found: impl Into<String>, expected: impl Into<String>) -> Result<(), Unmet> {
    if met { Ok(()) } else { Err(Unmet::Job { job: job.into(), found: found.into(), expected: expected.into() }) }
}

fn check_time(job: &str, what: &str, found_s: Option<f64>, latest_s: f64) -> Result<(), Unmet> {
    let met = found_s.is_some_and(|found| found <= latest_s);
    let found = found_s.map_or_else(|| format!("not {what}"), |found| format!("{what} {found} s"));
    check_job(met, job, found, format!("{latest_s} s at most"))
}

fn job_done(simulation: &Simulation, job: &str, by_s: Option<f64>) -> Result<(), Unmet> {
    let is_done = simulation.checker.is_done(job);
    match by_s {
        None => check_job(is_done, job, "not done", "done"),
        Some(by_s) => check_time(job, "done at", over_s(simulation, job).filter(|_| is_done), by_s),
    }
}

fn tasks_complete(simulation: &Simulation, job: &str, by_s: f64) -> Result<(), Unmet> {
    let checker = &simulation.checker;
    let completed_s = seconds(checker.last_completion_at(job)).filter(|_| checker.is_done(job));
    check_time(job, "tasks complete at", completed_s, by_s)
}

fn late_starts(simulation: &Simulation, within_s: f64) -> Result<(), Unmet> {
    let late = simulation.checker.starts_after_cancellation;
    let longest_s = late.longest_ms as f64 / 1000.0;
    if longest_s <= within_s { Ok(()) } else { Err(Unmet::LateStarts { count: late.count, longest_s, within_s }) }
}

/// Whether a job is done, or runs with all its replicas.
fn is_served(simulation: &Simulation, spec: &Submission) -> bool {
    let checker = &simulation.checker;
    let all_running = || checker.running_tasks(&spec.id) >= spec.tasks as usize;
    checker.is_done(&spec.id) || spec.kind == JobKind::Service && all_running()
}

/// Jobs that their users don't cancel.
fn kept_jobs(simulation: &Simulation) -> impl Iterator<Item = &Submission> {
    let kept = simulation.users().values().filter(|user| user.job.cancel_at.is_none());
    kept.map(|user| &user.job.spec)
}

fn all_served(simulation: &Simulation) -> Result<(), Unmet> {
    let missing = kept_jobs(simulation).filter(|spec| !is_served(simulation, spec));
    check_none(missing.map(|spec| spec.id.clone()).collect(), "served")
}

fn all_over(simulation: &Simulation) -> Result<(), Unmet> {
    // Services run until they are cancelled.
    let ends = |user: &User| user.job.spec.kind != JobKind::Service || user.job.cancel_at.is_some();
    let missing = simulation.users().values().filter(|user| user.ended_at.is_none() && ends(user));
    check_none(missing.map(|user| user.job.spec.id.clone()).collect(), "over")
}

fn check_none(jobs: Vec<String>, expected: &'static str) -> Result<(), Unmet> {
    if jobs.is_empty() { Ok(()) } else { Err(Unmet::Jobs { expected, jobs }) }
}

/// The largest jobs of each class, by the group's name.
fn largest_jobs(simulation: &Simulation) -> BTreeMap<String, Vec<&Submission>> {
    let mut classes: BTreeMap<String, Vec<&Submission>> = BTreeMap::new();
    for spec in kept_jobs(simulation) {
        classes.entry(format!("largest of class {}", spec.class)).or_default().push(spec);
    }
    for jobs in classes.values_mut() {
        jobs.sort_by_key(|spec| std::cmp::Reverse(spec.tasks));
        jobs.truncate(jobs.len().div_ceil(LARGEST_SHARE));
    }
    classes
}

fn largest_started(simulation: &Simulation, within_s: f64) -> Result<(), Unmet> {
    for spec in largest_jobs(simulation).into_values().flatten() {
        let started_s = seconds(simulation.checker.first_start_at(&spec.id));
        let submitted_at = simulation.users().get(&spec.id).map(|user| user.job.submit_at);
        let submitted_s = seconds(submitted_at).unwrap_or(0.0);
        check_time(&spec.id, "started at", started_s, submitted_s + within_s)?;
    }
    Ok(())
}

fn half_served(simulation: &Simulation) -> Result<(), Unmet> {
    let mut groups: BTreeMap<String, Vec<&Submission>> = BTreeMap::new();
    for spec in kept_jobs(simulation) {
        groups.entry(format!("class {}", spec.class)).or_default().push(spec);
        groups.entry(format!("team {}", spec.team)).or_default().push(spec);
    }
    for (group, jobs) in groups.into_iter().chain(largest_jobs(simulation)) {
        let served = jobs.iter().filter(|spec| is_served(simulation, spec)).count();
        if served * 2 < jobs.len() {
            return Err(Unmet::Group { group, jobs: jobs.len(), served });
        }
    }
    Ok(())
}
