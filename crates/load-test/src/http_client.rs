//! Requests of the stand-ins to controllers.

use bytes::Bytes;
use hyper::Method;
use shaleshunt_net::client::{Call, Client};
use shaleshunt_net::semaphore::CallPriority;
use shaleshunt_net::socket_budget::SocketBudget;
use std::time::Duration;

/// Sockets that a stand-in's client may have open: many more than it needs.
const SOCKETS: usize = 64;
/// Connections that it keeps to an address.
const CONNECTIONS: usize = 1;

/// A client of its own for each machine and user, as in real life.
pub fn new_client(connect_timeout: Duration) -> Client {
    Client::new(&SocketBudget::new(SOCKETS), CONNECTIONS, connect_timeout)
}

/// A request of a stand-in.
pub fn call<'a>(address: &'a str, method: Method, path: &'a str, body: Bytes, timeout: Duration) -> Call<'a> {
    Call { address, method, path, body, timeout, priority: CallPriority::Normal }
}
