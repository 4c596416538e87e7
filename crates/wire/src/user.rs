//! Users' interface: submissions and their states.

use crate::{MAX_TASKS, Resources};
use serde::{Deserialize, Serialize};

/// What kind of job it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobKind {
    /// Independent tasks, each runs to completion.
    Array,
    /// Replicas that run until the job is cancelled.
    #[serde(rename = "daemon")]
    Service,
    /// A gang: tasks that run together or not at all.
    #[serde(rename = "ensemble")]
    Gang,
}

/// Priority, lowest first so that the order of the variants is the order of priority.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Runs in what nobody else wants.
    BestEffort,
    /// Ordinary work.
    Normal,
    /// Urgent work.
    High,
    /// Services that people wait for.
    #[serde(rename = "prod")]
    Production,
}

/// A submission as its user sends it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Submission {
    /// Unique job id.
    #[serde(rename = "ref")]
    pub id: String,
    /// Class of jobs that it belongs to.
    #[serde(rename = "jobline")]
    pub class: String,
    /// Team.
    #[serde(rename = "crew")]
    pub team: String,
    /// Kind of job.
    #[serde(rename = "shape")]
    pub kind: JobKind,
    /// Priority.
    #[serde(rename = "urgency")]
    pub priority: Priority,
    /// Number of tasks.
    #[serde(rename = "pieces")]
    pub tasks: u32,
    /// CPUs of a task.
    pub cores: f64,
    /// Cards of a task.
    #[serde(rename = "cards")]
    pub accelerators: f64,
    /// Memory of a task in GB.
    #[serde(rename = "ramGb")]
    pub memory_gb: f64,
    /// Image that a machine must have.
    #[serde(rename = "bundle")]
    pub image: String,
    /// Its size in GB.
    pub image_gb: f64,
    /// Allowed machine types; none means any.
    #[serde(rename = "frames", default, skip_serializing_if = "Option::is_none")]
    pub machine_types: Option<Vec<String>>,
    /// The only allowed zone.
    #[serde(rename = "hall", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// All tasks in one zone.
    #[serde(rename = "oneZone")]
    pub single_zone: bool,
    /// At most half of the tasks, rounded up, in one zone.
    #[serde(rename = "scatter")]
    pub spread_zones: bool,
    /// May use spot machines.
    #[serde(rename = "borrowed")]
    pub spot: bool,
    /// The owner's estimate of a task's run time.
    #[serde(rename = "expectS")]
    pub estimated_run_s: f64,
    /// Interval between checkpoints, 0 for none.
    #[serde(rename = "markEveryS")]
    pub checkpoint_interval_s: f64,
    /// Time that saving takes when stopped.
    #[serde(rename = "markTakesS")]
    pub checkpoint_duration_s: f64,
    /// Deadline, from the submission.
    #[serde(rename = "dueS", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
    /// Jobs that have to be done before any task of this one starts.
    #[serde(rename = "awaits", default, deserialize_with = "null_is_none", skip_serializing_if = "Vec::is_empty")]
    pub dependencies: Vec<String>,
}

/// A list that may also be null.
fn null_is_none<'de, D: serde::Deserializer<'de>>(from: D) -> Result<Vec<String>, D::Error> {
    Ok(Option::<Vec<String>>::deserialize(from)?.unwrap_or_default())
}

/// Why a submission is malformed.
#[derive(Debug, thiserror::Error)]
pub enum SubmissionError {
    /// Not JSON, or a field is missing or mistyped.
    #[error("not a submission: {0}")]
    Json(#[from] serde_json::Error),
    /// A field's value is out of its range.
    #[error("field {0} is out of its range")]
    Field(&'static str),
}

/// Largest amount taken for a decimal field.
const HUGE: f64 = 1e9;
/// Longest name taken for a team, class, image or type.
const LONG_NAME: usize = 200;

impl Submission {
    /// Reads a submission from a request's body and checks every field.
    ///
    /// # Errors
    ///
    /// If the body is no submission, or a field is out of its range; the error names the field.
    pub fn parse(body: &[u8]) -> Result<Submission, SubmissionError> {
        let mut s: Submission = serde_json::from_slice(body)?;
        let name = |n: &str| !n.is_empty() && n.len() <= LONG_NAME;
        let amount = |x: f64| x.is_finite() && (0.0..=HUGE).contains(&x);
        let check = |ok: bool, field: &'static str| if ok { Ok(()) } else { Err(SubmissionError::Field(field)) };
        check(is_valid_job_id(&s.id), "ref")?;
        check(name(&s.class), "jobline")?;
        check(name(&s.team), "crew")?;
        check((1..=MAX_TASKS).contains(&s.tasks), "pieces")?;
        check(amount(s.cores), "cores")?;
        check(amount(s.accelerators), "cards")?;
        check(amount(s.memory_gb), "ramGb")?;
        check(s.image.len() <= LONG_NAME, "bundle")?;
        check(amount(s.image_gb), "imageGb")?;
        let frames_fine =
            s.machine_types.as_ref().is_none_or(|f| f.len() <= LONG_NAME / 4 && f.iter().all(|n| name(n)));
        check(frames_fine, "frames")?;
        check(s.zone.as_ref().is_none_or(|h| name(h)), "hall")?;
        check(amount(s.estimated_run_s), "expectS")?;
        check(amount(s.checkpoint_interval_s), "markEveryS")?;
        check(amount(s.checkpoint_duration_s), "markTakesS")?;
        check(s.deadline_s.is_none_or(amount), "dueS")?;
        check(s.dependencies.iter().all(|id| is_valid_job_id(id)), "awaits")?;
        // Named twice counts once.
        let mut seen = std::collections::BTreeSet::new();
        s.dependencies.retain(|id| seen.insert(id.clone()));
        Ok(s)
    }

    /// What one task takes.
    pub fn task_resources(&self) -> Resources {
        Resources::new(self.cores, self.accelerators, self.memory_gb)
    }
}

/// Whether a text has the form of a job id (and is safe inside a key of the state service).
pub fn is_valid_job_id(id: &str) -> bool {
    id.strip_prefix("wk-").is_some_and(|rest| {
        !rest.is_empty() && rest.len() <= 60 && rest.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-')
    })
}

/// A job's state as users see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobStatus {
    /// No task runs.
    Queued,
    /// Some task runs.
    Running,
    /// All tasks are done.
    Done,
    /// Cancelled.
    #[serde(rename = "aborted")]
    Cancelled,
}

/// Answer to a submission, poll or withdrawal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobView {
    /// The job.
    #[serde(rename = "ref")]
    pub id: String,
    /// Its state.
    pub status: JobStatus,
    /// Tasks done, for display.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub done: Option<u32>,
    /// Tasks running, for display.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
}

/// Body of an answer that is no success.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ErrorBody {
    /// What is wrong.
    pub error: String,
}
