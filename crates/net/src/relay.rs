//! Relaying of requests to the key-value store through a peer, for a controller that cannot reach the store, or is
//! refused by it, while its peers can. This module holds both sides: sending a relayed request and executing one.

use crate::client::HttpResponse;
use crate::http_status::{GONE, NO_RESPONSE, SERVICE_UNAVAILABLE};
use crate::peer_links::PeerLink;
use crate::protocol;
use crate::services::KvClient;
use bytes::Bytes;
use shaleshunt_core::{KvReply, KvRequest, RequestError};
use shaleshunt_peer::Frame;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Upper bound for the part of a frame that is not the response's body.
const FRAME_OVERHEAD_BYTES: usize = 1024;
/// A larger response does not fit into a frame and is replaced by a status without a body.
const MAX_RELAYED_BODY_BYTES: usize = shaleshunt_peer::MAX_FRAME_BYTES - FRAME_OVERHEAD_BYTES;

type Responders = Rc<RefCell<HashMap<u64, oneshot::Sender<HttpResponse>>>>;

/// This controller's relayed requests that are in flight.
pub(crate) struct RelayedRequests {
    last_id: u64,
    responders: Responders,
}

impl RelayedRequests {
    pub(crate) fn new() -> RelayedRequests {
        // Identifiers start at a random value, so that a late response to a request of the process before a restart
        // is not taken for a response to this process.
        RelayedRequests { last_id: rand::random(), responders: Rc::default() }
    }

    /// Returns a request with a new identifier, not yet sent.
    pub(crate) fn next(&mut self) -> RelayedRequest {
        self.last_id = self.last_id.wrapping_add(1);
        RelayedRequest { id: self.last_id, responders: self.responders.clone() }
    }

    /// Passes a peer's response to the request that waits for it, or ignores it if that request has timed out.
    pub(crate) fn respond(&self, id: u64, response: HttpResponse) {
        if let Some(responder) = self.responders.borrow_mut().remove(&id) {
            let _ = responder.send(response);
        }
    }
}

/// One relayed request. Dropping the value stops waiting for the response.
pub(crate) struct RelayedRequest {
    id: u64,
    responders: Responders,
}

impl RelayedRequest {
    /// Sends a store request through a peer and waits for the response.
    ///
    /// # Errors
    ///
    /// The errors of [`protocol::kv::decode`]; also [`RequestError::NotSent`] if the link's queue is full, and
    /// [`RequestError::OutcomeUnknown`] if no response arrives within `timeout`.
    pub(crate) async fn execute(
        self,
        link: &PeerLink,
        request: &KvRequest,
        timeout: Duration,
    ) -> Result<KvReply, RequestError> {
        let (responder, response) = oneshot::channel();
        self.responders.borrow_mut().insert(self.id, responder);
        let frame = Frame::ForwardedRequest { id: self.id, body: protocol::to_json(request) };
        link.try_send(frame).map_err(|_| RequestError::NotSent)?;
        match tokio::time::timeout(timeout, response).await {
            Ok(Ok(response)) => protocol::kv::decode(request, &response),
            _ => Err(RequestError::OutcomeUnknown),
        }
    }
}

impl Drop for RelayedRequest {
    fn drop(&mut self) {
        self.responders.borrow_mut().remove(&self.id);
    }
}

/// Executes a store request on behalf of a peer and sends the response back. A body that cannot be decoded is ignored;
/// without a link back to the peer the response is dropped.
pub(crate) async fn execute_for_peer(kv: KvClient, link_back: Option<PeerLink>, id: u64, body: Bytes) {
    let Ok(request) = serde_json::from_slice::<KvRequest>(&body) else { return };
    let HttpResponse { status, body } = response_for_peer(&request, kv.send(&request).await);
    if let Some(link) = link_back {
        // If the link's queue is full, the response is dropped and the peer's request times out.
        let _ = link.try_send(Frame::ForwardedResponse { id, status, body });
    }
}

/// The response for the peer: the store's own, or a status that the peer decodes as the same kind of error.
fn response_for_peer(request: &KvRequest, result: Result<HttpResponse, RequestError>) -> HttpResponse {
    let without_body = |status| HttpResponse { status, body: Bytes::new() };
    match result {
        Ok(response) if response.body.len() <= MAX_RELAYED_BODY_BYTES => response,
        // A response that does not fit into a frame counts as none. A watch is told that its revision is compacted, so
        // the peer reads the keys again.
        Ok(_) if matches!(request, KvRequest::Watch { .. }) => without_body(GONE),
        Ok(_) => without_body(NO_RESPONSE),
        Err(RequestError::NotSent | RequestError::LocalOverload) => without_body(SERVICE_UNAVAILABLE),
        Err(_) => without_body(NO_RESPONSE),
    }
}

#[cfg(test)]
mod tests;
