//! Input and output of a controller: HTTP server and clients, links to the other controllers, and the event loop that
//! passes batches of commands to the core and executes the effects that the core returns.
//!
//! The core, [`shaleshunt_core::Controller`], is a deterministic state machine that makes all decisions about jobs and
//! machines; this crate makes none. Everything runs on one thread, in a [`tokio::task::LocalSet`]. Tasks send to the
//! event loop through bounded channels. When a channel is full, its senders wait.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `event_loop` | collects batches of commands, runs the core, passes on its effects |
//! | `effects` | executes effects: requests to other services, responses to clients, frames to peers, log lines |
//! | [`server`], [`connections`], [`idle_time`] | HTTP server for users, agents and health checks |
//! | `services`, [`protocol`] | requests to the key-value store, the cloud and agents |
//! | [`client`], [`semaphore`] | HTTP client with a connection pool, and priorities among its calls |
//! | `peer_links`, `relay` | frames between controllers, and store requests relayed through them |
//! | [`socket_budget`], [`rate_limiter`] | limits of open sockets and of request rates |

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
