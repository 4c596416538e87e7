//! A simulation of a whole site around the code that runs in production: stand-ins for the key-value
//! store, the cloud, agents, users and the network in simulated time, the checker of the protocol's
//! rules, and the runner of scenarios, which are small text files (see `scenarios/README.md`).

#![warn(clippy::wildcard_imports, clippy::missing_errors_doc, clippy::unwrap_used, clippy::too_many_lines)]

pub mod agent;
pub mod checker;
pub mod cloud;
pub mod process;
pub mod scenario;
pub mod simulation;
pub mod store;
pub mod trace_digest;
