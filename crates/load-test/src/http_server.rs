//! A small HTTP server for the stand-ins: one async function answers every request.

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

/// A request, read completely.
#[derive(Debug)]
pub struct Received {
    /// Method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Query, empty if there is none.
    pub query: String,
    /// Body.
    pub body: Bytes,
}

impl Received {
    /// The value of a query parameter, with `%XX` decoded.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let value = self.query.split('&').filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name)?.1;
        Some(decode(value))
    }
}

/// An answer.
#[derive(Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: Vec<u8>,
}

impl Reply {
    /// An answer with a JSON body.
    pub fn json<T: serde::Serialize>(status: u16, value: &T) -> Reply {
        Reply { status, body: serde_json::to_vec(value).unwrap_or_default() }
    }

    /// An answer with a JSON object that is empty.
    pub fn empty_object(status: u16) -> Reply {
        Reply::json(status, &serde_json::json!({}))
    }

    /// An answer to a request that makes no sense.
    pub fn malformed() -> Reply {
        Reply::json(400, &ErrorBody { error: "malformed".into() })
    }

    /// The answer to a request that failed.
    pub fn failure(error: &RequestError) -> Reply {
        let status = match error {
            RequestError::Throttled => 429,
            RequestError::Rejected(_) => 400,
            _ => 503,
        };
        Reply::json(status, &ErrorBody { error: error.to_string() })
    }
}

/// Serves `answer` on a listener until the process ends.
pub fn serve<A, F>(listener: TcpListener, answer: A)
where
    A: Fn(Received) -> F + 'static,
    F: Future<Output = Reply> + 'static,
{
    let answer = Rc::new(answer);
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let answer = answer.clone();
            let _ = stream.set_nodelay(true);
            let service = service_fn(move |request| respond(request, answer.clone()));
            tokio::task::spawn_local(
                hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service),
            );
        }
    });
}

async fn respond<A, F>(request: Request<Incoming>, answer: Rc<A>) -> Result<Response<Full<Bytes>>, Infallible>
where
    A: Fn(Received) -> F,
    F: Future<Output = Reply>,
{
    let (head, body) = request.into_parts();
    let received = Received {
        method: head.method,
        path: head.uri.path().to_string(),
        query: head.uri.query().unwrap_or_default().to_string(),
        body: body.collect().await.map(|all| all.to_bytes()).unwrap_or_default(),
    };
    let reply = answer(received).await;
    let mut response = Response::new(Full::new(Bytes::from(reply.body)));
    *response.status_mut() = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    Ok(response)
}

/// Decodes `%XX`.
fn decode(text: &str) -> String {
    let mut parts = text.split('%');
    let mut decoded = parts.next().unwrap_or_default().to_string();
    for part in parts {
        let code = part.get(..2).and_then(|hex| u8::from_str_radix(hex, 16).ok()).unwrap_or(b'?');
        decoded.push(code as char);
        decoded.push_str(part.get(2..).unwrap_or_default());
    }
    decoded
}
