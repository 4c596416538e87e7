//! Requests to the key-value store that pass through another controller, while the store refuses or does
//! not reach only one of them.

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

/// Bytes of a frame around the body of a response, with room to spare.
const FRAME_OVERHEAD_BYTES: usize = 1024;
/// Largest body of a response that is sent back to a peer.
const MAX_RELAYED_BODY_BYTES: usize = shaleshunt_peer::MAX_FRAME_BYTES - FRAME_OVERHEAD_BYTES;

type Responders = Rc<RefCell<HashMap<u64, oneshot::Sender<HttpResponse>>>>;

/// This controller's requests that peers have been asked to forward.
pub(crate) struct RelayedRequests {
    last_id: u64,
    responders: Responders,
}

impl RelayedRequests {
    pub(crate) fn new() -> RelayedRequests {
        // Numbers begin anywhere, so that a response to an earlier process, which may come just after a
        // restart, is not taken for one to this process.
        RelayedRequests { last_id: rand::random(), responders: Rc::default() }
    }

    /// A number for a request that is about to be sent.
    pub(crate) fn next(&mut self) -> RelayedRequest {
        self.last_id = self.last_id.wrapping_add(1);
        RelayedRequest { id: self.last_id, responders: self.responders.clone() }
    }

    /// Takes a peer's response to a request; one that nobody waits for any longer is ignored.
    pub(crate) fn respond(&self, id: u64, response: HttpResponse) {
        if let Some(responder) = self.responders.borrow_mut().remove(&id) {
            let _ = responder.send(response);
        }
    }
}

/// A numbered request; forgotten when dropped.
pub(crate) struct RelayedRequest {
    id: u64,
    responders: Responders,
}

impl RelayedRequest {
    /// Sends a request through a peer and waits for the response.
    ///
    /// # Errors
    ///
    /// As [`protocol::kv::decode`]; also if the link is congested or no response comes in time.
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

/// Executes a request that a peer asked to forward. A body that is no request is ignored, and so is the
/// response if there is no link back to the peer.
pub(crate) async fn execute_for_peer(kv: KvClient, link_back: Option<PeerLink>, id: u64, body: Bytes) {
    let Ok(request) = serde_json::from_slice::<KvRequest>(&body) else { return };
    let HttpResponse { status, body } = response_for_peer(&request, kv.send(&request).await);
    if let Some(link) = link_back {
        // What the link does not accept is lost, as in a network; the peer's request times out.
        let _ = link.try_send(Frame::ForwardedResponse { id, status, body });
    }
}

/// What the peer is told: the store's response, or a status that it understands the same way as the error.
fn response_for_peer(request: &KvRequest, result: Result<HttpResponse, RequestError>) -> HttpResponse {
    let without_body = |status| HttpResponse { status, body: Bytes::new() };
    match result {
        Ok(response) if response.body.len() <= MAX_RELAYED_BODY_BYTES => response,
        // A response that no frame can hold is none. To a watch it means to read anew.
        Ok(_) if matches!(request, KvRequest::Watch { .. }) => without_body(GONE),
        Ok(_) => without_body(NO_RESPONSE),
        Err(RequestError::NotSent | RequestError::LocalOverload) => without_body(SERVICE_UNAVAILABLE),
        Err(_) => without_body(NO_RESPONSE),
    }
}

#[cfg(test)]
mod tests;
