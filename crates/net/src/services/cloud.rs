//! The client of the cloud.

use crate::client::Client;
use crate::protocol;
use crate::rate_limiter::RateLimiter;
use crate::semaphore::CallPriority;
use crate::socket_budget::SocketBudget;
use shaleshunt_core::RequestError;
use shaleshunt_core::io::{CloudReply, CloudRequest};
use std::rc::Rc;
use std::time::Duration;

/// Fraction of the cloud's rate limit that is used. The rest allows for the difference between the cloud's clock and
/// the local one.
const USED_RATE_FRACTION: f64 = 0.9;
/// Timeout of the cloud, as a multiple of the timeout of other services.
const TIMEOUT_MULTIPLE: u32 = 3;

/// Sends requests to the cloud, below the cloud's rate limit.
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
            timeout: timeout * TIMEOUT_MULTIPLE,
            rate_limiter: RateLimiter::new(per_second * USED_RATE_FRACTION),
        }
    }

    /// Counts a request against the rate limit at once. The returned future sends the request and decodes the response,
    /// or fails with [`RequestError::Throttled`] if the limit was reached.
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
