//! Clients of the services that a controller calls, each with its own timeout and limits of concurrency and rate.

mod agent;
mod cloud;
mod kv;

pub(crate) use agent::AgentClient;
pub(crate) use cloud::CloudClient;
pub(crate) use kv::KvClient;
