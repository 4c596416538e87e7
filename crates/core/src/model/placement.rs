//! A task on a machine, as the machine and as its job see it.

use super::Id;
use shaleshunt_wire::{AgentEpoch, Attempt, Resources};

/// How far a placement is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementState {
    /// Not committed: nothing may leave.
    Planned,
    /// Committed; the machine has not shown it.
    Committed,
    /// Waiting for its image.
    Fetching,
    /// Running.
    Running,
    /// Saving.
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
    /// Job.
    pub job: Id,
    /// Task.
    pub task: u32,
    /// Attempt.
    pub attempt: Attempt,
    /// The machine's session that it is for: gone in any newer one.
    pub agent_epoch: AgentEpoch,
    /// Its number inside this process.
    pub placement_id: u64,
    /// Room it takes.
    pub need: Resources,
    /// Number of its image.
    pub image: u32,
    /// How far it is.
    pub stage: PlacementState,
    /// Whether a `run` may have left.
    pub sent: bool,
    /// When it was planned (steady clock).
    pub since: u64,
    /// When it was first seen running.
    pub running: Option<u64>,
    /// It is to stop, with this time to save.
    pub stop_grace_s: Option<f64>,
}

/// Where a task of a job is.
#[derive(Debug, Clone)]
pub struct TaskPlacement {
    /// Machine.
    pub machine: Id,
    /// The placement's number inside this process.
    pub placement_id: u64,
    /// Attempt.
    pub attempt: Attempt,
    /// The machine's session.
    pub agent_epoch: AgentEpoch,
    /// Not committed yet.
    pub planned: bool,
}
