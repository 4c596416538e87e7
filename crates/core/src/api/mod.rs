//! Users' requests, served by every controller: submissions, status queries and cancellations.
//!
//! No request needs the leader. A job is accepted or cancelled by compare-and-swap on its record in the key-value
//! store, and its status is read from the store.
//!
//! State:
//! - [`KnownJobs`]: the cache of job records;
//! - [`AcceptanceQueue`] and [`SplitSubmissions`]: submissions in progress;
//! - [`ComparisonQueue`] and [`RateBudget`]: queries in progress;
//! - [`DependencyLookups`] and [`LongDependencyLists`]: lookups of dependencies;
//! - [`DependencyCancellations`]: cancellations that follow from those of dependencies.
//!
//! Each keeps its own invariants. [`Api`] composes them; the modules `submissions`, `queries`, `dependency_checks` and
//! `replies` implement the steps of requests.
//!
//! Invariants:
//! - The reported state of a job (unfinished, done or cancelled) is that of its own records in the store after the query
//!   arrived, or later. Only final states, which never change, are reported from the cache. What follows from the
//!   records of several jobs is written to the job's own record before anyone is told. Counts of running and done tasks
//!   are for display and may be older.
//! - A job that depends on others is reported as unfinished only if each of these was confirmed as not cancelled within
//!   a fraction of the time limit of cancellations.
//! - Submissions are idempotent: a repeated submission finds the job's record and is answered with the job's state.
//! - No request stays queued for longer than its maximum wait. It is then answered with 503.
//!
//! Only the controller calls this module, while it handles a batch.

use crate::api::acceptance::AcceptanceQueue;
use crate::api::comparisons::ComparisonQueue;
use crate::api::dependencies::LongDependencyLists;
use crate::api::dependency_cancellations::DependencyCancellations;
use crate::api::job_query::{JobQuery, QueryPurpose};
use crate::api::known_jobs::{FinalState, KnownJobs};
use crate::api::lookups::DependencyLookups;
use crate::api::rate_budget::RateBudget;
use crate::api::split_submission::SplitSubmissions;
use crate::controller::Context;
use crate::io::RequestId;
use crate::settings::Settings;
use shaleshunt_wire::{Revision, STATUS_TIMEOUT_S, SUBMIT_TIMEOUT_S};

mod acceptance;
mod admission;
mod answers;
mod comparisons;
mod dependencies;
mod dependency_cancellations;
mod dependency_checks;
mod job_query;
mod known_jobs;
mod lookups;
mod queries;
mod rate_budget;
mod replies;
mod requests;
mod split_submission;
mod submissions;

pub(crate) use requests::ApiRequest;

/// Request identifier of queries and submissions for whose answer no user waits.
const NO_REQUEST: RequestId = 0;
/// Maximum time that a request stays queued, as a fraction of the user's timeout. The rest of the timeout is for the
/// 503 response, which must arrive in time.
const MAX_WAIT_FRACTION: f64 = 0.6;
/// Maximum time that a submission stays queued, in milliseconds.
const MAX_SUBMIT_WAIT_MS: u64 = (SUBMIT_TIMEOUT_S * 1000.0 * MAX_WAIT_FRACTION) as u64;
/// Maximum time that a status query stays queued, in milliseconds.
const MAX_STATUS_WAIT_MS: u64 = (STATUS_TIMEOUT_S * 1000.0 * MAX_WAIT_FRACTION) as u64;
/// Retries of a throttled request to the store per heartbeat interval.
const RETRIES_PER_HEARTBEAT_INTERVAL: u64 = 60;
/// The cache of known jobs of each kind may use the memory limit divided by this number.
const KNOWN_JOBS_MEMORY_DIVISOR: f64 = 100.0;
/// Estimated memory use of a known job, in bytes.
const KNOWN_JOB_BYTES: f64 = 200.0;

/// Task counts of a job, for display.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct TaskCounts {
    /// Number of done tasks.
    pub done: u32,
    /// Number of running tasks.
    pub running: u32,
}

/// Source of the jobs' task counts as last reported by the leader.
pub(crate) trait TaskCountSource {
    /// Returns a job's counts; zero if the job is not known.
    fn task_counts(&self, job: &str) -> TaskCounts;
}

/// State of users' requests on one controller.
pub(crate) struct Api {
    known: KnownJobs,
    acceptances: AcceptanceQueue,
    split_submissions: SplitSubmissions,
    comparisons: ComparisonQueue,
    read_budget: RateBudget,
    lookups: DependencyLookups,
    long_lists: LongDependencyLists,
    dependency_cancellations: DependencyCancellations,
    /// Sequence number of the last submission or dependency lookup; 0 if there was none.
    last_sequence: u64,
    /// Time on the monotonic clock before which no submission is written, set after a throttled write; 0 if no write
    /// has been throttled.
    retry_writes_at_ms: u64,
}

impl Api {
    /// Creates the state of a process that has received no requests.
    pub fn new(settings: &Settings) -> Api {
        Api {
            known: KnownJobs::new(known_jobs_capacity(settings)),
            acceptances: AcceptanceQueue::default(),
            split_submissions: SplitSubmissions::default(),
            comparisons: ComparisonQueue::default(),
            read_budget: RateBudget::default(),
            lookups: DependencyLookups::default(),
            long_lists: LongDependencyLists::default(),
            dependency_cancellations: DependencyCancellations::default(),
            last_sequence: 0,
            retry_writes_at_ms: 0,
        }
    }

    /// Handles a user's status query.
    pub fn status(&mut self, ctx: &mut Context, request: RequestId, job: String) {
        self.query(ctx, JobQuery::new(request, job, QueryPurpose::Status));
    }

    /// Handles a user's cancellation of a job.
    pub fn cancel(&mut self, ctx: &mut Context, request: RequestId, job: String) {
        self.query(ctx, JobQuery::new(request, job, QueryPurpose::Cancellation));
    }

    /// Sends requests that are due and answers overdue requests. Called once per batch.
    pub fn run_due(&mut self, ctx: &mut Context, progress: &dyn TaskCountSource) {
        self.resume_deferred_requests(ctx, progress);
        self.send_lookup_reads(ctx);
        self.refresh_long_lists(ctx);
        self.send_comparisons(ctx);
        self.answer_overdue_submissions(ctx);
        self.send_split_submission(ctx);
        self.send_acceptances(ctx);
    }

    /// Records the versions of job records as shared by the leader. The leader shares only those of jobs that no longer
    /// depend on others.
    pub fn learn_record_versions<'a>(&mut self, jobs: impl Iterator<Item = (&'a str, Revision)>) {
        for (job, record_version) in jobs {
            self.known.learn_record_version(job, record_version);
        }
    }

    /// Returns the number of users' writes that wait: queued submissions, without those being written in parts, and one
    /// for all cancellations by dependencies.
    pub fn pending_user_writes(&self, now_ms: u64) -> u32 {
        self.acceptances.len() as u32 + u32::from(self.dependency_cancellations.is_waiting(now_ms))
    }

    /// Returns whether a job is cached as cancelled.
    pub fn is_cancelled(&self, job: &str) -> bool {
        self.known.final_state(job) == Some(FinalState::Cancelled)
    }

    /// Takes the names of jobs found to be cancelled since the last call, for the leader.
    pub fn take_newly_cancelled(&mut self) -> Vec<String> {
        self.known.take_newly_cancelled()
    }

    fn next_sequence(&mut self) -> u64 {
        self.last_sequence += 1;
        self.last_sequence
    }
}

/// Returns the maximum number of cached jobs of each kind.
fn known_jobs_capacity(settings: &Settings) -> usize {
    (settings.mem_mb * 1024.0 * 1024.0 / KNOWN_JOBS_MEMORY_DIVISOR / KNOWN_JOB_BYTES) as usize
}

/// Returns the delay before a throttled request is retried, in milliseconds.
fn retry_delay_ms(settings: &Settings) -> u64 {
    settings.heartbeat_interval_ms() / RETRIES_PER_HEARTBEAT_INTERVAL
}

#[cfg(test)]
mod tests;
