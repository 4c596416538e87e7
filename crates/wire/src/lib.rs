//! Wire formats of shaleshunt: the JSON bodies, paths and limits that its users, agents, the
//! cloud and the key-value store see. This package is the only home of protocol names; clients may
//! depend on it alone.
//!
//! The protocol has words of its own. Only the `serde` attributes and paths here use them:
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

/// Largest request body, in bytes, and longest line of a response.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Most tasks that one job may have.
pub const MAX_TASKS: u32 = 100_000;
/// Most machines that one scale-out request may ask for.
pub const MAX_MACHINES_PER_SCALE_OUT: u32 = 50;
/// Most machines that one scale-in request may name.
pub const MAX_MACHINES_PER_SCALE_IN: usize = 100;
/// Most machines on one page of the cloud's list.
pub const MAX_MACHINES_PER_PAGE: u32 = 500;
/// Conditions allowed in a transaction for each write allowed.
pub const PRECONDITIONS_PER_WRITE: usize = 4;
/// Longest time that a user waits for the answer to a submission, in seconds.
pub const SUBMIT_TIMEOUT_S: f64 = 5.0;
/// Longest time that a user waits for the answer to a poll, in seconds.
pub const STATUS_TIMEOUT_S: f64 = 2.0;
/// Longest time that a worker waits for the answer to a report, in seconds.
pub const HEARTBEAT_TIMEOUT_S: f64 = 4.0;

/// Paths of all interfaces.
pub mod paths {
    /// Submit; status and withdrawal are below it.
    pub const SUBMISSIONS: &str = "/submissions";
    /// Last part of a withdrawal's path.
    pub const CANCEL: &str = "withdraw";
    /// Health check.
    pub const HEALTH: &str = "/up";
    /// Workers' reports.
    pub const HEARTBEAT: &str = "/checkin";
    /// Direct commands, on a worker.
    pub const COMMANDS: &str = "/orders";
    /// A worker's report on request.
    pub const STATUS: &str = "/status";
    /// The cloud's machine types.
    pub const CATALOG: &str = "/catalog";
    /// The cloud's machines: hire and list.
    pub const MACHINES: &str = "/machines";
    /// Return machines to the cloud.
    pub const RETURN: &str = "/machines/return";
    /// Keys of the state service.
    pub const KV: &str = "/kv";
    /// Transactions of the state service.
    pub const TXN: &str = "/txn";
    /// Leases of the state service.
    pub const LEASES: &str = "/holds";
    /// Last part of a renewal's path.
    pub const RENEW: &str = "renew";
    /// Changes of the state service.
    pub const WATCH: &str = "/watch";
}

/// An amount (CPUs, cards, GB) in thousandths, so that sums never drift.
pub type Milli = i64;

/// Turns a decimal amount into thousandths, rounded up.
pub fn to_milli(amount: f64) -> Milli {
    (amount * 1000.0 - 1e-6).ceil().clamp(0.0, 9e15) as Milli
}

/// Resources that a task takes or a machine has.
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
    /// Room from decimal amounts; rounding is up, as for a task's need.
    pub fn new(cores: f64, accelerators: f64, memory_gb: f64) -> Resources {
        Resources { cores: to_milli(cores), accelerators: to_milli(accelerators), memory: to_milli(memory_gb) }
    }
    /// Whether `need` fits in this room.
    pub fn fits(&self, need: &Resources) -> bool {
        need.cores <= self.cores && need.accelerators <= self.accelerators && need.memory <= self.memory
    }
    /// How many times `need` fits in this room, at most `cap`.
    pub fn fit_count(&self, need: &Resources, cap: i64) -> i64 {
        let part = |have: Milli, want: Milli| if want > 0 { (have / want).max(0) } else { cap };
        part(self.cores, need.cores)
            .min(part(self.accelerators, need.accelerators))
            .min(part(self.memory, need.memory))
            .min(cap)
    }
    /// Adds `n` times `other`.
    pub fn add(&mut self, other: &Resources, n: i64) {
        self.cores += other.cores * n;
        self.accelerators += other.accelerators * n;
        self.memory += other.memory * n;
    }
}
