//! Core of the controller: a deterministic state machine that owns all state, takes commands and returns effects.
//!
//! The core does no I/O and reads no clock. The surrounding process passes the time with every batch of commands and
//! executes the effects in order.
//!
//! - [`controller`]: the state of one process, [`Controller`]. Composes leader election, users' requests and the
//!   leader.
//! - `api`: users' submissions, status queries and cancellations, on every controller.
//! - `leader`: the work of the elected leader. Composes `store` (writes to the key-value store), `scheduler` (queue,
//!   placement, preemption, offloading), `fleet` (machines, heartbeats, commands, health), `autoscaler` (scale out and
//!   scale in) and recovery at a failover.
//! - [`model`]: jobs, machines and placements. [`records`]: their stored records and keys.
//! - [`settings`]: settings of the platform and of operators. `store_limits`: limits of the key-value store in force.
//!   [`capacity`]: resources that a fleet needs compared with those granted.
//! - [`io`]: commands and effects. [`time`]: the time of a batch. `step_down`: reasons for which a leader steps down.
//!   [`event`]: log events. [`work_counters`]: counters of work done, for tests.

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
