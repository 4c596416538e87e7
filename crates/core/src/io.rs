//! Commands that go into a controller, effects that come out, and the requests and replies that they carry.

pub use crate::request_id::RequestId;
pub use crate::time::Timestamp;

use crate::event::Event;
use serde::{Deserialize, Serialize};
use shaleshunt_wire::Revision;
use shaleshunt_wire::cloud::{Catalog, ListPage, ScaleOutRequest};
use shaleshunt_wire::kv::{KeyValue, Page, Transaction, WatchReply};
use shaleshunt_wire::user::Submission;
use shaleshunt_wire::worker::{DirectCommands, Heartbeat, HeartbeatReply};

/// A request to the key-value store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum KvRequest {
    /// Reads one key.
    Get {
        /// The key.
        key: String,
    },
    /// Reads a page of keys.
    Scan {
        /// Prefix of the keys.
        prefix: String,
        /// The page begins after this key.
        after: String,
    },
    /// Commits writes if all conditions hold (compare-and-swap).
    #[serde(rename = "Txn")]
    Transaction(Transaction),
    /// Grants a new lease.
    #[serde(rename = "NewHold")]
    GrantLease {
        /// Time to live without renewal, in milliseconds.
        #[serde(rename = "life_ms")]
        ttl_ms: u64,
    },
    /// Renews a lease.
    #[serde(rename = "Renew")]
    RenewLease {
        /// The lease.
        #[serde(rename = "pass")]
        lease: u64,
    },
    /// Revokes a lease, and removes the keys attached to it.
    #[serde(rename = "EndHold")]
    RevokeLease {
        /// The lease.
        #[serde(rename = "pass")]
        lease: u64,
    },
    /// Waits for changes.
    Watch {
        /// Prefix of the keys.
        prefix: String,
        /// Only changes after this revision.
        after: Revision,
        /// Longest wait for a change, in milliseconds.
        #[serde(rename = "hold_ms")]
        max_wait_ms: u64,
    },
}

/// The key-value store's reply.
#[derive(Debug, Clone, PartialEq)]
pub enum KvReply {
    /// The key with its value.
    Found(KeyValue),
    /// There is no such key or lease.
    Missing,
    /// A page of keys.
    Page(Page),
    /// The transaction was committed at this revision.
    Committed(Revision),
    /// The conditions on these keys failed; nothing was changed.
    Conflict(Vec<String>),
    /// The identifier of a new lease.
    LeaseGranted(u64),
    /// The lease was renewed or revoked.
    Done,
    /// Changes that a watch saw; none if its wait ended first.
    Changes(WatchReply),
    /// The store no longer keeps changes since the watch's revision.
    Compacted,
}

/// Why a request to an outside service brought no reply.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The request was certainly not sent.
    #[error("not sent")]
    NotSent,
    /// Not sent, because too many requests are under way here: it says nothing about the other side.
    #[error("too much under way")]
    LocalOverload,
    /// No reply: it may have been carried out, or may be later.
    #[error("no answer")]
    OutcomeUnknown,
    /// The service is unavailable; not carried out.
    #[error("refused for now")]
    Unavailable,
    /// Throttled by the service; not carried out.
    #[error("too many requests")]
    Throttled,
    /// The service rejected the request as invalid, for this reason.
    #[error("called wrong: {0}")]
    Rejected(String),
    /// The reply is longer than the limit.
    #[error("answer too long")]
    ResponseTooLong,
    /// The reply cannot be decoded.
    #[error("senseless answer")]
    MalformedResponse,
}

/// A request to the cloud.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudRequest {
    /// Reads the catalog of machine types.
    Catalog,
    /// Rents machines.
    ScaleOut(ScaleOutRequest),
    /// Returns machines, by name.
    ScaleIn(Vec<String>),
    /// Reads a page of the list of machines.
    List {
        /// The page begins after this name.
        after: String,
    },
}

/// The cloud's reply.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudReply {
    /// The catalog of machine types.
    Catalog(Catalog),
    /// Names of the rented machines.
    ScaledOut(Vec<String>),
    /// The cloud has no capacity.
    NoCapacity,
    /// The machines are returned.
    ScaledIn,
    /// A page of the list of machines.
    MachineList(ListPage),
}

/// An agent's reply to direct commands.
#[derive(Debug, Clone, PartialEq)]
pub enum DirectCommandsReply {
    /// Executed; the agent's status afterwards.
    Executed(Heartbeat),
    /// Nothing executed, because the fencing token or agent epoch is not current; the agent's status.
    Fenced(Heartbeat),
}

/// Something that happened outside, to be taken in by the controller.
#[derive(Debug)]
pub enum Command {
    /// A user submits a job.
    Submit(RequestId, Box<Submission>),
    /// A user asks for a job's status.
    Status(RequestId, String),
    /// A user cancels a job.
    Cancel(RequestId, String),
    /// The platform checks this process's health.
    HealthCheck(RequestId),
    /// An agent's heartbeat with its status.
    Heartbeat(RequestId, Box<Heartbeat>),
    /// The key-value store replied, or the request failed.
    Kv(RequestId, Result<KvReply, RequestError>),
    /// The cloud replied, or the request failed.
    Cloud(RequestId, Result<CloudReply, RequestError>),
    /// An agent replied to direct commands, or the request failed.
    DirectCommands(RequestId, Result<DirectCommandsReply, RequestError>),
    /// A frame from the controller of this name.
    Peer(String, shaleshunt_peer::Frame),
    /// A connection from or to the controller of this name broke.
    PeerDisconnected(String),
    /// Nothing: time has passed.
    Tick,
}

/// A batch of commands.
pub type Batch = Vec<Command>;

/// Response to a user, an agent or a health check.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// A job's state, with HTTP status 200 or 201.
    Job(u16, shaleshunt_wire::user::JobView),
    /// An error response.
    Error {
        /// HTTP status.
        status: u16,
        /// The error's text.
        error: &'static str,
        /// Seconds after which the request may be repeated.
        retry_after: Option<u32>,
    },
    /// Response to a heartbeat.
    Heartbeat(HeartbeatReply),
    /// Heartbeats go to the leader, by node name; to any other node if `None`.
    Redirect(Option<String>),
    /// This process is ready.
    Healthy,
}

/// Something that the controller wants done outside.
#[derive(Debug)]
pub enum Effect {
    /// Send a request to the key-value store; relayed through a peer if one is named.
    Kv(RequestId, KvRequest, Option<String>),
    /// Send a request to the cloud.
    Cloud(RequestId, CloudRequest),
    /// Send commands to the agent at an address.
    DirectCommands(RequestId, String, DirectCommands),
    /// Respond to a request.
    Answer(RequestId, Answer),
    /// Send a frame to the controller of this name.
    Peer(String, shaleshunt_peer::Frame),
    /// Log an event.
    Log(Event),
}
