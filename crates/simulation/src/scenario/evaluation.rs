//! Checks expectations against a simulation that has ended.

use super::expectation::{Count, Expectation};
use crate::simulation::{Simulation, User};
use shaleshunt_wire::user::{JobKind, Submission};
use std::collections::BTreeMap;
use std::fmt;

/// Of this many jobs of a class, one counts as one of its largest jobs.
const JOBS_PER_LARGEST_JOB: usize = 10;

/// An expectation that was not met, with the actual result.
#[derive(Debug, thiserror::Error)]
pub enum UnmetExpectation {
    /// A counted number does not match.
    #[error("{found} {what}, expected {expected}")]
    Count {
        /// The counted items, in the plural.
        what: String,
        /// The actual number.
        found: u64,
        /// The expected number or bound.
        expected: Count,
    },
    /// The result of a single job does not match.
    #[error("{job}: {found}, expected {expected}")]
    Job {
        /// Name of the job.
        job: String,
        /// The actual result.
        found: String,
        /// The expected result.
        expected: String,
    },
    /// Some jobs do not have the state that all jobs should have.
    #[error("jobs that are not {expected}: {jobs:?}")]
    Jobs {
        /// The expected state.
        expected: &'static str,
        /// Names of the jobs without this state.
        jobs: Vec<String>,
    },
    /// Less than half of the jobs of a group are served.
    #[error("{group}: {served} of {jobs} jobs served, expected at least half")]
    Group {
        /// Description of the group.
        group: String,
        /// Number of jobs in the group.
        jobs: usize,
        /// Number of these that are done, or are services that run with all replicas.
        served: usize,
    },
    /// Tasks started too long after their jobs' cancellations were confirmed.
    #[error("{count} starts up to {longest_s} s after a confirmed cancellation, expected at most {within_s} s")]
    LateStarts {
        /// Number of starts after a confirmed cancellation.
        count: u32,
        /// Longest time between confirmation and start, in seconds.
        longest_s: f64,
        /// Maximum time allowed, in seconds.
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
    /// Checks whether the expectation is met.
    ///
    /// # Errors
    ///
    /// Fails if the expectation is not met; the error holds the actual result.
    pub fn evaluate(&self, simulation: &Simulation) -> Result<(), UnmetExpectation> {
        let checker = &simulation.checker;
        match self {
            Expectation::Done { job, by_s } => job_done(simulation, job, *by_s),
            Expectation::TasksComplete { job, by_s } => tasks_complete(simulation, job, *by_s),
            Expectation::Started { job, by_s } => {
                let started_s = seconds(checker.first_start_at(job));
                check_time(job, "first start", started_s, *by_s)
            }
            Expectation::HalfServed => half_served(simulation),
            Expectation::AllServed => all_served(simulation),
            Expectation::AllOver => all_over(simulation),
            Expectation::Cancelled { job } => check_job(checker.is_cancelled(job), job, "not cancelled", "cancelled"),
            Expectation::NotOver { job } => {
                check_job(ended_s(simulation, job).is_none(), job, "ended", "no final status")
            }
            Expectation::Running { job, tasks } => {
                let running = checker.running_tasks(job) as u64;
                check_job(running == *tasks, job, format!("{running} running tasks"), format!("{tasks}"))
            }
            Expectation::Answered { job, within_s } => {
                check_time(job, "longest time between answers", seconds(checker.longest_answer_gap_ms(job)), *within_s)
            }
            Expectation::Refused { job, status } => {
                let found = checker.refused_with(job);
                check_job(found == Some(*status), job, format!("refusal status {found:?}"), format!("{status}"))
            }
            Expectation::LateStarts { within_s } => late_starts(simulation, *within_s),
            Expectation::LargestStarted { within_s } => largest_started(simulation, *within_s),
            counted => counted.evaluate_count(simulation),
        }
    }

    /// Evaluates the expectations about a number; the others count as met.
    fn evaluate_count(&self, simulation: &Simulation) -> Result<(), UnmetExpectation> {
        let checker = &simulation.checker;
        let (what, found, expected) = match self {
            Expectation::Starts(count) => ("task starts".to_string(), u64::from(checker.starts), count),
            Expectation::StoreRejections(count) => {
                ("requests rejected by the store".to_string(), u64::from(simulation.store().rejections), count)
            }
            Expectation::Cancellations(count) => ("cancellations".to_string(), checker.cancellations() as u64, count),
            Expectation::Epoch(count) => ("elections".to_string(), simulation.leader_epoch().0, count),
            Expectation::Leaders(count) => ("leaders".to_string(), simulation.leader_count() as u64, count),
            Expectation::DirectCalls(count) => {
                ("direct calls".to_string(), u64::from(simulation.recording.direct_calls), count)
            }
            Expectation::IsolatedZones(count) => (
                "detections of partitioned zones".to_string(),
                u64::from(simulation.recording.unreachable_zones),
                count,
            ),
            Expectation::Stored { prefix, keys } => {
                (format!("keys with the prefix {prefix}"), simulation.key_count(prefix) as u64, keys)
            }
            Expectation::Machines(count) => ("machines".to_string(), simulation.running_machines() as u64, count),
            _ => return Ok(()),
        };
        if expected.allows(found) { Ok(()) } else { Err(UnmetExpectation::Count { what, found, expected: *expected }) }
    }
}

fn seconds(ms: Option<u64>) -> Option<f64> {
    ms.map(|ms| ms as f64 / 1000.0)
}

/// Time in seconds at which a job's user was told a final status; `None` if that has not happened.
fn ended_s(simulation: &Simulation, job: &str) -> Option<f64> {
    seconds(simulation.users().get(job).and_then(|user| user.ended_at_ms))
}

fn check_job(
    met: bool,
    job: &str,
    found: impl Into<String>,
    expected: impl Into<String>,
) -> Result<(), UnmetExpectation> {
    if met {
        Ok(())
    } else {
        Err(UnmetExpectation::Job { job: job.into(), found: found.into(), expected: expected.into() })
    }
}

/// Fails if a time is absent or above its limit. `what` names the time in the error.
fn check_time(job: &str, what: &str, found_s: Option<f64>, limit_s: f64) -> Result<(), UnmetExpectation> {
    let met = found_s.is_some_and(|found| found <= limit_s);
    let found = found_s.map_or_else(|| format!("{what}: none"), |found| format!("{what}: {found} s"));
    check_job(met, job, found, format!("at most {limit_s} s"))
}

fn job_done(simulation: &Simulation, job: &str, by_s: Option<f64>) -> Result<(), UnmetExpectation> {
    let is_done = simulation.checker.is_done(job);
    match by_s {
        None => check_job(is_done, job, "not done", "done"),
        Some(by_s) => {
            check_time(job, "first answer with status done", ended_s(simulation, job).filter(|_| is_done), by_s)
        }
    }
}

fn tasks_complete(simulation: &Simulation, job: &str, by_s: f64) -> Result<(), UnmetExpectation> {
    let checker = &simulation.checker;
    let completed_s = seconds(checker.last_completion_at(job)).filter(|_| checker.is_done(job));
    check_time(job, "last task completion", completed_s, by_s)
}

fn late_starts(simulation: &Simulation, within_s: f64) -> Result<(), UnmetExpectation> {
    let late = simulation.checker.starts_after_cancellation;
    let longest_s = late.longest_ms as f64 / 1000.0;
    if longest_s <= within_s {
        Ok(())
    } else {
        Err(UnmetExpectation::LateStarts { count: late.count, longest_s, within_s })
    }
}

/// Whether a job is done, or is a service that runs with all its replicas.
fn is_served(simulation: &Simulation, spec: &Submission) -> bool {
    let checker = &simulation.checker;
    let all_running = || checker.running_tasks(&spec.id) >= spec.tasks as usize;
    checker.is_done(&spec.id) || spec.kind == JobKind::Service && all_running()
}

/// The jobs that their users don't plan to cancel.
fn jobs_without_cancellation(simulation: &Simulation) -> impl Iterator<Item = &Submission> {
    let users = simulation.users().values().filter(|user| user.job.cancel_at_ms.is_none());
    users.map(|user| &user.job.spec)
}

fn all_served(simulation: &Simulation) -> Result<(), UnmetExpectation> {
    let missing = jobs_without_cancellation(simulation).filter(|spec| !is_served(simulation, spec));
    check_no_jobs_left(missing.map(|spec| spec.id.clone()).collect(), "served")
}

fn all_over(simulation: &Simulation) -> Result<(), UnmetExpectation> {
    // A service runs until its user cancels it.
    let ends = |user: &User| user.job.spec.kind != JobKind::Service || user.job.cancel_at_ms.is_some();
    let missing = simulation.users().values().filter(|user| user.ended_at_ms.is_none() && ends(user));
    check_no_jobs_left(missing.map(|user| user.job.spec.id.clone()).collect(), "ended")
}

/// Fails if any jobs without the expected state are left.
fn check_no_jobs_left(jobs: Vec<String>, expected: &'static str) -> Result<(), UnmetExpectation> {
    if jobs.is_empty() { Ok(()) } else { Err(UnmetExpectation::Jobs { expected, jobs }) }
}

/// The jobs with most tasks of each class, by the name that errors give to the group.
fn largest_jobs(simulation: &Simulation) -> BTreeMap<String, Vec<&Submission>> {
    let mut classes: BTreeMap<String, Vec<&Submission>> = BTreeMap::new();
    for spec in jobs_without_cancellation(simulation) {
        classes.entry(format!("largest of class {}", spec.class)).or_default().push(spec);
    }
    for jobs in classes.values_mut() {
        jobs.sort_by_key(|spec| std::cmp::Reverse(spec.tasks));
        jobs.truncate(jobs.len().div_ceil(JOBS_PER_LARGEST_JOB));
    }
    classes
}

fn largest_started(simulation: &Simulation, within_s: f64) -> Result<(), UnmetExpectation> {
    for spec in largest_jobs(simulation).into_values().flatten() {
        let started_s = seconds(simulation.checker.first_start_at(&spec.id));
        let submitted_at = simulation.users().get(&spec.id).map(|user| user.job.submit_at_ms);
        let submitted_s = seconds(submitted_at).unwrap_or(0.0);
        check_time(&spec.id, "first start", started_s, submitted_s + within_s)?;
    }
    Ok(())
}

fn half_served(simulation: &Simulation) -> Result<(), UnmetExpectation> {
    let mut groups: BTreeMap<String, Vec<&Submission>> = BTreeMap::new();
    for spec in jobs_without_cancellation(simulation) {
        groups.entry(format!("class {}", spec.class)).or_default().push(spec);
        groups.entry(format!("team {}", spec.team)).or_default().push(spec);
    }
    for (group, jobs) in groups.into_iter().chain(largest_jobs(simulation)) {
        let served = jobs.iter().filter(|spec| is_served(simulation, spec)).count();
        if served * 2 < jobs.len() {
            return Err(UnmetExpectation::Group { group, jobs: jobs.len(), served });
        }
    }
    Ok(())
}
