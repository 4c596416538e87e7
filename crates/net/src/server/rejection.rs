//! Requests that the server rejects without passing them to the core.

use crate::http_status;
use hyper::Method;
use shaleshunt_wire::user::SubmissionError;

/// Why a request is rejected. The text is the `error` field of the response's body.
#[derive(Debug, thiserror::Error)]
pub(super) enum Rejection {
    #[error("no such path")]
    UnknownPath,
    #[error("no such job")]
    InvalidJobId,
    #[error("{allowed} only")]
    MethodNotAllowed { allowed: Method },
    #[error("body larger than 64 KiB")]
    BodyTooLarge,
    #[error("body broke off")]
    BodyIncomplete,
    #[error("body took too long")]
    BodyTimeout,
    #[error(transparent)]
    MalformedSubmission(#[from] SubmissionError),
    #[error("not a report")]
    MalformedHeartbeat,
    #[error("no room for machines")]
    ReservedForUsers,
    #[error("no answer in time")]
    NoResponseInTime,
}

impl Rejection {
    pub(super) fn status(&self) -> u16 {
        match self {
            Rejection::UnknownPath | Rejection::InvalidJobId => http_status::NOT_FOUND,
            Rejection::MethodNotAllowed { .. } => http_status::METHOD_NOT_ALLOWED,
            Rejection::BodyTooLarge => http_status::PAYLOAD_TOO_LARGE,
            Rejection::BodyIncomplete => http_status::BAD_REQUEST,
            Rejection::BodyTimeout => http_status::REQUEST_TIMEOUT,
            Rejection::MalformedSubmission(_) | Rejection::MalformedHeartbeat => http_status::BAD_REQUEST,
            Rejection::ReservedForUsers | Rejection::NoResponseInTime => http_status::SERVICE_UNAVAILABLE,
        }
    }

    /// Value of the `Retry-After` header, in seconds.
    pub(super) fn retry_after_s(&self) -> Option<u32> {
        match self {
            Rejection::NoResponseInTime => Some(1),
            _ => None,
        }
    }

    /// Whether the connection has to be closed, because the rest of the request's body may still arrive on it.
    pub(super) fn closes_connection(&self) -> bool {
        matches!(self, Rejection::BodyTooLarge | Rejection::BodyIncomplete | Rejection::BodyTimeout)
    }
}
