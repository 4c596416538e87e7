//! Jobs, machines and placements.

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

pub use crate::records::{FinalRecord, JobRecord, keys};

use std::sync::Arc;

/// A job's or machine's name.
pub type Id = Arc<str>;
