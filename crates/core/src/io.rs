//! What goes into the owner and what comes out of it.

use crate::event::Event;
use serde::{Deserialize, Serialize};
use shaleshunt_wire::Revision;
use shaleshunt_wire::cloud::{Catalog, ListPage, ScaleOutRequest};
use shaleshunt_wire::kv::{KeyValue, Page, Transaction, WatchReply};
use shaleshunt_wire::user::Submission;
use shaleshunt_wire::worker::{DirectCommands, Heartbeat, HeartbeatReply};

/// The time of one batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timestamp {
    /// Steady clock, in milliseconds.
    pub monotonic_ms: u64,
    /// Time of day, in milliseconds since 1970; only for deadlines, never for safety.
    pub wall_ms: u64,
}

/// A request to the state service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum KvRequest {
    /// One key.
    Get {
        /// The key.
        key: String,
    },
    /// A page of keys.
    Scan {
        /// What the keys begin with.
        prefix: String,
        /// Key to begin after.
        after: String,
    },
    /// A transaction.
    #[serde(rename = "Txn")]
    Transaction(Transaction),
    /// A new lease.
    #[serde(rename = "NewHold")]
    GrantLease {
        /// Time to live without renewal.
        #[serde(rename = "life_ms")]
        ttl_ms: u64,
    },
    /// Renews a lease.
    #[serde(rename = "Renew")]
    RenewLease {
        /// The lease.
        pass: u64,
    },
    /// Ends a lease.
    #[serde(rename = "EndHold")]
    RevokeLease {
        /// The lease.
        pass: u64,
    },
    /// Waits for changes.
    Watch {
        /// What the keys begin with.
        prefix: String,
        /// Revision to begin after.
        after: Revision,
        /// How long to wait.
        hold_ms: u64,
    },
}

/// The state service's answer.
#[derive(Debug, Clone, PartialEq)]
pub enum KvReply {
    /// A key that is there.
    Found(KeyValue),
    /// A key or lease that is not there.
    Missing,
    /// A page of keys.
    Page(Page),
    /// The transaction was carried out, at this revision.
    Committed(Revision),
    /// These conditions failed; nothing was changed.
    Conflict(Vec<String>),
    /// A new lease.
    LeaseGranted(u64),
    /// Carried out.
    Done,
    /// Changes.
    Changes(WatchReply),
    /// The watch began too long ago.
    Compacted,
}

/// Why a request brought no answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The request surely did not get out.
    #[error("not sent")]
    NotSent,
    /// Not sent, because too much was under way here: it says nothing about the other side.
    #[error("too much under way")]
    LocalOverload,
    /// No answer: it may have been carried out, or may be later.
    #[error("no answer")]
    OutcomeUnknown,
    /// The service refused for now; not carried out.
    #[error("refused for now")]
    Unavailable,
    /// Too many requests; not carried out.
    #[error("too many requests")]
    Throttled,
    /// The service calls the request wrong.
    #[error("called wrong: {0}")]
    Rejected(String),
    /// The answer is longer than what is taken.
    #[error("answer too long")]
    TooLong,
    /// The answer makes no sense.
    #[error("senseless answer")]
    Malformed,
}

/// A request to the cloud.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudRequest {
    /// The types.
    Catalog,
    /// Machines, by name.
    ScaleOut(ScaleOutRequest),
    /// Gives machines back.
    ScaleIn(Vec<String>),
    /// A page of the list.
    List {
        /// Name to begin after.
        after: String,
    },
}

/// The cloud's answer.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudReply {
    /// The types.
    Catalog(Catalog),
    /// Machines hired.
    ScaledOut(Vec<String>),
    /// None to be had.
    NoCapacity,
    /// Machines are gone.
    ScaledIn,
    /// A page of the list.
    MachineList(ListPage),
}

/// A worker's answer to direct commands.
#[derive(Debug, Clone, PartialEq)]
pub enum DirectCommandsReply {
    /// Executed; the report after it.
    Executed(Heartbeat),
    /// Nothing executed; the report.
    Fenced(Heartbeat),
}

/// Number of a request that waits for its answer.
pub type RequestId = u64;

/// What the owner is told.
#[derive(Debug)]
pub enum Command {
    /// A user's submission.
    Submit(RequestId, Box<Submission>),
    /// A user's poll.
    Status(RequestId, String),
    /// A user's withdrawal.
    Cancel(RequestId, String),
    /// A health check.
    HealthCheck(RequestId),
    /// A worker's report.
    Heartbeat(RequestId, Box<Heartbeat>),
    /// The state service answered.
    Kv(RequestId, Result<KvReply, RequestError>),
    /// The cloud answered.
    Cloud(RequestId, Result<CloudReply, RequestError>),
    /// A worker answered direct commands.
    DirectCommands(RequestId, Result<DirectCommandsReply, RequestError>),
    /// A peer said something.
    Peer(String, shaleshunt_peer::Frame),
    /// A connection from or to a peer broke.
    PeerDisconnected(String),
    /// Nothing: time has passed.
    Tick,
}

/// A batch of commands.
pub type Batch = Vec<Command>;

/// How much an event matters to an operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Severity {
    /// For somebody to look at.
    Error,
    /// What happened.
    Info,
    /// In detail.
    Debug,
}

/// Answer to a user, worker or health check.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// A job's state, with 200 or 201.
    Job(u16, shaleshunt_wire::user::JobView),
    /// A problem; `retry_after` in whole seconds.
    Problem {
        /// HTTP status.
        status: u16,
        /// In words.
        error: &'static str,
        /// When to come back.
        retry_after: Option<u32>,
    },
    /// Answer to a report.
    Heartbeat(HeartbeatReply),
    /// Report to another node (or to any other).
    Redirect(Option<String>),
    /// Healthy.
    Healthy,
}

/// What the owner wants done.
#[derive(Debug)]
pub enum Effect {
    /// Ask the state service; through a peer if one is named.
    Kv(RequestId, KvRequest, Option<String>),
    /// Ask the cloud.
    Cloud(RequestId, CloudRequest),
    /// Command a worker at an address.
    DirectCommands(RequestId, String, DirectCommands),
    /// Answer a request.
    Answer(RequestId, Answer),
    /// Tell a peer.
    Peer(String, shaleshunt_peer::Frame),
    /// An event for the log.
    Log(Event),
}
