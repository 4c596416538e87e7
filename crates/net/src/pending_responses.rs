//! Requests of clients that the core has not answered yet.

use shaleshunt_core::io::{Answer, RequestId};
use std::collections::HashMap;
use tokio::sync::oneshot;

/// Numbers of clients' requests begin after this one, so that they differ from those that the core gives
/// its own requests.
const BEFORE_FIRST_ID: RequestId = 1 << 63;

/// Who waits for which answer.
pub(crate) struct PendingResponses {
    last_id: RequestId,
    responders: HashMap<RequestId, oneshot::Sender<Answer>>,
}

impl PendingResponses {
    pub(crate) fn new() -> PendingResponses {
        PendingResponses { last_id: BEFORE_FIRST_ID, responders: HashMap::new() }
    }

    /// Numbers a request.
    pub(crate) fn add(&mut self, responder: oneshot::Sender<Answer>) -> RequestId {
        self.last_id += 1;
        self.responders.insert(self.last_id, responder);
        self.last_id
    }

    /// Answers a request, if its client still waits.
    pub(crate) fn respond(&mut self, id: RequestId, answer: Answer) {
        if let Some(responder) = self.responders.remove(&id) {
            // A client that is gone needs no answer.
            let _ = responder.send(answer);
        }
    }
}
