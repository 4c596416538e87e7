//! What goes into the owner and what comes out of it.

use crate::event::Event;
use serde::{Deserialize, Serialize};
use shaleshunt_wire::Revision;
use shaleshunt_wire::cloud::{Catalog, Hire, ListPage};
use shaleshunt_wire::state::{News, Page, Pair, Txn};
use shaleshunt_wire::user::Submission;
use shaleshunt_wire::worker::{Orders, Report, ReportReply};

/// The time of one batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Now {
    /// Steady clock, in milliseconds.
    pub mono: u64,
    /// Time of day, in milliseconds since 1970; only for deadlines, never for safety.
    pub wall: u64,
}

/// A request to the state service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum StateRequest {
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
    Txn(Txn),
    /// A new lease.
    NewHold {
        /// Its life without renewal.
        life_ms: u64,
    },
    /// Renews a lease.
    Renew {
        /// The lease.
        pass: u64,
    },
    /// Ends a lease.
    EndHold {
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
pub enum StateReply {
    /// A key that is there.
    Found(Pair),
    /// A key or lease that is not there.
    Missing,
    /// A page of keys.
    Page(Page),
    /// The transaction was carried out, at this revision.
    Committed(Revision),
    /// These conditions failed; nothing was changed.
    Conflict(Vec<String>),
    /// A new lease.
    Hold(u64),
    /// Carried out.
    Fine,
    /// Changes.
    News(News),
    /// The watch began too long ago.
    TooOld,
}

/// Why a request brought no answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum IoError {
    /// The request surely did not get out.
    #[error("not sent")]
    NotSent,
    /// Not sent, because too much was under way here: it says nothing about the other side.
    #[error("too much under way")]
    Busy,
    /// No answer: it may have been carried out, or may be later.
    #[error("no answer")]
    Unknown,
    /// The service refused for now; not carried out.
    #[error("refused for now")]
    Refused,
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
    Senseless,
}

/// A request to the cloud.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudRequest {
    /// The types.
    Catalog,
    /// Machines, by name.
    Hire(Hire),
    /// Gives machines back.
    Return(Vec<String>),
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
    Hired(Vec<String>),
    /// None to be had.
    NoCapacity,
    /// Machines are gone.
    Returned,
    /// A page of the list.
    Page(ListPage),
}

/// A worker's answer to direct commands.
#[derive(Debug, Clone, PartialEq)]
pub enum OrdersReply {
    /// Executed; the report after it.
    Executed(Report),
    /// Nothing executed; the report.
    Outdated(Report),
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
    Withdraw(RequestId, String),
    /// A health check.
    Up(RequestId),
    /// A worker's report.
    Checkin(RequestId, Box<Report>),
    /// The state service answered.
    State(RequestId, Result<StateReply, IoError>),
    /// The cloud answered.
    Cloud(RequestId, Result<CloudReply, IoError>),
    /// A worker answered direct commands.
    Orders(RequestId, Result<OrdersReply, IoError>),
    /// A peer said something.
    Peer(String, shaleshunt_peer::Frame),
    /// A connection from or to a peer broke.
    PeerLost(String),
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
    Report(ReportReply),
    /// Report to another node (or to any other).
    Elsewhere(Option<String>),
    /// Healthy.
    Healthy,
}

/// What the owner wants done.
#[derive(Debug)]
pub enum Effect {
    /// Ask the state service; through a peer if one is named.
    State(RequestId, StateRequest, Option<String>),
    /// Ask the cloud.
    Cloud(RequestId, CloudRequest),
    /// Command a worker at an address.
    Orders(RequestId, String, Orders),
    /// Answer a request.
    Answer(RequestId, Answer),
    /// Tell a peer.
    Peer(String, shaleshunt_peer::Frame),
    /// An event for the log.
    Log(Event),
}
