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
    #[serde(rename = "gathering")]
    WaitingForGang,
    /// Running.
    Running,
    /// Told to stop, saving.
    #[serde(rename = "flushing")]
    Checkpointing,
    /// Ended.
    Exited,
    /// A state that this version does not know: on the machine, not ended.
    #[serde(other)]
    Unknown,
}

/// Why a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExitCause {
    /// Completed.
    Done,
    /// Stopped by command.
    Stopped,
    /// Failed.
    Error,
    /// Refused: not enough room.
    #[serde(rename = "no_room")]
    InsufficientResources,
    /// Refused: another attempt is here.
    #[serde(rename = "in_use")]
    AttemptConflict,
    /// A gang's task whose mates did not come.
    #[serde(rename = "alone")]
    GangIncomplete,
    /// A gang's task whose mates are gone.
    #[serde(rename = "mates_gone")]
    GangLost,
    /// Refused: no such job or task.
    #[serde(rename = "no_such")]
    UnknownTask,
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
    pub cause: Option<ExitCause>,
    /// Whether its progress was saved.
    #[serde(rename = "stored", default, skip_serializing_if = "Option::is_none")]
    pub checkpointed: Option<bool>,
}

/// A worker's report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Machine.
    #[serde(rename = "loom")]
    pub machine: String,
    /// Address for direct commands.
    pub endpoint: String,
    /// Machine type.
    #[serde(rename = "frame")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "hall")]
    pub zone: String,
    /// Spot machine.
    #[serde(rename = "borrowed")]
    pub spot: bool,
    /// Session.
    #[serde(rename = "shift")]
    pub agent_epoch: AgentEpoch,
    /// Order among the reports of a session.
    #[serde(rename = "tick")]
    pub sequence: u64,
    /// Highest token seen.
    #[serde(rename = "baton")]
    pub token: FencingToken,
    /// Seconds until the cloud takes the machine.
    #[serde(default, rename = "warnS")]
    pub preemption_notice_s: Option<f64>,
    /// All tasks on the machine.
    #[serde(rename = "pieces", default)]
    pub tasks: Vec<TaskReport>,
}

impl Heartbeat {
    /// Reads a report and checks what the scheduler relies on.
    pub fn parse(body: &[u8]) -> Option<Heartbeat> {
        let r: Heartbeat = serde_json::from_slice(body).ok()?;
        let key_safe =
            |n: &str| !n.is_empty() && n.len() <= 100 && n.bytes().all(|b| b.is_ascii_graphic() && b != b'/');
        (key_safe(&r.machine) && r.endpoint.len() <= 100).then_some(r)
    }
}

/// A command to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "snake_case")]
pub enum TaskCommand {
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
    #[serde(rename = "halt")]
    Stop {
        /// Task.
        #[serde(rename = "piece")]
        task: String,
        /// Attempt.
        #[serde(rename = "try")]
        attempt: Attempt,
        /// Time to save.
        #[serde(rename = "windDownS")]
        grace_period_s: f64,
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
pub struct HeartbeatReply {
    /// Token.
    #[serde(rename = "baton")]
    pub token: FencingToken,
    /// Commands, executed in order.
    #[serde(rename = "orders")]
    pub commands: Vec<TaskCommand>,
}

/// Direct commands.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DirectCommands {
    /// Token.
    #[serde(rename = "baton")]
    pub token: FencingToken,
    /// Session that they are meant for.
    #[serde(rename = "shift")]
    pub agent_epoch: AgentEpoch,
    /// Commands, executed in order.
    #[serde(rename = "orders")]
    pub commands: Vec<TaskCommand>,
}

/// Answer that sends a worker to another node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Redirect {
    /// The node to report to.
    #[serde(rename = "foreman", default, skip_serializing_if = "Option::is_none")]
    pub known_leader: Option<String>,
}

/// Splits a task name into job and number.
pub fn split_task_name(task: &str) -> Option<(&str, u32)> {
    let (job, number) = task.rsplit_once('/')?;
    Some((job, number.parse().ok()?))
}
