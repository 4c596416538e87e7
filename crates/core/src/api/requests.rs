//! Requests to the key-value store for users' requests, typed by the step that continues with the reply.

use crate::api::acceptance::PendingSubmission;
use crate::api::job_query::JobQuery;
use crate::api::split_submission::SplitSubmission;
use crate::controller::{Context, PendingRequest};
use crate::io::KvRequest;
use crate::records::SplitSubmissionRecord;
use shaleshunt_wire::Revision;
use shaleshunt_wire::kv::KeyValue;

/// A request in flight, with the state to continue with on its reply.
#[derive(Debug)]
pub(crate) enum ApiRequest {
    /// Creates job records.
    Accept(Vec<PendingSubmission>),
    /// Creates parts of a split submission, or the record that refers to the parts.
    WriteSplitSubmission(Box<SplitSubmission>),
    /// Reads the parts of a job's submission.
    ReadSubmissionParts(Box<PartsRead>),
    /// Compares the versions of job records with the known ones.
    CompareRecords(Vec<JobQuery>),
    /// Reads a job record, which an unfinished job has.
    ReadRecord(JobQuery),
    /// Reads a final record, which an ended job has.
    ReadFinalRecord(JobQuery),
    /// Marks a job record as cancelled.
    Cancel(JobQuery),
}

/// State of a read of a job's submission parts, which may take several pages.
#[derive(Debug)]
pub(crate) struct PartsRead {
    /// The query that needs the parts.
    pub query: JobQuery,
    /// The job record that refers to the parts.
    pub record: SplitSubmissionRecord,
    /// Version of the job record.
    pub record_version: Revision,
    /// Parts read so far, in order.
    pub parts: Vec<KeyValue>,
}

impl PartsRead {
    /// Returns the request for the page that follows the parts read so far.
    pub fn next_page(&self) -> KvRequest {
        let after = self.parts.last().map(|part| part.key.clone()).unwrap_or_default();
        KvRequest::Scan { prefix: self.record.parts_prefix.clone(), after }
    }
}

/// Sends a request to the key-value store.
pub(super) fn send(ctx: &mut Context, request: KvRequest, pending: ApiRequest) {
    ctx.send_kv(request, PendingRequest::Api(pending));
}
