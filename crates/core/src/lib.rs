//! The scheduler itself, as one deterministic owner of all state: commands go in, effects come
//! out. It does no I/O and reads no clock; whoever runs it hands over the time with every batch.
//!
//! - [`node::Node`] is what a process runs: users' requests, leadership and, while it leads, the
//!   scheduler.
//! - `awaits` lets jobs wait for others; `parts` keeps submissions that take more than a value; `limits` follows what the state service grants.
//! - `leader` keeps what only the leader knows; `commit` writes it to the state service, the facts
//!   about tasks on `pages`; `reports` takes in what machines say, `orders` tells them what
//!   to do, `silence` and `failing` watch them, `fleet` keeps them; `queue` orders jobs, `place` chooses machines,
//!   `preemption` makes room on them, `send_out` sends jobs to rented ones; `rent` talks to the cloud;
//!   `event` names what is logged.

pub mod capacity;
pub mod event;
pub mod io;
pub mod model;
pub mod node;
pub mod settings;
pub mod work;

mod awaits;
mod commit;
mod failing;
mod fleet;
mod front;
mod leader;
mod limits;
mod orders;
mod pages;
mod parts;
mod place;
mod preemption;
mod queue;
mod rent;
mod reports;
mod send_out;
mod silence;
mod step_down;

pub use event::Event;
pub use io::{Batch, Command, Effect, IoError, Now, Severity, StateReply, StateRequest};
pub use node::Node;
pub use settings::{Settings, Tuning};
