//! The simulated key-value store, served over HTTP.

use crate::http_server::{self, Received, Reply};
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

/// How often leases end and watches are looked at.
const CLOCK_INTERVAL: Duration = Duration::from_millis(5);
/// All requests come from one process as far as the store is concerned: they are numbered here.
const ANY_PROCESS: ProcessId = ProcessId { controller: 0, incarnation: 0 };

/// The store and what waits for it.
struct StoreServer {
    store: RefCell<KeyValueStore>,
    /// Watches without an answer, by the number of their request.
    watches: RefCell<HashMap<u64, oneshot::Sender<KvReply>>>,
    last_request: Cell<u64>,
    began: Instant,
}

/// Serves the store until the process ends; its time counts from `began`.
pub fn serve(listener: TcpListener, store: KeyValueStore, began: Instant) {
    let server = Rc::new(StoreServer {
        store: RefCell::new(store),
        watches: RefCell::default(),
        last_request: Cell::new(0),
        began,
    });
    tokio::task::spawn_local(run_clock(server.clone()));
    http_server::serve(listener, move |received| {
        let server = server.clone();
        async move { server.answer(&received).await }
    });
}

/// Lets the store's time pass.
async fn run_clock(server: Rc<StoreServer>) {
    let mut interval = tokio::time::interval(CLOCK_INTERVAL);
    loop {
        interval.tick().await;
        let answers = server.store.borrow_mut().advance(server.now());
        for answer in answers {
            if let Some(sender) = server.watches.borrow_mut().remove(&answer.request.id) {
                // Whoever watched may be gone.
                let _ = sender.send(answer.reply);
            }
        }
    }
}

impl StoreServer {
    fn now(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    fn next_request(&self) -> RequestKey {
        self.last_request.set(self.last_request.get() + 1);
        RequestKey { process: ANY_PROCESS, id: self.last_request.get() }
    }

    async fn answer(&self, received: &Received) -> Reply {
        let Some(request) = request(received) else { return Reply::malformed() };
        let key = self.next_request();
        let answer = self.store.borrow_mut().handle(self.now(), key, request);
        match answer {
            Some(result) => reply(result),
            None => {
                let (sender, receiver) = oneshot::channel();
                self.watches.borrow_mut().insert(key.id, sender);
                reply(receiver.await.map_err(|_| RequestError::Unavailable))
            }
        }
    }
}

fn request(received: &Received) -> Option<KvRequest> {
    let path = received.path.as_str();
    match path {
        paths::KV => scan(received),
        paths::WATCH => watch(received),
        paths::TXN => serde_json::from_slice(&received.body).ok().map(KvRequest::Transaction),
        paths::LEASES => {
            let lease: LeaseRequest = serde_json::from_slice(&received.body).ok()?;
            Some(KvRequest::GrantLease { ttl_ms: lease.ttl_ms })
        }
        _ => get(path).or_else(|| lease_request(received, path)),
    }
}

fn scan(received: &Received) -> Option<KvRequest> {
    let after = received.parameter("after").unwrap_or_default();
    Some(KvRequest::Scan { prefix: received.parameter("prefix")?, after })
}

fn watch(received: &Received) -> Option<KvRequest> {
    let number = |name| received.parameter(name).and_then(|text| text.parse().ok());
    let prefix = received.parameter("prefix")?;
    Some(KvRequest::Watch { prefix, after: Revision(number("after")?), max_wait_ms: number("holdMs")? })
}

fn get(path: &str) -> Option<KvRequest> {
    let key = path.strip_prefix(paths::KV)?.strip_prefix('/')?;
    Some(KvRequest::Get { key: key.into() })
}

fn lease_request(received: &Received, path: &str) -> Option<KvRequest> {
    let lease = path.strip_prefix(paths::LEASES)?.strip_prefix('/')?;
    let pass = lease.split('/').next()?.parse().ok()?;
    Some(if received.method == Method::DELETE {
        KvRequest::RevokeLease { lease: pass }
    } else {
        KvRequest::RenewLease { lease: pass }
    })
}

fn reply(result: Result<KvReply, RequestError>) -> Reply {
    match result {
        Ok(KvReply::Found(pair)) => Reply::json(200, &pair),
        Ok(KvReply::Missing) => Reply::empty_object(404),
        Ok(KvReply::Page(page)) => Reply::json(200, &page),
        Ok(KvReply::Committed(revision)) => Reply::json(200, &TransactionReply { failed: Vec::new(), revision }),
        Ok(KvReply::Conflict(failed)) => Reply::json(409, &TransactionReply { failed, revision: Revision::ABSENT }),
        Ok(KvReply::LeaseGranted(pass)) => Reply::json(200, &LeaseGrant { lease: pass }),
        Ok(KvReply::Done) => Reply::empty_object(200),
        Ok(KvReply::Changes(news)) => Reply::json(200, &news),
        Ok(KvReply::Compacted) => Reply::empty_object(410),
        Err(error) => Reply::failure(&error),
    }
}
