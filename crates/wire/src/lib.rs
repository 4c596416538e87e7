//! Wire formats of shaleshunt: JSON bodies, paths and limits of the interfaces to users, agents, the cloud and the
//! key-value store. A client needs no other package.
//!
//! The protocol's names differ from the terms in the code. In this package only `serde` attributes, names of erroneous
//! fields and paths use them:
//!
//! | protocol | code |
//! | --- | --- |
//! | `loom`, `looms` | machine, machines |
//! | `hall`, `halls` | zone, zones |
//! | `crew` | team |
//! | `jobline` | class |
//! | `piece`, `pieces` | task, tasks |
//! | `shape`: `daemon`, `ensemble` | job kind: service, gang |
//! | `urgency` | priority |
//! | `bundle` | image |
//! | `frame`, `frames` | machine type, machine types |
//! | `borrowed` | spot |
//! | `expectS`, `dueS` | estimated run time, deadline |
//! | `markEveryS`, `markTakesS` | checkpoint interval and duration |
//! | `awaits` | dependencies |
//! | check-in, report | heartbeat |
//! | `baton` | fencing token |
//! | `shift` | agent epoch |
//! | `tick` | sequence number |
//! | `orders`, `halt`, `windDownS` | commands, stop, grace period |
//! | `warnS` | preemption notice |
//! | `foreman` | leader |
//! | `stamp`, `ledger` | version of a key, revision of the store |
//! | `pass`, hold | lease |
//! | `hire`, return | scale out, scale in |

#![warn(clippy::wildcard_imports, clippy::missing_errors_doc, clippy::unwrap_used, clippy::too_many_lines)]

pub mod cloud;
mod ids;
pub mod kv;
pub mod user;
pub mod worker;

pub use ids::{AgentEpoch, Attempt, Epoch, FencingToken, Revision};

/// Largest request body and longest line of a response, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Maximum number of tasks of a job.
pub const MAX_TASKS: u32 = 100_000;
/// Maximum number of machines in a scale-out request.
pub const MAX_MACHINES_PER_SCALE_OUT: u32 = 50;
/// Maximum number of machines in a scale-in request.
pub const MAX_MACHINES_PER_SCALE_IN: usize = 100;
/// Maximum number of machines on a page of the cloud's list.
pub const MAX_MACHINES_PER_PAGE: u32 = 500;
/// Preconditions that a transaction may have per write that it may have.
pub const PRECONDITIONS_PER_WRITE: usize = 4;
/// Time after which a user gives up waiting for the response to a submission, in seconds.
pub const SUBMIT_TIMEOUT_S: f64 = 5.0;
/// Time after which a user gives up waiting for the response to a status query, in seconds.
pub const STATUS_TIMEOUT_S: f64 = 2.0;
/// Time after which an agent gives up waiting for the response to a heartbeat, in seconds.
pub const HEARTBEAT_TIMEOUT_S: f64 = 4.0;

/// HTTP paths of all interfaces.
pub mod paths {
    /// Submission of a job. Paths of status queries and cancellations begin with it.
    pub const SUBMISSIONS: &str = "/submissions";
    /// Last segment of the path of a cancellation.
    pub const CANCEL: &str = "withdraw";
    /// Health check of a controller.
    pub const HEALTH: &str = "/up";
    /// Heartbeats of agents.
    pub const HEARTBEAT: &str = "/checkin";
    /// Direct commands to an agent.
    pub const COMMANDS: &str = "/orders";
    /// Status of an agent on request.
    pub const STATUS: &str = "/status";
    /// Catalog of machine types of the cloud.
    pub const CATALOG: &str = "/catalog";
    /// Machines of the cloud: scale-out and list.
    pub const MACHINES: &str = "/machines";
    /// Scale-in: return of machines to the cloud.
    pub const RETURN: &str = "/machines/return";
    /// Keys of the key-value store.
    pub const KV: &str = "/kv";
    /// Transactions of the key-value store.
    pub const TXN: &str = "/txn";
    /// Leases of the key-value store.
    pub const LEASES: &str = "/holds";
    /// Last segment of the path of a lease renewal.
    pub const RENEW: &str = "renew";
    /// Watch for changes in the key-value store.
    pub const WATCH: &str = "/watch";
}

/// Amount of CPUs, accelerator cards or GB in thousandths. Integers keep sums exact.
pub type Milli = i64;

/// Converts a decimal amount to thousandths, rounded up.
pub fn to_milli(amount: f64) -> Milli {
    (amount * 1000.0 - 1e-6).ceil().clamp(0.0, 9e15) as Milli
}

/// Resources that a task needs or a machine has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Hash)]
pub struct Resources {
    /// CPUs, in thousandths.
    pub cores: Milli,
    /// Accelerator cards, in thousandths.
    pub accelerators: Milli,
    /// Memory in GB, in thousandths.
    pub memory: Milli,
}

impl Resources {
    /// Resources from decimal amounts, rounded up as for the need of a task.
    pub fn new(cores: f64, accelerators: f64, memory_gb: f64) -> Resources {
        Resources { cores: to_milli(cores), accelerators: to_milli(accelerators), memory: to_milli(memory_gb) }
    }
    /// Whether `need` fits in these resources.
    pub fn fits(&self, need: &Resources) -> bool {
        need.cores <= self.cores && need.accelerators <= self.accelerators && need.memory <= self.memory
    }
    /// Number of times that `need` fits in these resources, at most `max_count`.
    pub fn fit_count(&self, need: &Resources, max_count: i64) -> i64 {
        let part = |have: Milli, want: Milli| if want > 0 { (have / want).max(0) } else { max_count };
        part(self.cores, need.cores)
            .min(part(self.accelerators, need.accelerators))
            .min(part(self.memory, need.memory))
            .min(max_count)
    }
    /// Adds `count` times `other`.
    pub fn add(&mut self, other: &Resources, count: i64) {
        self.cores += other.cores * count;
        self.accelerators += other.accelerators * count;
        self.memory += other.memory * count;
    }
}
