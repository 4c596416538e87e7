//! Requests to the key-value store, the cloud and agents that wait for a reply.
//!
//! Each pending request holds a typed value that names the subsystem and the step that continues with the reply. A
//! reply that matches no pending request, such as a duplicate, is ignored.

use super::batch_time::BatchTime;
use super::election_request::ElectionRequest;
use crate::api::ApiRequest;
use crate::io::RequestId;
use crate::leader::LeaderRequest;
use shaleshunt_wire::Epoch;
use std::collections::HashMap;

/// The recipient of the reply to a request.
#[derive(Debug)]
pub(crate) enum PendingRequest {
    /// A user's request.
    Api(ApiRequest),
    /// A step of leader election.
    Election(ElectionRequest),
    /// The leader of this epoch. A reply that arrives in another epoch is dropped.
    Leader(Epoch, LeaderRequest),
    /// A read of the catalog of machine types.
    Catalog,
    /// A probe of the direct route to the key-value store while a relay is in use.
    KvRouteProbe,
    /// None: the reply is ignored.
    Ignored,
}

/// A request together with the batch in which it was sent.
#[derive(Debug)]
pub(crate) struct SentRequest {
    /// The recipient of the reply.
    pub request: PendingRequest,
    /// The batch in which the request was sent.
    pub sent_at: BatchTime,
}

/// All requests in flight, by identifier.
#[derive(Debug, Default)]
pub(crate) struct PendingRequests {
    /// Identifier of the last registered request; 0 if there was none.
    last_id: RequestId,
    by_id: HashMap<RequestId, SentRequest>,
}

impl PendingRequests {
    /// Registers a request; returns its new identifier.
    pub fn register(&mut self, request: PendingRequest, sent_at: BatchTime) -> RequestId {
        self.last_id += 1;
        self.by_id.insert(self.last_id, SentRequest { request, sent_at });
        self.last_id
    }

    /// Removes and returns the request that a reply belongs to; `None` if no such request is pending.
    pub fn complete(&mut self, id: RequestId) -> Option<SentRequest> {
        self.by_id.remove(&id)
    }
}
