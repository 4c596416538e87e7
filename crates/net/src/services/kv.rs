//! Requests to the key-value store.

use crate::client::{Client, HttpResponse};
use crate::protocol;
use crate::semaphore::CallPriority;
use crate::socket_budget::SocketBudget;
use shaleshunt_core::{KvReply, KvRequest, RequestError};
use std::rc::Rc;
use std::time::Duration;

/// A client of the key-value store.
#[derive(Clone)]
pub(crate) struct KvClient {
    http: Client,
    address: Rc<str>,
    timeout: Duration,
}

impl KvClient {
    pub(crate) fn new(sockets: &SocketBudget, address: &str, timeout: Duration) -> KvClient {
        KvClient { http: Client::new(sockets, sockets.kv_requests(), timeout), address: address.into(), timeout }
    }

    /// Sends a request; the response as it came.
    pub(crate) async fn send(&self, request: &KvRequest) -> Result<HttpResponse, RequestError> {
        let encoded = protocol::kv::encode(request);
        self.http.send(encoded.call(&self.address, self.timeout(request), CallPriority::Normal)).await
    }

    /// Sends a request and reads the response.
    pub(crate) async fn execute(&self, request: &KvRequest) -> Result<KvReply, RequestError> {
        match self.send(request).await {
            // More changes than are accepted at once: to be read anew.
            Err(RequestError::ResponseTooLong) if matches!(request, KvRequest::Watch { .. }) => Ok(KvReply::Compacted),
            Err(error) => Err(error),
            Ok(response) => protocol::kv::decode(request, &response),
        }
    }

    /// Longest time to wait for the response to a request.
    pub(crate) fn timeout(&self, request: &KvRequest) -> Duration {
        self.timeout + protocol::kv::hold_time(request)
    }

    pub(crate) fn http(&self) -> &Client {
        &self.http
    }
}
