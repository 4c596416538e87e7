//! The HTTP client for the services that a controller calls. It pools connections, sends one request at a time on each,
//! and its errors tell whether a request may have been executed.

use crate::semaphore::{CallPriority, PrioritySemaphore};
use crate::socket_budget::SocketBudget;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use shaleshunt_core::RequestError;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// A response with a larger body is an error.
const MAX_RESPONSE_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Limit of a connection's buffer.
const MAX_CONNECTION_BUFFER_BYTES: usize = 1024 * 1024;

type Sender = SendRequest<Full<Bytes>>;

/// A request to another service.
#[derive(Debug, Clone)]
pub struct Call<'a> {
    /// The service's `host:port`.
    pub address: &'a str,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: &'a str,
    /// Body, empty for none.
    pub body: Bytes,
    /// Timeout for the wait for a permit, and again for the response.
    pub timeout: Duration,
    /// Order among calls that wait for a permit.
    pub priority: CallPriority,
}

/// A service's response, of any status.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpResponse {
    /// HTTP status.
    pub status: u16,
    /// Body, empty for none.
    pub body: Bytes,
}

/// A pooled connection without a request in flight.
struct IdleConnection {
    idle_since: Instant,
    sender: Sender,
}

/// A client with a connection pool for any number of addresses. Clones share the pool and the limits.
#[derive(Clone)]
pub struct Client {
    idle: Rc<RefCell<HashMap<String, Vec<IdleConnection>>>>,
    sockets: SocketBudget,
    permits: PrioritySemaphore,
    connect_timeout: Duration,
}

impl Client {
    /// A client with at most `max_calls` calls in flight. `connect_timeout` is in addition to a call's own timeout.
    pub fn new(sockets: &SocketBudget, max_calls: usize, connect_timeout: Duration) -> Client {
        Client {
            idle: Rc::default(),
            sockets: sockets.clone(),
            permits: PrioritySemaphore::new(max_calls),
            connect_timeout,
        }
    }

    /// Sends a request and waits for the response, whatever its status.
    ///
    /// # Errors
    ///
    /// - [`RequestError::LocalOverload`]: no permit became available within the timeout;
    /// - [`RequestError::NotSent`]: there was no connection, so the request was certainly not executed;
    /// - [`RequestError::OutcomeUnknown`]: no complete response arrived, so the request may have been executed;
    /// - [`RequestError::ResponseTooLong`]: the response's body is larger than 8 MiB.
    pub async fn send(&self, call: Call<'_>) -> Result<HttpResponse, RequestError> {
        let timeout = call.timeout;
        let acquire = self.permits.acquire(call.priority);
        let _permit = tokio::time::timeout(timeout, acquire).await.map_err(|_| RequestError::LocalOverload)?;
        let mut sender = self.connection(call.address).await?;
        let address = call.address;
        let request = build_request(call)?;
        let exchange = exchange(&mut sender, request);
        let response = tokio::time::timeout(timeout, exchange).await.map_err(|_| RequestError::OutcomeUnknown)??;
        self.return_to_pool(address, sender);
        Ok(response)
    }

    /// Closes connections that have been idle for `max_idle`, because the other side may be gone without having closed
    /// them. While too many sockets are open, further connections are closed, those idle for longest first.
    pub fn close_idle(&self, max_idle: Duration) {
        let now = Instant::now();
        self.retain_idle(|connection| {
            !connection.sender.is_closed() && now.duration_since(connection.idle_since) < max_idle
        });
        let excess = self.sockets.excess();
        if excess > 0 {
            self.close_oldest(excess);
        }
    }

    /// Closes the `count` connections that have been idle for longest, or all if there are fewer.
    fn close_oldest(&self, count: usize) {
        let mut idle_since: Vec<Instant> = self.idle.borrow().values().flatten().map(|idle| idle.idle_since).collect();
        idle_since.sort_unstable();
        let newest_to_close = idle_since.get(count.min(idle_since.len()).saturating_sub(1)).copied();
        if let Some(newest_to_close) = newest_to_close {
            self.retain_idle(|connection| connection.idle_since > newest_to_close);
        }
    }

    fn retain_idle(&self, keep: impl Fn(&IdleConnection) -> bool) {
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(&keep);
            !connections.is_empty()
        });
    }

    /// Returns a connection to the pool, or closes it while too many sockets are open.
    fn return_to_pool(&self, address: &str, sender: Sender) {
        if sender.is_closed() || !self.sockets.has_room() {
            return;
        }
        let connection = IdleConnection { idle_since: Instant::now(), sender };
        self.idle.borrow_mut().entry(address.to_string()).or_default().push(connection);
    }

    /// A pooled connection that is still open, or a new one.
    async fn connection(&self, address: &str) -> Result<Sender, RequestError> {
        while let Some(mut pooled) = self.take_idle(address) {
            // Detects a connection that the other side has closed before the request is written to it.
            if !pooled.sender.is_closed() && pooled.sender.ready().await.is_ok() {
                return Ok(pooled.sender);
            }
        }
        self.connect(address).await
    }

    fn take_idle(&self, address: &str) -> Option<IdleConnection> {
        self.idle.borrow_mut().get_mut(address)?.pop()
    }

    async fn connect(&self, address: &str) -> Result<Sender, RequestError> {
        let socket = self.sockets.open();
        let connect = tokio::time::timeout(self.connect_timeout, TcpStream::connect(address));
        let stream = connect.await.map_err(|_| RequestError::NotSent)?.map_err(|_| RequestError::NotSent)?;
        // Without TCP_NODELAY requests are only delayed, so a failure is ignored.
        let _ = stream.set_nodelay(true);
        let (sender, connection) = hyper::client::conn::http1::Builder::new()
            .max_buf_size(MAX_CONNECTION_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|_| RequestError::NotSent)?;
        // The task ends, and releases the socket, when the sender is dropped or the other side closes the connection.
        tokio::task::spawn_local(async move {
            let _socket = socket;
            // Errors of the connection reach the caller through the sender.
            let _ = connection.await;
        });
        Ok(sender)
    }
}

fn build_request(call: Call<'_>) -> Result<Request<Full<Bytes>>, RequestError> {
    Request::builder()
        .method(call.method)
        .uri(call.path)
        .header("host", call.address)
        .header("content-type", "application/json")
        .body(Full::new(call.body))
        .map_err(|_| RequestError::NotSent)
}

async fn exchange(sender: &mut Sender, request: Request<Full<Bytes>>) -> Result<HttpResponse, RequestError> {
    let response = sender.send_request(request).await.map_err(|error| {
        // A cancelled request was never written, because the connection was already closed.
        if error.is_canceled() { RequestError::NotSent } else { RequestError::OutcomeUnknown }
    })?;
    let status = response.status().as_u16();
    let body = read_body(response).await?;
    Ok(HttpResponse { status, body })
}

async fn read_body(response: Response<Incoming>) -> Result<Bytes, RequestError> {
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BODY_BYTES).collect().await;
    match body {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(RequestError::ResponseTooLong),
        Err(_) => Err(RequestError::OutcomeUnknown),
    }
}
