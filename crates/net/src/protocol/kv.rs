//! Requests to the key-value store.

use super::{EncodedRequest, from_json, percent_encode, problem_text};
use crate::client::HttpResponse;
use crate::http_status::{
    BAD_REQUEST, CONFLICT, GONE, INTERNAL_SERVER_ERROR, LAST_SERVER_ERROR, NO_CONTENT, NO_RESPONSE, NOT_FOUND, OK,
    SERVICE_UNAVAILABLE, TOO_MANY_REQUESTS,
};
use bytes::Bytes;
use hyper::Method;
use shaleshunt_core::{IoError, StateReply, StateRequest};
use shaleshunt_wire::paths;
use shaleshunt_wire::state::{Hold, NewHold, News, Page, Pair, TxnReply};
use std::time::Duration;

/// Most keys on one page of a scan.
const MAX_SCAN_PAGE: u32 = 1000;

/// Writes a request.
pub fn encode(request: &StateRequest) -> EncodedRequest {
    match request {
        StateRequest::Get { key } => EncodedRequest::get(format!("{}/{key}", paths::KV)),
        StateRequest::Scan { prefix, after } => EncodedRequest::get(scan_path(prefix, after)),
        StateRequest::Txn(txn) => EncodedRequest::post(paths::TXN, txn),
        StateRequest::NewHold { life_ms } => EncodedRequest::post(paths::HOLDS, &NewHold { life_ms: *life_ms }),
        StateRequest::Renew { pass } => EncodedRequest {
            method: Method::POST,
            path: format!("{}/{pass}/{}", paths::HOLDS, paths::RENEW),
            body: Bytes::from_static(b"{}"),
        },
        StateRequest::EndHold { pass } => {
            EncodedRequest { method: Method::DELETE, path: format!("{}/{pass}", paths::HOLDS), body: Bytes::new() }
        }
        StateRequest::Watch { prefix, after, hold_ms } => {
            let prefix = percent_encode(prefix);
            EncodedRequest::get(format!("{}?prefix={prefix}&after={after}&holdMs={hold_ms}", paths::WATCH))
        }
    }
}

fn scan_path(prefix: &str, after: &str) -> String {
    let prefix = percent_encode(prefix);
    let after = if after.is_empty() { String::new() } else { format!("&after={}", percent_encode(after)) };
    format!("{}?prefix={prefix}{after}&most={MAX_SCAN_PAGE}", paths::KV)
}

/// Reads the response to a request.
///
/// # Errors
///
/// The store refused the request, did not respond in full, or its response makes no sense; see [`IoError`].
pub fn decode(request: &StateRequest, response: &HttpResponse) -> Result<StateReply, IoError> {
    let HttpResponse { status, body } = response;
    check_status(*status, body)?;
    match (request, *status) {
        (StateRequest::Get { .. }, OK) => from_json::<Pair>(body).map(StateReply::Found),
        (StateRequest::Scan { .. }, OK) => from_json::<Page>(body).map(StateReply::Page),
        (StateRequest::Txn(_), OK) => from_json::<TxnReply>(body).map(|reply| StateReply::Committed(reply.ledger)),
        (StateRequest::Txn(_), CONFLICT) => from_json::<TxnReply>(body).map(|reply| StateReply::Conflict(reply.failed)),
        (StateRequest::NewHold { .. }, OK) => from_json::<Hold>(body).map(|granted| StateReply::Hold(granted.pass)),
        (StateRequest::Renew { .. } | StateRequest::EndHold { .. }, OK | NO_CONTENT) => Ok(StateReply::Fine),
        (StateRequest::Watch { .. }, OK) => from_json::<News>(body).map(StateReply::News),
        (StateRequest::Watch { .. }, GONE) => Ok(StateReply::TooOld),
        (_, NOT_FOUND) => Ok(StateReply::Missing),
        _ => Err(IoError::Senseless),
    }
}

/// The statuses that mean the same for every request.
fn check_status(status: u16, body: &[u8]) -> Result<(), IoError> {
    match status {
        NO_RESPONSE => Err(IoError::Unknown),
        TOO_MANY_REQUESTS => Err(IoError::Throttled),
        SERVICE_UNAVAILABLE => Err(IoError::Refused),
        INTERNAL_SERVER_ERROR..=LAST_SERVER_ERROR => Err(IoError::Unknown),
        BAD_REQUEST => Err(IoError::Rejected(problem_text(body))),
        _ => Ok(()),
    }
}

/// Time that the store itself may hold a request before it responds.
pub fn hold_time(request: &StateRequest) -> Duration {
    match request {
        StateRequest::Watch { hold_ms, .. } => Duration::from_millis(*hold_ms),
        _ => Duration::ZERO,
    }
}
