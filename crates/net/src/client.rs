//! An HTTP client for all services that a controller calls: kept connections, one request at a time on
//! each, and errors that tell whether a request may have been executed.

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

/// Largest body of a response that is accepted, in bytes.
const MAX_RESPONSE_BODY: usize = 8 * 1024 * 1024;

/// Largest buffer of a connection, in bytes.
const MAX_CONNECTION_BUFFER: usize = 1024 * 1024;

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
    /// Longest time to wait for a permit, and then again for the response.
    pub timeout: Duration,
    /// Who goes first where some have to wait.
    pub priority: CallPriority,
}

/// A service's response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpResponse {
    /// HTTP status.
    pub status: u16,
    /// Body, empty for none.
    pub body: Bytes,
}

/// A connection that is not in use.
struct IdleConnection {
    since: Instant,
    sender: Sender,
}

/// Connections to any number of addresses, shared by clones.
#[derive(Clone)]
pub struct Client {
    idle: Rc<RefCell<HashMap<String, Vec<IdleConnection>>>>,
    sockets: SocketBudget,
    permits: PrioritySemaphore,
    connect_timeout: Duration,
}

impl Client {
    /// A client that executes at most `max_calls` calls at the same time.
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
    /// - [`RequestError::LocalOverload`]: no permit within the timeout;
    /// - [`RequestError::NotSent`]: no connection, so the request was surely not executed;
    /// - [`RequestError::OutcomeUnknown`]: no complete response, so the request may have been executed;
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
        self.keep(address, sender);
        Ok(response)
    }

    /// Closes connections that have not been used for `max_idle`: the other side may be long gone without
    /// a word. While sockets are scarce the oldest are closed first, whatever their age.
    pub fn close_idle(&self, max_idle: Duration) {
        let now = Instant::now();
        self.retain_idle(|connection| {
            !connection.sender.is_closed() && now.duration_since(connection.since) < max_idle
        });
        let excess = self.sockets.excess();
        if excess > 0 {
            self.close_oldest(excess);
        }
    }

    /// Closes `count` idle connections, or all if there are fewer.
    fn close_oldest(&self, count: usize) {
        let mut since: Vec<Instant> = self.idle.borrow().values().flatten().map(|idle| idle.since).collect();
        since.sort_unstable();
        let newest_to_close = since.get(count.min(since.len()).saturating_sub(1)).copied();
        if let Some(newest_to_close) = newest_to_close {
            self.retain_idle(|connection| connection.since > newest_to_close);
        }
    }

    fn retain_idle(&self, keep: impl Fn(&IdleConnection) -> bool) {
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(&keep);
            !connections.is_empty()
        });
    }

    /// Keeps a connection for the next request, unless sockets are scarce.
    fn keep(&self, address: &str, sender: Sender) {
        if sender.is_closed() || !self.sockets.has_room() {
            return;
        }
        let connection = IdleConnection { since: Instant::now(), sender };
        self.idle.borrow_mut().entry(address.to_string()).or_default().push(connection);
    }

    /// A kept connection that still works, or a new one.
    async fn connection(&self, address: &str) -> Result<Sender, RequestError> {
        while let Some(mut kept) = self.take_idle(address) {
            // A connection that the other side has closed is found out here, before the request.
            if !kept.sender.is_closed() && kept.sender.ready().await.is_ok() {
                return Ok(kept.sender);
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
        // Only a matter of speed.
        let _ = stream.set_nodelay(true);
        let (sender, connection) = hyper::client::conn::http1::Builder::new()
            .max_buf_size(MAX_CONNECTION_BUFFER)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|_| RequestError::NotSent)?;
        // Ends, and gives the socket back, when the sender is dropped or the other side closes.
        tokio::task::spawn_local(async move {
            let _socket = socket;
            // Errors reach the caller through its sender.
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
        // Never written: the connection had been closed before.
        if error.is_canceled() { RequestError::NotSent } else { RequestError::OutcomeUnknown }
    })?;
    let status = response.status().as_u16();
    let body = read_body(response).await?;
    Ok(HttpResponse { status, body })
}

async fn read_body(response: Response<Incoming>) -> Result<Bytes, RequestError> {
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BODY).collect().await;
    match body {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(RequestError::ResponseTooLong),
        Err(_) => Err(RequestError::OutcomeUnknown),
    }
}
