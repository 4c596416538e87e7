//! Data model of the leader: jobs, machines, placements and their invariants. These types depend on no other part of
//! the leader.
//!
//! - [`Job`] and [`Machine`] group related fields in small structs. A placement is stored twice: as a [`Placement`] at
//!   its machine and as a [`TaskPlacement`] at its job. `leader/placements.rs` keeps both in step.
//! - [`TaskProgress`], [`DirectCall`] and [`ImageCache`] have private fields, because invariants hold between them.
//! - Times are in milliseconds on the monotonic clock, unless the field says otherwise.

mod agent;
mod direct_call;
mod fencing;
mod image_cache;
mod job;
mod machine;
mod machine_health;
mod placement;
#[cfg(test)]
pub(crate) mod samples;
mod task_progress;
mod task_set;

pub use agent::{Agent, HeartbeatOrder, UnexpectedTask};
pub use direct_call::{CallInFlight, CallPurpose, DirectCall};
pub use fencing::{Fencing, TokenExhausted};
pub use image_cache::{CachedImage, ImageCache};
pub use job::{Job, JobFailures, JobRecordState, PendingWrites, SchedulingState};
pub use machine::{Capacity, Lifecycle, Machine, MachineRecordState};
pub use machine_health::MachineHealth;
pub use placement::{Placement, PlacementState, TaskPlacement};
pub use task_progress::{RunTimes, TaskProgress};
pub use task_set::TaskSet;

pub use crate::records::{FinalRecord, JobRecord, keys};

use std::sync::Arc;

/// Name of a job or a machine.
pub type Id = Arc<str>;
