//! Encoding of requests to the key-value store and decoding of its responses.

use super::{EncodedRequest, error_text, from_json, percent_encode};
use crate::client::HttpResponse;
use crate::http_status::{
    BAD_REQUEST, CONFLICT, GONE, INTERNAL_SERVER_ERROR, LAST_SERVER_ERROR, NO_CONTENT, NO_RESPONSE, NOT_FOUND, OK,
    SERVICE_UNAVAILABLE, TOO_MANY_REQUESTS,
};
use bytes::Bytes;
use hyper::Method;
use shaleshunt_core::{KvReply, KvRequest, RequestError};
use shaleshunt_wire::kv::{KeyValue, LeaseGrant, LeaseRequest, Page, TransactionReply, WatchReply};
use shaleshunt_wire::paths;
use std::time::Duration;

const MAX_KEYS_PER_SCAN_PAGE: u32 = 1000;

/// Encodes a request.
pub fn encode(request: &KvRequest) -> EncodedRequest {
    match request {
        KvRequest::Get { key } => EncodedRequest::get(format!("{}/{key}", paths::KV)),
        KvRequest::Scan { prefix, after } => EncodedRequest::get(scan_path(prefix, after)),
        KvRequest::Transaction(transaction) => EncodedRequest::post(paths::TXN, transaction),
        KvRequest::GrantLease { ttl_ms } => EncodedRequest::post(paths::LEASES, &LeaseRequest { ttl_ms: *ttl_ms }),
        KvRequest::RenewLease { lease } => EncodedRequest {
            method: Method::POST,
            path: format!("{}/{lease}/{}", paths::LEASES, paths::RENEW),
            body: Bytes::from_static(b"{}"),
        },
        KvRequest::RevokeLease { lease } => {
            EncodedRequest { method: Method::DELETE, path: format!("{}/{lease}", paths::LEASES), body: Bytes::new() }
        }
        KvRequest::Watch { prefix, after, max_wait_ms } => {
            let prefix = percent_encode(prefix);
            EncodedRequest::get(format!("{}?prefix={prefix}&after={after}&holdMs={max_wait_ms}", paths::WATCH))
        }
    }
}

fn scan_path(prefix: &str, after: &str) -> String {
    let prefix = percent_encode(prefix);
    let after = if after.is_empty() { String::new() } else { format!("&after={}", percent_encode(after)) };
    format!("{}?prefix={prefix}{after}&most={MAX_KEYS_PER_SCAN_PAGE}", paths::KV)
}

/// Decodes the response to a request.
///
/// # Errors
///
/// The store rejected or throttled the request, failed, or sent a response that cannot be decoded; see
/// [`RequestError`].
pub fn decode(request: &KvRequest, response: &HttpResponse) -> Result<KvReply, RequestError> {
    let HttpResponse { status, body } = response;
    check_status(*status, body)?;
    match (request, *status) {
        (KvRequest::Get { .. }, OK) => from_json::<KeyValue>(body).map(KvReply::Found),
        (KvRequest::Scan { .. }, OK) => from_json::<Page>(body).map(KvReply::Page),
        (KvRequest::Transaction(_), OK) => {
            from_json::<TransactionReply>(body).map(|reply| KvReply::Committed(reply.revision))
        }
        (KvRequest::Transaction(_), CONFLICT) => {
            from_json::<TransactionReply>(body).map(|reply| KvReply::Conflict(reply.failed))
        }
        (KvRequest::GrantLease { .. }, OK) => {
            from_json::<LeaseGrant>(body).map(|granted| KvReply::LeaseGranted(granted.lease))
        }
        (KvRequest::RenewLease { .. } | KvRequest::RevokeLease { .. }, OK | NO_CONTENT) => Ok(KvReply::Done),
        (KvRequest::Watch { .. }, OK) => from_json::<WatchReply>(body).map(KvReply::Changes),
        (KvRequest::Watch { .. }, GONE) => Ok(KvReply::Compacted),
        (_, NOT_FOUND) => Ok(KvReply::Missing),
        _ => Err(RequestError::MalformedResponse),
    }
}

/// Maps the statuses that are errors for every kind of request.
fn check_status(status: u16, body: &[u8]) -> Result<(), RequestError> {
    match status {
        NO_RESPONSE => Err(RequestError::OutcomeUnknown),
        TOO_MANY_REQUESTS => Err(RequestError::Throttled),
        SERVICE_UNAVAILABLE => Err(RequestError::Unavailable),
        INTERNAL_SERVER_ERROR..=LAST_SERVER_ERROR => Err(RequestError::OutcomeUnknown),
        BAD_REQUEST => Err(RequestError::Rejected(error_text(body))),
        _ => Ok(()),
    }
}

/// Time that the store may wait for a change before it responds; zero for all requests but a watch.
pub fn max_wait(request: &KvRequest) -> Duration {
    match request {
        KvRequest::Watch { max_wait_ms, .. } => Duration::from_millis(*max_wait_ms),
        _ => Duration::ZERO,
    }
}
