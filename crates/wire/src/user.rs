//! Interface of the users: submissions, status queries and cancellations.

use crate::{MAX_TASKS, Resources};
use serde::{Deserialize, Serialize};

/// Kind of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobKind {
    /// Independent tasks, each of which runs to completion.
    Array,
    /// Replicas that run until the job is cancelled.
    #[serde(rename = "daemon")]
    Service,
    /// Gang: tasks that run together or not at all.
    #[serde(rename = "ensemble")]
    Gang,
}

/// Priority of a job. The order of the variants, lowest first, is the order of priority.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Uses capacity that no other work needs.
    BestEffort,
    /// Ordinary work.
    Normal,
    /// Urgent work.
    High,
    /// Services that users wait for.
    #[serde(rename = "prod")]
    Production,
}

/// Submission of a job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Submission {
    /// Job identifier, unique among all jobs.
    #[serde(rename = "ref")]
    pub id: String,
    /// Class of jobs, to which service-level objectives apply.
    #[serde(rename = "jobline")]
    pub class: String,
    /// Team whose guarantee and limit apply.
    #[serde(rename = "crew")]
    pub team: String,
    /// Kind of the job.
    #[serde(rename = "shape")]
    pub kind: JobKind,
    /// Priority of the job.
    #[serde(rename = "urgency")]
    pub priority: Priority,
    /// Number of tasks, from 1 to [`MAX_TASKS`].
    #[serde(rename = "pieces")]
    pub tasks: u32,
    /// CPUs per task.
    pub cores: f64,
    /// Accelerator cards per task.
    #[serde(rename = "cards")]
    pub accelerators: f64,
    /// Memory per task, in GB.
    #[serde(rename = "ramGb")]
    pub memory_gb: f64,
    /// Image that a machine must have fetched before a task starts.
    #[serde(rename = "bundle")]
    pub image: String,
    /// Size of the image, in GB.
    pub image_gb: f64,
    /// Names of the allowed machine types; `None` for any.
    #[serde(rename = "frames", default, skip_serializing_if = "Option::is_none")]
    pub machine_types: Option<Vec<String>>,
    /// Only allowed zone; `None` for any.
    #[serde(rename = "hall", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Whether all tasks must run in one zone.
    #[serde(rename = "oneZone")]
    pub single_zone: bool,
    /// Whether at most half of the tasks, rounded up, may run in one zone.
    #[serde(rename = "scatter")]
    pub spread_zones: bool,
    /// Whether spot machines are allowed.
    #[serde(rename = "borrowed")]
    pub spot: bool,
    /// Run time of a task as estimated by the user, in seconds.
    #[serde(rename = "expectS")]
    pub estimated_run_s: f64,
    /// Interval between checkpoints, in seconds; 0 without checkpoints.
    #[serde(rename = "markEveryS")]
    pub checkpoint_interval_s: f64,
    /// Time to save a checkpoint when the task is stopped, in seconds.
    #[serde(rename = "markTakesS")]
    pub checkpoint_duration_s: f64,
    /// Deadline in seconds after the submission; `None` without a deadline.
    #[serde(rename = "dueS", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
    /// Jobs that must be done before any task of this job starts; empty without dependencies.
    #[serde(rename = "awaits", default, deserialize_with = "null_is_none", skip_serializing_if = "Vec::is_empty")]
    pub dependencies: Vec<String>,
}

/// Deserializes a list; null is an empty list.
fn null_is_none<'de, D: serde::Deserializer<'de>>(from: D) -> Result<Vec<String>, D::Error> {
    Ok(Option::<Vec<String>>::deserialize(from)?.unwrap_or_default())
}

/// Errors of a malformed submission.
#[derive(Debug, thiserror::Error)]
pub enum SubmissionError {
    /// The body is not JSON, or a field is missing or has another type.
    #[error("not a submission: {0}")]
    Json(#[from] serde_json::Error),
    /// The value of the named field is out of its range.
    #[error("field {0} is out of its range")]
    Field(&'static str),
}

/// Largest valid value of a decimal field.
const MAX_AMOUNT: f64 = 1e9;
/// Longest valid name of a team, class, image or machine type, in bytes.
const MAX_NAME_BYTES: usize = 200;

impl Submission {
    /// Decodes a submission from the body of a request and checks all fields.
    ///
    /// # Errors
    ///
    /// Fails if the body is not a submission or a field is out of its range; the error names the field.
    pub fn parse(body: &[u8]) -> Result<Submission, SubmissionError> {
        let mut submission: Submission = serde_json::from_slice(body)?;
        let is_name = |name: &str| !name.is_empty() && name.len() <= MAX_NAME_BYTES;
        let is_amount = |x: f64| x.is_finite() && (0.0..=MAX_AMOUNT).contains(&x);
        let check = |ok: bool, field: &'static str| if ok { Ok(()) } else { Err(SubmissionError::Field(field)) };
        check(is_valid_job_id(&submission.id), "ref")?;
        check(is_name(&submission.class), "jobline")?;
        check(is_name(&submission.team), "crew")?;
        check((1..=MAX_TASKS).contains(&submission.tasks), "pieces")?;
        check(is_amount(submission.cores), "cores")?;
        check(is_amount(submission.accelerators), "cards")?;
        check(is_amount(submission.memory_gb), "ramGb")?;
        check(submission.image.len() <= MAX_NAME_BYTES, "bundle")?;
        check(is_amount(submission.image_gb), "imageGb")?;
        let machine_types_valid = submission
            .machine_types
            .as_ref()
            .is_none_or(|types| types.len() <= MAX_NAME_BYTES / 4 && types.iter().all(|n| is_name(n)));
        check(machine_types_valid, "frames")?;
        check(submission.zone.as_ref().is_none_or(|zone| is_name(zone)), "hall")?;
        check(is_amount(submission.estimated_run_s), "expectS")?;
        check(is_amount(submission.checkpoint_interval_s), "markEveryS")?;
        check(is_amount(submission.checkpoint_duration_s), "markTakesS")?;
        check(submission.deadline_s.is_none_or(is_amount), "dueS")?;
        check(submission.dependencies.iter().all(|id| is_valid_job_id(id)), "awaits")?;
        // Removes duplicates; the first occurrence keeps its place.
        let mut seen = std::collections::BTreeSet::new();
        submission.dependencies.retain(|id| seen.insert(id.clone()));
        Ok(submission)
    }

    /// Resources that one task takes.
    pub fn task_resources(&self) -> Resources {
        Resources::new(self.cores, self.accelerators, self.memory_gb)
    }
}

/// Whether a text has the form of a job identifier, which makes it safe as a part of a key.
pub fn is_valid_job_id(id: &str) -> bool {
    id.strip_prefix("wk-").is_some_and(|rest| {
        !rest.is_empty() && rest.len() <= 60 && rest.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-')
    })
}

/// Status of a job as users see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobStatus {
    /// No task is running.
    Queued,
    /// At least one task is running.
    Running,
    /// All tasks are done.
    Done,
    /// The job was cancelled.
    #[serde(rename = "aborted")]
    Cancelled,
}

/// Response to a submission, status query or cancellation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobView {
    /// Job identifier.
    #[serde(rename = "ref")]
    pub id: String,
    /// Status of the job.
    pub status: JobStatus,
    /// Number of tasks that are done, for display; `None` if unknown.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub done: Option<u32>,
    /// Number of running tasks, for display; `None` if unknown.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
}

/// Body of an error response.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Description of the error.
    pub error: String,
}
