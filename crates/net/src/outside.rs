//! The state service, the cloud and workers over HTTP: how requests are written and answers read.

use crate::permits::Urgency;
use bytes::Bytes;
use hyper::Method;
use serde::de::DeserializeOwned;
use shaleshunt_core::io::{CloudReply, CloudRequest, DirectCommandsReply};
use shaleshunt_core::{KvReply, KvRequest, RequestError};
use shaleshunt_wire::cloud::{Catalog, ListPage, MachineNames};
use shaleshunt_wire::kv::{KeyValue, LeaseGrant, LeaseRequest, Page, TransactionReply, WatchReply};
use shaleshunt_wire::user::Problem;
use shaleshunt_wire::worker::{DirectCommands, Heartbeat, TaskCommand};
use shaleshunt_wire::{MAX_MACHINES_PER_PAGE, paths};

fn json<T: serde::Serialize>(value: &T) -> Bytes {
    serde_json::to_vec(value).map(Bytes::from).unwrap_or_default()
}

fn read<T: DeserializeOwned>(body: &[u8]) -> Result<T, RequestError> {
    serde_json::from_slice(body).map_err(|_| RequestError::Malformed)
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
pub fn orders_urgency(commands: &DirectCommands) -> Urgency {
    let stops = |order: &TaskCommand| matches!(order, TaskCommand::Stop { .. });
    match commands.commands.as_slice() {
        [] => Urgency::Question,
        commands if commands.iter().any(stops) => Urgency::Stop,
        _ => Urgency::Normal,
    }
}

/// How a request to the state service is written.
pub fn state_request(request: &KvRequest) -> (Method, String, Bytes) {
    match request {
        KvRequest::Get { key } => (Method::GET, format!("{}/{}", paths::KV, key), Bytes::new()),
        KvRequest::Scan { prefix, after } => {
            let after = if after.is_empty() { String::new() } else { format!("&after={}", query(after)) };
            (Method::GET, format!("{}?prefix={}{after}&most=1000", paths::KV, query(prefix)), Bytes::new())
        }
        KvRequest::Transaction(txn) => (Method::POST, paths::TXN.into(), json(txn)),
        KvRequest::GrantLease { ttl_ms } => {
            (Method::POST, paths::LEASES.into(), json(&LeaseRequest { ttl_ms: *ttl_ms }))
        }
        KvRequest::RenewLease { pass } => {
            (Method::POST, format!("{}/{pass}/{}", paths::LEASES, paths::RENEW), Bytes::from_static(b"{}"))
        }
        KvRequest::RevokeLease { pass } => (Method::DELETE, format!("{}/{pass}", paths::LEASES), Bytes::new()),
        KvRequest::Watch { prefix, after, hold_ms } => {
            let path = format!("{}?prefix={}&after={after}&holdMs={hold_ms}", paths::WATCH, query(prefix));
            (Method::GET, path, Bytes::new())
        }
    }
}

/// What an answer of the state service means.
pub fn state_reply(request: &KvRequest, status: u16, body: &[u8]) -> Result<KvReply, RequestError> {
    match status {
        0 => return Err(RequestError::OutcomeUnknown),
        429 => return Err(RequestError::Throttled),
        503 => return Err(RequestError::Unavailable),
        500..=599 => return Err(RequestError::OutcomeUnknown),
        400 => return Err(RequestError::Rejected(problem(body))),
        _ => {}
    }
    match (request, status) {
        (KvRequest::Get { .. }, 200) => read::<KeyValue>(body).map(KvReply::Found),
        (KvRequest::Scan { .. }, 200) => read::<Page>(body).map(KvReply::Page),
        (KvRequest::Transaction(_), 200) => read::<TransactionReply>(body).map(|r| KvReply::Committed(r.revision)),
        (KvRequest::Transaction(_), 409) => read::<TransactionReply>(body).map(|r| KvReply::Conflict(r.failed)),
        (KvRequest::GrantLease { .. }, 200) => read::<LeaseGrant>(body).map(|h| KvReply::LeaseGranted(h.pass)),
        (KvRequest::RenewLease { .. } | KvRequest::RevokeLease { .. }, 200 | 204) => Ok(KvReply::Done),
        (KvRequest::Watch { .. }, 200) => read::<WatchReply>(body).map(KvReply::Changes),
        (KvRequest::Watch { .. }, 410) => Ok(KvReply::Compacted),
        (_, 404) => Ok(KvReply::Missing),
        _ => Err(RequestError::Malformed),
    }
}

/// How a request to the cloud is written.
pub fn cloud_request(request: &CloudRequest) -> (Method, String, Bytes) {
    match request {
        CloudRequest::Catalog => (Method::GET, paths::CATALOG.into(), Bytes::new()),
        CloudRequest::ScaleOut(hire) => (Method::POST, paths::MACHINES.into(), json(hire)),
        CloudRequest::ScaleIn(machines) => {
            (Method::POST, paths::RETURN.into(), json(&MachineNames { machines: machines.clone() }))
        }
        CloudRequest::List { after } => {
            let after = if after.is_empty() { String::new() } else { format!("after={}&", query(after)) };
            (Method::GET, format!("{}?{after}most={MAX_MACHINES_PER_PAGE}", paths::MACHINES), Bytes::new())
        }
    }
}

/// What an answer of the cloud means.
pub fn cloud_reply(request: &CloudRequest, status: u16, body: &[u8]) -> Result<CloudReply, RequestError> {
    match (request, status) {
        (CloudRequest::ScaleOut(_), 503) if problem(body) == "no capacity" => Ok(CloudReply::NoCapacity),
        (_, 429) => Err(RequestError::Throttled),
        (_, 503) => Err(RequestError::Unavailable),
        (_, 400..=499) => Err(RequestError::Rejected(problem(body))),
        (CloudRequest::Catalog, 200) => read::<Catalog>(body).map(CloudReply::Catalog),
        (CloudRequest::ScaleOut(_), 200) => read::<MachineNames>(body).map(|l| CloudReply::ScaledOut(l.machines)),
        (CloudRequest::ScaleIn(_), 200) => Ok(CloudReply::ScaledIn),
        (CloudRequest::List { .. }, 200) => read::<ListPage>(body).map(CloudReply::MachineList),
        _ => Err(RequestError::OutcomeUnknown),
    }
}

/// What a worker's answer to direct commands means.
pub fn orders_reply(status: u16, body: &[u8]) -> Result<DirectCommandsReply, RequestError> {
    let report = || Heartbeat::parse(body).ok_or(RequestError::OutcomeUnknown);
    match status {
        200 => report().map(DirectCommandsReply::Executed),
        409 => report().map(DirectCommandsReply::Fenced),
        400 => Err(RequestError::Rejected(problem(body))),
        _ => Err(RequestError::OutcomeUnknown),
    }
}

fn problem(body: &[u8]) -> String {
    read::<Problem>(body).map_or_else(|_| "no reason given".into(), |p| p.error)
}
