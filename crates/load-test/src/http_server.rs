//! A minimal HTTP server for the simulated agents, store and cloud: one async function answers every request.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use shaleshunt_core::RequestError;
use shaleshunt_wire::user::ErrorBody;
use std::convert::Infallible;
use std::rc::Rc;
use tokio::net::TcpListener;

/// A request whose body has been read completely.
#[derive(Debug)]
pub struct ReceivedRequest {
    /// HTTP method.
    pub method: Method,
    /// Path of the URL without the query.
    pub path: String,
    /// Query of the URL without the question mark, empty if there is none.
    pub query: String,
    /// Body, empty if there is none or if it broke off.
    pub body: Bytes,
}

impl ReceivedRequest {
    /// Percent-decoded value of a query parameter; `None` if it is absent.
    pub fn query_parameter(&self, name: &str) -> Option<String> {
        let value = self.query.split('&').filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name)?.1;
        Some(percent_decode(value))
    }
}

/// A response, before it is sent.
#[derive(Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Body, empty for none.
    pub body: Vec<u8>,
}

impl Reply {
    /// Creates a response with a JSON body.
    pub fn json<T: serde::Serialize>(status: u16, value: &T) -> Reply {
        Reply { status, body: serde_json::to_vec(value).unwrap_or_default() }
    }

    /// Creates a response with an empty JSON object.
    pub fn empty_object(status: u16) -> Reply {
        Reply::json(status, &serde_json::json!({}))
    }

    /// Creates the response to a request that cannot be parsed.
    pub fn malformed() -> Reply {
        Reply::json(400, &ErrorBody { error: "malformed".into() })
    }

    /// Creates the response to a request that the simulated service did not execute successfully.
    pub fn failure(error: &RequestError) -> Reply {
        let status = match error {
            RequestError::Throttled => 429,
            RequestError::Rejected(_) => 400,
            _ => 503,
        };
        Reply::json(status, &ErrorBody { error: error.to_string() })
    }
}

/// Accepts connections and answers each request with `handler` until the process ends.
pub fn serve<H, F>(listener: TcpListener, handler: H)
where
    H: Fn(ReceivedRequest) -> F + 'static,
    F: Future<Output = Reply> + 'static,
{
    let handler = Rc::new(handler);
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let handler = handler.clone();
            let _ = stream.set_nodelay(true);
            let service = service_fn(move |request| handle_request(request, handler.clone()));
            tokio::task::spawn_local(
                hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service),
            );
        }
    });
}

async fn handle_request<H, F>(request: Request<Incoming>, handler: Rc<H>) -> Result<Response<Full<Bytes>>, Infallible>
where
    H: Fn(ReceivedRequest) -> F,
    F: Future<Output = Reply>,
{
    let (head, body) = request.into_parts();
    let received = ReceivedRequest {
        method: head.method,
        path: head.uri.path().to_string(),
        query: head.uri.query().unwrap_or_default().to_string(),
        body: body.collect().await.map(|all| all.to_bytes()).unwrap_or_default(),
    };
    let reply = handler(received).await;
    let mut response = Response::new(Full::new(Bytes::from(reply.body)));
    *response.status_mut() = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    Ok(response)
}

/// Replaces each `%XX` with the character U+00XX, so codes above 0x7F become Latin-1 characters instead of bytes of a
/// UTF-8 sequence. An invalid code becomes `?`.
fn percent_decode(text: &str) -> String {
    let mut parts = text.split('%');
    let mut decoded = parts.next().unwrap_or_default().to_string();
    for part in parts {
        let code = part.get(..2).and_then(|hex| u8::from_str_radix(hex, 16).ok()).unwrap_or(b'?');
        decoded.push(code as char);
        decoded.push_str(part.get(2..).unwrap_or_default());
    }
    decoded
}
