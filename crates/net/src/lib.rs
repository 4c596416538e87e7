//! Input and output of a node: HTTP servers and clients, links between controllers, and the loop
//! that hands batches to the owner and carries out its effects.

pub mod client;
pub mod connections;
pub mod idle_times;
pub mod meter;
pub mod outside;
pub mod peers;
pub mod permits;
pub mod server;
pub mod sockets;

use bytes::Bytes;
use client::{Budget, Call, Client};
use peers::{Heard, Link};
use permits::Urgency;
use server::Ask;
use shaleshunt_core::io::{Answer, Command, Effect, RequestId};
use shaleshunt_core::{Controller, KvReply, KvRequest, RequestError, Settings, Severity, Timestamp, Tuning};
use shaleshunt_peer::Frame;
use sockets::Sockets;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

/// Addresses and limits of a node.
#[derive(Debug, Clone)]
pub struct Wiring {
    /// Where users, workers and health checks come in.
    pub front: String,
    /// Where the other controllers come in.
    pub back: String,
    /// The other controllers' addresses by name.
    pub peers: Vec<(String, String)>,
    /// The state service.
    pub state: String,
    /// The cloud.
    pub cloud: String,
    /// Most open sockets.
    pub sockets: usize,
}

/// Most commands in one batch, so that health checks never wait for long.
const BATCH: usize = 256;
/// Answers and frames waiting for the owner. Whoever brings more waits with it, so nothing is lost.
const QUEUE: usize = 4096;
/// Longest answer that is passed on to a peer: a frame, less what goes around it.
const MAX_RELAYED: usize = shaleshunt_peer::MAX_FRAME - 1024;
/// Memory that one connection may come to, in KiB.
const CONNECTION_KIB: f64 = 20.0;
/// Frames waiting for a peer, at the least; more than a second's requests are dropped, as in a network.
const LEAST_FRAMES: usize = 64;
/// A connection that brings nothing for so many reporting intervals is closed: its machine or user
/// is gone or cut off.
const IDLE_REPORTS: f64 = 4.0;

type Relays = Rc<RefCell<HashMap<u64, oneshot::Sender<(u16, Bytes)>>>>;

/// A node with its connections.
struct Hands {
    me: Rc<Settings>,
    wiring: Wiring,
    state: Client,
    cloud: Client,
    workers: Client,
    links: HashMap<String, Link>,
    relays: Relays,
    /// Frames dropped since a peer's link last took one.
    dropped: HashMap<String, u64>,
    /// Number of the last request passed on through a peer. It begins anywhere, so that an answer to
    /// an earlier process, which may come just after a restart, is not taken for one to this one.
    relay_count: u64,
    cloud_budget: Budget,
    done: mpsc::Sender<Command>,
    asked: HashMap<RequestId, oneshot::Sender<Answer>>,
    patience: Duration,
}

/// Runs a node until the process ends. Fails only if it cannot listen.
pub async fn run(settings: Settings, tuning: Tuning, wiring: Wiring) -> std::io::Result<()> {
    let front = TcpListener::bind(&wiring.front).await?;
    let back = TcpListener::bind(&wiring.back).await?;
    tracing::info!(node = %settings.node_name, event = %"listening", front = %wiring.front, back = %wiring.back);
    let report = Duration::from_secs_f64(settings.heartbeat_interval_s);
    let patience = report.mul_f64(0.4);
    let by_memory = (settings.mem_mb * 1024.0 / 2.0 / CONNECTION_KIB) as usize;
    let sockets = Sockets::new(wiring.sockets);
    let limits = server::Limits {
        connections: sockets.incoming().min(by_memory).max(16),
        reserved: sockets.reserved(),
        report,
        idle: report.mul_f64(IDLE_REPORTS),
        patience: Duration::from_secs_f64(shaleshunt_wire::SUBMIT_TIMEOUT_S),
        answer: Duration::from_secs_f64(shaleshunt_wire::HEARTBEAT_TIMEOUT_S),
    };
    // A connection has one request under way, so there is room for all.
    let (asks, mut asked) = mpsc::channel(limits.connections + limits.reserved);
    let (done, mut results) = mpsc::channel(QUEUE);
    let (hear, mut heard) = mpsc::channel(QUEUE);
    tokio::task::spawn_local(server::serve(front, asks, limits, sockets.clone()));
    tokio::task::spawn_local(peers::listen(back, hear, sockets.clone()));
    // Requests that are passed on come at the rate of the state service; they leave with each batch.
    let frames = (settings.kv_rps as usize).max(LEAST_FRAMES);
    let links = wiring
        .peers
        .iter()
        .map(|(node_name, address)| {
            (node_name.clone(), peers::dial(settings.node_name.clone(), address.clone(), patience, frames))
        })
        .collect();
    let began = Instant::now();
    let mut node = Controller::new(settings.clone(), tuning, now(began), rand::random());
    let mut hands = Hands {
        state: Client::new(&sockets, sockets.state(), patience),
        cloud: Client::new(&sockets, sockets.cloud(), patience),
        workers: Client::new(&sockets, sockets.calls(), patience / 2),
        links,
        relays: Relays::default(),
        dropped: HashMap::new(),
        relay_count: rand::random(),
        cloud_budget: Budget::new(settings.cloud_rps * 0.9),
        done,
        asked: HashMap::new(),
        patience,
        me: Rc::new(settings),
        wiring,
    };
    let unused = Duration::from_secs_f64(hands.me.lease_s);
    let mut tidied = Instant::now();
    let mut meter = meter::Meter::new();
    let mut asks_taken: RequestId = 1 << 63;
    let mut tick = tokio::time::interval(Duration::from_millis(hands.me.max_batch_interval_ms().max(1)));
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let mut batch = Vec::new();
        let mut first_ask = None;
        tokio::select! {
            biased;
            Some(command) = results.recv() => batch.push(command),
            Some(h) = heard.recv() => batch.extend(hands.hear(h)),
            Some(ask) = asked.recv() => first_ask = Some(ask),
            _ = tick.tick() => batch.push(Command::Tick),
        }
        while batch.len() < BATCH
            && let Ok(command) = results.try_recv()
        {
            batch.push(command);
        }
        while batch.len() < BATCH
            && let Ok(h) = heard.try_recv()
        {
            batch.extend(hands.hear(h));
        }
        while batch.len() < BATCH
            && let Some((ask, tell)) = first_ask.take().or_else(|| asked.try_recv().ok())
        {
            asks_taken += 1;
            hands.asked.insert(asks_taken, tell);
            batch.push(match ask {
                Ask::Submit(s) => Command::Submit(asks_taken, s),
                Ask::Status(job) => Command::Status(asks_taken, job),
                Ask::Withdraw(job) => Command::Cancel(asks_taken, job),
                Ask::Up => Command::HealthCheck(asks_taken),
                Ask::Checkin(r) => Command::Heartbeat(asks_taken, r),
            });
        }
        node.begin(now(began));
        for command in batch {
            meter.time(meter::command(&command), || node.take(command));
        }
        for effect in meter.time("due", || node.finish()) {
            meter.time(meter::effect(&effect), || hands.carry_out(effect));
        }
        if let Some(line) = meter.line(report) {
            tracing::debug!(node = %hands.me.node_name, event = %"owner_loop", message = %line);
        }
        if tidied.elapsed() > report / 10 {
            tidied = Instant::now();
            for client in [&hands.workers, &hands.state, &hands.cloud] {
                client.tidy(unused);
            }
        }
    }
}

fn now(began: Instant) -> Timestamp {
    let wall_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64);
    // Never 0, so that 0 can stand for "never".
    Timestamp { monotonic_ms: began.elapsed().as_millis() as u64 + 1, wall_ms }
}

impl Hands {
    /// What came from a peer: requests to pass on are the clients' business, not the owner's.
    fn hear(&mut self, heard: Heard) -> Option<Command> {
        match heard {
            Heard::Lost(from) => Some(Command::PeerDisconnected(from)),
            Heard::Frame(from, Frame::Relay { id, body }) => {
                let (state, link) = (self.state.clone(), self.links.get(&from).cloned());
                let (address, patience) = (self.wiring.state.clone(), self.patience);
                tokio::task::spawn_local(async move {
                    let Ok(request) = serde_json::from_slice::<KvRequest>(&body) else { return };
                    let (method, path, body) = outside::state_request(&request);
                    let patience = patience + hold(&request);
                    let call =
                        Call { address: &address, method, path: &path, body, patience, urgency: Urgency::Normal };
                    let (status, body) = match state.send(call).await {
                        // What no frame holds is no answer; of a watch it means to read anew.
                        Ok((_, body)) if body.len() > MAX_RELAYED => {
                            (if matches!(request, KvRequest::Watch { .. }) { 410 } else { 0 }, Bytes::new())
                        }
                        Ok(answer) => answer,
                        Err(RequestError::NotSent | RequestError::LocalOverload) => (503, Bytes::new()),
                        Err(_) => (0, Bytes::new()),
                    };
                    if let Some(link) = link {
                        let _ = link.try_send(Frame::Relayed { id, status, body });
                    }
                });
                None
            }
            Heard::Frame(_, Frame::Relayed { id, status, body }) => {
                if let Some(tell) = self.relays.borrow_mut().remove(&id) {
                    let _ = tell.send((status, body));
                }
                None
            }
            Heard::Frame(from, frame) => Some(Command::Peer(from, frame)),
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Answer(id, answer) => {
                if let Some(tell) = self.asked.remove(&id) {
                    let _ = tell.send(answer);
                }
            }
            Effect::Log(event) => {
                let (node, name, details) = (self.me.node_name.as_str(), event.name(), event.details());
                // `message` is written without a key, so the event's fields follow as they are.
                match event.severity() {
                    Severity::Error => tracing::error!(%node, event = %name, message = %details),
                    Severity::Info => tracing::info!(%node, event = %name, message = %details),
                    Severity::Debug => tracing::debug!(%node, event = %name, message = %details),
                }
            }
            Effect::Peer(node_name, frame) => {
                self.tell_peer(node_name, frame);
            }
            Effect::Kv(id, request, via) => self.ask_state(id, request, via),
            Effect::Cloud(id, request) => {
                let affordable = self.cloud_budget.take();
                let (cloud, address, done) = (self.cloud.clone(), self.wiring.cloud.clone(), self.done.clone());
                let patience = self.patience * 3;
                tokio::task::spawn_local(async move {
                    let result = if affordable {
                        let (method, path, body) = outside::cloud_request(&request);
                        let urgency = Urgency::Normal;
                        let call = Call { address: &address, method, path: &path, body, patience, urgency };
                        let answer = cloud.send(call).await;
                        answer.and_then(|(status, body)| outside::cloud_reply(&request, status, &body))
                    } else {
                        Err(RequestError::Throttled)
                    };
                    let _ = done.send(Command::Cloud(id, result)).await;
                });
            }
            Effect::DirectCommands(id, address, commands) => {
                let (workers, done, patience) = (self.workers.clone(), self.done.clone(), self.patience);
                let urgency = outside::orders_urgency(&commands);
                tokio::task::spawn_local(async move {
                    let body = serde_json::to_vec(&commands).map(Bytes::from).unwrap_or_default();
                    let path = shaleshunt_wire::paths::COMMANDS;
                    let method = hyper::Method::POST;
                    let call = Call { address: &address, method, path, body, patience, urgency };
                    let answer = workers.send(call).await;
                    let result = answer.and_then(|(status, body)| outside::orders_reply(status, &body));
                    let _ = done.send(Command::DirectCommands(id, result)).await;
                });
            }
        }
    }

    /// Hands a frame to a peer's link. What a link does not take is dropped, as a network would.
    fn tell_peer(&mut self, node_name: String, frame: Frame) {
        let Some(link) = self.links.get(&node_name) else { return };
        if link.try_send(frame).is_ok() {
            if let Some(frames) = self.dropped.remove(&node_name) {
                tracing::info!(node = %self.me.node_name, event = %"peer_frames_dropped", peer = %node_name, frames);
            }
            return;
        }
        let frames = self.dropped.entry(node_name.clone()).or_default();
        *frames += 1;
        if *frames == 1 {
            tracing::info!(node = %self.me.node_name, event = %"peer_link_full", peer = %node_name);
        }
    }

    fn ask_state(&mut self, id: RequestId, request: KvRequest, via: Option<String>) {
        let done = self.done.clone();
        let patience = self.patience + hold(&request);
        let link = via.and_then(|peer| self.links.get(&peer).cloned());
        if let Some(link) = link {
            self.relay_count = self.relay_count.wrapping_add(1);
            let (number, relays) = (self.relay_count, self.relays.clone());
            tokio::task::spawn_local(async move {
                let (tell, told) = oneshot::channel();
                relays.borrow_mut().insert(number, tell);
                let body = serde_json::to_vec(&request).map(Bytes::from).unwrap_or_default();
                let result = if link.try_send(Frame::Relay { id: number, body }).is_err() {
                    Err(RequestError::NotSent)
                } else {
                    match tokio::time::timeout(patience, told).await {
                        Ok(Ok((status, body))) => outside::state_reply(&request, status, &body),
                        _ => Err(RequestError::OutcomeUnknown),
                    }
                };
                relays.borrow_mut().remove(&number);
                let _ = done.send(Command::Kv(id, result)).await;
            });
            return;
        }
        let (state, address) = (self.state.clone(), self.wiring.state.clone());
        tokio::task::spawn_local(async move {
            let (method, path, body) = outside::state_request(&request);
            let urgency = Urgency::Normal;
            let call = Call { address: &address, method, path: &path, body, patience, urgency };
            let answer = state.send(call).await;
            let result = match answer {
                // More changes than are taken at once: to be read anew.
                Err(RequestError::TooLong) if matches!(request, KvRequest::Watch { .. }) => Ok(KvReply::Compacted),
                answer => answer.and_then(|(status, body)| outside::state_reply(&request, status, &body)),
            };
            let _ = done.send(Command::Kv(id, result)).await;
        });
    }
}

/// Time that a request waits at the state service by itself.
fn hold(request: &KvRequest) -> Duration {
    match request {
        KvRequest::Watch { hold_ms, .. } => Duration::from_millis(*hold_ms),
        _ => Duration::ZERO,
    }
}
