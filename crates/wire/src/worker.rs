//! Workers' interface: reports and commands.

use crate::{AgentEpoch, Attempt, FencingToken};
use serde::{Deserialize, Serialize};

/// State of a task on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskStatus {
    /// Waiting for its image.
    Fetching,
    /// A gang's task that waits for its mates.
    Gathering,
    /// Running.
    Running,
    /// Told to stop, saving.
    Flushing,
    /// Ended.
    Exited,
    /// A state that this version does not know: on the machine, not ended.
    #[serde(other)]
    Unknown,
}

/// Why a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// Completed.
    Done,
    /// Stopped by command.
    Stopped,
    /// Failed.
    Error,
    /// Refused: not enough room.
    NoRoom,
    /// Refused: another attempt is here.
    InUse,
    /// A gang's task whose mates did not come.
    Alone,
    /// A gang's task whose mates are gone.
    MatesGone,
    /// Refused: no such job or task.
    NoSuch,
    /// A cause that this version does not know.
    #[serde(other)]
    Unknown,
}

/// One task in a report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskReport {
    /// Task name, `wk-000412/3`.
    #[serde(rename = "piece")]
    pub task: String,
    /// Attempt.
    #[serde(rename = "try")]
    pub attempt: Attempt,
    /// State.
    pub status: TaskStatus,
    /// Why it ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<Cause>,
    /// Whether its progress was saved.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stored: Option<bool>,
}

/// A worker's report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Machine.
    #[serde(rename = "loom")]
    pub machine: String,
    /// Address for direct commands.
    pub endpoint: String,
    /// Machine type.
    pub frame: String,
    /// Zone.
    #[serde(rename = "hall")]
    pub zone: String,
    /// Spot machine.
    #[serde(rename = "borrowed")]
    pub spot: bool,
    /// Session.
    #[serde(rename = "shift")]
    pub session: AgentEpoch,
    /// Order among the reports of a session.
    pub tick: u64,
    /// Highest token seen.
    #[serde(rename = "baton")]
    pub token: FencingToken,
    /// Seconds until the cloud takes the machine.
    #[serde(default, rename = "warnS")]
    pub warn_s: Option<f64>,
    /// All tasks on the machine.
    #[serde(rename = "pieces", default)]
    pub tasks: Vec<TaskReport>,
}

impl Report {
    /// Reads a report and checks what the scheduler relies on.
    pub fn parse(body: &[u8]) -> Option<Report> {
        let r: Report = serde_json::from_slice(body).ok()?;
        let key_safe =
            |n: &str| !n.is_empty() && n.len() <= 100 && n.bytes().all(|b| b.is_ascii_graphic() && b != b'/');
        (key_safe(&r.machine) && r.endpoint.len() <= 100).then_some(r)
    }
}

/// A command to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "snake_case")]
pub enum Order {
    /// Start a task.
    Run {
        /// Task.
        #[serde(rename = "piece")]
        task: String,
        /// Attempt.
        #[serde(rename = "try")]
        attempt: Attempt,
    },
    /// Stop a task.
    Halt {
        /// Task.
        #[serde(rename = "piece")]
        task: String,
        /// Attempt.
        #[serde(rename = "try")]
        attempt: Attempt,
        /// Time to save.
        #[serde(rename = "windDownS")]
        wind_down_s: f64,
    },
    /// Remove an exited task from the reports.
    Forget {
        /// Task.
        #[serde(rename = "piece")]
        task: String,
        /// Attempt.
        #[serde(rename = "try")]
        attempt: Attempt,
    },
}

/// Answer to a report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReportReply {
    /// Token.
    #[serde(rename = "baton")]
    pub token: FencingToken,
    /// Commands, executed in order.
    pub orders: Vec<Order>,
}

/// Direct commands.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Orders {
    /// Token.
    #[serde(rename = "baton")]
    pub token: FencingToken,
    /// Session that they are meant for.
    #[serde(rename = "shift")]
    pub session: AgentEpoch,
    /// Commands, executed in order.
    pub orders: Vec<Order>,
}

/// Answer that sends a worker to another node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Elsewhere {
    /// The node to report to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub foreman: Option<String>,
}

/// Splits a task name into job and number.
pub fn split_task_name(task: &str) -> Option<(&str, u32)> {
    let (job, number) = task.rsplit_once('/')?;
    Some((job, number.parse().ok()?))
}
