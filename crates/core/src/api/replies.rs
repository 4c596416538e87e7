//! Replies of the key-value store to queries: one function for each kind of request.

use crate::api::answers::{self, UnavailableReason};
use crate::api::job_query::{JobQuery, QueryPurpose};
use crate::api::known_jobs::{FinalState, UnfinishedJob};
use crate::api::requests::{self, ApiRequest, PartsRead};
use crate::api::{Api, TaskProgress};
use crate::controller::{BatchTime, Context};
use crate::event::Event;
use crate::io::{KvReply, KvRequest, RequestError};
use crate::records::{FinalRecord, StoredJob, keys};
use serde_json::json;
use shaleshunt_wire::Revision;
use shaleshunt_wire::kv::{KeyValue, Precondition, Transaction, Write};

type KvResult = Result<KvReply, RequestError>;

impl Api {
    /// Takes in the reply to a request that was sent at `sent`.
    pub fn handle_kv_reply(
        &mut self,
        ctx: &mut Context,
        request: ApiRequest,
        sent: BatchTime,
        result: KvResult,
        progress: &dyn TaskProgress,
    ) {
        match request {
            ApiRequest::Accept(batch) => {
                self.acceptances.finish();
                self.handle_acceptance_reply(ctx, batch, sent, result);
            }
            ApiRequest::WriteSplitSubmission(split) => self.handle_split_submission_reply(ctx, split, sent, result),
            ApiRequest::ReadSubmissionParts(read) => self.handle_parts(ctx, read, sent, result, progress),
            ApiRequest::CompareRecords(batch) => {
                self.comparisons.finish();
                self.handle_comparison(ctx, batch, sent, result, progress);
            }
            ApiRequest::ReadRecord(query) => self.handle_record(ctx, query, sent, result, progress),
            ApiRequest::ReadFinalRecord(query) => self.handle_final_record(ctx, query, result),
            ApiRequest::Cancel(query) => self.handle_cancellation(ctx, query, result),
        }
    }

    fn handle_comparison(
        &mut self,
        ctx: &mut Context,
        batch: Vec<JobQuery>,
        sent: BatchTime,
        result: KvResult,
        progress: &dyn TaskProgress,
    ) {
        match result {
            Ok(KvReply::Committed(_)) => {
                // All are confirmed before the first answer: one may depend on another.
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

    /// Records have changed since they were known. These are read; the others, of which the store said
    /// nothing, are compared again. If no changed one is among the queries, all are read.
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

    fn handle_record(
        &mut self,
        ctx: &mut Context,
        query: JobQuery,
        sent: BatchTime,
        result: KvResult,
        progress: &dyn TaskProgress,
    ) {
        match result {
            Ok(KvReply::Found(pair)) => self.handle_found_record(ctx, query, pair, sent, progress),
            // Not among the unfinished at this time: either it finished before, and then its final
            // record exists by now, or it was not accepted until now.
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
        progress: &dyn TaskProgress,
    ) {
        let Some(record) = StoredJob::read(pair.value) else {
            self.reply_unavailable(ctx, &query, UnavailableReason::RecordUnreadable);
            return;
        };
        if record.is_cancelled() {
            self.reply_final(ctx, &query, FinalState::Cancelled);
        } else if query.purpose == QueryPurpose::Cancellation {
            send_cancellation(ctx, query, record, pair.version);
        } else {
            match record {
                StoredJob::Whole(record) => {
                    let dependencies = record.submission.dependencies;
                    let seen = UnfinishedJob { revision: pair.version, dependencies, confirmed_at: sent };
                    self.known.record_unfinished(&query.job, seen);
                    self.reply_unfinished(ctx, query, sent, progress);
                }
                StoredJob::SplitSubmission(record) => {
                    read_parts(ctx, Box::new(PartsRead { query, record, revision: pair.version, parts: Vec::new() }));
                }
            }
        }
    }

    /// Parts of a submission were read: they tell what the job depends on.
    fn handle_parts(
        &mut self,
        ctx: &mut Context,
        mut read: Box<PartsRead>,
        sent: BatchTime,
        result: KvResult,
        progress: &dyn TaskProgress,
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
            // The job ended meanwhile, and its parts were removed.
            self.reply_unavailable(ctx, &read.query, UnavailableReason::RecordChanged);
            return;
        };
        // The job's own record was read before the parts: whoever depends on the job looks it up again.
        let seen = UnfinishedJob {
            revision: read.revision,
            dependencies: record.submission.dependencies,
            confirmed_at: BatchTime::default(),
        };
        self.known.record_unfinished(&read.query.job, seen);
        self.reply_unfinished(ctx, read.query, sent, progress);
    }

    fn handle_final_record(&mut self, ctx: &mut Context, query: JobQuery, result: KvResult) {
        match result {
            Ok(KvReply::Found(pair)) => match serde_json::from_value::<FinalRecord>(pair.value) {
                Ok(FinalRecord { cancelled: true, .. }) => self.reply_final(ctx, &query, FinalState::Cancelled),
                Ok(FinalRecord { tasks, .. }) => self.reply_final(ctx, &query, FinalState::Done { tasks }),
                Err(_) => self.reply_unavailable(ctx, &query, UnavailableReason::RecordUnreadable),
            },
            Ok(KvReply::Missing) => self.handle_no_such_job(ctx, query),
            _ => self.reply_unavailable(ctx, &query, UnavailableReason::StoreUnavailable),
        }
    }

    /// Neither record of the job exists.
    fn handle_no_such_job(&mut self, ctx: &mut Context, mut query: JobQuery) {
        match query.purpose {
            QueryPurpose::Refusal(reason) => ctx.answer(query.request, answers::refused(reason)),
            // A conflict said that the job exists. Reads miss it only if it was accepted between them.
            QueryPurpose::Resubmission => {
                if query.retry() {
                    self.read(ctx, query);
                } else {
                    self.reply_unavailable(ctx, &query, UnavailableReason::RecordChanged);
                }
            }
            QueryPurpose::DependencyLookup { sequence } => self.lookups.finish_never_accepted(query.job, sequence),
            QueryPurpose::Status | QueryPurpose::Cancellation => ctx.answer(query.request, answers::no_such_job()),
        }
    }

    fn handle_cancellation(&mut self, ctx: &mut Context, mut query: JobQuery, result: KvResult) {
        match result {
            Ok(KvReply::Committed(_)) => {
                ctx.emit(Event::JobCancellationRecorded { job: query.job.as_str().into() });
                self.reply_final(ctx, &query, FinalState::Cancelled);
            }
            // The record has changed since it was read.
            Ok(KvReply::Conflict(_)) if query.retry() => self.read(ctx, query),
            _ => self.reply_unavailable(ctx, &query, UnavailableReason::StoreUnavailable),
        }
    }
}

/// Reads the next page of a submission's parts.
fn read_parts(ctx: &mut Context, read: Box<PartsRead>) {
    requests::send(ctx, read.next_page(), ApiRequest::ReadSubmissionParts(read));
}

/// Marks a job as cancelled, in its record and by a key of its own that all controllers watch.
fn send_cancellation(ctx: &mut Context, query: JobQuery, record: StoredJob, revision: Revision) {
    let (job, cancellation) = (keys::job(&query.job), keys::cancellation(&query.job));
    let transaction = Transaction {
        preconditions: vec![
            Precondition { key: job.clone(), version: revision },
            Precondition { key: cancellation.clone(), version: Revision::ABSENT },
        ],
        writes: vec![Write::set(job, record.into_cancelled()), Write::set(cancellation, json!(true))],
    };
    requests::send(ctx, KvRequest::Transaction(transaction), ApiRequest::Cancel(query));
}
