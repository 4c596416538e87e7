//! The HTTP server for users, workers and health checks.

use crate::connections::{Activity, Admission, Capacity, Connections};
use crate::idle_times::RequestKind;
use crate::sockets::Sockets;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use shaleshunt_core::io::Answer;
use shaleshunt_wire::user::{Problem, Submission};
use shaleshunt_wire::worker::{Heartbeat, Redirect};
use shaleshunt_wire::{MAX_BODY, paths};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};

/// A request for the owner.
#[derive(Debug)]
pub enum Ask {
    /// A submission.
    Submit(Box<Submission>),
    /// A poll.
    Status(String),
    /// A withdrawal.
    Withdraw(String),
    /// A health check.
    Up,
    /// A worker's report.
    Checkin(Box<Heartbeat>),
}

/// Where requests go.
pub type Asks = mpsc::Sender<(Ask, oneshot::Sender<Answer>)>;

/// Limits of the server.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Most open connections.
    pub connections: usize,
    /// Most open connections beyond those, for users and health checks.
    pub reserved: usize,
    /// Time between a machine's reports.
    pub report: Duration,
    /// Longest time for a request's head to arrive, and so for a connection to stay unused.
    pub idle: Duration,
    /// Longest time for a body to arrive.
    pub patience: Duration,
    /// Longest time for the owner to answer.
    pub answer: Duration,
}

/// Serves until the process ends.
pub async fn serve(listener: TcpListener, asks: Asks, limits: Limits, sockets: Sockets) {
    let capacity = Capacity { most: limits.connections, reserved: limits.reserved };
    let connections = Connections::new(capacity, limits.report);
    let mut full = false;
    tokio::task::spawn_local(connections.clone().close_idle(limits.idle));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                tracing::error!(event = %"accept_failed", error = e.to_string());
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        let admission = connections.admit();
        if admission != Admission::Open && !std::mem::replace(&mut full, true) {
            // Machines are sent to other nodes.
            tracing::info!(event = %"connection_limit_reached", open = connections.open());
        }
        full &= connections.open() > limits.connections / 2;
        if admission == Admission::Refused {
            // A new connection is closed at once; nobody waits for nothing.
            continue;
        }
        let (asks, socket) = (asks.clone(), sockets.open());
        let activity = connections.activity(admission);
        connections.spawn(socket, activity.clone(), connection(stream, asks, limits, activity));
    }
}

async fn connection(stream: TcpStream, asks: Asks, limits: Limits, activity: Activity) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let (asks, activity) = (asks.clone(), activity.clone());
        async move {
            activity.begin_request();
            let Handled { kind, response } = handle(request, &asks, limits, activity.admission()).await;
            let closes = activity.end_request(kind);
            Ok::<_, std::convert::Infallible>(if closes { close(response) } else { response })
        }
    });
    // Half closed connections are allowed so that nothing more is read while a request is handled: that
    // would take another buffer for each.
    let served = hyper::server::conn::http1::Builder::new()
        .half_close(true)
        .max_buf_size(32 * 1024)
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(e) = served {
        tracing::debug!(event = %"connection_failed", error = e.to_string());
    }
}

fn plain(status: u16, body: Vec<u8>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or(hyper::StatusCode::INTERNAL_SERVER_ERROR);
    response.headers_mut().insert("content-type", hyper::header::HeaderValue::from_static("application/json"));
    response
}

fn body<T: serde::Serialize>(status: u16, value: &T) -> Response<Full<Bytes>> {
    plain(status, serde_json::to_vec(value).unwrap_or_default())
}

fn problem(status: u16, error: &str, retry_after: Option<u32>) -> Response<Full<Bytes>> {
    let mut response = body(status, &Problem { error: error.to_string() });
    if let Some(s) = retry_after {
        response.headers_mut().insert("retry-after", s.into());
    }
    response
}

async fn read_body(request: Request<Incoming>, patience: Duration) -> Result<Bytes, Response<Full<Bytes>>> {
    let collect = Limited::new(request.into_body(), MAX_BODY).collect();
    match tokio::time::timeout(patience, collect).await {
        Ok(Ok(all)) => Ok(all.to_bytes()),
        Ok(Err(e)) if e.downcast_ref::<LengthLimitError>().is_some() => {
            Err(close(problem(413, "body larger than 64 KiB", None)))
        }
        Ok(Err(_)) => Err(close(problem(400, "body broke off", None))),
        Err(_) => Err(close(problem(408, "body took too long", None))),
    }
}

fn close(mut response: Response<Full<Bytes>>) -> Response<Full<Bytes>> {
    response.headers_mut().insert("connection", hyper::header::HeaderValue::from_static("close"));
    response
}

/// A response, and what the request was.
struct Handled {
    kind: RequestKind,
    response: Response<Full<Bytes>>,
}

async fn handle(request: Request<Incoming>, asks: &Asks, limits: Limits, admission: Admission) -> Handled {
    let ask = match read_request(request, limits).await {
        Ok(ask) => ask,
        Err(response) => return Handled { kind: RequestKind::User, response },
    };
    // What is held for users and health checks is not for machines: they go to another node.
    if admission == Admission::Reserved && matches!(ask, Ask::Checkin(_)) {
        let response = problem(503, "no room for machines", None);
        return Handled { kind: RequestKind::ReportElsewhere, response };
    }
    let kind = request_kind(&ask);
    let Some(answer) = ask_owner(ask, asks, limits).await else {
        return Handled { kind, response: problem(503, "no answer in time", Some(1)) };
    };
    let kind = answered_kind(kind, &answer);
    Handled { kind, response: write(answer) }
}

fn request_kind(ask: &Ask) -> RequestKind {
    match ask {
        Ask::Submit(_) | Ask::Status(_) | Ask::Withdraw(_) => RequestKind::User,
        Ask::Up => RequestKind::HealthCheck,
        Ask::Checkin(_) => RequestKind::Heartbeat,
    }
}

/// The kind of a request now that its answer is known.
fn answered_kind(asked: RequestKind, answer: &Answer) -> RequestKind {
    match (asked, answer) {
        (RequestKind::Heartbeat, Answer::Heartbeat(reply)) if reply.commands.is_empty() => RequestKind::Heartbeat,
        (RequestKind::Heartbeat, Answer::Heartbeat(_)) => RequestKind::ReportWithOrders,
        (RequestKind::Heartbeat, _) => RequestKind::ReportElsewhere,
        (other, _) => other,
    }
}

/// The owner's answer, unless it takes too long.
async fn ask_owner(ask: Ask, asks: &Asks, limits: Limits) -> Option<Answer> {
    // A report is answered with the batch that it comes in, so it needs no timer.
    let answered_at_once = matches!(ask, Ask::Checkin(_));
    let (tell, told) = oneshot::channel();
    // There is room for one request of each connection, so this fails only when the process ends.
    asks.try_send((ask, tell)).ok()?;
    if answered_at_once {
        return told.await.ok();
    }
    tokio::time::timeout(limits.answer, told).await.ok()?.ok()
}

/// What a request asks of the owner, or the answer to one that it is not asked about.
async fn read_request(request: Request<Incoming>, limits: Limits) -> Result<Ask, Response<Full<Bytes>>> {
    let method = request.method().clone();
    let path = request.uri().path().to_string();
    let below = path.strip_prefix(paths::SUBMISSIONS).and_then(|p| p.strip_prefix('/'));
    let ask = match (below, path.as_str()) {
        (None, paths::SUBMISSIONS) => {
            if method != Method::POST {
                return Err(problem(405, "POST only", None));
            }
            let body = read_body(request, limits.patience).await?;
            match Submission::parse(&body) {
                Ok(s) => Ask::Submit(Box::new(s)),
                Err(e) => return Err(problem(400, &e.to_string(), None)),
            }
        }
        (None, paths::HEALTH) => {
            if method != Method::GET {
                return Err(problem(405, "GET only", None));
            }
            Ask::Up
        }
        (None, paths::HEARTBEAT) => {
            if method != Method::POST {
                return Err(problem(405, "POST only", None));
            }
            let body = read_body(request, limits.patience).await?;
            match Heartbeat::parse(&body) {
                Some(r) => Ask::Checkin(Box::new(r)),
                None => return Err(problem(400, "not a report", None)),
            }
        }
        (Some(rest), _) => {
            let (id, last) = match rest.split_once('/') {
                Some((id, last)) => (id, Some(last)),
                None => (rest, None),
            };
            match last {
                None if method != Method::GET => return Err(problem(405, "GET only", None)),
                Some(paths::CANCEL) if method != Method::POST => return Err(problem(405, "POST only", None)),
                None | Some(paths::CANCEL) => {}
                Some(_) => return Err(problem(404, "no such path", None)),
            }
            if !shaleshunt_wire::user::valid_id(id) {
                return Err(problem(404, "no such job", None));
            }
            let id = id.to_string();
            if last.is_none() {
                Ask::Status(id)
            } else {
                // A body, if any, is read so that the connection can be used again.
                read_body(request, limits.patience).await?;
                Ask::Withdraw(id)
            }
        }
        (None, _) => return Err(problem(404, "no such path", None)),
    };
    Ok(ask)
}

fn write(answer: Answer) -> Response<Full<Bytes>> {
    match answer {
        Answer::Job(status, view) => body(status, &view),
        Answer::Problem { status, error, retry_after } => problem(status, error, retry_after),
        Answer::Heartbeat(reply) => body(200, &reply),
        Answer::Redirect(known_leader) => body(421, &Redirect { known_leader }),
        Answer::Healthy => plain(200, b"{}".to_vec()),
    }
}
