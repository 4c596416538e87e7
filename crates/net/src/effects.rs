//! Executes the effects that the core hands out.
//!
//! Requests to other services run in tasks of their own, which end with their timeouts; each brings its
//! result back to the event loop as a command.

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

/// Share of the heartbeat interval that another service has for a response.
const TIMEOUT_INTERVALS: f64 = 0.4;
/// Frames that may wait for a peer, at the least.
const MIN_QUEUED_FRAMES: usize = 64;

/// All that is needed to execute effects.
pub(crate) struct EffectExecutor {
    node_name: String,
    kv: KvClient,
    cloud: CloudClient,
    agents: AgentClient,
    peers: PeerLinks,
    relayed: RelayedRequests,
    responses: PendingResponses,
    /// Takes the results of requests.
    results: mpsc::Sender<Command>,
    /// An unused connection to another service is closed after this time.
    max_connection_idle: Duration,
}

impl EffectExecutor {
    /// Opens the links to the peers; all other connections are opened when they are needed.
    pub(crate) fn new(
        settings: &Settings,
        config: &NetworkConfig,
        sockets: &SocketBudget,
        results: mpsc::Sender<Command>,
    ) -> EffectExecutor {
        let timeout = Duration::from_secs_f64(settings.heartbeat_interval_s).mul_f64(TIMEOUT_INTERVALS);
        let links = LinkConfig {
            own_name: settings.node_name.clone(),
            timeout,
            // Forwarded requests come at the rate of the key-value store and leave with each batch.
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

    /// Numbers a client's request, so that the effect with its answer finds the client.
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

    /// Takes what comes from a peer. Forwarded requests and responses concern only the clients of the
    /// key-value store; all else is a command.
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

    /// Executes one effect, or starts to.
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

    /// Closes connections to other services that have not been used for long.
    pub(crate) fn close_idle_connections(&self) {
        for client in [self.agents.http(), self.kv.http(), self.cloud.http()] {
            client.close_idle(self.max_connection_idle);
        }
    }

    /// Sends a request to the key-value store: through a peer if one is named and known, or else directly.
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

    /// Runs a request in a task of its own; its result becomes a command.
    fn spawn(&self, request: impl Future<Output = Command> + 'static) {
        let results = self.results.clone();
        tokio::task::spawn_local(async move {
            let result = request.await;
            // Fails only when the process ends.
            let _ = results.send(result).await;
        });
    }

    fn log(&self, event: &Event) {
        let (node, name, details) = (self.node_name.as_str(), event.name(), event.details());
        // `message` is written without a key, so the event's fields follow as they are.
        match event.severity() {
            Severity::Error => tracing::error!(%node, event = %name, message = %details),
            Severity::Info => tracing::info!(%node, event = %name, message = %details),
            Severity::Debug => tracing::debug!(%node, event = %name, message = %details),
        }
    }
}
