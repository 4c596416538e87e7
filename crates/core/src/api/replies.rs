//! Handles replies of the key-value store: one method for each kind of request.

use crate::api::answers::{self, UnavailableReason};
use crate::api::job_query::{JobQuery, QueryPurpose};
use crate::api::known_jobs::{FinalState, UnfinishedJob};
use crate::api::requests::{self, ApiRequest, PartsRead};
use crate::api::{Api, TaskCountSource};
use crate::controller::{BatchTime, Context};
use crate::event::Event;
use crate::io::{KvReply, KvRequest, RequestError};
use crate::records::{CancellationCause, FinalRecord, StoredJob, keys};
use serde_json::json;
use shaleshunt_wire::Revision;
use shaleshunt_wire::kv::{KeyValue, Precondition, Transaction, Write};

type KvResult = Result<KvReply, RequestError>;

impl Api {
    /// Handles the reply to a request that was sent in the batch `sent`.
    pub fn handle_kv_reply(
        &mut self,
        ctx: &mut Context,
        request: ApiRequest,
        sent: BatchTime,
        result: KvResult,
        progress: &dyn TaskCountSource,
    ) {
        match request {
            ApiRequest::Accept(batch) => {
                self.acceptances.finish_transaction();
                self.handle_acceptance_reply(ctx, batch, sent, result);
            }
            ApiRequest::WriteSplitSubmission(split) => self.handle_split_submission_reply(ctx, split, sent, result),
            ApiRequest::ReadSubmissionParts(read) => self.handle_parts_reply(ctx, read, sent, result, progress),
            ApiRequest::CompareRecords(batch) => {
                self.comparisons.finish_transaction();
                self.handle_comparison_reply(ctx, batch, sent, result, progress);
            }
            ApiRequest::ReadRecord(query) => self.handle_record_reply(ctx, query, sent, result, progress),
            ApiRequest::ReadFinalRecord(query) => self.handle_final_record_reply(ctx, query, result),
            ApiRequest::Cancel(query) => self.handle_cancellation_reply(ctx, query, result),
        }
    }

    fn handle_comparison_reply(
        &mut self,
        ctx: &mut Context,
        batch: Vec<JobQuery>,
        sent: BatchTime,
        result: KvResult,
        progress: &dyn TaskCountSource,
    ) {
        match result {
            Ok(KvReply::Committed(_)) => {
                // All jobs are confirmed before the first query is answered, since one job may depend on another.
                for query in &batch {
                    self.known.confirm_unfinished(&query.job, sent);
                }
                for query in batch {
                    self.reply_unfinished(ctx, query, sent, progress);
                }
            }
            Ok(KvReply::Conflict(failed)) => self.handle_changed_records(ctx, batch, &failed),
            other => {
                if let Err(RequestError::Rejected(_)) = other {
                    ctx.limits.reduce_sizes();
                }
                for query in batch {
                    self.reply_unavailable(ctx, &query, UnavailableReason::StoreUnavailable);
                }
            }
        }
    }

    /// Handles a conflict of a comparison: reads the changed records and compares the others, about which the conflict
    /// says nothing, again. If none of the queries is for a changed record, all records are read.
    fn handle_changed_records(&mut self, ctx: &mut Context, batch: Vec<JobQuery>, failed: &[String]) {
        for key in failed {
            self.known.forget_unfinished(keys::job_id(key));
        }
        let (same, changed): (Vec<_>, Vec<_>) =
            batch.into_iter().partition(|query| self.known.unfinished(&query.job).is_some());
        let (to_compare, to_read) = if changed.is_empty() { (changed, same) } else { (same, changed) };
        for query in to_read {
            self.read(ctx, query);
        }
        self.comparisons.retry(to_compare);
    }

    fn handle_record_reply(
        &mut self,
        ctx: &mut Context,
        query: JobQuery,
        sent: BatchTime,
        result: KvResult,
        progress: &dyn TaskCountSource,
    ) {
        match result {
            Ok(KvReply::Found(pair)) => self.handle_found_record(ctx, query, pair, sent, progress),
            // Without a job record, the job either finished before the read, and its final record exists by now, or it
            // had not been accepted.
            Ok(KvReply::Missing) => {
                let key = keys::final_record(&query.job);
                requests::send(ctx, KvRequest::Get { key }, ApiRequest::ReadFinalRecord(query));
            }
            _ => self.reply_unavailable(ctx, &query, UnavailableReason::StoreUnavailable),
        }
    }

    fn handle_found_record(
        &mut self,
        ctx: &mut Context,
        query: JobQuery,
        pair: KeyValue,
        sent: BatchTime,
        progress: &dyn TaskCountSource,
    ) {
        let Some(record) = StoredJob::read(pair.value) else {
            self.reply_unavailable(ctx, &query, UnavailableReason::RecordUnreadable);
            return;
        };
        if record.is_cancelled() {
            self.reply_final(ctx, &query, FinalState::Cancelled);
        } else if let Some(cause) = query.cancellation_cause() {
            send_cancellation(ctx, query, record, pair.version, cause);
        } else {
            match record {
                StoredJob::Whole(record) => {
                    let dependencies = record.submission.dependencies;
                    let seen = UnfinishedJob { record_version: pair.version, dependencies, confirmed_at: sent };
                    self.known.record_unfinished(&query.job, seen);
                    self.reply_unfinished(ctx, query, sent, progress);
                }
                StoredJob::SplitSubmission(record) => {
                    read_parts(
                        ctx,
                        Box::new(PartsRead { query, record, record_version: pair.version, parts: Vec::new() }),
                    );
                }
            }
        }
    }

    /// Handles a page of a submission's parts, which contain the job's dependencies.
    fn handle_parts_reply(
        &mut self,
        ctx: &mut Context,
        mut read: Box<PartsRead>,
        sent: BatchTime,
        result: KvResult,
        progress: &dyn TaskCountSource,
    ) {
        let Ok(KvReply::Page(page)) = result else {
            self.reply_unavailable(ctx, &read.query, UnavailableReason::StoreUnavailable);
            return;
        };
        read.parts.extend(page.pairs);
        if page.truncated {
            read_parts(ctx, read);
            return;
        }
        let Some(record) = read.record.join(&read.parts) else {
            // The job ended after its record was read, and its parts were removed.
            self.reply_unavailable(ctx, &read.query, UnavailableReason::RecordChanged);
            return;
        };
        // The job record was read before the parts, so the job is not confirmed for jobs that depend on it: they look
        // it up again.
        let seen = UnfinishedJob {
            record_version: read.record_version,
            dependencies: record.submission.dependencies,
            confirmed_at: BatchTime::default(),
        };
        self.known.record_unfinished(&read.query.job, seen);
        self.reply_unfinished(ctx, read.query, sent, progress);
    }

    fn handle_final_record_reply(&mut self, ctx: &mut Context, query: JobQuery, result: KvResult) {
        match result {
            Ok(KvReply::Found(pair)) => match serde_json::from_value::<FinalRecord>(pair.value) {
                Ok(FinalRecord { cancelled: true, .. }) => self.reply_final(ctx, &query, FinalState::Cancelled),
                Ok(FinalRecord { tasks, .. }) => self.reply_final(ctx, &query, FinalState::Done { tasks }),
                Err(_) => self.reply_unavailable(ctx, &query, UnavailableReason::RecordUnreadable),
            },
            Ok(KvReply::Missing) => self.handle_missing_job(ctx, query),
            _ => self.reply_unavailable(ctx, &query, UnavailableReason::StoreUnavailable),
        }
    }

    /// Handles a query for a job that has neither a job record nor a final record.
    fn handle_missing_job(&mut self, ctx: &mut Context, query: JobQuery) {
        match query.purpose {
            QueryPurpose::Refusal(reason) => ctx.answer(query.request, answers::refused(reason)),
            // The job is known to exist. The two reads miss it only if it was accepted between them.
            QueryPurpose::Resubmission | QueryPurpose::DependencyCancellation => self.read_again(ctx, query),
            QueryPurpose::DependencyLookup { sequence } => self.lookups.finish_never_accepted(query.job, sequence),
            QueryPurpose::Status | QueryPurpose::Cancellation => ctx.answer(query.request, answers::no_such_job()),
        }
    }

    fn handle_cancellation_reply(&mut self, ctx: &mut Context, mut query: JobQuery, result: KvResult) {
        match result {
            Ok(KvReply::Committed(_)) => {
                emit_cancellation(ctx, &query);
                self.reply_final(ctx, &query, FinalState::Cancelled);
            }
            // The record has changed since it was read, so it is read again.
            Ok(KvReply::Conflict(_)) if query.retry() => self.read(ctx, query),
            _ => self.reply_unavailable(ctx, &query, UnavailableReason::StoreUnavailable),
        }
    }
}

/// Sends the read of the next page of a submission's parts.
fn read_parts(ctx: &mut Context, read: Box<PartsRead>) {
    requests::send(ctx, read.next_page(), ApiRequest::ReadSubmissionParts(read));
}

/// Logs that a cancellation was committed.
fn emit_cancellation(ctx: &mut Context, query: &JobQuery) {
    let job = query.job.as_str().into();
    ctx.emit(match query.cancellation_cause() {
        Some(CancellationCause::Dependency) => Event::JobCancelledByDependency { job },
        Some(CancellationCause::User) | None => Event::JobCancellationRecorded { job },
    });
}

/// Sends the transaction that marks a job as cancelled in its record. A user's cancellation also creates the job's
/// cancellation key, which all controllers watch; a job with a cancelled dependency has no tasks to stop.
fn send_cancellation(
    ctx: &mut Context,
    query: JobQuery,
    record: StoredJob,
    record_version: Revision,
    cause: CancellationCause,
) {
    let (job, cancellation) = (keys::job(&query.job), keys::cancellation(&query.job));
    let mut transaction = Transaction {
        preconditions: vec![Precondition { key: job.clone(), version: record_version }],
        writes: vec![Write::set(job, record.into_cancelled(cause))],
    };
    if cause == CancellationCause::User {
        transaction.preconditions.push(Precondition { key: cancellation.clone(), version: Revision::ABSENT });
        transaction.writes.push(Write::set(cancellation, json!(true)));
    }
    requests::send(ctx, KvRequest::Transaction(transaction), ApiRequest::Cancel(query));
}
