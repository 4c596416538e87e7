//! Input and output of a controller: HTTP servers and clients, links to the other controllers, and the
//! event loop that hands batches of commands to the core and executes its effects.
//!
//! The core, [`shaleshunt_core::Controller`], is a deterministic state machine that decides all about jobs and
//! machines; this crate decides nothing about them. It runs on one thread, in a [`tokio::task::LocalSet`];
//! tasks talk to the event loop through bounded channels, so whoever brings more than it takes waits.
//!
//! | module | job |
//! | --- | --- |
//! | `event_loop` | collects batches, steps the core, hands out effects |
//! | `effects` | executes effects: requests to other services, responses, frames, log lines |
//! | [`server`], [`connections`], [`idle_time`] | HTTP for users, workers and health checks |
//! | `services`, [`protocol`] | requests to the key-value store, the cloud and workers |
//! | [`client`], [`semaphore`] | HTTP connections to them, and who may use them first |
//! | `peer_links`, `relay` | frames between controllers, and requests forwarded in them |
//! | [`socket_budget`], [`rate_limiter`] | limits that hold for the whole process |

#![warn(clippy::wildcard_imports, clippy::missing_errors_doc, clippy::unwrap_used, clippy::too_many_lines)]

pub mod client;
pub mod connections;
pub mod idle_time;
pub mod protocol;
pub mod rate_limiter;
pub mod semaphore;
pub mod server;
pub mod socket_budget;

mod clock;
mod config;
mod effects;
mod error;
mod event_loop;
mod http_status;
mod loop_metrics;
mod peer_links;
mod pending_responses;
mod relay;
mod services;
mod task;

pub use config::{NetworkConfig, PeerAddress};
pub use error::{Listener, RunError};
pub use event_loop::run;
