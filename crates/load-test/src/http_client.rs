//! HTTP requests of simulated agents and users to controllers.

use bytes::Bytes;
use hyper::Method;
use shaleshunt_net::client::{Call, Client};
use shaleshunt_net::semaphore::CallPriority;
use shaleshunt_net::socket_budget::SocketBudget;
use std::time::Duration;

/// Most sockets that a client may have open, far more than it needs with one call at a time.
const MAX_SOCKETS_PER_CLIENT: usize = 64;
/// Most calls of a client at the same time: an agent or a user waits for each response before its next request.
const MAX_CONCURRENT_CALLS: usize = 1;

/// Creates a client. Each agent and user has its own, as in production, so that they share no connections.
pub fn new_client(connect_timeout: Duration) -> Client {
    Client::new(&SocketBudget::new(MAX_SOCKETS_PER_CLIENT), MAX_CONCURRENT_CALLS, connect_timeout)
}

/// Creates a request with normal priority.
pub fn new_call<'a>(address: &'a str, method: Method, path: &'a str, body: Bytes, timeout: Duration) -> Call<'a> {
    Call { address, method, path, body, timeout, priority: CallPriority::Normal }
}
