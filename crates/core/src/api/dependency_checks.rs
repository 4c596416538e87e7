//! Dependency checks: evaluates a job's dependencies, sends lookups for unknown ones and resumes the requests that wait
//! for the lookups.

use crate::api::answers::{self, RefusalReason, UnavailableReason};
use crate::api::dependencies::{self, DependencyReport, MAX_LOOKUPS_PER_ROUND};
use crate::api::job_query::{JobQuery, QueryPurpose};
use crate::api::lookups::{DeferredRequest, ResumedRequests};
use crate::api::{Api, TaskCountSource};
use crate::controller::{BatchTime, Context};

/// Fraction of the cancellation time limit (`cancel_s`) for which a confirmation of a dependency counts as recent.
const RECENT_WINDOW_FRACTION: f64 = 0.25;

impl Api {
    /// Evaluates the dependencies of a queried job; `None` if the query is a dependency lookup or the job's record is
    /// not known.
    pub(super) fn dependency_report(
        &mut self,
        ctx: &Context,
        query: &JobQuery,
        since: BatchTime,
    ) -> Option<DependencyReport> {
        if query.is_dependency_lookup() {
            return None;
        }
        let known = self.known.unfinished(&query.job)?;
        let report = dependencies::resolve(&self.known, &known.dependencies, since);
        if !report.is_long {
            return Some(report);
        }
        // Thousands of dependencies cannot be looked up for each query, so recent confirmations are sufficient. A
        // cancellation is then reported only once the job's own record shows it. This holds for every controller.
        self.long_lists.track(&query.job, ctx.now_ms() + (ctx.settings.cancel_s * 1000.0) as u64);
        let recent = recency_threshold(ctx);
        let since = BatchTime { at_ms: since.at_ms.min(recent.at_ms), ..recent };
        Some(DependencyReport { is_long: true, ..dependencies::resolve(&self.known, &known.dependencies, since) })
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

    /// Looks up the dependencies of jobs with long lists again, one round at a time. A dependency is due when half of
    /// the time has passed for which its last confirmation counts as recent.
    pub(super) fn refresh_long_lists(&mut self, ctx: &Context) {
        let now_ms = ctx.now_ms();
        self.long_lists.expire(now_ms, &self.known);
        if !self.lookups.is_idle() || ctx.kv_unavailable() {
            return;
        }
        let recent = recency_threshold(ctx);
        let refresh_threshold = BatchTime { at_ms: recent.at_ms.midpoint(now_ms), ..recent };
        if let Some(jobs) = self.long_lists.stale_dependencies(&self.known, refresh_threshold) {
            self.look_up(ctx, jobs);
        }
    }
}

/// Returns the earliest confirmation of a dependency that is recent enough for a new job or a long list.
pub(super) fn recency_threshold(ctx: &Context) -> BatchTime {
    let window_ms = (ctx.settings.cancel_s * 1000.0 * RECENT_WINDOW_FRACTION) as u64;
    BatchTime { batch: 0, at_ms: ctx.now_ms().saturating_sub(window_ms).max(1) }
}
