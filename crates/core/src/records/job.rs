//! Records of jobs: unfinished, with a split submission, finished.

use crate::records::keys;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use shaleshunt_wire::kv::KeyValue;
use shaleshunt_wire::user::Submission;

/// Record of an unfinished job.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct JobRecord {
    /// The submission.
    #[serde(rename = "s")]
    pub submission: Submission,
    /// When it was accepted, time of day in milliseconds.
    #[serde(rename = "at")]
    pub accepted_at_ms: u64,
    /// Whether it has been cancelled.
    #[serde(rename = "x", default)]
    pub cancelled: bool,
    /// Whether its cancellation has a key of its own; version 0.1 wrote none.
    #[serde(rename = "k", default)]
    pub has_cancellation_key: bool,
}

impl JobRecord {
    /// The record of a job that was accepted at a time of day.
    pub fn new(submission: Submission, accepted_at_ms: u64) -> JobRecord {
        JobRecord { submission, accepted_at_ms, cancelled: false, has_cancellation_key: false }
    }

    /// The record when its user cancels it. What only matters before its tasks start is left out: the
    /// store may by now take shorter values than when the job was accepted.
    pub fn into_cancelled(mut self) -> JobRecord {
        self.submission.dependencies.clear();
        self.submission.machine_types = None;
        self.submission.zone = None;
        self.submission.image.clear();
        JobRecord { cancelled: true, has_cancellation_key: true, ..self }
    }
}

/// Record of an unfinished job whose submission takes more than a value and is in parts.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SplitSubmissionRecord {
    /// Prefix of the parts' keys.
    #[serde(rename = "p")]
    pub parts_prefix: String,
    /// Number of its tasks.
    #[serde(rename = "n")]
    pub tasks: u32,
    /// When it was accepted, time of day in milliseconds.
    #[serde(rename = "at")]
    pub accepted_at_ms: u64,
    /// Whether it has been cancelled.
    #[serde(rename = "x")]
    pub cancelled: bool,
    /// Whether its cancellation has a key of its own.
    #[serde(rename = "k")]
    pub has_cancellation_key: bool,
}

impl SplitSubmissionRecord {
    /// The record of the whole job, if the parts make up a submission.
    pub fn join(&self, parts: &[KeyValue]) -> Option<JobRecord> {
        let text: String = parts.iter().filter_map(|part| part.value.as_str()).collect();
        Some(JobRecord {
            submission: serde_json::from_str(&text).ok()?,
            accepted_at_ms: self.accepted_at_ms,
            cancelled: self.cancelled,
            has_cancellation_key: self.has_cancellation_key,
        })
    }

    /// Its job, by the prefix of the parts.
    pub fn job(&self) -> &str {
        keys::job_id_of_submission_part(&self.parts_prefix)
    }
}

/// What a key of an unfinished job holds.
#[derive(Debug, Clone, Deserialize)]
#[serde(untagged)]
pub enum StoredJob {
    /// A record with the submission.
    Whole(Box<JobRecord>),
    /// A record of a job whose submission is in parts.
    SplitSubmission(SplitSubmissionRecord),
}

impl StoredJob {
    /// Reads a value; none if it is not understood.
    pub fn read(value: Value) -> Option<StoredJob> {
        serde_json::from_value(value).ok()
    }

    /// Whether the job is cancelled.
    pub fn is_cancelled(&self) -> bool {
        match self {
            StoredJob::Whole(record) => record.cancelled,
            StoredJob::SplitSubmission(record) => record.cancelled,
        }
    }

    /// How many tasks the job has.
    pub fn tasks(&self) -> u32 {
        match self {
            StoredJob::Whole(record) => record.submission.tasks,
            StoredJob::SplitSubmission(record) => record.tasks,
        }
    }

    /// Whether the job's cancellation has a key of its own.
    pub fn has_cancellation_key(&self) -> bool {
        match self {
            StoredJob::Whole(record) => record.has_cancellation_key,
            StoredJob::SplitSubmission(record) => record.has_cancellation_key,
        }
    }

    /// The value when the job's user cancels it.
    pub fn into_cancelled(self) -> Value {
        match self {
            StoredJob::Whole(record) => json!(record.into_cancelled()),
            StoredJob::SplitSubmission(record) => {
                json!(SplitSubmissionRecord { cancelled: true, has_cancellation_key: true, ..record })
            }
        }
    }
}

/// Record of a finished job.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FinalRecord {
    /// Whether it was cancelled.
    #[serde(rename = "x")]
    pub cancelled: bool,
    /// Number of its tasks.
    #[serde(rename = "n")]
    pub tasks: u32,
    /// When it ended, time of day in milliseconds; versions before 0.3 wrote none.
    #[serde(rename = "t", default)]
    pub ended_at_ms: u64,
}
