//! Jobs, machines and placements, and their records in the state service.

mod block;
mod job;
mod machine;
mod placement;
mod task_set;

pub use block::Block;
pub use job::{Job, JobFailures, JobRecordState, PendingWrites, RunTimes, SchedulingState, TaskProgress};
pub use machine::{
    Agent, CachedImage, Capacity, DirectCall, HeartbeatOrder, ImageCache, Lifecycle, Machine, MachineHealth,
    MachineRecordState, UnexpectedTask,
};
pub use placement::{Placement, PlacementState, TaskPlacement};
pub use task_set::TaskSet;

use serde::{Deserialize, Serialize};
use shaleshunt_wire::user::Submission;
use shaleshunt_wire::{AgentEpoch, Attempt};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A job's or machine's name.
pub type Id = Arc<str>;

/// Keys of the state service.
pub mod keys {
    /// The leader's key, attached to its lease.
    pub const LEADER: &str = "l/lead";
    /// The epoch, which only grows.
    pub const EPOCH: &str = "l/epoch";
    /// Cancelled jobs that have not ended. Below the leader's prefix, so that one watch shows a
    /// controller both that its leader still leads and what has been cancelled.
    pub const CANCELLED: &str = "l/x/";
    /// Unfinished jobs.
    pub const JOBS: &str = "j/";
    /// Parts of submissions that take more than a value.
    pub const SUBMISSION_PARTS: &str = "s/";
    /// Finished jobs.
    pub const FINAL_RECORDS: &str = "f/";
    /// Facts about unfinished jobs' tasks, on pages.
    pub const TASK_PAGES: &str = "p/";
    /// Machines, in blocks.
    pub const MACHINE_BLOCKS: &str = "b/";
    /// Outcomes as version 0.1 kept them. Read at a takeover, removed once written anew.
    pub const V01_OUTCOMES: &str = "d/";
    /// Machines and placements as version 0.1 kept them. Read and removed likewise.
    pub const V01_MACHINES: &str = "m/";
    /// Hires under way.
    pub const SCALE_OUTS: &str = "h/";
    /// The machine types.
    pub const CATALOG: &str = "c/catalog";
    /// The machines owned: those that were up when the service first began. More than a value holds
    /// go on further keys below this one, which are written first: they count only if it is there.
    pub const OWNED: &str = "c/owned";
}

/// Record of an unfinished job.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct JobRecord {
    /// The submission.
    pub s: Submission,
    /// When it was accepted, time of day.
    pub at: u64,
    /// Whether it has been cancelled.
    #[serde(default)]
    pub x: bool,
    /// Whether its cancellation has a key of its own; version 0.1 wrote none.
    #[serde(default)]
    pub k: bool,
}

impl JobRecord {
    /// The record when its user cancels it. What only matters before its tasks start goes: the
    /// record may be longer than what may be written by now.
    pub fn into_cancelled(mut self) -> JobRecord {
        self.s.dependencies.clear();
        self.s.machine_types = None;
        self.s.zone = None;
        self.s.image.clear();
        JobRecord { x: true, k: true, ..self }
    }
}

/// Record of a finished job.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FinalRecord {
    /// Whether it was cancelled.
    pub x: bool,
    /// Number of its tasks.
    pub n: u32,
    /// When it ended, time of day; versions before 0.3 wrote none.
    #[serde(default)]
    pub t: u64,
}

/// A machine in a block's record.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineRecord {
    /// Type.
    pub f: String,
    /// Spot.
    pub b: bool,
    /// Owned.
    pub o: bool,
    /// Address.
    pub e: String,
    /// Session when it was written.
    pub s: AgentEpoch,
    /// When it was hired, time of day.
    pub t: u64,
    /// Images held, by their place in the block's list.
    #[serde(default)]
    pub i: Vec<u32>,
}

/// Record of a block: machines of one zone, all owned or all hired, so that a new leader reads
/// some dozens of keys and hiring fifty machines costs a write or two.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct BlockRecord {
    /// Zone.
    pub z: String,
    /// Images that its machines hold, with their sizes.
    #[serde(default)]
    pub i: Vec<(String, f64)>,
    /// The machines.
    pub m: BTreeMap<String, MachineRecord>,
}

/// Record of a machine as version 0.1 kept it, with its placements.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct V01MachineRecord {
    /// Type.
    pub f: String,
    /// Zone.
    pub z: String,
    /// Spot.
    pub b: bool,
    /// Owned.
    pub o: bool,
    /// Address.
    pub e: String,
    /// Session that the placements are for.
    pub s: AgentEpoch,
    /// When it was hired, time of day.
    pub t: u64,
    /// Placements: job, task, attempt.
    pub p: Vec<(String, u32, Attempt)>,
}
