//! Interface of the agents: heartbeats and task commands.

use crate::{AgentEpoch, Attempt, FencingToken};
use serde::{Deserialize, Serialize};

/// Status of a task on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskStatus {
    /// Waits for its image.
    Fetching,
    /// Waits for the other tasks of its gang.
    #[serde(rename = "gathering")]
    WaitingForGang,
    /// Runs.
    Running,
    /// Saves its progress after a stop command.
    #[serde(rename = "flushing")]
    Checkpointing,
    /// Has ended.
    Exited,
    /// Status that this version does not know. The task is on the machine and has not ended.
    #[serde(other)]
    Unknown,
}

/// Cause for which a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExitCause {
    /// The task completed.
    Done,
    /// The task was stopped by a command.
    Stopped,
    /// The task failed.
    Error,
    /// The agent rejected the task: the machine lacks free resources.
    #[serde(rename = "no_room")]
    InsufficientResources,
    /// The agent rejected the task: another attempt at it is on the machine.
    #[serde(rename = "in_use")]
    AttemptConflict,
    /// The other tasks of the gang did not start in time.
    #[serde(rename = "alone")]
    GangIncomplete,
    /// Other tasks of the gang are gone.
    #[serde(rename = "mates_gone")]
    GangLost,
    /// The agent rejected the task: there is no such job or task.
    #[serde(rename = "no_such")]
    UnknownTask,
    /// Cause that this version does not know.
    #[serde(other)]
    Unknown,
}

/// Task in a heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskReport {
    /// Task name, for example `wk-000412/3`.
    #[serde(rename = "piece")]
    pub task: String,
    /// Attempt at the task.
    #[serde(rename = "try")]
    pub attempt: Attempt,
    /// Status of the attempt.
    pub status: TaskStatus,
    /// Cause for which the task ended; `None` unless it has exited.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<ExitCause>,
    /// Whether the progress was saved; `None` unless the task has exited.
    #[serde(rename = "stored", default, skip_serializing_if = "Option::is_none")]
    pub checkpointed: Option<bool>,
}

/// Heartbeat of an agent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the machine.
    #[serde(rename = "loom")]
    pub machine: String,
    /// Address of the agent for direct commands.
    pub endpoint: String,
    /// Name of the machine type.
    #[serde(rename = "frame")]
    pub machine_type: String,
    /// Zone of the machine.
    #[serde(rename = "hall")]
    pub zone: String,
    /// Whether the machine is a spot machine.
    #[serde(rename = "borrowed")]
    pub spot: bool,
    /// Current agent epoch.
    #[serde(rename = "shift")]
    pub agent_epoch: AgentEpoch,
    /// Sequence number within the agent epoch.
    #[serde(rename = "tick")]
    pub sequence: u64,
    /// Highest fencing token that the agent has seen.
    #[serde(rename = "baton")]
    pub token: FencingToken,
    /// Time until the cloud reclaims the machine, in seconds; `None` without a notice.
    #[serde(default, rename = "warnS")]
    pub preemption_notice_s: Option<f64>,
    /// All tasks on the machine; empty if absent.
    #[serde(rename = "pieces", default)]
    pub tasks: Vec<TaskReport>,
}

impl Heartbeat {
    /// Decodes a heartbeat and checks the names that become parts of keys; `None` if it is invalid.
    pub fn parse(body: &[u8]) -> Option<Heartbeat> {
        let heartbeat: Heartbeat = serde_json::from_slice(body).ok()?;
        let key_safe = |name: &str| {
            !name.is_empty() && name.len() <= 100 && name.bytes().all(|b| b.is_ascii_graphic() && b != b'/')
        };
        (key_safe(&heartbeat.machine) && heartbeat.endpoint.len() <= 100).then_some(heartbeat)
    }
}

/// Command to an agent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "snake_case")]
pub enum TaskCommand {
    /// Starts a task.
    Run {
        /// Task name.
        #[serde(rename = "piece")]
        task: String,
        /// Attempt at the task.
        #[serde(rename = "try")]
        attempt: Attempt,
    },
    /// Stops a task.
    #[serde(rename = "halt")]
    Stop {
        /// Task name.
        #[serde(rename = "piece")]
        task: String,
        /// Attempt at the task.
        #[serde(rename = "try")]
        attempt: Attempt,
        /// Time to save progress before the task is killed, in seconds.
        #[serde(rename = "windDownS")]
        grace_period_s: f64,
    },
    /// Removes an exited task from the heartbeats.
    Forget {
        /// Task name.
        #[serde(rename = "piece")]
        task: String,
        /// Attempt at the task.
        #[serde(rename = "try")]
        attempt: Attempt,
    },
}

/// Response to a heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// Fencing token of the leader for this machine.
    #[serde(rename = "baton")]
    pub token: FencingToken,
    /// Commands, executed in order.
    #[serde(rename = "orders")]
    pub commands: Vec<TaskCommand>,
}

/// Commands that the leader sends to an agent between heartbeats.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DirectCommands {
    /// Fencing token of the leader for this machine.
    #[serde(rename = "baton")]
    pub token: FencingToken,
    /// Agent epoch for which the commands are valid.
    #[serde(rename = "shift")]
    pub agent_epoch: AgentEpoch,
    /// Commands, executed in order.
    #[serde(rename = "orders")]
    pub commands: Vec<TaskCommand>,
}

/// Response that sends an agent to another controller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Redirect {
    /// Node name of the leader; `None` for any other controller.
    #[serde(rename = "foreman", default, skip_serializing_if = "Option::is_none")]
    pub known_leader: Option<String>,
}

/// Splits a task name into job identifier and task number; `None` if the name has another form.
pub fn split_task_name(task: &str) -> Option<(&str, u32)> {
    let (job, number) = task.rsplit_once('/')?;
    Some((job, number.parse().ok()?))
}
