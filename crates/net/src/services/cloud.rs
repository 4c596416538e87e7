//! Requests to the cloud.

use crate::client::Client;
use crate::protocol;
use crate::rate_limiter::RateLimiter;
use crate::semaphore::CallPriority;
use crate::socket_budget::SocketBudget;
use shaleshunt_core::RequestError;
use shaleshunt_core::io::{CloudReply, CloudRequest};
use std::rc::Rc;
use std::time::Duration;

/// Share of the cloud's request rate that is used, so that its clock and ours may differ.
const RATE_SHARE: f64 = 0.9;
/// The cloud has so many times the timeout of other services.
const TIMEOUT_FACTOR: u32 = 3;

/// A client of the cloud, which stays below the rate that the cloud allows.
pub(crate) struct CloudClient {
    http: Client,
    address: Rc<str>,
    timeout: Duration,
    rate_limiter: RateLimiter,
}

impl CloudClient {
    pub(crate) fn new(sockets: &SocketBudget, address: &str, timeout: Duration, per_second: f64) -> CloudClient {
        CloudClient {
            http: Client::new(sockets, sockets.cloud_requests(), timeout),
            address: address.into(),
            timeout: timeout * TIMEOUT_FACTOR,
            rate_limiter: RateLimiter::new(per_second * RATE_SHARE),
        }
    }

    /// Counts a request against the rate now; the future sends it and reads the response.
    pub(crate) fn execute(
        &mut self,
        request: CloudRequest,
    ) -> impl Future<Output = Result<CloudReply, RequestError>> + 'static {
        let is_allowed = self.rate_limiter.try_acquire();
        let (http, address, timeout) = (self.http.clone(), self.address.clone(), self.timeout);
        async move {
            if !is_allowed {
                return Err(RequestError::Throttled);
            }
            let encoded = protocol::cloud::encode(&request);
            let response = http.send(encoded.call(&address, timeout, CallPriority::Normal)).await?;
            protocol::cloud::decode(&request, &response)
        }
    }

    pub(crate) fn http(&self) -> &Client {
        &self.http
    }
}
