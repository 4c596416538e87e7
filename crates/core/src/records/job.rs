//! Records of jobs: unfinished ones, unfinished ones with a split submission, and finished ones.

use crate::records::keys;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use shaleshunt_wire::kv::KeyValue;
use shaleshunt_wire::user::Submission;

/// Cause of a job's cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancellationCause {
    /// The job's user cancelled it. It may have tasks, so its cancellation gets a key that all controllers watch.
    User,
    /// A job that it depends on is cancelled. It never had a task.
    Dependency,
}

/// Record of an unfinished job.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct JobRecord {
    /// The user's submission.
    #[serde(rename = "s")]
    pub submission: Submission,
    /// Time of acceptance (ms, wall clock).
    #[serde(rename = "at")]
    pub accepted_at_ms: u64,
    /// Whether the job has been cancelled.
    #[serde(rename = "x", default)]
    pub cancelled: bool,
    /// Whether the cancellation has its own key. False if the job was cancelled with one that it depends on, and for
    /// records written by version 0.1.
    #[serde(rename = "k", default)]
    pub has_cancellation_key: bool,
}

impl JobRecord {
    /// Creates the record of a job that was accepted at `accepted_at_ms` (wall clock).
    pub fn new(submission: Submission, accepted_at_ms: u64) -> JobRecord {
        JobRecord { submission, accepted_at_ms, cancelled: false, has_cancellation_key: false }
    }

    /// Returns the record after the job was cancelled. Fields that only matter before the tasks start are cleared, since
    /// the store's size limit for values may be lower than when the job was accepted.
    pub fn into_cancelled(mut self, cause: CancellationCause) -> JobRecord {
        self.submission.dependencies.clear();
        self.submission.machine_types = None;
        self.submission.zone = None;
        self.submission.image.clear();
        JobRecord { cancelled: true, has_cancellation_key: cause == CancellationCause::User, ..self }
    }
}

/// Record of an unfinished job whose submission exceeds a value and is stored in parts.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SplitSubmissionRecord {
    /// Common prefix of the keys of the parts.
    #[serde(rename = "p")]
    pub parts_prefix: String,
    /// Number of tasks.
    #[serde(rename = "n")]
    pub tasks: u32,
    /// Time of acceptance (ms, wall clock).
    #[serde(rename = "at")]
    pub accepted_at_ms: u64,
    /// Whether the job has been cancelled.
    #[serde(rename = "x")]
    pub cancelled: bool,
    /// Whether the cancellation has its own key.
    #[serde(rename = "k")]
    pub has_cancellation_key: bool,
}

impl SplitSubmissionRecord {
    /// Joins the parts to the record of the whole job. `None` if they are not a valid submission.
    pub fn join(&self, parts: &[KeyValue]) -> Option<JobRecord> {
        let text: String = parts.iter().filter_map(|part| part.value.as_str()).collect();
        Some(JobRecord {
            submission: serde_json::from_str(&text).ok()?,
            accepted_at_ms: self.accepted_at_ms,
            cancelled: self.cancelled,
            has_cancellation_key: self.has_cancellation_key,
        })
    }

    /// Returns the ID of the job, from the prefix of the parts.
    pub fn job(&self) -> &str {
        keys::job_id_of_submission_part(&self.parts_prefix)
    }
}

/// Value of the key of an unfinished job.
#[derive(Debug, Clone, Deserialize)]
#[serde(untagged)]
pub enum StoredJob {
    /// A record that contains the submission.
    Whole(Box<JobRecord>),
    /// A record of a job whose submission is stored in parts.
    SplitSubmission(SplitSubmissionRecord),
}

impl StoredJob {
    /// Parses a value. `None` if it is not a valid record.
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

    /// Number of the job's tasks.
    pub fn tasks(&self) -> u32 {
        match self {
            StoredJob::Whole(record) => record.submission.tasks,
            StoredJob::SplitSubmission(record) => record.tasks,
        }
    }

    /// Whether the job's cancellation has its own key.
    pub fn has_cancellation_key(&self) -> bool {
        match self {
            StoredJob::Whole(record) => record.has_cancellation_key,
            StoredJob::SplitSubmission(record) => record.has_cancellation_key,
        }
    }

    /// Returns the value after the job was cancelled.
    pub fn into_cancelled(self, cause: CancellationCause) -> Value {
        match self {
            StoredJob::Whole(record) => json!(record.into_cancelled(cause)),
            StoredJob::SplitSubmission(record) => {
                let has_cancellation_key = cause == CancellationCause::User;
                json!(SplitSubmissionRecord { cancelled: true, has_cancellation_key, ..record })
            }
        }
    }
}

/// Record of a finished job.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FinalRecord {
    /// Whether the job was cancelled.
    #[serde(rename = "x")]
    pub cancelled: bool,
    /// Number of tasks.
    #[serde(rename = "n")]
    pub tasks: u32,
    /// Time when the job ended (ms, wall clock). 0 in records written by versions before 0.3.
    #[serde(rename = "t", default)]
    pub ended_at_ms: u64,
}
