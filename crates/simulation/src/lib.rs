//! Deterministic simulation of a whole site around the production controller code.
//!
//! The key-value store, the cloud, agents, users and the network are simulated in simulated time. A checker
//! verifies the protocol's rules during a run, and a runner plays scenarios, which are small text files (see
//! `scenarios/README.md`).

#![warn(clippy::wildcard_imports, clippy::missing_errors_doc, clippy::unwrap_used, clippy::too_many_lines)]

pub mod agent;
pub mod checker;
pub mod cloud;
pub mod process;
pub mod scenario;
pub mod simulation;
pub mod store;
pub mod trace_digest;
