//! A placement, as stored at its machine and at its job.

use super::Id;
use shaleshunt_wire::{AgentEpoch, Attempt, Resources};

/// State of a placement. The leader plans and commits it; the later states are reported by the machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementState {
    /// Not committed yet. No command for it may be sent.
    Planned,
    /// Committed, and not yet shown by a heartbeat.
    Committed,
    /// Waiting for the image or for the other tasks of the gang.
    Fetching,
    /// Running.
    Running,
    /// Saving a checkpoint.
    Checkpointing,
}

impl PlacementState {
    /// Whether the task runs or saves a checkpoint.
    pub fn is_running(self) -> bool {
        matches!(self, PlacementState::Running | PlacementState::Checkpointing)
    }
}

/// A task on a machine, from planning until it is proven gone.
#[derive(Debug, Clone)]
pub struct Placement {
    /// Name of the job.
    pub job: Id,
    /// Number of the task in its job.
    pub task: u32,
    /// Attempt at the task.
    pub attempt: Attempt,
    /// Agent epoch that the placement is for. A newer agent epoch proves the placement gone.
    pub agent_epoch: AgentEpoch,
    /// Identifier of the placement within this process.
    pub placement_id: u64,
    /// Resources that the task takes.
    pub need: Resources,
    /// Number of the task's image (see `ImageNames`).
    pub image: u32,
    /// Current state.
    pub state: PlacementState,
    /// Whether a command to start the task may have been sent.
    pub start_sent: bool,
    /// When the placement was planned (ms, monotonic).
    pub planned_at_ms: u64,
    /// When the task was first seen running (ms, monotonic); absent before.
    pub running_since_ms: Option<u64>,
    /// Time to save a checkpoint, in seconds, if the task is to stop; absent otherwise.
    pub stop_grace_s: Option<f64>,
}

/// Location of a task of a job.
#[derive(Debug, Clone)]
pub struct TaskPlacement {
    /// Name of the machine.
    pub machine: Id,
    /// Identifier of the placement within this process.
    pub placement_id: u64,
    /// Attempt at the task.
    pub attempt: Attempt,
    /// Agent epoch that the placement is for.
    pub agent_epoch: AgentEpoch,
    /// Whether the placement is not committed yet.
    pub planned: bool,
}
