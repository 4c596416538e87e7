//! Queries: reads and comparisons of job records, and the answers to users.

use crate::api::answers::{self, UnavailableReason};
use crate::api::comparisons::ComparisonLimits;
use crate::api::dependencies::{self, DependencyState};
use crate::api::dependency_checks::refresh_threshold;
use crate::api::job_query::{JobQuery, QueryPurpose};
use crate::api::known_jobs::FinalState;
use crate::api::lookups::DeferredRequest;
use crate::api::requests::{self, ApiRequest};
use crate::api::{Api, TaskCountSource};
use crate::controller::{BatchTime, Context};
use crate::event::Event;
use crate::io::{Answer, KvRequest};
use crate::records::keys;
use crate::settings::Settings;
use shaleshunt_wire::STATUS_TIMEOUT_S;
use shaleshunt_wire::user::{JobStatus, JobView};

/// Fraction of the store's request rate (`kv_rps`) that limited reads of all controllers may use. Status queries beyond
/// it are answered with 503, so that requests for leases and elections still get through.
const READ_RATE_FRACTION: f64 = 0.5;
/// Fraction of the store's request rate (`kv_rps`) that one controller's comparisons use.
const COMPARISON_RATE_FRACTION: f64 = 0.05;
/// Maximum time that a status query waits for its comparison batch to fill, as a fraction of the query's timeout.
const COMPARISON_DELAY_FRACTION: f64 = 0.25;

impl Api {
    /// Answers a query from the cache, or sends the requests that it needs.
    pub(super) fn query(&mut self, ctx: &mut Context, query: JobQuery) {
        if let Some(state) = self.known.final_state(&query.job) {
            ctx.answer(query.request, answers::job(answers::final_view(&query.job, state)));
        } else if ctx.kv_unavailable() {
            ctx.answer(query.request, answers::unavailable(UnavailableReason::StoreUnavailable));
        } else if query.purpose == QueryPurpose::Status
            && let Some(known) = self.known.unfinished(&query.job)
        {
            // The lookups are queued first, so that the dependencies are compared together with the job. They begin
            // before the confirmations are too old for an answer.
            let report = dependencies::resolve(&self.known, &known.dependencies, refresh_threshold(ctx));
            if let DependencyState::Unknown(jobs) = report.state {
                self.look_up(ctx, jobs);
            }
            self.comparisons.push(ctx.now_ms(), query);
        } else {
            self.read(ctx, query);
        }
    }

    /// Reads a job's record. A status query beyond the read budget is answered with 503.
    pub(super) fn read(&mut self, ctx: &mut Context, query: JobQuery) {
        if query.purpose == QueryPurpose::Status && !self.try_take_read(ctx) {
            ctx.answer(query.request, answers::unavailable(UnavailableReason::TooManyRequests));
            return;
        }
        requests::send(ctx, KvRequest::Get { key: keys::job(&query.job) }, ApiRequest::ReadRecord(query));
    }

    /// Takes a read from the budget; returns false if the budget is exhausted. The live controllers share the budget
    /// equally.
    pub(super) fn try_take_read(&mut self, ctx: &Context) -> bool {
        let controllers = f64::from(1 + ctx.live_peers());
        self.read_budget.try_take(ctx.now_ms(), ctx.settings.kv_rps * READ_RATE_FRACTION / controllers)
    }

    /// Sends the comparisons that are due. While the store is unavailable, answers all waiting queries instead.
    pub(super) fn send_comparisons(&mut self, ctx: &mut Context) {
        if ctx.kv_unavailable() {
            for query in self.comparisons.drain() {
                self.reply_unavailable(ctx, &query, UnavailableReason::StoreUnavailable);
            }
        }
        let limits = ComparisonLimits {
            max_preconditions: ctx.limits.max_preconditions().max(1),
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

    /// Answers a query about a job whose record shows it neither finished nor cancelled. If the job depends on others,
    /// it is reported as unfinished only if each of them is done or was recently confirmed as unfinished; the query is
    /// deferred while that is not known. If one of them is cancelled, the query is answered when the job's own
    /// cancellation is recorded.
    pub(super) fn reply_unfinished(
        &mut self,
        ctx: &mut Context,
        query: JobQuery,
        since: BatchTime,
        progress: &dyn TaskCountSource,
    ) {
        if query.is_dependency_lookup() {
            self.lookups.finish(&query.job);
            return;
        }
        if let Some(state) = self.known.final_state(&query.job) {
            // The job ended after its record was read, while the query waited for others.
            self.reply_final(ctx, &query, state);
            return;
        }
        let Some(report) = self.dependency_report(ctx, &query.job) else {
            self.read_again(ctx, query);
            return;
        };
        if let Some(check) = report.check(&query.job, ctx.now_ms()) {
            ctx.emit(Event::JobDependenciesChecked(Box::new(check)));
        }
        match report.state {
            DependencyState::NoneCancelled => self.reply_progress(ctx, &query, progress),
            DependencyState::Cancelled => self.record_dependency_cancellation(ctx, query),
            DependencyState::Unknown(jobs) => {
                self.look_up(ctx, jobs);
                self.lookups.defer(DeferredRequest::Query(query, since));
            }
        }
    }

    /// Answers a query about an unfinished job with the job's task counts.
    fn reply_progress(&mut self, ctx: &mut Context, query: &JobQuery, progress: &dyn TaskCountSource) {
        let counts = progress.task_counts(&query.job);
        let status = if counts.running > 0 { JobStatus::Running } else { JobStatus::Queued };
        let view = JobView { id: query.job.clone(), status, done: Some(counts.done), running: Some(counts.running) };
        self.reply(ctx, query, answers::job(view));
    }

    /// Records a job's final state and answers a query with it.
    pub(super) fn reply_final(&mut self, ctx: &mut Context, query: &JobQuery, state: FinalState) {
        self.known.record_final(&query.job, state);
        self.reply(ctx, query, answers::job(answers::final_view(&query.job, state)));
    }

    /// Answers a query. A dependency lookup is finished instead, and a dependency cancellation is finished with this
    /// answer to all queries that wait for it.
    fn reply(&mut self, ctx: &mut Context, query: &JobQuery, answer: Answer) {
        match query.purpose {
            QueryPurpose::DependencyLookup { .. } => self.lookups.finish(&query.job),
            QueryPurpose::DependencyCancellation => {
                for waiting in self.dependency_cancellations.finish(&query.job) {
                    ctx.answer(waiting.request, answer.clone());
                }
            }
            QueryPurpose::Status
            | QueryPurpose::Resubmission
            | QueryPurpose::Refusal(_)
            | QueryPurpose::Cancellation => ctx.answer(query.request, answer),
        }
    }

    /// Answers a query with 503. A dependency lookup is recorded as failed instead.
    pub(super) fn reply_unavailable(&mut self, ctx: &mut Context, query: &JobQuery, reason: UnavailableReason) {
        if query.is_dependency_lookup() {
            self.lookups.fail(&query.job, ctx.now_ms() + super::retry_delay_ms(&ctx.settings));
        } else {
            self.reply(ctx, query, answers::unavailable(reason));
        }
    }

    /// Reads a job's record again, as what was known of it no longer holds. Answers 503 if no retry is left.
    pub(super) fn read_again(&mut self, ctx: &mut Context, mut query: JobQuery) {
        if query.retry() {
            self.read(ctx, query);
        } else {
            self.reply_unavailable(ctx, &query, UnavailableReason::RecordChanged);
        }
    }
}

/// Returns the maximum time that a status query waits for its comparison batch to fill, in milliseconds.
fn comparison_delay_ms(settings: &Settings) -> u64 {
    let interval_ms = 1000.0 / (settings.kv_rps * COMPARISON_RATE_FRACTION);
    interval_ms.min(STATUS_TIMEOUT_S * 1000.0 * COMPARISON_DELAY_FRACTION) as u64
}
