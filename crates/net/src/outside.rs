//! The state service, the cloud and workers over HTTP: how requests are written and answers read.

use crate::permits::Urgency;
use bytes::Bytes;
use hyper::Method;
use serde::de::DeserializeOwned;
use shaleshunt_core::io::{CloudReply, CloudRequest, OrdersReply};
use shaleshunt_core::{IoError, StateReply, StateRequest};
use shaleshunt_wire::cloud::{Catalog, ListPage, MachineNames};
use shaleshunt_wire::state::{Hold, NewHold, News, Page, Pair, TxnReply};
use shaleshunt_wire::user::Problem;
use shaleshunt_wire::worker::{Order, Orders, Report};
use shaleshunt_wire::{MAX_LIST, paths};

fn json<T: serde::Serialize>(value: &T) -> Bytes {
    serde_json::to_vec(value).map(Bytes::from).unwrap_or_default()
}

fn read<T: DeserializeOwned>(body: &[u8]) -> Result<T, IoError> {
    serde_json::from_slice(body).map_err(|_| IoError::Senseless)
}

fn query(text: &str) -> String {
    text.bytes()
        .map(|b| match b {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'_' | b'.' | b'/' => (b as char).to_string(),
            _ => format!("%{b:02X}"),
        })
        .collect()
}

/// How much direct commands to a worker matter.
pub fn orders_urgency(orders: &Orders) -> Urgency {
    let stops = |order: &Order| matches!(order, Order::Halt { .. });
    match orders.orders.as_slice() {
        [] => Urgency::Question,
        orders if orders.iter().any(stops) => Urgency::Stop,
        _ => Urgency::Normal,
    }
}

/// How a request to the state service is written.
pub fn state_request(request: &StateRequest) -> (Method, String, Bytes) {
    match request {
        StateRequest::Get { key } => (Method::GET, format!("{}/{}", paths::KV, key), Bytes::new()),
        StateRequest::Scan { prefix, after } => {
            let after = if after.is_empty() { String::new() } else { format!("&after={}", query(after)) };
            (Method::GET, format!("{}?prefix={}{after}&most=1000", paths::KV, query(prefix)), Bytes::new())
        }
        StateRequest::Txn(txn) => (Method::POST, paths::TXN.into(), json(txn)),
        StateRequest::NewHold { life_ms } => (Method::POST, paths::HOLDS.into(), json(&NewHold { life_ms: *life_ms })),
        StateRequest::Renew { pass } => {
            (Method::POST, format!("{}/{pass}/{}", paths::HOLDS, paths::RENEW), Bytes::from_static(b"{}"))
        }
        StateRequest::EndHold { pass } => (Method::DELETE, format!("{}/{pass}", paths::HOLDS), Bytes::new()),
        StateRequest::Watch { prefix, after, hold_ms } => {
            let path = format!("{}?prefix={}&after={after}&holdMs={hold_ms}", paths::WATCH, query(prefix));
            (Method::GET, path, Bytes::new())
        }
    }
}

/// What an answer of the state service means.
pub fn state_reply(request: &StateRequest, status: u16, body: &[u8]) -> Result<StateReply, IoError> {
    match status {
        0 => return Err(IoError::Unknown),
        429 => return Err(IoError::Throttled),
        503 => return Err(IoError::Refused),
        500..=599 => return Err(IoError::Unknown),
        400 => return Err(IoError::Rejected(problem(body))),
        _ => {}
    }
    match (request, status) {
        (StateRequest::Get { .. }, 200) => read::<Pair>(body).map(StateReply::Found),
        (StateRequest::Scan { .. }, 200) => read::<Page>(body).map(StateReply::Page),
        (StateRequest::Txn(_), 200) => read::<TxnReply>(body).map(|r| StateReply::Committed(r.ledger)),
        (StateRequest::Txn(_), 409) => read::<TxnReply>(body).map(|r| StateReply::Conflict(r.failed)),
        (StateRequest::NewHold { .. }, 200) => read::<Hold>(body).map(|h| StateReply::Hold(h.pass)),
        (StateRequest::Renew { .. } | StateRequest::EndHold { .. }, 200 | 204) => Ok(StateReply::Fine),
        (StateRequest::Watch { .. }, 200) => read::<News>(body).map(StateReply::News),
        (StateRequest::Watch { .. }, 410) => Ok(StateReply::TooOld),
        (_, 404) => Ok(StateReply::Missing),
        _ => Err(IoError::Senseless),
    }
}

/// How a request to the cloud is written.
pub fn cloud_request(request: &CloudRequest) -> (Method, String, Bytes) {
    match request {
        CloudRequest::Catalog => (Method::GET, paths::CATALOG.into(), Bytes::new()),
        CloudRequest::Hire(hire) => (Method::POST, paths::MACHINES.into(), json(hire)),
        CloudRequest::Return(machines) => {
            (Method::POST, paths::RETURN.into(), json(&MachineNames { machines: machines.clone() }))
        }
        CloudRequest::List { after } => {
            let after = if after.is_empty() { String::new() } else { format!("after={}&", query(after)) };
            (Method::GET, format!("{}?{after}most={MAX_LIST}", paths::MACHINES), Bytes::new())
        }
    }
}

/// What an answer of the cloud means.
pub fn cloud_reply(request: &CloudRequest, status: u16, body: &[u8]) -> Result<CloudReply, IoError> {
    match (request, status) {
        (CloudRequest::Hire(_), 503) if problem(body) == "no capacity" => Ok(CloudReply::NoCapacity),
        (_, 429) => Err(IoError::Throttled),
        (_, 503) => Err(IoError::Refused),
        (_, 400..=499) => Err(IoError::Rejected(problem(body))),
        (CloudRequest::Catalog, 200) => read::<Catalog>(body).map(CloudReply::Catalog),
        (CloudRequest::Hire(_), 200) => read::<MachineNames>(body).map(|l| CloudReply::Hired(l.machines)),
        (CloudRequest::Return(_), 200) => Ok(CloudReply::Returned),
        (CloudRequest::List { .. }, 200) => read::<ListPage>(body).map(CloudReply::Page),
        _ => Err(IoError::Unknown),
    }
}

/// What a worker's answer to direct commands means.
pub fn orders_reply(status: u16, body: &[u8]) -> Result<OrdersReply, IoError> {
    let report = || Report::parse(body).ok_or(IoError::Unknown);
    match status {
        200 => report().map(OrdersReply::Executed),
        409 => report().map(OrdersReply::Outdated),
        400 => Err(IoError::Rejected(problem(body))),
        _ => Err(IoError::Unknown),
    }
}

fn problem(body: &[u8]) -> String {
    read::<Problem>(body).map_or_else(|_| "no reason given".into(), |p| p.error)
}
