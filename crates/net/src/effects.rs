//! Executes the effects that the core returns.
//!
//! Each request to another service runs in its own task, bounded by the request's timeout. The result returns to the
//! event loop as a command.

use crate::client::HttpResponse;
use crate::config::NetworkConfig;
use crate::peer_links::{LinkConfig, PeerEvent, PeerLinks};
use crate::pending_responses::PendingResponses;
use crate::relay::{self, RelayedRequests};
use crate::server::{ClientRequest, PendingRequest};
use crate::services::{AgentClient, CloudClient, KvClient};
use crate::socket_budget::SocketBudget;
use shaleshunt_core::io::{Command, Effect, RequestId};
use shaleshunt_core::{Event, KvRequest, Settings, Severity};
use shaleshunt_peer::Frame;
use std::time::Duration;
use tokio::sync::mpsc;

/// Fraction of the heartbeat interval after which a request to another service times out. Requests to the cloud have a
/// multiple of this, and a watch also has the time that the store may wait for a change.
const REQUEST_TIMEOUT_HEARTBEAT_FRACTION: f64 = 0.4;
/// Least capacity of a link's queue, for low request rates of the store.
const MIN_QUEUED_FRAMES: usize = 64;

/// Executes effects with clients of the other services, links to the peers and the responders of pending requests.
pub(crate) struct EffectExecutor {
    node_name: String,
    kv: KvClient,
    cloud: CloudClient,
    agents: AgentClient,
    peers: PeerLinks,
    relayed: RelayedRequests,
    responses: PendingResponses,
    /// Sends the results of requests to the event loop.
    results: mpsc::Sender<Command>,
    /// Connections to other services that stay idle for this long are closed.
    max_connection_idle: Duration,
}

impl EffectExecutor {
    /// Opens the links to the peers; all other connections are opened on demand.
    pub(crate) fn new(
        settings: &Settings,
        config: &NetworkConfig,
        sockets: &SocketBudget,
        results: mpsc::Sender<Command>,
    ) -> EffectExecutor {
        let timeout =
            Duration::from_secs_f64(settings.heartbeat_interval_s).mul_f64(REQUEST_TIMEOUT_HEARTBEAT_FRACTION);
        let links = LinkConfig {
            own_name: settings.node_name.clone(),
            timeout,
            // Relayed requests arrive at most at the store's request rate, and each write to a link empties its queue.
            max_queued_frames: (settings.kv_rps as usize).max(MIN_QUEUED_FRAMES),
        };
        EffectExecutor {
            node_name: settings.node_name.clone(),
            kv: KvClient::new(sockets, &config.kv_address, timeout),
            cloud: CloudClient::new(sockets, &config.cloud_address, timeout, settings.cloud_rps),
            agents: AgentClient::new(sockets, timeout),
            peers: PeerLinks::open(&config.peers, &links),
            relayed: RelayedRequests::new(),
            responses: PendingResponses::new(),
            results,
            max_connection_idle: Duration::from_secs_f64(settings.lease_s),
        }
    }

    /// Registers a client's request under a new identifier, with which the core's answer finds the client.
    pub(crate) fn accept(&mut self, pending: PendingRequest) -> Command {
        let id = self.responses.add(pending.responder);
        match pending.request {
            ClientRequest::Submit(submission) => Command::Submit(id, submission),
            ClientRequest::Status(job) => Command::Status(id, job),
            ClientRequest::Cancel(job) => Command::Cancel(id, job),
            ClientRequest::HealthCheck => Command::HealthCheck(id),
            ClientRequest::Heartbeat(heartbeat) => Command::Heartbeat(id, heartbeat),
        }
    }

    /// Handles relayed requests and responses, which concern only the key-value store's client, and turns every other
    /// event of a peer into a command.
    pub(crate) fn handle_peer_event(&mut self, event: PeerEvent) -> Option<Command> {
        match event {
            PeerEvent::Disconnected(peer) => Some(Command::PeerDisconnected(peer)),
            PeerEvent::Frame { from, frame: Frame::ForwardedRequest { id, body } } => {
                let link_back = self.peers.get(&from);
                tokio::task::spawn_local(relay::execute_for_peer(self.kv.clone(), link_back, id, body));
                None
            }
            PeerEvent::Frame { frame: Frame::ForwardedResponse { id, status, body }, .. } => {
                self.relayed.respond(id, HttpResponse { status, body });
                None
            }
            PeerEvent::Frame { from, frame } => Some(Command::Peer(from, frame)),
        }
    }

    /// Executes one effect; requests to other services are only started.
    pub(crate) fn execute(&mut self, effect: Effect) {
        match effect {
            Effect::Answer(id, answer) => self.responses.respond(id, answer),
            Effect::Log(event) => self.log(&event),
            Effect::Peer(peer, frame) => self.peers.send(&peer, frame),
            Effect::Kv(id, request, relay) => self.send_kv(id, request, relay),
            Effect::Cloud(id, request) => {
                let call = self.cloud.execute(request);
                self.spawn(async move { Command::Cloud(id, call.await) });
            }
            Effect::DirectCommands(id, address, commands) => {
                let agents = self.agents.clone();
                self.spawn(async move { Command::DirectCommands(id, agents.execute(&address, &commands).await) });
            }
        }
    }

    /// Closes connections to other services that have been idle for too long.
    pub(crate) fn close_idle_connections(&self) {
        for client in [self.agents.http(), self.kv.http(), self.cloud.http()] {
            client.close_idle(self.max_connection_idle);
        }
    }

    /// Sends a request to the key-value store: through the peer `relay` if it is given and configured, else directly.
    fn send_kv(&mut self, id: RequestId, request: KvRequest, relay: Option<String>) {
        let link = relay.and_then(|peer| self.peers.get(&peer));
        let kv = self.kv.clone();
        if let Some(link) = link {
            let relayed = self.relayed.next();
            self.spawn(async move {
                let timeout = kv.timeout(&request);
                Command::Kv(id, relayed.execute(&link, &request, timeout).await)
            });
        } else {
            self.spawn(async move { Command::Kv(id, kv.execute(&request).await) });
        }
    }

    /// Runs a request in its own task and sends the result to the event loop.
    fn spawn(&self, request: impl Future<Output = Command> + 'static) {
        let results = self.results.clone();
        tokio::task::spawn_local(async move {
            let result = request.await;
            // Sending fails only while the process shuts down.
            let _ = results.send(result).await;
        });
    }

    fn log(&self, event: &Event) {
        let (node, name, details) = (self.node_name.as_str(), event.name(), event.details());
        // The log format writes `message` without a key, so the event's `key=value` details follow unchanged.
        match event.severity() {
            Severity::Error => tracing::error!(%node, event = %name, message = %details),
            Severity::Info => tracing::info!(%node, event = %name, message = %details),
            Severity::Debug => tracing::debug!(%node, event = %name, message = %details),
        }
    }
}
