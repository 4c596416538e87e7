//! Dependency checks: evaluates a job's dependencies, sends lookups for unknown ones and resumes the requests that wait
//! for the lookups.

use crate::api::answers::{self, RefusalReason, UnavailableReason};
use crate::api::dependencies::{self, DependencyReport, MAX_LOOKUPS_PER_ROUND};
use crate::api::dependency_cancellations::CancellationStep;
use crate::api::job_query::{JobQuery, QueryPurpose};
use crate::api::lookups::{DeferredRequest, ResumedRequests};
use crate::api::{Api, TaskCountSource};
use crate::controller::{BatchTime, Context};

/// Fraction of the store's write rate that all controllers may use to record cancellations by dependencies.
const CANCELLATION_WRITE_FRACTION: f64 = 0.75;
/// Fraction of the cancellation time limit (`cancel_s`) for which a confirmation of a dependency counts as recent.
const RECENT_WINDOW_FRACTION: f64 = 0.25;

impl Api {
    /// Evaluates the dependencies of a queried job; `None` if the job's record is not known. The dependencies of a long
    /// list are then also looked up between queries, for a while.
    pub(super) fn dependency_report(&mut self, ctx: &Context, job: &str) -> Option<DependencyReport> {
        let known = self.known.unfinished(job)?;
        let report = dependencies::resolve(&self.known, &known.dependencies, recency_threshold(ctx));
        if report.is_long() {
            self.long_lists.track(job, ctx.now_ms() + (ctx.settings.cancel_s * 1000.0) as u64);
        }
        Some(report)
    }

    /// Records the cancellation of a job with a cancelled dependency in the job's own record. The query is answered when
    /// that is committed, since a controller with other knowledge of the dependencies could otherwise call the job
    /// unfinished afterwards.
    pub(super) fn record_dependency_cancellation(&mut self, ctx: &mut Context, query: JobQuery) {
        let controllers = f64::from(1 + ctx.live_peers());
        let writes_per_s = ctx.limits.write_rate() * CANCELLATION_WRITE_FRACTION / controllers;
        let job = query.job.clone();
        match self.dependency_cancellations.request(query, ctx.now_ms(), writes_per_s) {
            CancellationStep::Begin => self.read(ctx, JobQuery::dependency_cancellation(job)),
            CancellationStep::Wait => {}
            CancellationStep::TooMany(query) => {
                ctx.answer(query.request, answers::unavailable(UnavailableReason::CancellationPending));
            }
        }
    }

    /// Requests dependency lookups: by comparison for jobs whose record version is known, by reads for the others.
    pub(super) fn look_up(&mut self, ctx: &Context, jobs: Vec<String>) {
        for job in jobs.into_iter().take(MAX_LOOKUPS_PER_ROUND) {
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

    /// Sends the reads of dependency lookups that are due, as far as the read budget allows.
    pub(super) fn send_lookup_reads(&mut self, ctx: &mut Context) {
        while self.lookups.is_read_due(ctx.now_ms())
            && self.try_take_read(ctx)
            && let Some(job) = self.lookups.pop_read()
        {
            let query = JobQuery::dependency_lookup(job, self.next_sequence());
            self.read(ctx, query);
        }
    }

    /// Resumes deferred requests after dependency lookups have finished or a request is overdue.
    pub(super) fn resume_deferred_requests(&mut self, ctx: &mut Context, progress: &dyn TaskCountSource) {
        let now_ms = ctx.now_ms();
        let Some(ResumedRequests { requests, findings }) = self.lookups.resume(now_ms) else { return };
        for request in requests {
            let is_overdue = request.is_overdue(now_ms);
            match request {
                DeferredRequest::Submit(submission) if findings.shows_unaccepted_dependency(&submission) => {
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

    /// Looks up the dependencies of jobs with long lists again, one round at a time.
    pub(super) fn refresh_long_lists(&mut self, ctx: &Context) {
        let now_ms = ctx.now_ms();
        self.long_lists.expire(now_ms, &self.known);
        if !self.lookups.is_idle() || ctx.kv_unavailable() {
            return;
        }
        if let Some(jobs) = self.long_lists.stale_dependencies(&self.known, refresh_threshold(ctx)) {
            self.look_up(ctx, jobs);
        }
    }
}

/// Returns the earliest confirmation of a dependency that is recent enough for an answer.
pub(super) fn recency_threshold(ctx: &Context) -> BatchTime {
    let window_ms = (ctx.settings.cancel_s * 1000.0 * RECENT_WINDOW_FRACTION) as u64;
    BatchTime { batch: 0, at_ms: ctx.now_ms().saturating_sub(window_ms).max(1) }
}

/// Returns the earliest confirmation of a dependency that need not be renewed yet: half of the time for which it counts
/// as recent is left.
pub(super) fn refresh_threshold(ctx: &Context) -> BatchTime {
    let recent = recency_threshold(ctx);
    BatchTime { at_ms: recent.at_ms.midpoint(ctx.now_ms()), ..recent }
}

#[cfg(test)]
mod tests;
