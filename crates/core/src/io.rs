//! Commands (inputs) and effects (outputs) of a controller, and the requests and replies that they carry.

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
        /// Exclusive start of the page: the last key of the page before; empty for the first page.
        after: String,
    },
    /// Commits writes if all preconditions hold (compare-and-swap).
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
        /// Identifier of the lease.
        #[serde(rename = "pass")]
        lease: u64,
    },
    /// Revokes a lease, which deletes the keys attached to it.
    #[serde(rename = "EndHold")]
    RevokeLease {
        /// Identifier of the lease.
        #[serde(rename = "pass")]
        lease: u64,
    },
    /// Waits for changes of keys.
    Watch {
        /// Prefix of the keys.
        prefix: String,
        /// Revision after which changes are returned, exclusive.
        after: Revision,
        /// Longest wait for a change, in milliseconds.
        #[serde(rename = "hold_ms")]
        max_wait_ms: u64,
    },
}

/// Reply of the key-value store.
#[derive(Debug, Clone, PartialEq)]
pub enum KvReply {
    /// The key exists; its value and version.
    Found(KeyValue),
    /// The key or the lease does not exist.
    Missing,
    /// A page of keys.
    Page(Page),
    /// The transaction was committed at this revision.
    Committed(Revision),
    /// The preconditions on these keys failed; nothing was written.
    Conflict(Vec<String>),
    /// The identifier of a new lease.
    LeaseGranted(u64),
    /// The lease was renewed or revoked.
    Done,
    /// Changes since the watch's revision; empty if there were none within the longest wait.
    Changes(WatchReply),
    /// The store no longer keeps all changes since the watch's revision.
    Compacted,
}

/// Errors of a request to an external service.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The request was certainly not sent, so it was not executed.
    #[error("request was not sent")]
    NotSent,
    /// The request was not sent because too many are in flight at this process. This says nothing about the service.
    #[error("request was not sent: too many requests are in flight")]
    LocalOverload,
    /// No complete response: the request may have been executed or may be executed later.
    #[error("no response: the request may have been executed")]
    OutcomeUnknown,
    /// The service is unavailable; the request was not executed.
    #[error("service is unavailable")]
    Unavailable,
    /// The service throttled the request, which was not executed.
    #[error("service throttled the request")]
    Throttled,
    /// The service rejected the request as invalid, for the given reason.
    #[error("service rejected the request: {0}")]
    Rejected(String),
    /// The response is longer than this process accepts.
    #[error("response is too long")]
    ResponseTooLong,
    /// The response cannot be decoded.
    #[error("response cannot be decoded")]
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
        /// Exclusive start of the page: the last name of the page before; empty for the first page.
        after: String,
    },
}

/// Reply of the cloud.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudReply {
    /// The catalog of machine types.
    Catalog(Catalog),
    /// Names of the rented machines.
    ScaledOut(Vec<String>),
    /// The cloud has no capacity.
    NoCapacity,
    /// The cloud has accepted the returned machines.
    ScaledIn,
    /// A page of the list of machines.
    MachineList(ListPage),
}

/// An agent's reply to direct commands.
#[derive(Debug, Clone, PartialEq)]
pub enum DirectCommandsReply {
    /// The commands were executed; the agent's status afterwards.
    Executed(Heartbeat),
    /// No command was executed because the fencing token or agent epoch is not current; the agent's status.
    Fenced(Heartbeat),
}

/// Input of the controller.
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
    /// An agent sent a heartbeat.
    Heartbeat(RequestId, Box<Heartbeat>),
    /// The key-value store replied, or the request failed.
    Kv(RequestId, Result<KvReply, RequestError>),
    /// The cloud replied, or the request failed.
    Cloud(RequestId, Result<CloudReply, RequestError>),
    /// An agent replied to direct commands, or the request failed.
    DirectCommands(RequestId, Result<DirectCommandsReply, RequestError>),
    /// The controller with this node name sent a frame.
    Peer(String, shaleshunt_peer::Frame),
    /// A connection from or to the controller with this node name broke.
    PeerDisconnected(String),
    /// No input; due work runs at the batch's time.
    Tick,
}

/// Commands that a controller takes at the same time.
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
        /// Text of the `error` field of the response body.
        error: &'static str,
        /// Seconds after which the client may retry; `None` without such a hint.
        retry_after: Option<u32>,
    },
    /// Response to a heartbeat.
    Heartbeat(HeartbeatReply),
    /// Redirect of a heartbeat to the leader with this node name; to any other controller if `None`.
    Redirect(Option<String>),
    /// This process is ready.
    Healthy,
}

/// Output of the controller, executed by the surrounding process.
#[derive(Debug)]
pub enum Effect {
    /// Send a request to the key-value store, relayed through the peer with this node name if there is one.
    Kv(RequestId, KvRequest, Option<String>),
    /// Send a request to the cloud.
    Cloud(RequestId, CloudRequest),
    /// Send commands to the agent at an address.
    DirectCommands(RequestId, String, DirectCommands),
    /// Respond to a client's request.
    Answer(RequestId, Answer),
    /// Send a frame to the controller with this node name.
    Peer(String, shaleshunt_peer::Frame),
    /// Log an event.
    Log(Event),
}
