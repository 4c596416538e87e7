//! The event loop: collects commands into batches, has the core process each batch, and executes the effects that
//! the core returns.

mod inbox;

use crate::clock::Clock;
use crate::config::NetworkConfig;
use crate::effects::EffectExecutor;
use crate::error::{Listener, RunError};
use crate::loop_metrics::{self, LoopMetrics};
use crate::peer_links;
use crate::server::{self, ServerConfig};
use crate::socket_budget::SocketBudget;
use crate::task::AbortOnDrop;
use inbox::{Inbox, Input};
use shaleshunt_core::{Batch, Command, Controller, Settings, Tuning};
use std::convert::Infallible;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Bounds the time that a health check waits for the batch before its own.
const MAX_BATCH_COMMANDS: usize = 256;
/// Capacity of the queue of results and of the queue of peer events. A task that sends to a full queue waits, so
/// nothing is lost.
const QUEUE_CAPACITY: usize = 4096;
/// Idle connections to other services are looked for at this rate.
const IDLE_CHECKS_PER_HEARTBEAT: u32 = 10;

/// Runs a controller until the process ends; must be called within a [`tokio::task::LocalSet`].
///
/// # Errors
///
/// [`RunError::Bind`] if a listening socket cannot be opened on the client address or on the peer address.
pub async fn run(settings: Settings, tuning: Tuning, config: NetworkConfig) -> Result<Infallible, RunError> {
    let listeners = Listeners::bind(&config).await?;
    let (front, back) = (&config.client_address, &config.peer_address);
    tracing::info!(node = %settings.node_name, event = %"listening", %front, %back);
    EventLoop::new(settings, tuning, &config, listeners).run().await
}

/// The listening sockets of a controller.
struct Listeners {
    clients: TcpListener,
    peers: TcpListener,
}

impl Listeners {
    async fn bind(config: &NetworkConfig) -> Result<Listeners, RunError> {
        let clients = bind(Listener::Clients, &config.client_address).await?;
        let peers = bind(Listener::Peers, &config.peer_address).await?;
        Ok(Listeners { clients, peers })
    }
}

async fn bind(listener: Listener, address: &str) -> Result<TcpListener, RunError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|source| RunError::Bind { listener, address: address.to_string(), source })
}

/// The core with its inputs, its effects and the servers that run beside it.
struct EventLoop {
    node_name: String,
    core: Controller,
    inbox: Inbox,
    effects: EffectExecutor,
    clock: Clock,
    metrics: LoopMetrics,
    heartbeat_interval: Duration,
    idle_checked_at: Instant,
    /// The tasks of the HTTP server and of the peer acceptor; both end with the event loop.
    _servers: [AbortOnDrop; 2],
}

impl EventLoop {
    fn new(settings: Settings, tuning: Tuning, config: &NetworkConfig, listeners: Listeners) -> EventLoop {
        let sockets = SocketBudget::new(config.max_sockets);
        let server_config = ServerConfig::new(&settings, &sockets);
        let (requests_sender, requests) = mpsc::channel(server_config.max_concurrent_requests());
        let (results_sender, results) = mpsc::channel(QUEUE_CAPACITY);
        let (peer_events_sender, peer_events) = mpsc::channel(QUEUE_CAPACITY);
        let server = server::serve(listeners.clients, requests_sender, server_config, sockets.clone());
        let peer_acceptor = peer_links::accept_peers(listeners.peers, peer_events_sender, sockets.clone());
        let servers = [tokio::task::spawn_local(server).into(), tokio::task::spawn_local(peer_acceptor).into()];
        let effects = EffectExecutor::new(&settings, config, &sockets, results_sender);
        let tick_interval = Duration::from_millis(settings.max_batch_interval_ms().max(1));
        let clock = Clock::start();
        EventLoop {
            node_name: settings.node_name.clone(),
            heartbeat_interval: Duration::from_secs_f64(settings.heartbeat_interval_s),
            core: Controller::new(settings, tuning, clock.now(), rand::random()),
            inbox: Inbox::new(results, peer_events, requests, tick_interval),
            effects,
            clock,
            metrics: LoopMetrics::new(),
            idle_checked_at: Instant::now(),
            _servers: servers,
        }
    }

    async fn run(mut self) -> ! {
        loop {
            let batch = self.collect_batch().await;
            self.process(batch);
            self.log_metrics();
            self.close_idle_connections();
        }
    }

    /// Waits for one input, then adds what else has arrived up to the size limit of a batch: first results, then
    /// peer events, then client requests.
    async fn collect_batch(&mut self) -> Batch {
        let mut batch = Batch::new();
        let mut first_request = None;
        match self.inbox.wait().await {
            Input::Result(command) => batch.push(command),
            Input::PeerEvent(event) => batch.extend(self.effects.handle_peer_event(event)),
            Input::Request(request) => first_request = Some(request),
            Input::Tick => batch.push(Command::Tick),
        }
        while batch.len() < MAX_BATCH_COMMANDS
            && let Some(command) = self.inbox.try_result()
        {
            batch.push(command);
        }
        while batch.len() < MAX_BATCH_COMMANDS
            && let Some(event) = self.inbox.try_peer_event()
        {
            batch.extend(self.effects.handle_peer_event(event));
        }
        while batch.len() < MAX_BATCH_COMMANDS
            && let Some(request) = first_request.take().or_else(|| self.inbox.try_request())
        {
            batch.push(self.effects.accept(request));
        }
        batch
    }

    /// Passes a batch to the core and executes the returned effects in order.
    fn process(&mut self, batch: Batch) {
        self.core.begin_batch(self.clock.now());
        for command in batch {
            let kind = loop_metrics::command_kind(&command);
            self.metrics.measure(kind, || self.core.handle_command(command));
        }
        let effects = self.metrics.measure(loop_metrics::DUE_WORK, || self.core.end_batch());
        for effect in effects {
            let kind = loop_metrics::effect_kind(&effect);
            self.metrics.measure(kind, || self.effects.execute(effect));
        }
    }

    fn log_metrics(&mut self) {
        if let Some(line) = self.metrics.take_line(self.heartbeat_interval) {
            tracing::debug!(node = %self.node_name, event = %"owner_loop", message = %line);
        }
    }

    fn close_idle_connections(&mut self) {
        if self.idle_checked_at.elapsed() > self.heartbeat_interval / IDLE_CHECKS_PER_HEARTBEAT {
            self.idle_checked_at = Instant::now();
            self.effects.close_idle_connections();
        }
    }
}
