//! Serves the simulated key-value store over HTTP.

use crate::http_server::{self, ReceivedRequest, Reply};
use hyper::Method;
use shaleshunt_core::{KvReply, KvRequest, RequestError};
use shaleshunt_simulation::process::ProcessId;
use shaleshunt_simulation::store::{KeyValueStore, RequestKey};
use shaleshunt_wire::kv::{LeaseGrant, LeaseRequest, TransactionReply};
use shaleshunt_wire::{Revision, paths};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Interval at which the store's time advances: leases expire and watches are answered.
const TICK_INTERVAL: Duration = Duration::from_millis(5);
/// Sender of all requests as the store sees them; this server numbers them, so the sender need not be distinguished.
const SENDER: ProcessId = ProcessId { controller: 0, incarnation: 0 };

/// The store and the requests that wait for it.
struct StoreServer {
    store: RefCell<KeyValueStore>,
    /// Senders for the answers to waiting watches, by request id.
    waiting_watches: RefCell<HashMap<u64, oneshot::Sender<KvReply>>>,
    last_request_id: Cell<u64>,
    started_at: Instant,
}

/// Serves the store until the process ends; the store's time counts from `started_at`.
pub fn serve(listener: TcpListener, store: KeyValueStore, started_at: Instant) {
    let server = Rc::new(StoreServer {
        store: RefCell::new(store),
        waiting_watches: RefCell::default(),
        last_request_id: Cell::new(0),
        started_at,
    });
    tokio::task::spawn_local(run_ticks(server.clone()));
    http_server::serve(listener, move |received| {
        let server = server.clone();
        async move { server.answer(&received).await }
    });
}

/// Advances the store's time and answers watches, for ever.
async fn run_ticks(server: Rc<StoreServer>) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    loop {
        interval.tick().await;
        let answers = server.store.borrow_mut().advance(server.elapsed_ms());
        for answer in answers {
            if let Some(sender) = server.waiting_watches.borrow_mut().remove(&answer.request.id) {
                // The client may have disconnected, which drops the receiver.
                let _ = sender.send(answer.reply);
            }
        }
    }
}

impl StoreServer {
    fn elapsed_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    fn next_request_key(&self) -> RequestKey {
        self.last_request_id.set(self.last_request_id.get() + 1);
        RequestKey { process: SENDER, id: self.last_request_id.get() }
    }

    async fn answer(&self, received: &ReceivedRequest) -> Reply {
        let Some(request) = parse_request(received) else { return Reply::malformed() };
        let key = self.next_request_key();
        let answer = self.store.borrow_mut().handle(self.elapsed_ms(), key, request);
        match answer {
            Some(result) => to_reply(result),
            None => {
                let (sender, receiver) = oneshot::channel();
                self.waiting_watches.borrow_mut().insert(key.id, sender);
                to_reply(receiver.await.map_err(|_| RequestError::Unavailable))
            }
        }
    }
}

fn parse_request(received: &ReceivedRequest) -> Option<KvRequest> {
    let path = received.path.as_str();
    match path {
        paths::KV => parse_scan(received),
        paths::WATCH => parse_watch(received),
        paths::TXN => serde_json::from_slice(&received.body).ok().map(KvRequest::Transaction),
        paths::LEASES => {
            let lease: LeaseRequest = serde_json::from_slice(&received.body).ok()?;
            Some(KvRequest::GrantLease { ttl_ms: lease.ttl_ms })
        }
        _ => parse_get(path).or_else(|| parse_lease_request(received, path)),
    }
}

fn parse_scan(received: &ReceivedRequest) -> Option<KvRequest> {
    let after = received.query_parameter("after").unwrap_or_default();
    Some(KvRequest::Scan { prefix: received.query_parameter("prefix")?, after })
}

fn parse_watch(received: &ReceivedRequest) -> Option<KvRequest> {
    let number = |name| received.query_parameter(name).and_then(|text| text.parse().ok());
    let prefix = received.query_parameter("prefix")?;
    Some(KvRequest::Watch { prefix, after: Revision(number("after")?), max_wait_ms: number("holdMs")? })
}

fn parse_get(path: &str) -> Option<KvRequest> {
    let key = path.strip_prefix(paths::KV)?.strip_prefix('/')?;
    Some(KvRequest::Get { key: key.into() })
}

fn parse_lease_request(received: &ReceivedRequest, path: &str) -> Option<KvRequest> {
    let lease_path = path.strip_prefix(paths::LEASES)?.strip_prefix('/')?;
    let lease = lease_path.split('/').next()?.parse().ok()?;
    Some(if received.method == Method::DELETE {
        KvRequest::RevokeLease { lease }
    } else {
        KvRequest::RenewLease { lease }
    })
}

fn to_reply(result: Result<KvReply, RequestError>) -> Reply {
    match result {
        Ok(KvReply::Found(pair)) => Reply::json(200, &pair),
        Ok(KvReply::Missing) => Reply::empty_object(404),
        Ok(KvReply::Page(page)) => Reply::json(200, &page),
        Ok(KvReply::Committed(revision)) => Reply::json(200, &TransactionReply { failed: Vec::new(), revision }),
        Ok(KvReply::Conflict(failed)) => Reply::json(409, &TransactionReply { failed, revision: Revision::ABSENT }),
        Ok(KvReply::LeaseGranted(lease)) => Reply::json(200, &LeaseGrant { lease }),
        Ok(KvReply::Done) => Reply::empty_object(200),
        Ok(KvReply::Changes(changes)) => Reply::json(200, &changes),
        Ok(KvReply::Compacted) => Reply::empty_object(410),
        Err(error) => Reply::failure(&error),
    }
}
