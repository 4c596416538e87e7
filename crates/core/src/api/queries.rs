//! Queries: reads of jobs' records, for users and for dependency lookups, and cancellations.

use crate::api::answers::{self, RefusalReason, UnavailableReason};
use crate::api::comparisons::ComparisonLimits;
use crate::api::dependencies::{self, DependencyReport, DependencyState, LOOKUPS_PER_ROUND};
use crate::api::known_jobs::FinalState;
use crate::api::lookups::DeferredRequest;
use crate::api::requests::{self, ApiRequest};
use crate::api::{Api, NO_REQUEST, TaskProgress};
use crate::controller::{BatchTime, Context};
use crate::io::{KvRequest, RequestId};
use crate::records::keys;
use crate::settings::Settings;
use shaleshunt_wire::STATUS_TIMEOUT_S;
use shaleshunt_wire::user::{JobStatus, JobView};

/// Share of the store's requests that the limited reads of all controllers take. Users whose queries
/// are beyond it are told to come back, so that leases and elections find room.
const READ_SHARE: f64 = 0.5;
/// Share of the store's requests that one controller's comparisons take.
const COMPARISON_SHARE: f64 = 0.05;
/// Share of a status query's time limit that it waits for others to be compared with it, at most.
const COMPARISON_DELAY_SHARE: f64 = 0.25;
/// Share of the time limit of cancellations for which what was seen of dependencies counts as recent.
const RECENT_SHARE: f64 = 0.25;
/// How often a read or a cancellation that lost a race is tried again.
const MAX_RETRIES: u32 = 3;

/// What a query is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum QueryPurpose {
    /// A user asks for the job's status.
    Status,
    /// A user submitted a job of this name, and there is one: its status is the answer.
    Resubmission,
    /// A submission is to be refused, unless the job has been accepted before.
    Refusal(RefusalReason),
    /// A user cancels the job.
    Cancellation,
    /// Another job depends on it: nobody waits for an answer.
    DependencyLookup {
        /// Its place in the order of submissions and lookups.
        sequence: u64,
    },
}

/// A query about a job.
#[derive(Debug, Clone)]
pub(crate) struct JobQuery {
    /// The user's request.
    pub request: RequestId,
    /// Name of the job.
    pub job: String,
    /// What it is for.
    pub purpose: QueryPurpose,
    /// How often it was tried again.
    retries: u32,
}

impl JobQuery {
    /// A user's query.
    pub fn new(request: RequestId, job: String, purpose: QueryPurpose) -> JobQuery {
        JobQuery { request, job, purpose, retries: 0 }
    }

    /// A lookup of a job that another one depends on.
    pub fn dependency_lookup(job: String, sequence: u64) -> JobQuery {
        JobQuery::new(NO_REQUEST, job, QueryPurpose::DependencyLookup { sequence })
    }

    /// Whether it is a lookup.
    pub fn is_dependency_lookup(&self) -> bool {
        matches!(self.purpose, QueryPurpose::DependencyLookup { .. })
    }

    /// Counts another try. Returns false if it was tried too often.
    pub fn retry(&mut self) -> bool {
        let may_retry = self.retries < MAX_RETRIES;
        if may_retry {
            self.retries += 1;
        }
        may_retry
    }
}

impl Api {
    /// Answers a query from what is known, or finds out.
    pub(super) fn query(&mut self, ctx: &mut Context, query: JobQuery) {
        if let Some(state) = self.known.final_state(&query.job) {
            ctx.answer(query.request, answers::job(answers::final_view(&query.job, state)));
        } else if ctx.kv_unavailable() {
            ctx.answer(query.request, answers::unavailable(UnavailableReason::StoreUnavailable));
        } else if query.purpose == QueryPurpose::Status
            && let Some(known) = self.known.unfinished(&query.job)
        {
            // Its dependencies are compared along with it.
            let report = dependencies::resolve(&self.known, &known.dependencies, ctx.batch_time());
            if let DependencyState::Unknown(jobs) = report.state {
                self.look_up(ctx, jobs);
            }
            self.comparisons.push(ctx.now_ms(), query);
        } else {
            self.read(ctx, query);
        }
    }

    /// Reads a job's record. Status queries beyond the limit on reads are told to come back.
    pub(super) fn read(&mut self, ctx: &mut Context, query: JobQuery) {
        if query.purpose == QueryPurpose::Status && !self.may_read(ctx) {
            ctx.answer(query.request, answers::unavailable(UnavailableReason::TooManyRequests));
            return;
        }
        requests::send(ctx, KvRequest::Get { key: keys::job(&query.job) }, ApiRequest::ReadRecord(query));
    }

    /// Whether a read that is limited may be sent now; it is counted then. The controllers that are
    /// alive share the limit.
    fn may_read(&mut self, ctx: &Context) -> bool {
        let controllers = f64::from(1 + ctx.live_peers());
        self.read_budget.try_take(ctx.now_ms(), ctx.settings.kv_rps * READ_SHARE / controllers)
    }

    /// Sends the comparisons that are due.
    pub(super) fn send_comparisons(&mut self, ctx: &mut Context) {
        if ctx.kv_unavailable() {
            for query in self.comparisons.drain() {
                self.reply_unavailable(ctx, &query, UnavailableReason::StoreUnavailable);
            }
        }
        let limits = ComparisonLimits {
            max_conditions: ctx.limits.conditions().max(1),
            max_delay_ms: comparison_delay_ms(&ctx.settings),
        };
        while let Some(batch) = self.comparisons.next_batch(ctx.now_ms(), limits, &self.known) {
            for query in batch.unknown {
                self.read(ctx, query);
            }
            if !batch.queries.is_empty() {
                let request = KvRequest::Transaction(batch.transaction);
                requests::send(ctx, request, ApiRequest::CompareRecords(batch.queries));
            }
        }
    }

    /// Requests lookups of jobs: by comparison if their records are known, else by reads.
    pub(super) fn look_up(&mut self, ctx: &Context, jobs: Vec<String>) {
        for job in jobs.into_iter().take(LOOKUPS_PER_ROUND) {
            if !self.lookups.request(&job) {
                continue;
            }
            if self.known.unfinished(&job).is_some() {
                let query = JobQuery::dependency_lookup(job, self.next_sequence());
                self.comparisons.push(ctx.now_ms(), query);
            } else {
                self.lookups.push_read(job);
            }
        }
    }

    /// Sends the reads of dependency lookups that are due.
    pub(super) fn send_lookup_reads(&mut self, ctx: &mut Context) {
        while self.lookups.is_read_due(ctx.now_ms())
            && self.may_read(ctx)
            && let Some(job) = self.lookups.pop_read()
        {
            let query = JobQuery::dependency_lookup(job, self.next_sequence());
            self.read(ctx, query);
        }
    }

    /// Tries deferred requests again once lookups have brought something new.
    pub(super) fn resume_deferred_requests(&mut self, ctx: &mut Context, progress: &dyn TaskProgress) {
        let now_ms = ctx.now_ms();
        let Some(resumed) = self.lookups.resume(now_ms) else { return };
        for request in resumed.requests {
            let is_overdue = request.is_overdue(now_ms);
            match request {
                DeferredRequest::Submit(submission)
                    if resumed.never_accepted.iter().any(|n| n.refutes(&submission)) =>
                {
                    let purpose = QueryPurpose::Refusal(RefusalReason::DependencyNeverAccepted);
                    self.read(ctx, JobQuery::new(submission.request, submission.submission.id, purpose));
                }
                DeferredRequest::Submit(submission) if is_overdue => {
                    ctx.answer(submission.request, answers::unavailable(UnavailableReason::DependenciesUnknown));
                }
                DeferredRequest::Submit(submission) => self.admit(ctx, *submission),
                DeferredRequest::Query(query, _) if is_overdue => {
                    ctx.answer(query.request, answers::unavailable(UnavailableReason::DependenciesUnknown));
                }
                DeferredRequest::Query(query, since) => self.reply_unfinished(ctx, query, since, progress),
            }
        }
    }

    /// Looks up the dependencies of jobs with long lists again, one round at a time, when half of the
    /// time has passed for which what was seen of them counts as recent.
    pub(super) fn refresh_long_lists(&mut self, ctx: &Context) {
        let now_ms = ctx.now_ms();
        self.long_lists.expire(now_ms, &self.known);
        if !self.lookups.is_idle() || ctx.kv_unavailable() {
            return;
        }
        let recent = recent_enough(ctx);
        let half_as_old = BatchTime { at: recent.at.midpoint(now_ms), ..recent };
        if let Some(jobs) = self.long_lists.stale_dependencies(&self.known, half_as_old) {
            self.look_up(ctx, jobs);
        }
    }

    /// Answers a query about a job whose record shows it neither finished nor cancelled. If it depends
    /// on others, it is called unfinished only when none of them is known to be cancelled.
    pub(super) fn reply_unfinished(
        &mut self,
        ctx: &mut Context,
        query: JobQuery,
        since: BatchTime,
        progress: &dyn TaskProgress,
    ) {
        let Some(report) = self.dependency_report(ctx, &query, since) else {
            self.reply_progress(ctx, &query, progress);
            return;
        };
        match report.state {
            DependencyState::Clear => self.reply_progress(ctx, &query, progress),
            DependencyState::Cancelled if report.is_long => {
                ctx.answer(query.request, answers::unavailable(UnavailableReason::CancellationPending));
            }
            // It can never run: that is as final as its own record will be, and every controller finds
            // the same.
            DependencyState::Cancelled => self.reply_final(ctx, &query, FinalState::Cancelled),
            DependencyState::Unknown(jobs) => {
                self.look_up(ctx, jobs);
                self.lookups.defer(DeferredRequest::Query(query, since));
            }
        }
    }

    /// What is known of the dependencies of a job that a user asks about; none for a lookup or if the
    /// job's record is not known.
    fn dependency_report(&mut self, ctx: &Context, query: &JobQuery, since: BatchTime) -> Option<DependencyReport> {
        if query.is_dependency_lookup() {
            return None;
        }
        let known = self.known.unfinished(&query.job)?;
        let report = dependencies::resolve(&self.known, &known.dependencies, since);
        if !report.is_long {
            return Some(report);
        }
        // Thousands cannot all be looked up for each query. Then what was seen lately is enough, and a
        // cancellation is told once it is in the job's own record: no controller tells it sooner.
        self.long_lists.keep(&query.job, ctx.now_ms() + (ctx.settings.cancel_s * 1000.0) as u64);
        let recent = recent_enough(ctx);
        let since = BatchTime { at: since.at.min(recent.at), ..recent };
        let state = dependencies::resolve(&self.known, &known.dependencies, since).state;
        Some(DependencyReport { state, is_long: true })
    }

    /// Answers a query about an unfinished job with its progress.
    fn reply_progress(&mut self, ctx: &mut Context, query: &JobQuery, progress: &dyn TaskProgress) {
        let counts = progress.task_counts(&query.job);
        let status = if counts.running > 0 { JobStatus::Running } else { JobStatus::Queued };
        let view = JobView { id: query.job.clone(), status, done: Some(counts.done), running: Some(counts.running) };
        self.reply_job(ctx, query, view);
    }

    /// Records a job's final state and answers a query with it.
    pub(super) fn reply_final(&mut self, ctx: &mut Context, query: &JobQuery, state: FinalState) {
        self.known.record_final(&query.job, state);
        self.reply_job(ctx, query, answers::final_view(&query.job, state));
    }

    /// Answers a query with a job's state; a lookup has finished.
    fn reply_job(&mut self, ctx: &mut Context, query: &JobQuery, view: JobView) {
        if query.is_dependency_lookup() {
            self.lookups.finish(&query.job);
        } else {
            ctx.answer(query.request, answers::job(view));
        }
    }

    /// Tells a user to come back; a lookup has failed.
    pub(super) fn reply_unavailable(&mut self, ctx: &mut Context, query: &JobQuery, reason: UnavailableReason) {
        if query.is_dependency_lookup() {
            self.lookups.fail(&query.job, ctx.now_ms() + super::retry_delay_ms(&ctx.settings));
        } else {
            ctx.answer(query.request, answers::unavailable(reason));
        }
    }
}

/// Since when what was seen of a dependency is recent enough for a new job or a long list.
pub(super) fn recent_enough(ctx: &Context) -> BatchTime {
    let window_ms = (ctx.settings.cancel_s * 1000.0 * RECENT_SHARE) as u64;
    BatchTime { step: 0, at: ctx.now_ms().saturating_sub(window_ms).max(1) }
}

/// The longest time that a status query waits for others to be compared with it.
fn comparison_delay_ms(settings: &Settings) -> u64 {
    let interval_ms = 1000.0 / (settings.kv_rps * COMPARISON_SHARE);
    interval_ms.min(STATUS_TIMEOUT_S * 1000.0 * COMPARISON_DELAY_SHARE) as u64
}
