//! A task on a machine, as the machine and as its job see it.

use super::Id;
use shaleshunt_wire::{AgentEpoch, Attempt, Resources};

/// How far a placement is. It is planned, then committed; the rest is as its machine shows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementState {
    /// Not committed: nothing may leave.
    Planned,
    /// Committed; no heartbeat has shown it.
    Committed,
    /// Waiting for its image.
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

/// A task on a machine, from the plan until it is proven gone.
#[derive(Debug, Clone)]
pub struct Placement {
    /// The job.
    pub job: Id,
    /// Number of the task in the job.
    pub task: u32,
    /// The attempt at the task.
    pub attempt: Attempt,
    /// The agent epoch that it is for: gone in any newer one.
    pub agent_epoch: AgentEpoch,
    /// Its number inside this process.
    pub placement_id: u64,
    /// Room that it takes.
    pub need: Resources,
    /// Number of its image.
    pub image: u32,
    /// How far it is.
    pub state: PlacementState,
    /// Whether a command to start it may have left.
    pub start_sent: bool,
    /// When it was planned (ms, monotonic).
    pub planned_at_ms: u64,
    /// When it was first seen running (ms, monotonic).
    pub running_since_ms: Option<u64>,
    /// It is to stop, with this time to save a checkpoint.
    pub stop_grace_s: Option<f64>,
}

/// Where a task of a job is.
#[derive(Debug, Clone)]
pub struct TaskPlacement {
    /// The machine.
    pub machine: Id,
    /// The placement's number inside this process.
    pub placement_id: u64,
    /// The attempt at the task.
    pub attempt: Attempt,
    /// The agent epoch that it is for.
    pub agent_epoch: AgentEpoch,
    /// It is not committed yet.
    pub planned: bool,
}
