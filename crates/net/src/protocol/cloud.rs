//! Encoding of requests to the cloud and decoding of its responses.

use super::{EncodedRequest, error_text, from_json, percent_encode};
use crate::client::HttpResponse;
use crate::http_status::{BAD_REQUEST, LAST_CLIENT_ERROR, OK, SERVICE_UNAVAILABLE, TOO_MANY_REQUESTS};
use shaleshunt_core::RequestError;
use shaleshunt_core::io::{CloudReply, CloudRequest};
use shaleshunt_wire::cloud::{Catalog, ListPage, MachineNames};
use shaleshunt_wire::{MAX_MACHINES_PER_PAGE, paths};

/// Error text of a response with status 503 which says that no machine of the type is available. With any other text
/// the status means that the cloud itself is unavailable.
const NO_CAPACITY: &str = "no capacity";

/// Encodes a request.
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

/// Decodes the response to a request.
///
/// # Errors
///
/// The cloud rejected or throttled the request, failed, or sent a response that cannot be decoded; see
/// [`RequestError`].
pub fn decode(request: &CloudRequest, response: &HttpResponse) -> Result<CloudReply, RequestError> {
    let HttpResponse { status, body } = response;
    match (request, *status) {
        (CloudRequest::ScaleOut(_), SERVICE_UNAVAILABLE) if error_text(body) == NO_CAPACITY => {
            Ok(CloudReply::NoCapacity)
        }
        (_, TOO_MANY_REQUESTS) => Err(RequestError::Throttled),
        (_, SERVICE_UNAVAILABLE) => Err(RequestError::Unavailable),
        (_, BAD_REQUEST..=LAST_CLIENT_ERROR) => Err(RequestError::Rejected(error_text(body))),
        (CloudRequest::Catalog, OK) => from_json::<Catalog>(body).map(CloudReply::Catalog),
        (CloudRequest::ScaleOut(_), OK) => {
            from_json::<MachineNames>(body).map(|list| CloudReply::ScaledOut(list.machines))
        }
        (CloudRequest::ScaleIn(_), OK) => Ok(CloudReply::ScaledIn),
        (CloudRequest::List { .. }, OK) => from_json::<ListPage>(body).map(CloudReply::MachineList),
        _ => Err(RequestError::OutcomeUnknown),
    }
}
