//! Requests to outside services that wait for a reply.
//!
//! Each request carries a typed value that names the subsystem and the step to resume with the reply. A reply
//! that matches no registered request (a duplicate, for example) is ignored.

use super::batch_time::BatchTime;
use super::election_request::ElectionRequest;
use crate::api::ApiRequest;
use crate::io::RequestId;
use crate::leader::LeaderRequest;
use shaleshunt_wire::Epoch;
use std::collections::HashMap;

/// Who gets the reply to a request.
#[derive(Debug)]
pub(crate) enum PendingRequest {
    /// A user's request.
    Api(ApiRequest),
    /// A step of leader election.
    Election(ElectionRequest),
    /// The leader of this epoch; a reply that comes in another epoch is dropped.
    Leader(Epoch, LeaderRequest),
    /// A read of the catalog of machine types.
    Catalog,
    /// Nobody: the request needs no reply.
    Ignored,
}

/// A request together with the batch in which it was sent.
#[derive(Debug)]
pub(crate) struct SentRequest {
    /// Who gets the reply.
    pub request: PendingRequest,
    /// When it was sent.
    pub sent: BatchTime,
}

/// All requests without a reply so far, by identifier.
#[derive(Debug, Default)]
pub(crate) struct PendingRequests {
    last_id: RequestId,
    by_id: HashMap<RequestId, SentRequest>,
}

impl PendingRequests {
    /// Registers a request under a new identifier.
    pub fn register(&mut self, request: PendingRequest, sent: BatchTime) -> RequestId {
        self.last_id += 1;
        self.by_id.insert(self.last_id, SentRequest { request, sent });
        self.last_id
    }

    /// Removes the request that a reply belongs to.
    pub fn complete(&mut self, id: RequestId) -> Option<SentRequest> {
        self.by_id.remove(&id)
    }
}
