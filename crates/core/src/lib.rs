//! The controller's core: a deterministic state machine that owns all state. Commands go in, effects come out.
//!
//! It does no I/O and reads no clock; the process around it hands over the time with every batch and carries out the
//! effects in order.
//!
//! - [`controller`]: one process, [`Controller`]. Composes leader election, users' requests and the leader.
//! - `api`: users' submissions, queries and cancellations, on any node.
//! - `leader`: the work of the leader. Composes `store` (writes to the key-value store), `scheduler` (queue,
//!   placement, preemption, offloading), `fleet` (machines, heartbeats, commands, health), `autoscaler` (scale out and
//!   in) and recovery at a failover.
//! - [`model`]: jobs, machines and placements. [`records`]: their stored forms and keys.
//! - [`settings`], `store_limits`, [`capacity`]: what the platform grants.
//! - [`io`]: commands and effects. [`time`]: the time of a batch. `step_down`: why a leader steps down. [`event`]: what is logged. [`work_counters`]: work done, for tests.

#![warn(clippy::wildcard_imports, clippy::missing_errors_doc, clippy::unwrap_used, clippy::too_many_lines)]

pub mod capacity;
pub mod controller;
pub mod event;
pub mod io;
pub mod model;
pub mod records;
pub mod settings;
pub mod time;
pub mod work_counters;

mod api;
mod leader;
mod request_id;
mod step_down;
mod store_limits;

pub use controller::Controller;
pub use event::{Event, Severity};
pub use io::{Batch, Command, Effect, KvReply, KvRequest, RequestError};
pub use request_id::RequestId;
pub use settings::{Settings, Tuning};
pub use time::Timestamp;
