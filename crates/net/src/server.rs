//! The HTTP server for users, workers and health checks.

mod rejection;
mod requests;
mod responses;

use crate::connections::{Admission, AfterResponse, ConnectionActivity, ConnectionLimits, Connections};
use crate::idle_time::RequestKind;
use crate::socket_budget::SocketBudget;
use hyper::Request;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use rejection::Rejection;
use responses::HttpResponse;
use shaleshunt_core::Settings;
use shaleshunt_core::io::Answer;
use shaleshunt_wire::user::Submission;
use shaleshunt_wire::worker::Heartbeat;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};

/// Memory that one connection may take, in KiB.
const CONNECTION_KIB: f64 = 20.0;
/// Share of the process's memory that connections may take.
const CONNECTIONS_MEMORY_SHARE: f64 = 0.5;
/// Connections that are always allowed.
const MIN_CONNECTIONS: usize = 16;
/// A connection that brings nothing for so many heartbeat intervals is closed: its machine or user is gone
/// or cut off.
const IDLE_TIMEOUT_INTERVALS: f64 = 4.0;
/// Largest buffer of a connection, in bytes.
const MAX_CONNECTION_BUFFER: usize = 32 * 1024;
/// Pause after a failure to accept a connection, such as a lack of file descriptors.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// A request for the core.
#[derive(Debug)]
pub enum ClientRequest {
    /// A user submits a job.
    Submit(Box<Submission>),
    /// A user asks for the state of the job of this identifier.
    Status(String),
    /// A user cancels the job of this identifier.
    Cancel(String),
    /// A health check.
    HealthCheck,
    /// A worker's heartbeat with its status.
    Heartbeat(Box<Heartbeat>),
}

/// A request that waits for its response. Dropping the responder refuses the request.
#[derive(Debug)]
pub struct PendingRequest {
    /// What is asked.
    pub request: ClientRequest,
    /// Takes the response.
    pub responder: oneshot::Sender<Answer>,
}

/// Where the server sends requests.
pub type RequestSender = mpsc::Sender<PendingRequest>;

/// Limits of the server.
#[derive(Debug, Clone, Copy)]
pub struct ServerConfig {
    /// How many connections may be open.
    pub connections: ConnectionLimits,
    /// Time between a machine's heartbeats.
    pub heartbeat_interval: Duration,
    /// Longest time for a request's head to arrive, and so for a connection to stay unused.
    pub idle_timeout: Duration,
    /// Longest time for a body to arrive.
    pub body_timeout: Duration,
    /// Longest time for the core to respond.
    pub response_timeout: Duration,
}

impl ServerConfig {
    /// Limits that follow from the settings and from the process's sockets.
    pub fn new(settings: &Settings, sockets: &SocketBudget) -> ServerConfig {
        let memory_kib = settings.mem_mb * 1024.0 * CONNECTIONS_MEMORY_SHARE;
        let allowed_by_memory = (memory_kib / CONNECTION_KIB) as usize;
        let max = sockets.client_connections().min(allowed_by_memory).max(MIN_CONNECTIONS);
        let heartbeat_interval = Duration::from_secs_f64(settings.heartbeat_interval_s);
        ServerConfig {
            connections: ConnectionLimits { max, reserved: sockets.reserved_connections() },
            heartbeat_interval,
            idle_timeout: heartbeat_interval.mul_f64(IDLE_TIMEOUT_INTERVALS),
            body_timeout: Duration::from_secs_f64(shaleshunt_wire::SUBMIT_TIMEOUT_S),
            response_timeout: Duration::from_secs_f64(shaleshunt_wire::HEARTBEAT_TIMEOUT_S),
        }
    }

    /// Most requests that can be under way, since a connection has one at a time.
    pub fn max_concurrent_requests(&self) -> usize {
        self.connections.max + self.connections.reserved
    }
}

/// Serves until it is dropped, which closes all connections.
pub async fn serve(listener: TcpListener, requests: RequestSender, config: ServerConfig, sockets: SocketBudget) {
    let connections = Connections::new(config.connections, config.heartbeat_interval, config.idle_timeout);
    let mut full = FullState::default();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::error!(event = %"accept_failed", error = error.to_string());
                tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
                continue;
            }
        };
        let admission = connections.admit();
        full.update(admission, connections.open_count(), config.connections);
        if admission == Admission::Refused {
            // A new connection is closed at once; its client tries another controller without waiting.
            continue;
        }
        let requests = requests.clone();
        connections.spawn(sockets.open(), admission, |activity| serve_connection(stream, requests, config, activity));
    }
}

/// Whether the server has run out of connections, logged once each time.
#[derive(Default)]
struct FullState {
    is_full: bool,
}

impl FullState {
    fn update(&mut self, admission: Admission, open: usize, limits: ConnectionLimits) {
        if admission != Admission::Open && !self.is_full {
            self.is_full = true;
            // Machines are sent to other nodes.
            tracing::info!(event = %"connection_limit_reached", open);
        }
        if open <= limits.max / 2 {
            self.is_full = false;
        }
    }
}

async fn serve_connection(
    stream: TcpStream,
    requests: RequestSender,
    config: ServerConfig,
    activity: ConnectionActivity,
) {
    // Only a matter of speed.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let (requests, activity) = (requests.clone(), activity.clone());
        async move { Ok::<_, std::convert::Infallible>(respond(request, &requests, config, &activity).await) }
    });
    // Half closed connections are allowed so that nothing more is read while a request is handled: that
    // would take another buffer for each.
    let served = hyper::server::conn::http1::Builder::new()
        .half_close(true)
        .max_buf_size(MAX_CONNECTION_BUFFER)
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = served {
        tracing::debug!(event = %"connection_failed", error = error.to_string());
    }
}

async fn respond(
    request: Request<Incoming>,
    requests: &RequestSender,
    config: ServerConfig,
    activity: &ConnectionActivity,
) -> HttpResponse {
    activity.begin_request();
    let Handled { kind, response } = handle(request, requests, config, activity.admission()).await;
    match activity.end_request(kind) {
        AfterResponse::KeepAlive => response,
        AfterResponse::Close => responses::closing(response),
    }
}

/// A response, and what the request was.
struct Handled {
    kind: RequestKind,
    response: HttpResponse,
}

async fn handle(
    request: Request<Incoming>,
    requests: &RequestSender,
    config: ServerConfig,
    admission: Admission,
) -> Handled {
    let request = match requests::read(request, config.body_timeout).await {
        Ok(request) => request,
        Err(rejection) => return Handled { kind: RequestKind::User, response: responses::rejected(&rejection) },
    };
    // What is reserved for users and health checks is not for machines: they go to another controller.
    if admission == Admission::Reserved && matches!(request, ClientRequest::Heartbeat(_)) {
        let response = responses::rejected(&Rejection::ReservedForUsers);
        return Handled { kind: RequestKind::HeartbeatRefused, response };
    }
    let kind = request_kind(&request);
    match ask_core(request, requests, config.response_timeout).await {
        Some(answer) => Handled { kind: answered_kind(kind, &answer), response: responses::answered(answer) },
        None => Handled { kind, response: responses::rejected(&Rejection::NoResponseInTime) },
    }
}

fn request_kind(request: &ClientRequest) -> RequestKind {
    match request {
        ClientRequest::Submit(_) | ClientRequest::Status(_) | ClientRequest::Cancel(_) => RequestKind::User,
        ClientRequest::HealthCheck => RequestKind::HealthCheck,
        ClientRequest::Heartbeat(_) => RequestKind::Heartbeat,
    }
}

/// The kind of a request now that its answer is known.
fn answered_kind(kind: RequestKind, answer: &Answer) -> RequestKind {
    match (kind, answer) {
        (RequestKind::Heartbeat, Answer::Heartbeat(reply)) if reply.commands.is_empty() => RequestKind::Heartbeat,
        (RequestKind::Heartbeat, Answer::Heartbeat(_)) => RequestKind::HeartbeatWithCommands,
        (RequestKind::Heartbeat, _) => RequestKind::HeartbeatRefused,
        (other, _) => other,
    }
}

/// The answer of the core; `None` if it takes too long.
async fn ask_core(request: ClientRequest, requests: &RequestSender, timeout: Duration) -> Option<Answer> {
    // A heartbeat is answered with the batch that it comes in, so it needs no timer.
    let is_answered_at_once = matches!(request, ClientRequest::Heartbeat(_));
    let (responder, answer) = oneshot::channel();
    // There is room for one request of each connection, so this fails only when the process ends.
    requests.try_send(PendingRequest { request, responder }).ok()?;
    if is_answered_at_once {
        return answer.await.ok();
    }
    tokio::time::timeout(timeout, answer).await.ok()?.ok()
}
