//! Stand-ins for the state service, the cloud, workers and users in simulated time, around the
//! same owner code that runs in production; the checker of the protocol's rules; and the runner of
//! scenarios, which are small text files (see `scenarios/README.md`).

pub mod check;
pub mod cloud;
pub mod scenario;
pub mod state;
pub mod trace_digest;
pub mod worker;
pub mod world;
