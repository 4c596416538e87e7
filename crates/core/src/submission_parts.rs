//! Submissions that take more than a value of the state service. Their text goes into parts, under a
//! prefix that is used once; the record that makes them count is written last and conditions on the
//! first part. What no record refers to is removed, the first part before the others, so that a
//! record which still comes finds it missing and fails.

use crate::controller::Context;
use crate::event::Event;
use crate::io::{KvReply, KvRequest, RequestError};
use crate::leader::store::InFlightTransaction;
use crate::leader::{Leader, LeaderRequest};
use crate::model::Id;
use crate::records::{JobRecord, SplitJobRecord, keys};
use shaleshunt_wire::Revision;
use shaleshunt_wire::kv::KeyValue;
use shaleshunt_wire::user::Submission;
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
