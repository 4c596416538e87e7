//! Requests to the cloud.

use super::{EncodedRequest, from_json, percent_encode, problem_text};
use crate::client::HttpResponse;
use crate::http_status::{BAD_REQUEST, LAST_CLIENT_ERROR, OK, SERVICE_UNAVAILABLE, TOO_MANY_REQUESTS};
use shaleshunt_core::IoError;
use shaleshunt_core::io::{CloudReply, CloudRequest};
use shaleshunt_wire::cloud::{Catalog, ListPage, MachineNames};
use shaleshunt_wire::{MAX_LIST, paths};

/// The cloud's word, with status 503, that it has no machine of the type.
const NO_CAPACITY: &str = "no capacity";

/// Writes a request.
pub fn encode(request: &CloudRequest) -> EncodedRequest {
    match request {
        CloudRequest::Catalog => EncodedRequest::get(paths::CATALOG.into()),
        CloudRequest::Hire(hire) => EncodedRequest::post(paths::MACHINES, hire),
        CloudRequest::Return(machines) => {
            EncodedRequest::post(paths::RETURN, &MachineNames { machines: machines.clone() })
        }
        CloudRequest::List { after } => EncodedRequest::get(list_path(after)),
    }
}

fn list_path(after: &str) -> String {
    let after = if after.is_empty() { String::new() } else { format!("after={}&", percent_encode(after)) };
    format!("{}?{after}most={MAX_LIST}", paths::MACHINES)
}

/// Reads the response to a request.
///
/// # Errors
///
/// The cloud refused the request, did not respond in full, or its response makes no sense; see [`IoError`].
pub fn decode(request: &CloudRequest, response: &HttpResponse) -> Result<CloudReply, IoError> {
    let HttpResponse { status, body } = response;
    match (request, *status) {
        (CloudRequest::Hire(_), SERVICE_UNAVAILABLE) if problem_text(body) == NO_CAPACITY => Ok(CloudReply::NoCapacity),
        (_, TOO_MANY_REQUESTS) => Err(IoError::Throttled),
        (_, SERVICE_UNAVAILABLE) => Err(IoError::Refused),
        (_, BAD_REQUEST..=LAST_CLIENT_ERROR) => Err(IoError::Rejected(problem_text(body))),
        (CloudRequest::Catalog, OK) => from_json::<Catalog>(body).map(CloudReply::Catalog),
        (CloudRequest::Hire(_), OK) => from_json::<MachineNames>(body).map(|list| CloudReply::Hired(list.machines)),
        (CloudRequest::Return(_), OK) => Ok(CloudReply::Returned),
        (CloudRequest::List { .. }, OK) => from_json::<ListPage>(body).map(CloudReply::Page),
        _ => Err(IoError::Unknown),
    }
}
