//! The state service and the cloud, served over HTTP from the stand-ins that the scenarios use.

use crate::http::{Received, Reply, json, serve};
use hyper::Method;
use shaleshunt_core::io::{CloudReply, CloudRequest};
use shaleshunt_core::{KvReply, KvRequest, RequestError};
use shaleshunt_testkit::cloud::Cloud;
use shaleshunt_testkit::state::StateService;
use shaleshunt_wire::Revision;
use shaleshunt_wire::cloud::MachineNames;
use shaleshunt_wire::kv::{LeaseGrant, LeaseRequest, TransactionReply};
use shaleshunt_wire::paths;
use shaleshunt_wire::user::Problem;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// How often leases end and watches are looked at.
const STEP: Duration = Duration::from_millis(5);

/// Open watches by number.
type Watches = Rc<RefCell<HashMap<u64, oneshot::Sender<KvReply>>>>;

/// Serves the state service.
pub fn serve_state(listener: TcpListener, state: StateService, began: Instant) {
    let state = Rc::new(RefCell::new(state));
    let watches = Watches::default();
    let numbers = Rc::new(RefCell::new(0_u64));
    spawn_state_clock(state.clone(), watches.clone(), began);
    serve(listener, move |received| {
        let (state, watches, numbers) = (state.clone(), watches.clone(), numbers.clone());
        async move {
            let Some(request) = state_request(&received) else {
                return json(400, &Problem { error: "malformed".into() });
            };
            let number = {
                let mut next = numbers.borrow_mut();
                *next += 1;
                *next
            };
            let now = began.elapsed().as_millis() as u64;
            let answer = state.borrow_mut().handle(now, (0, 0), number, request);
            match answer {
                Some(result) => state_reply(result),
                None => {
                    let (sender, receiver) = oneshot::channel();
                    watches.borrow_mut().insert(number, sender);
                    state_reply(receiver.await.map_err(|_| RequestError::Unavailable))
                }
            }
        }
    });
}

fn spawn_state_clock(state: Rc<RefCell<StateService>>, watches: Watches, began: Instant) {
    tokio::task::spawn_local(async move {
        let mut interval = tokio::time::interval(STEP);
        loop {
            interval.tick().await;
            let due = state.borrow_mut().turn(began.elapsed().as_millis() as u64);
            for (_, number, reply) in due {
                if let Some(sender) = watches.borrow_mut().remove(&number) {
                    let _ = sender.send(reply);
                }
            }
        }
    });
}

fn state_request(received: &Received) -> Option<KvRequest> {
    let path = received.path.as_str();
    let prefix = || received.parameter("prefix");
    if path == paths::KV {
        return Some(KvRequest::Scan { prefix: prefix()?, after: received.parameter("after").unwrap_or_default() });
    }
    if path == paths::WATCH {
        let number = |name| received.parameter(name).and_then(|text| text.parse().ok());
        return Some(KvRequest::Watch {
            prefix: prefix()?,
            after: Revision(number("after")?),
            hold_ms: number("holdMs")?,
        });
    }
    if path == paths::TXN {
        return serde_json::from_slice(&received.body).ok().map(KvRequest::Transaction);
    }
    if path == paths::LEASES {
        let hold: LeaseRequest = serde_json::from_slice(&received.body).ok()?;
        return Some(KvRequest::GrantLease { ttl_ms: hold.ttl_ms });
    }
    if let Some(key) = path.strip_prefix(paths::KV).and_then(|rest| rest.strip_prefix('/')) {
        return Some(KvRequest::Get { key: key.into() });
    }
    let lease = path.strip_prefix(paths::LEASES)?.strip_prefix('/')?;
    let pass = lease.split('/').next()?.parse().ok()?;
    Some(if received.method == Method::DELETE {
        KvRequest::RevokeLease { pass }
    } else {
        KvRequest::RenewLease { pass }
    })
}

fn state_reply(result: Result<KvReply, RequestError>) -> Reply {
    match result {
        Ok(KvReply::Found(pair)) => json(200, &pair),
        Ok(KvReply::Missing) => json(404, &serde_json::json!({})),
        Ok(KvReply::Page(page)) => json(200, &page),
        Ok(KvReply::Committed(revision)) => json(200, &TransactionReply { failed: Vec::new(), revision }),
        Ok(KvReply::Conflict(failed)) => json(409, &TransactionReply { failed, revision: Revision::ABSENT }),
        Ok(KvReply::LeaseGranted(pass)) => json(200, &LeaseGrant { pass }),
        Ok(KvReply::Done) => json(200, &serde_json::json!({})),
        Ok(KvReply::Changes(news)) => json(200, &news),
        Ok(KvReply::Compacted) => json(410, &serde_json::json!({})),
        Err(error) => failure(error),
    }
}

/// Serves the cloud.
pub fn serve_cloud(listener: TcpListener, cloud: Rc<RefCell<Cloud>>, began: Instant) {
    serve(listener, move |received| {
        let cloud = cloud.clone();
        async move {
            let Some(request) = cloud_request(&received) else {
                return json(400, &Problem { error: "malformed".into() });
            };
            let mut cloud = cloud.borrow_mut();
            let now = began.elapsed().as_millis() as u64;
            cloud.turn(now);
            match cloud.handle(now, request).0 {
                Ok(CloudReply::Catalog(catalog)) => json(200, &catalog),
                Ok(CloudReply::ScaledOut(machines)) => json(200, &MachineNames { machines }),
                Ok(CloudReply::NoCapacity) => json(503, &Problem { error: "no capacity".into() }),
                Ok(CloudReply::ScaledIn) => json(200, &serde_json::json!({})),
                Ok(CloudReply::MachineList(page)) => json(200, &page),
                Err(error) => failure(error),
            }
        }
    });
}

fn cloud_request(received: &Received) -> Option<CloudRequest> {
    match (received.method.clone(), received.path.as_str()) {
        (Method::GET, paths::CATALOG) => Some(CloudRequest::Catalog),
        (Method::GET, paths::MACHINES) => {
            Some(CloudRequest::List { after: received.parameter("after").unwrap_or_default() })
        }
        (Method::POST, paths::MACHINES) => serde_json::from_slice(&received.body).ok().map(CloudRequest::ScaleOut),
        (Method::POST, paths::RETURN) => {
            let names: MachineNames = serde_json::from_slice(&received.body).ok()?;
            Some(CloudRequest::ScaleIn(names.machines))
        }
        _ => None,
    }
}

fn failure(error: RequestError) -> Reply {
    let status = match error {
        RequestError::Throttled => 429,
        RequestError::Rejected(_) => 400,
        _ => 503,
    };
    json(status, &Problem { error: error.to_string() })
}
