//! Builds HTTP responses.

use super::rejection::Rejection;
use crate::http_status;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use shaleshunt_core::io::Answer;
use shaleshunt_wire::user::ErrorBody;
use shaleshunt_wire::worker::Redirect;

/// A response of this server. The body is always JSON.
pub(super) type HttpResponse = Response<Full<Bytes>>;

/// The response for an answer of the core.
pub(super) fn answered(answer: Answer) -> HttpResponse {
    match answer {
        Answer::Job(status, view) => json(status, &view),
        Answer::Error { status, error, retry_after } => error_response(status, error.to_string(), retry_after),
        Answer::Heartbeat(reply) => json(http_status::OK, &reply),
        Answer::Redirect(known_leader) => json(http_status::MISDIRECTED_REQUEST, &Redirect { known_leader }),
        Answer::Healthy => with_body(http_status::OK, Bytes::from_static(b"{}")),
    }
}

/// The response to a rejected request.
pub(super) fn rejected(rejection: &Rejection) -> HttpResponse {
    let response = error_response(rejection.status(), rejection.to_string(), rejection.retry_after_s());
    if rejection.closes_connection() { closing(response) } else { response }
}

/// Adds the header that closes the connection after the response.
pub(super) fn closing(mut response: HttpResponse) -> HttpResponse {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

fn error_response(status: u16, error: String, retry_after_s: Option<u32>) -> HttpResponse {
    let mut response = json(status, &ErrorBody { error });
    if let Some(seconds) = retry_after_s {
        response.headers_mut().insert(RETRY_AFTER, seconds.into());
    }
    response
}

fn json<T: serde::Serialize>(status: u16, value: &T) -> HttpResponse {
    with_body(status, serde_json::to_vec(value).unwrap_or_default().into())
}

fn with_body(status: u16, body: Bytes) -> HttpResponse {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
