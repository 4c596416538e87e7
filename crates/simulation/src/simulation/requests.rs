//! Requests under way: of controllers to the services around them, and of users and agents to controllers.

use crate::agent::HeartbeatId;
use crate::process::ProcessId;
use crate::store::RequestKey;
use std::collections::{BTreeMap, BTreeSet};

/// Numbers of requests to controllers begin here, apart from those that controllers give.
const FIRST_REQUEST_ID: u64 = 1 << 62;

/// Who awaits a controller's answer.
pub(super) enum Requester {
    /// A user who follows a job.
    User { job: String, asked_at_ms: u64 },
    /// A user who looks at a job at every controller.
    Probe { job: String, asked_at_ms: u64 },
    /// An agent that has reported; nobody, if the heartbeat was a copy.
    Agent { agent: String, heartbeat: Option<HeartbeatId> },
}

/// Requests under way.
#[derive(Default)]
pub(super) struct Requests {
    /// Of controllers, not yet answered.
    open: BTreeSet<RequestKey>,
    /// Watches that went to the key-value store through a peer.
    relayed: BTreeSet<RequestKey>,
    /// To controllers.
    requesters: BTreeMap<u64, Requester>,
    last_id: u64,
}

impl Requests {
    pub(super) fn open(&mut self, process: ProcessId, id: u64) {
        self.open.insert(RequestKey { process, id });
    }

    /// Whether a controller's request was still open; it is not from now on.
    pub(super) fn close(&mut self, process: ProcessId, id: u64) -> bool {
        self.open.remove(&RequestKey { process, id })
    }

    pub(super) fn mark_relayed(&mut self, request: RequestKey) {
        self.relayed.insert(request);
    }

    pub(super) fn take_relayed(&mut self, request: RequestKey) -> bool {
        self.relayed.remove(&request)
    }

    /// A number for a request to a controller.
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
