//! The client of the key-value store.

use crate::client::{Client, HttpResponse};
use crate::protocol;
use crate::semaphore::CallPriority;
use crate::socket_budget::SocketBudget;
use shaleshunt_core::{KvReply, KvRequest, RequestError};
use std::rc::Rc;
use std::time::Duration;

/// Sends requests to the key-value store.
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

    /// Sends a request and returns the response without decoding it.
    pub(crate) async fn send(&self, request: &KvRequest) -> Result<HttpResponse, RequestError> {
        let encoded = protocol::kv::encode(request);
        self.http.send(encoded.call(&self.address, self.timeout(request), CallPriority::Normal)).await
    }

    /// Sends a request and decodes the response.
    pub(crate) async fn execute(&self, request: &KvRequest) -> Result<KvReply, RequestError> {
        match self.send(request).await {
            // More changes than one response may hold: the watched keys have to be read again.
            Err(RequestError::ResponseTooLong) if matches!(request, KvRequest::Watch { .. }) => Ok(KvReply::Compacted),
            Err(error) => Err(error),
            Ok(response) => protocol::kv::decode(request, &response),
        }
    }

    /// Timeout of a request, which for a watch includes the time that the store waits for a change.
    pub(crate) fn timeout(&self, request: &KvRequest) -> Duration {
        self.timeout + protocol::kv::max_wait(request)
    }

    pub(crate) fn http(&self) -> &Client {
        &self.http
    }
}
