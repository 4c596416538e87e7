//! Client requests that the core has not answered yet.

use shaleshunt_core::io::{Answer, RequestId};
use std::collections::HashMap;
use tokio::sync::oneshot;

/// Identifiers of client requests follow this value, which keeps them apart from those that the core assigns to its own
/// requests.
const BEFORE_FIRST_ID: RequestId = 1 << 63;

/// The responder of each pending request.
pub(crate) struct PendingResponses {
    last_id: RequestId,
    responders: HashMap<RequestId, oneshot::Sender<Answer>>,
}

impl PendingResponses {
    pub(crate) fn new() -> PendingResponses {
        PendingResponses { last_id: BEFORE_FIRST_ID, responders: HashMap::new() }
    }

    /// Registers a responder and returns the new identifier of its request.
    pub(crate) fn add(&mut self, responder: oneshot::Sender<Answer>) -> RequestId {
        self.last_id += 1;
        self.responders.insert(self.last_id, responder);
        self.last_id
    }

    /// Answers a request, unless it has been answered before.
    pub(crate) fn respond(&mut self, id: RequestId, answer: Answer) {
        if let Some(responder) = self.responders.remove(&id) {
            // Sending fails if the client has gone or its request has timed out; the answer is dropped.
            let _ = responder.send(answer);
        }
    }
}
