//! Jobs, machines and placements, as the leader knows them. Nothing here knows who uses it.
//!
//! - [`Job`] and [`Machine`] group what belongs together in small structs. A task on a machine is a
//!   [`Placement`] there and a [`TaskPlacement`] at its job; `leader/placements.rs` keeps the two the
//!   same.
//! - [`TaskProgress`], [`DirectCall`] and [`ImageCache`] keep what must hold between their fields:
//!   these are private.
//! - Times are in milliseconds, monotonic unless said otherwise.

mod agent;
mod direct_call;
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
pub use image_cache::{CachedImage, ImageCache};
pub use job::{Job, JobFailures, JobRecordState, PendingWrites, SchedulingState};
pub use machine::{Capacity, Lifecycle, Machine, MachineRecordState};
pub use machine_health::MachineHealth;
pub use placement::{Placement, PlacementState, TaskPlacement};
pub use task_progress::{RunTimes, TaskProgress};
pub use task_set::TaskSet;

pub use crate::records::{FinalRecord, JobRecord, keys};

use std::sync::Arc;

/// A job's or machine's name.
pub type Id = Arc<str>;
