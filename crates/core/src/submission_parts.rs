//! Submissions that take more than a value of the state service. Their text goes into parts, under a
//! prefix that is used once; the record that makes them count is written last and conditions on the
//! first part. What no record refers to is removed, the first part before the others, so that a
//! record which still comes finds it missing and fails.

use crate::api::{Api, ApiRequest, PendingSubmission};
use crate::controller::{BatchTime, Context, PendingRequest};
use crate::event::Event;
use crate::io::*;
use crate::leader::store::InFlightTransaction;
use crate::leader::{Leader, LeaderRequest};
use crate::model::Id;
use crate::records::{JobRecord, SplitJobRecord, keys};
use serde_json::json;
use shaleshunt_wire::kv::{Condition, KeyValue, Transaction, Write};
use shaleshunt_wire::user::Submission;
use shaleshunt_wire::{MAX_BODY, Revision};
use std::collections::BTreeMap;

/// The parts under a prefix, in order, with their versions.
pub(crate) type Parts = Vec<(String, Revision)>;

/// The submission that a large record's parts make up.
pub(crate) fn join(rec: &SplitJobRecord, pairs: &[KeyValue]) -> Option<JobRecord> {
    let text: String = pairs.iter().filter_map(|p| p.v.as_str()).collect();
    let s: Submission = serde_json::from_str(&text).ok()?;
    Some(JobRecord {
        submission: s,
        accepted_at_ms: rec.accepted_at_ms,
        cancelled: rec.cancelled,
        has_cancellation_key: rec.has_cancellation_key,
    })
}

/// Cuts a text so that each part, as JSON, fits into a value.
fn cut(text: &str, most: usize) -> Vec<String> {
    let mut parts = vec![String::new()];
    let mut used = 2;
    for c in text.chars() {
        let size = match c {
            '"' | '\\' => 2,
            c if c.is_control() => 6,
            c => c.len_utf8(),
        };
        if used + size > most {
            parts.push(String::new());
            used = 2;
        }
        used += size;
        if let Some(last) = parts.last_mut() {
            last.push(c);
        }
    }
    parts
}

/// A large submission on its way.
#[derive(Debug)]
pub(crate) struct SplitSubmission {
    pub p: PendingSubmission,
    prefix: String,
    parts: Vec<String>,
    /// Parts written, and the first one's version.
    written: usize,
    first: Revision,
    /// Parts in the transaction under way; none when it holds the record.
    sending: usize,
    /// Its user has been told to come back; it goes on meanwhile.
    pub told: bool,
}

impl SplitSubmission {
    pub fn new(ctx: &Context, p: PendingSubmission) -> SplitSubmission {
        let text = serde_json::to_string(&p.spec).unwrap_or_default();
        let prefix = format!(
            "{}{}/{}-{}-{}/",
            keys::SUBMISSION_PARTS,
            p.spec.id,
            ctx.settings.node_name,
            ctx.process_id(),
            p.order
        );
        let parts = cut(&text, ctx.limits.value_bytes());
        SplitSubmission { p, prefix, parts, written: 0, first: Revision::ABSENT, sending: 0, told: false }
    }
    fn key(&self, n: usize) -> String {
        format!("{}{n:04}", self.prefix)
    }
    /// The next transaction: some parts, or the record.
    fn transaction(&mut self, ctx: &Context) -> Transaction {
        let mut transaction = Transaction { conditions: Vec::new(), writes: Vec::new() };
        let mut bytes = 0;
        self.sending = 0;
        for (n, part) in self.parts.iter().enumerate().skip(self.written).take(ctx.limits.ops()) {
            bytes += part.len() * 2 + self.prefix.len() * 2 + 100;
            if bytes > MAX_BODY && self.sending > 0 {
                break;
            }
            transaction.conditions.push(Condition { path: self.key(n), version: Revision::ABSENT });
            transaction.writes.push(Write::set(self.key(n), json!(part)));
            self.sending += 1;
        }
        if self.sending == 0 {
            let key = format!("{}{}", keys::JOBS, self.p.spec.id);
            let rec = SplitJobRecord {
                parts_prefix: self.prefix.clone(),
                tasks: self.p.spec.tasks,
                accepted_at_ms: self.p.wall_ms,
                cancelled: false,
                has_cancellation_key: false,
            };
            transaction.conditions.push(Condition { path: key.clone(), version: Revision::ABSENT });
            transaction.conditions.push(Condition {
                path: format!("{}{}", keys::FINAL_RECORDS, self.p.spec.id),
                version: Revision::ABSENT,
            });
            transaction.conditions.push(Condition { path: self.key(0), version: self.first });
            transaction.writes.push(Write::set(key, json!(rec)));
        }
        transaction
    }
}

impl Api {
    pub(crate) fn send_split_submission(&mut self, ctx: &mut Context, mut large: Box<SplitSubmission>) {
        let transaction = large.transaction(ctx);
        ctx.send_kv(KvRequest::Transaction(transaction), PendingRequest::Api(ApiRequest::SplitSubmission(large)));
    }

    /// Some parts of a large submission, or its record, were written or not.
    pub(crate) fn handle_split_submission_reply(
        &mut self,
        ctx: &mut Context,
        mut large: Box<SplitSubmission>,
        sent: BatchTime,
        result: Result<KvReply, RequestError>,
    ) {
        match result {
            Ok(KvReply::Committed(revision)) if large.sending > 0 => {
                if large.written == 0 {
                    large.first = revision;
                }
                large.written += large.sending;
                self.large.push_back(large);
            }
            Err(RequestError::Throttled) => {
                self.large.push_back(large);
            }
            Err(RequestError::Rejected(_)) if ctx.limits.too_large() => {
                let anew = SplitSubmission::new(ctx, large.p);
                self.large.push_back(Box::new(anew));
            }
            result => {
                let told = large.told;
                let mut p = large.p;
                if told {
                    // Nobody waits for this answer any more.
                    p.id = 0;
                }
                self.accepted(ctx, vec![p], sent, result);
            }
        }
    }
}

impl Leader {
    /// Reads the parts of a job that has come.
    pub(crate) fn read_parts(&mut self, ctx: &mut Context, rec: SplitJobRecord, version: Revision, got: Vec<KeyValue>) {
        self.store.parts_being_read.insert(rec.job().into(), version);
        let after = got.last().map(|p| p.path.clone()).unwrap_or_default();
        let prefix = rec.parts_prefix.clone();
        let wait = self.wait(LeaderRequest::Parts(Box::new((rec, version, got))));
        ctx.send_kv(KvRequest::Scan { prefix, after }, wait);
    }

    /// Parts were read, or not: then once more.
    pub(crate) fn handle_parts(
        &mut self,
        ctx: &mut Context,
        rec: SplitJobRecord,
        version: Revision,
        mut got: Vec<KeyValue>,
        result: Result<KvReply, RequestError>,
    ) {
        // The record has changed or is gone since: this answer is late.
        if self.store.parts_being_read.get(rec.job()) != Some(&version) {
            return;
        }
        match result {
            Ok(KvReply::Page(page)) => {
                got.extend(page.pairs);
                if page.truncated {
                    self.read_parts(ctx, rec, version, got);
                } else {
                    self.store.parts_being_read.remove(rec.job());
                    self.add_split_job(ctx, &rec, version, got);
                }
            }
            _ => self.store.part_read_retries.push((
                ctx.now.monotonic_ms + ctx.settings.heartbeat_interval_ms() / 12,
                rec,
                version,
            )),
        }
    }

    /// A job whose submission is in parts is known.
    pub(crate) fn add_split_job(
        &mut self,
        ctx: &mut Context,
        rec: &SplitJobRecord,
        version: Revision,
        got: Vec<KeyValue>,
    ) {
        let Some(whole) = join(rec, &got) else {
            ctx.emit(Event::SubmissionPartsUnreadable { prefix: rec.parts_prefix.clone() });
            return;
        };
        let id: Id = whole.submission.id.as_str().into();
        self.store.submission_parts.insert(id, got.into_iter().map(|p| (p.path, p.version)).collect());
        self.add_job(ctx, whole, version);
    }

    /// Sorts what was read of parts at a takeover: jobs', and what no record refers to.
    pub(crate) fn restore_split_submissions(
        &mut self,
        ctx: &mut Context,
        pairs: Vec<KeyValue>,
        records: Vec<(SplitJobRecord, Revision)>,
    ) {
        let mut by_prefix: BTreeMap<String, Vec<KeyValue>> = BTreeMap::new();
        for p in pairs {
            let prefix = p.path.rfind('/').map(|at| p.path[..=at].to_string()).unwrap_or_default();
            by_prefix.entry(prefix).or_default().push(p);
        }
        for (rec, version) in records {
            match by_prefix.remove(&rec.parts_prefix) {
                Some(got) => self.add_split_job(ctx, &rec, version, got),
                None => self.read_parts(ctx, rec, version, Vec::new()),
            }
        }
        let keys = |got: Vec<KeyValue>| got.into_iter().map(|p| (p.path, p.version)).collect();
        self.store.unreferenced_parts.extend(by_prefix.into_values().map(keys));
    }

    /// Removes the first part of what no record refers to; the others follow alone.
    pub(crate) fn collect_unreferenced_parts(&mut self, f: &mut InFlightTransaction) {
        while let Some(parts) = self.store.unreferenced_parts.last()
            && let Some((key, version)) = parts.first()
        {
            let job = key[keys::SUBMISSION_PARTS.len()..].split('/').next().unwrap_or_default();
            if !f.has_space_for(1, 2, 400) {
                return;
            }
            f.drop_key(key.clone(), *version);
            if !self.jobs.contains_key(job) {
                f.require_absent(format!("{}{job}", keys::JOBS));
            }
            f.parts.extend(self.store.unreferenced_parts.pop());
        }
    }
}

#[cfg(test)]
mod tests;
