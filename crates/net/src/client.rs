//! One kind of HTTP client for all outside services: kept connections, one request on each at a
//! time, and a clear word on whether a request may have been carried out.

use crate::permits::{Permits, Urgency};
use crate::sockets::Sockets;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::client::conn::http1::SendRequest;
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use shaleshunt_core::RequestError;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Largest answer taken.
const MAX_ANSWER: usize = 8 * 1024 * 1024;

type Sender = SendRequest<Full<Bytes>>;

/// A request to another service.
#[derive(Debug, Clone)]
pub struct Call<'a> {
    /// The service's address.
    pub address: &'a str,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: &'a str,
    /// Body, empty for none.
    pub body: Bytes,
    /// Longest time to wait for room here, and then for the answer.
    pub patience: Duration,
    /// Who goes first where some have to wait.
    pub urgency: Urgency,
}

/// A connection that is not in use, since when.
type Idle = (Instant, Sender);

/// Connections to any number of addresses.
#[derive(Clone)]
pub struct Client {
    idle: Rc<RefCell<HashMap<String, Vec<Idle>>>>,
    sockets: Sockets,
    permits: Permits,
    connect: Duration,
}

impl Client {
    /// A client that has at most `most` requests under way.
    pub fn new(sockets: &Sockets, most: usize, connect: Duration) -> Client {
        Client { idle: Rc::default(), sockets: sockets.clone(), permits: Permits::new(most), connect }
    }

    /// Sends a request; the answer's status and body.
    pub async fn send(&self, call: Call<'_>) -> Result<(u16, Bytes), RequestError> {
        let Call { address, method, path, body, patience, urgency } = call;
        let Ok(_permit) = tokio::time::timeout(patience, self.permits.acquire(urgency)).await else {
            return Err(RequestError::LocalOverload);
        };
        let mut sender = self.connection(address).await?;
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", address)
            .header("content-type", "application/json")
            .body(Full::new(body))
            .map_err(|_| RequestError::NotSent)?;
        let exchange = async {
            let answer = sender.send_request(request).await.map_err(|e| {
                // Never written: the connection had been closed before.
                if e.is_canceled() { RequestError::NotSent } else { RequestError::OutcomeUnknown }
            })?;
            let status = answer.status().as_u16();
            let body = Limited::new(answer.into_body(), MAX_ANSWER).collect().await;
            let body = body.map_err(|e| match e.downcast_ref::<LengthLimitError>() {
                Some(_) => RequestError::TooLong,
                None => RequestError::OutcomeUnknown,
            })?;
            Ok((status, body.to_bytes()))
        };
        let answer = tokio::time::timeout(patience, exchange).await.map_err(|_| RequestError::OutcomeUnknown)??;
        if !sender.is_closed() && self.sockets.roomy() {
            self.idle.borrow_mut().entry(address.to_string()).or_default().push((Instant::now(), sender));
        }
        Ok(answer)
    }

    /// Closes connections that have not been used for `age`: the other side may be long gone
    /// without a word. While sockets are scarce the oldest go first, whatever their age.
    pub fn tidy(&self, age: Duration) {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        for list in idle.values_mut() {
            list.retain(|(since, sender)| !sender.is_closed() && now.duration_since(*since) < age);
        }
        idle.retain(|_, list| !list.is_empty());
        let excess = self.sockets.excess();
        if excess > 0 {
            let mut since: Vec<Instant> = idle.values().flatten().map(|(since, _)| *since).collect();
            since.sort_unstable();
            // The oldest, as many as there are too many.
            let Some(last) = since.get(excess.min(since.len()).saturating_sub(1)).copied() else { return };
            idle.retain(|_, list| {
                list.retain(|(since, _)| *since > last);
                !list.is_empty()
            });
        }
    }

    async fn connection(&self, addr: &str) -> Result<Sender, RequestError> {
        loop {
            let kept = self.idle.borrow_mut().get_mut(addr).and_then(Vec::pop);
            let Some((_, mut sender)) = kept else { break };
            // A connection that the other side has closed is found out here, before the request.
            if !sender.is_closed() && sender.ready().await.is_ok() {
                return Ok(sender);
            }
        }
        let open = self.sockets.open();
        let stream = tokio::time::timeout(self.connect, TcpStream::connect(addr)).await;
        let stream = stream.map_err(|_| RequestError::NotSent)?.map_err(|_| RequestError::NotSent)?;
        let _ = stream.set_nodelay(true);
        let shake =
            hyper::client::conn::http1::Builder::new().max_buf_size(1024 * 1024).handshake(TokioIo::new(stream));
        let (sender, connection) = shake.await.map_err(|_| RequestError::NotSent)?;
        tokio::task::spawn_local(async move {
            let _open = open;
            let _ = connection.await;
        });
        Ok(sender)
    }
}

/// A budget of requests per second, with bursts of one second's worth.
pub struct Budget {
    rate: f64,
    left: f64,
    at: tokio::time::Instant,
}

impl Budget {
    /// A budget that is full at first.
    pub fn new(rate: f64) -> Budget {
        Budget { rate, left: rate, at: tokio::time::Instant::now() }
    }
    /// Takes one; false if there is none left.
    pub fn take(&mut self) -> bool {
        let now = tokio::time::Instant::now();
        self.left = (self.left + now.duration_since(self.at).as_secs_f64() * self.rate).min(self.rate.max(1.0));
        self.at = now;
        let ok = self.left >= 1.0;
        if ok {
            self.left -= 1.0;
        }
        ok
    }
}
