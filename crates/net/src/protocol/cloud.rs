//! Requests to the cloud.

use super::{EncodedRequest, from_json, percent_encode, problem_text};
use crate::client::HttpResponse;
use crate::http_status::{BAD_REQUEST, LAST_CLIENT_ERROR, OK, SERVICE_UNAVAILABLE, TOO_MANY_REQUESTS};
use shaleshunt_core::RequestError;
use shaleshunt_core::io::{CloudReply, CloudRequest};
use shaleshunt_wire::cloud::{Catalog, ListPage, MachineNames};
use shaleshunt_wire::{MAX_MACHINES_PER_PAGE, paths};

/// The cloud's word, with status 503, that it has no machine of the type.
const NO_CAPACITY: &str = "no capacity";

/// Writes a request.
pub fn encode(request: &CloudRequest) -> EncodedRequest {
    match request {
        CloudRequest::Catalog => EncodedRequest::get(paths::CATALOG.into()),
        CloudRequest::ScaleOut(request) => EncodedRequest::post(paths::MACHINES, request),
        CloudRequest::ScaleIn(machines) => {
            EncodedRequest::post(paths::RETURN, &MachineNames { machines: machines.clone() })
        }
        CloudRequest::List { after } => EncodedRequest::get(list_path(after)),
    }
}

fn list_path(after: &str) -> String {
    let after = if after.is_empty() { String::new() } else { format!("after={}&", percent_encode(after)) };
    format!("{}?{after}most={MAX_MACHINES_PER_PAGE}", paths::MACHINES)
}

/// Reads the response to a request.
///
/// # Errors
///
/// The cloud refused the request, did not respond in full, or its response makes no sense; see [`RequestError`].
pub fn decode(request: &CloudRequest, response: &HttpResponse) -> Result<CloudReply, RequestError> {
    let HttpResponse { status, body } = response;
    match (request, *status) {
        (CloudRequest::ScaleOut(_), SERVICE_UNAVAILABLE) if problem_text(body) == NO_CAPACITY => {
            Ok(CloudReply::NoCapacity)
        }
        (_, TOO_MANY_REQUESTS) => Err(RequestError::Throttled),
        (_, SERVICE_UNAVAILABLE) => Err(RequestError::Unavailable),
        (_, BAD_REQUEST..=LAST_CLIENT_ERROR) => Err(RequestError::Rejected(problem_text(body))),
        (CloudRequest::Catalog, OK) => from_json::<Catalog>(body).map(CloudReply::Catalog),
        (CloudRequest::ScaleOut(_), OK) => {
            from_json::<MachineNames>(body).map(|list| CloudReply::ScaledOut(list.machines))
        }
        (CloudRequest::ScaleIn(_), OK) => Ok(CloudReply::ScaledIn),
        (CloudRequest::List { .. }, OK) => from_json::<ListPage>(body).map(CloudReply::MachineList),
        _ => Err(RequestError::OutcomeUnknown),
    }
}
