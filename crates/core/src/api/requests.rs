//! Requests to the key-value store that users' requests cause, by what their replies are for.

use crate::api::acceptance::PendingSubmission;
use crate::api::job_query::JobQuery;
use crate::api::split_submission::SplitSubmission;
use crate::controller::{Context, PendingRequest};
use crate::io::KvRequest;
use crate::records::SplitSubmissionRecord;
use shaleshunt_wire::Revision;
use shaleshunt_wire::kv::KeyValue;

/// What a reply of the key-value store is for.
#[derive(Debug)]
pub(crate) enum ApiRequest {
    /// Creates the records of jobs.
    Accept(Vec<PendingSubmission>),
    /// Creates parts of a submission, or the record that refers to them.
    WriteSplitSubmission(Box<SplitSubmission>),
    /// Reads the parts of a job's submission.
    ReadSubmissionParts(Box<PartsRead>),
    /// Compares the revisions of records with the known ones.
    CompareRecords(Vec<JobQuery>),
    /// Reads the record of an unfinished job.
    ReadRecord(JobQuery),
    /// Reads the record of a finished job.
    ReadFinalRecord(JobQuery),
    /// Marks the record of an unfinished job as cancelled.
    Cancel(JobQuery),
}

/// A job's submission while its parts are read.
#[derive(Debug)]
pub(crate) struct PartsRead {
    /// What the parts are read for.
    pub query: JobQuery,
    /// The job's record.
    pub record: SplitSubmissionRecord,
    /// Revision of the record.
    pub revision: Revision,
    /// Parts read so far, in order.
    pub parts: Vec<KeyValue>,
}

impl PartsRead {
    /// The request for the parts that follow those read so far.
    pub fn next_page(&self) -> KvRequest {
        let after = self.parts.last().map(|part| part.key.clone()).unwrap_or_default();
        KvRequest::Scan { prefix: self.record.parts_prefix.clone(), after }
    }
}

/// Sends a request to the key-value store.
pub(super) fn send(ctx: &mut Context, request: KvRequest, pending: ApiRequest) {
    ctx.send_kv(request, PendingRequest::Api(pending));
}
