//! Clients of the services that a controller calls, each with its own timeouts, concurrency and rate.

mod cloud;
mod kv;
mod worker;

pub(crate) use cloud::CloudClient;
pub(crate) use kv::KvClient;
pub(crate) use worker::WorkerClient;
