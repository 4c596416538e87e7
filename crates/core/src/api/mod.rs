//! Users' requests, on any controller: submissions, status queries and cancellations.
//!
//! None of them needs the leader. A job is accepted or cancelled by compare-and-swap on its record in
//! the key-value store, and its status is read from there.
//!
//! State: [`KnownJobs`], what has been seen of jobs' records; [`AcceptanceQueue`] and
//! [`SplitSubmissions`], submissions on their way; [`ComparisonQueue`] and [`ReadBudget`], queries on
//! their way; [`DependencyLookups`] and [`LongDependencyLists`], what is to be found out about jobs
//! that others depend on. Each keeps its own invariants. [`Api`] composes them: `submissions`,
//! `queries`, `dependency_checks` and `replies` hold the steps that requests go through.
//!
//! What always holds:
//! - Whether a job is unfinished, done or cancelled is told as it was in the store after the query came;
//!   only a final state, which never changes, is told from memory. How many tasks run or are done is
//!   for display and may be older.
//! - A repeated submission is idempotent: it finds the job's record and is answered with its state.
//! - No request waits in a queue longer than its user's patience: then the user is told to come back.
//!
//! Only the controller calls in here, in the course of its batches.

use crate::api::acceptance::AcceptanceQueue;
use crate::api::comparisons::ComparisonQueue;
use crate::api::dependencies::LongDependencyLists;
use crate::api::job_query::{JobQuery, QueryPurpose};
use crate::api::known_jobs::{FinalState, KnownJobs};
use crate::api::lookups::DependencyLookups;
use crate::api::read_budget::ReadBudget;
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
mod dependency_checks;
mod job_query;
mod known_jobs;
mod lookups;
mod queries;
mod read_budget;
mod replies;
mod requests;
mod split_submission;
mod submissions;

pub(crate) use requests::ApiRequest;

/// Stands for a request in what nobody waits for.
const NO_REQUEST: RequestId = 0;
/// Share of a user's time limit after which a request that still waits is answered with the advice to
/// come back: the answer must arrive within the limit.
const MAX_WAIT_FRACTION: f64 = 0.6;
/// How long a submission may wait, in milliseconds.
const MAX_SUBMIT_WAIT_MS: u64 = (SUBMIT_TIMEOUT_S * 1000.0 * MAX_WAIT_FRACTION) as u64;
/// How long a status query may wait, in milliseconds.
const MAX_STATUS_WAIT_MS: u64 = (STATUS_TIMEOUT_S * 1000.0 * MAX_WAIT_FRACTION) as u64;
/// How often a request that the store throttles is tried again in a heartbeat interval.
const RETRIES_PER_HEARTBEAT_INTERVAL: u64 = 60;
/// Known jobs of each kind may take one part in so many of the memory limit.
const KNOWN_JOBS_MEMORY_DIVISOR: f64 = 100.0;
/// Bytes that a known job takes, as estimated.
const KNOWN_JOB_BYTES: f64 = 200.0;

/// How many tasks of a job are done or running, for display.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct TaskCounts {
    /// Done tasks.
    pub done: u32,
    /// Running tasks.
    pub running: u32,
}

/// Tells of jobs' progress, as the leader last reported it.
pub(crate) trait TaskCountSource {
    /// The counts of a job; zero if nothing is known of it.
    fn task_counts(&self, job: &str) -> TaskCounts;
}

/// Users' requests and what they wait for.
pub(crate) struct Api {
    known: KnownJobs,
    acceptances: AcceptanceQueue,
    split_submissions: SplitSubmissions,
    comparisons: ComparisonQueue,
    read_budget: ReadBudget,
    lookups: DependencyLookups,
    long_lists: LongDependencyLists,
    /// Sequence number of the last submission or dependency lookup.
    last_sequence: u64,
    /// The store throttles writes: none is sent before this time.
    retry_writes_at_ms: u64,
}

impl Api {
    /// A controller's side towards its users.
    pub fn new(settings: &Settings) -> Api {
        Api {
            known: KnownJobs::new(known_jobs_capacity(settings)),
            acceptances: AcceptanceQueue::default(),
            split_submissions: SplitSubmissions::default(),
            comparisons: ComparisonQueue::default(),
            read_budget: ReadBudget::default(),
            lookups: DependencyLookups::default(),
            long_lists: LongDependencyLists::default(),
            last_sequence: 0,
            retry_writes_at_ms: 0,
        }
    }

    /// Takes in a user's question for the status of a job.
    pub fn status(&mut self, ctx: &mut Context, request: RequestId, job: String) {
        self.query(ctx, JobQuery::new(request, job, QueryPurpose::Status));
    }

    /// Takes in a user's cancellation of a job.
    pub fn cancel(&mut self, ctx: &mut Context, request: RequestId, job: String) {
        self.query(ctx, JobQuery::new(request, job, QueryPurpose::Cancellation));
    }

    /// Sends what is due and answers what is overdue, once a batch.
    pub fn run_due(&mut self, ctx: &mut Context, progress: &dyn TaskCountSource) {
        self.resume_deferred_requests(ctx, progress);
        self.send_lookup_reads(ctx);
        self.refresh_long_lists(ctx);
        self.send_comparisons(ctx);
        self.answer_overdue_submissions(ctx);
        self.send_split_submission(ctx);
        self.send_acceptances(ctx);
    }

    /// Takes over the revisions of records of jobs that no longer depend on others, as the leader
    /// shares them.
    pub fn learn_record_versions<'a>(&mut self, jobs: impl Iterator<Item = (&'a str, Revision)>) {
        for (job, revision) in jobs {
            self.known.learn_record_version(job, revision);
        }
    }

    /// How many submissions wait to be accepted.
    pub fn pending_submissions(&self) -> u32 {
        self.acceptances.len() as u32
    }

    /// Whether a job is known here to be cancelled.
    pub fn is_cancelled(&self, job: &str) -> bool {
        self.known.final_state(job) == Some(FinalState::Cancelled)
    }

    /// Jobs found to be cancelled since the last call, for the leader.
    pub fn take_newly_cancelled(&mut self) -> Vec<String> {
        self.known.take_newly_cancelled()
    }

    fn next_sequence(&mut self) -> u64 {
        self.last_sequence += 1;
        self.last_sequence
    }
}

/// Most jobs of each kind that are remembered.
fn known_jobs_capacity(settings: &Settings) -> usize {
    (settings.mem_mb * 1024.0 * 1024.0 / KNOWN_JOBS_MEMORY_DIVISOR / KNOWN_JOB_BYTES) as usize
}

/// How long to wait before a request that the store throttled is tried again, in milliseconds.
fn retry_delay_ms(settings: &Settings) -> u64 {
    settings.heartbeat_interval_ms() / RETRIES_PER_HEARTBEAT_INTERVAL
}

#[cfg(test)]
mod tests;
