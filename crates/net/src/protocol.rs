//! Encodes requests to other services as HTTP requests and decodes their responses.

pub mod agent;
pub mod cloud;
pub mod kv;

use crate::client::Call;
use crate::semaphore::CallPriority;
use bytes::Bytes;
use hyper::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;
use shaleshunt_core::RequestError;
use shaleshunt_wire::user::ErrorBody;
use std::time::Duration;

/// An HTTP request without the address of its service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EncodedRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Body, empty for none.
    pub body: Bytes,
}

impl EncodedRequest {
    /// The call that sends this request to the service at `address`.
    pub fn call<'a>(&'a self, address: &'a str, timeout: Duration, priority: CallPriority) -> Call<'a> {
        let (method, body) = (self.method.clone(), self.body.clone());
        Call { address, method, path: &self.path, body, timeout, priority }
    }

    fn get(path: String) -> EncodedRequest {
        EncodedRequest { method: Method::GET, path, body: Bytes::new() }
    }

    fn post<T: Serialize>(path: &str, body: &T) -> EncodedRequest {
        EncodedRequest { method: Method::POST, path: path.to_string(), body: to_json(body) }
    }
}

pub(crate) fn to_json<T: Serialize>(value: &T) -> Bytes {
    // Serialization of the types used here does not fail: all map keys are strings.
    serde_json::to_vec(value).map(Bytes::from).unwrap_or_default()
}

fn from_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, RequestError> {
    serde_json::from_slice(body).map_err(|_| RequestError::MalformedResponse)
}

/// The reason in a service's error response, or a fixed text if the body holds none.
fn error_text(body: &[u8]) -> String {
    from_json::<ErrorBody>(body).map_or_else(|_| "no reason given".into(), |body| body.error)
}

/// Percent-encodes a text for use as the value of a query parameter.
fn percent_encode(text: &str) -> String {
    text.bytes().map(percent_encode_byte).collect()
}

fn percent_encode_byte(byte: u8) -> String {
    match byte {
        b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'_' | b'.' | b'/' => char::from(byte).to_string(),
        _ => format!("%{byte:02X}"),
    }
}

#[cfg(test)]
mod tests;
