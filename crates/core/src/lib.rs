//! The scheduler itself, as one deterministic owner of all state: commands go in, effects come
//! out. It does no I/O and reads no clock; whoever runs it hands over the time with every batch.
//!
//! - [`node::Controller`] is what a process runs: users' requests, leadership and, while it leads, the
//!   scheduler.
//! - `awaits` lets jobs wait for others; `parts` keeps submissions that take more than a value; `limits` follows what the state service grants.
//! - `leader` keeps what only the leader knows; `commit` writes it to the state service, the facts
//!   about tasks on `pages`; `reports` takes in what machines say, `orders` tells them what
//!   to do, `silence` and `failing` watch them, `fleet` keeps them; `queue` orders jobs, `place` chooses machines,
//!   `preemption` makes room on them, `send_out` sends jobs to rented ones; `rent` talks to the cloud;
//!   `event` names what is logged.

pub mod capacity;
pub mod controller;
pub mod event;
pub mod io;
pub mod model;
pub mod records;
pub mod settings;
pub mod work_counters;

mod api;
mod leader;
mod store_limits;
mod submission_parts;

pub use controller::Controller;
pub use event::Event;
pub use io::{Batch, Command, Effect, KvReply, KvRequest, RequestError, Severity, Timestamp};
pub use settings::{Settings, Tuning};
