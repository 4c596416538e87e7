//! The HTTP server for users, agents and health checks.

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

/// Memory reserved for each connection.
const MEMORY_PER_CONNECTION_KIB: f64 = 20.0;
/// Fraction of the process's memory that connections may take.
const CONNECTIONS_MEMORY_FRACTION: f64 = 0.5;
/// Connections allowed even if memory or sockets suffice for fewer.
const MIN_CONNECTIONS: usize = 16;
/// An idle connection is closed after this time, because its machine or user is gone or unreachable.
const IDLE_TIMEOUT_HEARTBEAT_INTERVALS: f64 = 4.0;
/// Limit of a connection's buffer.
const MAX_CONNECTION_BUFFER_BYTES: usize = 32 * 1024;
/// Pause after `accept` fails, for example for want of file descriptors.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// A decoded request for the core.
#[derive(Debug)]
pub enum ClientRequest {
    /// A user submits a job.
    Submit(Box<Submission>),
    /// A user asks for the status of the job with this identifier.
    Status(String),
    /// A user cancels the job with this identifier.
    Cancel(String),
    /// A health check.
    HealthCheck,
    /// An agent's heartbeat with its status.
    Heartbeat(Box<Heartbeat>),
}

/// A request that waits for the core's answer. Dropping the responder rejects the request with status 503.
#[derive(Debug)]
pub struct PendingRequest {
    /// The decoded request.
    pub request: ClientRequest,
    /// Receives the core's answer.
    pub responder: oneshot::Sender<Answer>,
}

/// The channel on which the server sends requests to the event loop.
pub type RequestSender = mpsc::Sender<PendingRequest>;

/// Limits and timeouts of the server.
#[derive(Debug, Clone, Copy)]
pub struct ServerConfig {
    /// Limits of open connections.
    pub connections: ConnectionLimits,
    /// Interval between the heartbeats of an agent.
    pub heartbeat_interval: Duration,
    /// Timeout for the arrival of a request's head, and so for an idle connection.
    pub idle_timeout: Duration,
    /// Timeout for the arrival of a request's body.
    pub body_timeout: Duration,
    /// Timeout for the core's answer; does not apply to heartbeats.
    pub response_timeout: Duration,
}

impl ServerConfig {
    /// Limits derived from the settings and from the socket budget.
    pub fn new(settings: &Settings, sockets: &SocketBudget) -> ServerConfig {
        let memory_kib = settings.mem_mb * 1024.0 * CONNECTIONS_MEMORY_FRACTION;
        let allowed_by_memory = (memory_kib / MEMORY_PER_CONNECTION_KIB) as usize;
        let max = sockets.client_connections().min(allowed_by_memory).max(MIN_CONNECTIONS);
        let heartbeat_interval = Duration::from_secs_f64(settings.heartbeat_interval_s);
        ServerConfig {
            connections: ConnectionLimits { max, reserved: sockets.reserved_connections() },
            heartbeat_interval,
            idle_timeout: heartbeat_interval.mul_f64(IDLE_TIMEOUT_HEARTBEAT_INTERVALS),
            body_timeout: Duration::from_secs_f64(shaleshunt_wire::SUBMIT_TIMEOUT_S),
            response_timeout: Duration::from_secs_f64(shaleshunt_wire::HEARTBEAT_TIMEOUT_S),
        }
    }

    /// Most requests that can be in flight, because a connection has one at a time.
    pub fn max_concurrent_requests(&self) -> usize {
        self.connections.max + self.connections.reserved
    }
}

/// Accepts and serves connections without end; dropping the future closes them all.
pub async fn serve(listener: TcpListener, requests: RequestSender, config: ServerConfig, sockets: SocketBudget) {
    let connections = Connections::new(config.connections, config.heartbeat_interval, config.idle_timeout);
    let mut limit_log = ConnectionLimitLog::default();
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
        limit_log.update(admission, connections.open_count(), config.connections);
        if admission == Admission::Refused {
            // Dropping the stream closes the connection at once, so that its client tries another controller.
            continue;
        }
        let requests = requests.clone();
        connections.spawn(sockets.open(), admission, |activity| serve_connection(stream, requests, config, activity));
    }
}

/// Logs that the connection limit was reached, and again only after the number of connections has fallen to half of it.
#[derive(Default)]
struct ConnectionLimitLog {
    is_logged: bool,
}

impl ConnectionLimitLog {
    fn update(&mut self, admission: Admission, open: usize, limits: ConnectionLimits) {
        if admission != Admission::Open && !self.is_logged {
            self.is_logged = true;
            // Heartbeats on new connections are now rejected or not read, and their agents turn to other controllers.
            tracing::info!(event = %"connection_limit_reached", open);
        }
        if open <= limits.max / 2 {
            self.is_logged = false;
        }
    }
}

async fn serve_connection(
    stream: TcpStream,
    requests: RequestSender,
    config: ServerConfig,
    activity: ConnectionActivity,
) {
    // Without TCP_NODELAY responses are only delayed, so a failure is ignored.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let (requests, activity) = (requests.clone(), activity.clone());
        async move { Ok::<_, std::convert::Infallible>(respond(request, &requests, config, &activity).await) }
    });
    // Half-closed connections are allowed, because the server would otherwise read from the connection while a request
    // is handled, which takes another buffer for each connection.
    let served = hyper::server::conn::http1::Builder::new()
        .half_close(true)
        .max_buf_size(MAX_CONNECTION_BUFFER_BYTES)
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

/// A response with the kind of its request.
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
    // Connections reserved for users and health checks reject heartbeats; the agents turn to another controller.
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

/// The kind of a request in view of its answer, which tells for a heartbeat when the next one is expected.
fn answered_kind(kind: RequestKind, answer: &Answer) -> RequestKind {
    match (kind, answer) {
        (RequestKind::Heartbeat, Answer::Heartbeat(reply)) if reply.commands.is_empty() => RequestKind::Heartbeat,
        (RequestKind::Heartbeat, Answer::Heartbeat(_)) => RequestKind::HeartbeatWithCommands,
        (RequestKind::Heartbeat, _) => RequestKind::HeartbeatRefused,
        (other, _) => other,
    }
}

/// Passes a request to the core and waits for the answer; `None` if there is none within the timeout.
async fn ask_core(request: ClientRequest, requests: &RequestSender, timeout: Duration) -> Option<Answer> {
    // The core answers a heartbeat in the batch that contains it, so a heartbeat needs no timeout.
    let is_answered_at_once = matches!(request, ClientRequest::Heartbeat(_));
    let (responder, answer) = oneshot::channel();
    // The channel has room for one request of each connection, so sending fails only while the process shuts down.
    requests.try_send(PendingRequest { request, responder }).ok()?;
    if is_answered_at_once {
        return answer.await.ok();
    }
    tokio::time::timeout(timeout, answer).await.ok()?.ok()
}
