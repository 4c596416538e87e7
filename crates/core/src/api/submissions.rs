//! Submissions: admission, the sending of accepting transactions, and the handling of their replies.

use crate::api::acceptance::PendingSubmission;
use crate::api::answers::{self, RefusalReason, UnavailableReason};
use crate::api::dependencies::{self, DependencyState};
use crate::api::dependency_checks::recency_threshold;
use crate::api::job_query::{JobQuery, QueryPurpose};
use crate::api::known_jobs::{FinalState, UnfinishedJob};
use crate::api::lookups::DeferredRequest;
use crate::api::requests::{self, ApiRequest};
use crate::api::split_submission::SplitSubmission;
use crate::api::{Api, MAX_SUBMIT_WAIT_MS, admission};
use crate::controller::{BatchTime, Context};
use crate::event::Event;
use crate::io::{KvReply, KvRequest, RequestError, RequestId};
use crate::records::keys;
use shaleshunt_wire::Revision;
use shaleshunt_wire::user::{JobStatus, JobView, Submission};

/// Decision on a new submission.
enum Decision {
    /// Answers with the job's final state, since the job has ended.
    AlreadyFinal(FinalState),
    /// Answers with 503 and this reason.
    Unavailable(UnavailableReason),
    /// Refuses the submission for this reason, unless the job was accepted before.
    Refuse(RefusalReason),
    /// Admits the submission.
    Admit,
}

impl Api {
    /// Handles a user's submission.
    pub fn submit(&mut self, ctx: &mut Context, request: RequestId, submission: Submission) {
        match self.decide(ctx, &submission) {
            Decision::AlreadyFinal(state) => {
                ctx.answer(request, answers::job(answers::final_view(&submission.id, state)));
            }
            Decision::Unavailable(reason) => ctx.answer(request, answers::unavailable(reason)),
            Decision::Refuse(reason) => {
                self.read(ctx, JobQuery::new(request, submission.id, QueryPurpose::Refusal(reason)));
            }
            Decision::Admit => {
                let pending = PendingSubmission {
                    request,
                    submission,
                    submitted_at_ms: ctx.now.wall_ms,
                    received_at_ms: ctx.now_ms(),
                    sequence: self.next_sequence(),
                    cancelled_by_dependency: false,
                };
                self.admit(ctx, pending);
            }
        }
    }

    fn decide(&self, ctx: &Context, submission: &Submission) -> Decision {
        if let Some(state) = self.known.final_state(&submission.id) {
            return Decision::AlreadyFinal(state);
        }
        let Some(catalog) = &ctx.catalog else {
            return Decision::Unavailable(UnavailableReason::CatalogUnknown);
        };
        if ctx.kv_unavailable() {
            return Decision::Unavailable(UnavailableReason::StoreUnavailable);
        }
        if let Err(reason) = admission::check(&ctx.settings, catalog, submission) {
            return Decision::Refuse(reason);
        }
        if self.split_submissions.contains(&submission.id) {
            return Decision::Unavailable(UnavailableReason::SubmissionInProgress);
        }
        if submission.dependencies.contains(&submission.id) {
            // The job had not been accepted when its submission named it as a dependency.
            return Decision::Refuse(RefusalReason::DependencyNeverAccepted);
        }
        Decision::Admit
    }

    /// Queues a submission for acceptance, or defers it if its dependencies must be looked up first.
    pub(super) fn admit(&mut self, ctx: &mut Context, mut pending: PendingSubmission) {
        let report = dependencies::resolve(&self.known, &pending.submission.dependencies, recency_threshold(ctx));
        match report.state {
            DependencyState::Unknown(jobs) => {
                self.look_up(ctx, jobs);
                self.lookups.defer(DeferredRequest::Submit(Box::new(pending)));
                return;
            }
            DependencyState::Cancelled => pending.cancelled_by_dependency = true,
            // Done dependencies are dropped: the job need not wait for them, and each leader would have to read their
            // states again.
            DependencyState::NoneCancelled => {
                pending.submission.dependencies.retain(|job| self.known.final_state(job).is_none());
            }
        }
        self.acceptances.push(pending);
    }

    /// Answers submissions that have waited for longer than the maximum wait with 503.
    pub(super) fn answer_overdue_submissions(&mut self, ctx: &mut Context) {
        let now_ms = ctx.now_ms();
        while let Some(overdue) = self.acceptances.pop_overdue(now_ms, MAX_SUBMIT_WAIT_MS) {
            ctx.answer(overdue.request, answers::unavailable(UnavailableReason::TooManyRequests));
        }
        for request in self.split_submissions.take_overdue_requests(now_ms, MAX_SUBMIT_WAIT_MS) {
            ctx.answer(request, answers::unavailable(UnavailableReason::SubmissionInProgress));
        }
    }

    /// Sends the next transaction of one split submission, if any is waiting and writes are not delayed.
    pub(super) fn send_split_submission(&mut self, ctx: &mut Context) {
        if ctx.now_ms() >= self.retry_writes_at_ms
            && let Some(mut split) = self.split_submissions.pop()
        {
            let transaction = split.next_transaction(ctx.limits.max_writes());
            requests::send(ctx, KvRequest::Transaction(transaction), ApiRequest::WriteSplitSubmission(split));
        }
    }

    /// Sends accepting transactions for the queued submissions, unless writes are delayed.
    pub(super) fn send_acceptances(&mut self, ctx: &mut Context) {
        while ctx.now_ms() >= self.retry_writes_at_ms
            && let Some(batch) = self.acceptances.next_batch(&ctx.limits)
        {
            for duplicate in batch.duplicates {
                self.read_resubmitted(ctx, duplicate);
            }
            for oversized in batch.oversized {
                let sequence = self.next_sequence();
                self.split_submissions.begin(SplitSubmission::new(ctx, oversized, sequence));
            }
            if !batch.submissions.is_empty() {
                let request = KvRequest::Transaction(batch.transaction);
                requests::send(ctx, request, ApiRequest::Accept(batch.submissions));
            }
        }
    }

    /// Handles the reply to a transaction of a split submission.
    pub(super) fn handle_split_submission_reply(
        &mut self,
        ctx: &mut Context,
        mut split: Box<SplitSubmission>,
        sent: BatchTime,
        result: Result<KvReply, RequestError>,
    ) {
        match result {
            Ok(KvReply::Committed(revision)) if split.is_writing_parts() => {
                split.commit_parts(revision);
                self.split_submissions.push(split);
            }
            Err(RequestError::Throttled) => {
                self.delay_writes(ctx);
                self.split_submissions.push(split);
            }
            Err(RequestError::Rejected(_)) if ctx.limits.reduce_sizes() => {
                let sequence = self.next_sequence();
                let smaller = SplitSubmission::new(ctx, split.into_submission(), sequence);
                self.split_submissions.push(Box::new(smaller));
            }
            result => self.handle_acceptance_reply(ctx, vec![split.into_submission()], sent, result),
        }
    }

    /// Handles the reply to a transaction that creates job records.
    pub(super) fn handle_acceptance_reply(
        &mut self,
        ctx: &mut Context,
        batch: Vec<PendingSubmission>,
        sent: BatchTime,
        result: Result<KvReply, RequestError>,
    ) {
        for pending in &batch {
            self.split_submissions.finish(pending.job());
        }
        match result {
            Ok(KvReply::Committed(revision)) => self.record_acceptances(ctx, batch, sent, revision),
            Ok(KvReply::Conflict(failed)) => self.handle_acceptance_conflict(ctx, batch, &failed),
            // The transaction was not executed. It is retried soon, until the submissions' maximum wait.
            Err(RequestError::Throttled) => {
                self.delay_writes(ctx);
                self.acceptances.retry_in_smaller_batches(batch);
            }
            Err(RequestError::Rejected(_)) if ctx.limits.reduce_sizes() => {
                self.acceptances.retry_in_smaller_batches(batch);
            }
            // The outcome is unknown. A repeated submission finds the job's record if the transaction was committed.
            _ => {
                for pending in batch {
                    ctx.answer(pending.request, answers::unavailable(UnavailableReason::StoreUnavailable));
                }
            }
        }
    }

    fn record_acceptances(
        &mut self,
        ctx: &mut Context,
        batch: Vec<PendingSubmission>,
        sent: BatchTime,
        revision: Revision,
    ) {
        self.acceptances.grow_batches(&ctx.limits);
        for pending in batch {
            ctx.emit(Event::JobAccepted { job: pending.job().into() });
            let request = pending.request;
            let view = self.record_acceptance(pending, sent, revision);
            ctx.answer(request, answers::job_created(view));
        }
    }

    fn record_acceptance(&mut self, pending: PendingSubmission, sent: BatchTime, revision: Revision) -> JobView {
        if pending.cancelled_by_dependency {
            self.known.record_final(pending.job(), FinalState::Cancelled);
            return answers::final_view(pending.job(), FinalState::Cancelled);
        }
        let Submission { id, dependencies, .. } = pending.submission;
        self.known.record_unfinished(&id, UnfinishedJob { record_version: revision, dependencies, confirmed_at: sent });
        JobView { id, status: JobStatus::Queued, done: None, running: None }
    }

    /// Handles a conflict of an accepting transaction: reads the records of the jobs that already have one, and queues
    /// the other submissions again.
    fn handle_acceptance_conflict(&mut self, ctx: &mut Context, batch: Vec<PendingSubmission>, failed: &[String]) {
        for pending in batch.into_iter().rev() {
            let (job_key, final_key) = (keys::job(pending.job()), keys::final_record(pending.job()));
            if failed.iter().any(|key| *key == job_key || *key == final_key) {
                self.read_resubmitted(ctx, pending);
            } else {
                self.acceptances.push_front(pending);
            }
        }
    }

    /// Reads the record of a job that was submitted again, to answer with the job's state.
    fn read_resubmitted(&mut self, ctx: &mut Context, pending: PendingSubmission) {
        self.read(ctx, JobQuery::new(pending.request, pending.submission.id, QueryPurpose::Resubmission));
    }

    /// Delays all writes of submissions because the store throttles them.
    fn delay_writes(&mut self, ctx: &Context) {
        self.retry_writes_at_ms = ctx.now_ms() + super::retry_delay_ms(&ctx.settings);
    }
}
