//! Jobs with split submissions, which become known when all parts have been read.

use crate::controller::Context;
use crate::event::Event;
use crate::io::{KvReply, KvRequest, RequestError};
use crate::leader::store::SplitSubmissionRead;
use crate::leader::{Leader, LeaderRequest};
use crate::model::Id;
use crate::records::{JobRecord, SplitSubmissionRecord};
use shaleshunt_wire::Revision;
use shaleshunt_wire::kv::KeyValue;

/// Retries of an unanswered read, per heartbeat interval.
const RETRIES_PER_HEARTBEAT: u64 = 12;

impl Leader {
    /// Handles a new record of a job with a split submission. Its parts are read unless recovery is in progress, which
    /// reads all parts.
    pub(super) fn handle_split_submission_record(
        &mut self,
        ctx: &mut Context,
        record: SplitSubmissionRecord,
        version: Revision,
    ) {
        let read = SplitSubmissionRead::new(record, version);
        if self.active {
            self.read_submission_parts(ctx, read);
        } else {
            self.recovery.defer_split_submission(read);
        }
    }

    /// Reads the next page of a submission's parts.
    pub(crate) fn read_submission_parts(&mut self, ctx: &mut Context, read: SplitSubmissionRead) {
        self.store.begin_submission_read(&read);
        let after = read.parts.last().map(|part| part.key.clone()).unwrap_or_default();
        let prefix = read.record.parts_prefix.clone();
        let wait = self.pending_request(LeaderRequest::ReadSubmissionParts(Box::new(read)));
        ctx.send_kv(KvRequest::Scan { prefix, after }, wait);
    }

    /// Handles the reply to a read of submission parts. A failed read is repeated after a delay.
    pub(crate) fn handle_submission_parts_reply(
        &mut self,
        ctx: &mut Context,
        mut read: SplitSubmissionRead,
        result: Result<KvReply, RequestError>,
    ) {
        // A reply is outdated if the record has been changed or removed since.
        if !self.store.is_submission_read_current(&read) {
            return;
        }
        let Ok(KvReply::Page(page)) = result else {
            let delay_ms = ctx.settings.heartbeat_interval_ms() / RETRIES_PER_HEARTBEAT;
            self.store.retry_submission_read(ctx.now.monotonic_ms + delay_ms, read);
            return;
        };
        read.parts.extend(page.pairs);
        if page.truncated {
            self.read_submission_parts(ctx, read);
        } else {
            self.store.end_submission_read(&read);
            self.finish_submission_read(ctx, read);
        }
    }

    /// Adds a job after all parts of its submission have been read. The read was sent after the record was known, and
    /// all parts are older than the record, so parts that are not a submission are damaged.
    fn finish_submission_read(&mut self, ctx: &mut Context, read: SplitSubmissionRead) {
        match read.record.join(&read.parts) {
            Some(record) => self.add_split_job(ctx, record, read.version, read.parts),
            None => ctx.emit(Event::SubmissionPartsUnreadable { prefix: read.record.parts_prefix }),
        }
    }

    /// Adds a job whose submission was stored in these parts.
    pub(crate) fn add_split_job(
        &mut self,
        ctx: &mut Context,
        record: JobRecord,
        version: Revision,
        parts: Vec<KeyValue>,
    ) {
        let id: Id = record.submission.id.as_str().into();
        self.store.add_submission_parts(id, parts);
        self.add_job(ctx, record, version);
    }
}
