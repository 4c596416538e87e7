//! Decodes HTTP requests: first the route from method and path, then the body.

use super::ClientRequest;
use super::rejection::Rejection;
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request};
use shaleshunt_wire::user::{Submission, is_valid_job_id};
use shaleshunt_wire::worker::Heartbeat;
use shaleshunt_wire::{MAX_BODY_BYTES, paths};
use std::time::Duration;

/// The operation that a request's method and path name.
enum Route {
    Submit,
    Status { job: String },
    Cancel { job: String },
    HealthCheck,
    Heartbeat,
}

/// Reads and decodes a request with its body, which has to arrive within `body_timeout`.
pub(super) async fn read(request: Request<Incoming>, body_timeout: Duration) -> Result<ClientRequest, Rejection> {
    match route(request.method(), request.uri().path())? {
        Route::Submit => {
            let body = read_body(request, body_timeout).await?;
            Ok(ClientRequest::Submit(Box::new(Submission::parse(&body)?)))
        }
        Route::Status { job } => Ok(ClientRequest::Status(job)),
        Route::Cancel { job } => {
            // The body is unused, but has to be read so that the connection can carry the next request.
            read_body(request, body_timeout).await?;
            Ok(ClientRequest::Cancel(job))
        }
        Route::HealthCheck => Ok(ClientRequest::HealthCheck),
        Route::Heartbeat => {
            let body = read_body(request, body_timeout).await?;
            let heartbeat = Heartbeat::parse(&body).ok_or(Rejection::MalformedHeartbeat)?;
            Ok(ClientRequest::Heartbeat(Box::new(heartbeat)))
        }
    }
}

fn route(method: &Method, path: &str) -> Result<Route, Rejection> {
    if let Some(job_path) = path.strip_prefix(paths::SUBMISSIONS).and_then(|rest| rest.strip_prefix('/')) {
        return job_route(method, job_path);
    }
    match path {
        paths::SUBMISSIONS => require_method(method, Method::POST).map(|()| Route::Submit),
        paths::HEALTH => require_method(method, Method::GET).map(|()| Route::HealthCheck),
        paths::HEARTBEAT => require_method(method, Method::POST).map(|()| Route::Heartbeat),
        _ => Err(Rejection::UnknownPath),
    }
}

/// The route of a path below the submissions: a job's identifier, and optionally an action on the job.
fn job_route(method: &Method, job_path: &str) -> Result<Route, Rejection> {
    let (id, action) = match job_path.split_once('/') {
        Some((id, action)) => (id, Some(action)),
        None => (job_path, None),
    };
    let job = id.to_string();
    let route = match action {
        None => {
            require_method(method, Method::GET)?;
            Route::Status { job }
        }
        Some(paths::CANCEL) => {
            require_method(method, Method::POST)?;
            Route::Cancel { job }
        }
        Some(_) => return Err(Rejection::UnknownPath),
    };
    if is_valid_job_id(id) { Ok(route) } else { Err(Rejection::InvalidJobId) }
}

fn require_method(method: &Method, allowed: Method) -> Result<(), Rejection> {
    if *method == allowed { Ok(()) } else { Err(Rejection::MethodNotAllowed { allowed }) }
}

async fn read_body(request: Request<Incoming>, timeout: Duration) -> Result<Bytes, Rejection> {
    let collect = Limited::new(request.into_body(), MAX_BODY_BYTES).collect();
    match tokio::time::timeout(timeout, collect).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Rejection::BodyTooLarge),
        Ok(Err(_)) => Err(Rejection::BodyIncomplete),
        Err(_) => Err(Rejection::BodyTimeout),
    }
}
