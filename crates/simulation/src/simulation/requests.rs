//! Requests in flight: from controllers to services and agents, and from users and agents to controllers.

use crate::agent::HeartbeatId;
use crate::process::ProcessId;
use crate::store::RequestKey;
use std::collections::{BTreeMap, BTreeSet};

/// First id of requests to controllers, above all request ids that controllers assign themselves.
const FIRST_REQUEST_ID: u64 = 1 << 62;

/// The party that awaits a controller's answer.
pub(super) enum Requester {
    /// A user who submits, queries or cancels a job.
    User { job: String, asked_at_ms: u64 },
    /// A user who probes a job at all controllers.
    Probe { job: String, asked_at_ms: u64 },
    /// An agent that has sent a heartbeat; `heartbeat` is `None` if the heartbeat was a duplicate, which nobody awaits.
    Agent { agent: String, heartbeat: Option<HeartbeatId> },
}

/// Requests in flight.
#[derive(Default)]
pub(super) struct Requests {
    /// Requests of controllers that have had neither a reply nor a timeout.
    open: BTreeSet<RequestKey>,
    /// Watches that a peer relays to the key-value store.
    relayed: BTreeSet<RequestKey>,
    /// Requesters of the requests to controllers, by request id.
    requesters: BTreeMap<u64, Requester>,
    last_id: u64,
}

impl Requests {
    pub(super) fn open(&mut self, process: ProcessId, id: u64) {
        self.open.insert(RequestKey { process, id });
    }

    /// Closes a controller's request; returns whether the request was open.
    pub(super) fn close(&mut self, process: ProcessId, id: u64) -> bool {
        self.open.remove(&RequestKey { process, id })
    }

    pub(super) fn mark_relayed(&mut self, request: RequestKey) {
        self.relayed.insert(request);
    }

    /// Forgets that a watch is relayed; returns whether it was.
    pub(super) fn take_relayed(&mut self, request: RequestKey) -> bool {
        self.relayed.remove(&request)
    }

    /// Assigns the id of a request to a controller.
    pub(super) fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        FIRST_REQUEST_ID + self.last_id
    }

    pub(super) fn register(&mut self, id: u64, requester: Requester) {
        self.requesters.insert(id, requester);
    }

    pub(super) fn take_requester(&mut self, id: u64) -> Option<Requester> {
        self.requesters.remove(&id)
    }
}
