//! Requests to the key-value store and its answers, with the faults on their way.

use super::Simulation;
use super::event::{Event, RequestKind};
use super::fault::{Execution, LATE_EXECUTION_MS};
use super::network::CutSide;
use super::window::{Chance, Delay};
use crate::process::ProcessId;
use crate::store::{KeyValueStore, RequestKey};
use rand::Rng;
use shaleshunt_core::io::Command;
use shaleshunt_core::{KvRequest, RequestError};

/// Some transactions get no answer.
pub(super) struct LostAnswers {
    pub(super) chance: Chance,
    pub(super) execution: Execution,
}

/// The next transactions are carried out late and get no answer.
#[derive(Default)]
pub(super) struct DelayedTransactions {
    pub(super) left: u32,
    pub(super) by_ms: u64,
}

/// The key-value store and the faults of its traffic.
pub(super) struct StoreEndpoint {
    pub(super) service: KeyValueStore,
    pub(super) down_until: u64,
    /// Until when it refuses each controller.
    pub(super) refuses_until: Vec<u64>,
    /// How much later answers come; half of it on the way there.
    pub(super) slowness: Delay,
    pub(super) lost_answers: LostAnswers,
    pub(super) delayed_transactions: DelayedTransactions,
}

impl StoreEndpoint {
    pub(super) fn new(service: KeyValueStore, controllers: usize) -> StoreEndpoint {
        StoreEndpoint {
            service,
            down_until: 0,
            refuses_until: vec![0; controllers],
            slowness: Delay::default(),
            lost_answers: LostAnswers { chance: Chance::default(), execution: Execution::Late },
            delayed_transactions: DelayedTransactions::default(),
        }
    }

    pub(super) fn end_outage(&mut self, now: u64) {
        if self.service.down && now >= self.down_until {
            self.service.down = false;
        }
    }

    fn refuses(&self, controller: usize, now: u64) -> bool {
        now < self.refuses_until[controller]
    }

    /// How much later a message comes, one way.
    fn slowdown(&self, now: u64) -> u64 {
        self.slowness.at(now).unwrap_or(0) / 2
    }
}

impl Simulation {
    pub(super) fn send_to_store(
        &mut self,
        from: ProcessId,
        id: u64,
        request: KvRequest,
        via: Option<String>,
        delay: u64,
    ) {
        let now = self.queue.now();
        self.requests.open(from, id);
        let watch_ms = if let KvRequest::Watch { max_wait_ms, .. } = &request { *max_wait_ms } else { 0 };
        let timeout = Event::RequestTimeout { from, id, kind: RequestKind::Store };
        self.queue.schedule(now + self.request_timeout_ms() + watch_ms, timeout);
        if let Some(late_by) = self.answer_lost(&request, delay) {
            let event = Event::StoreRequest { from: from.without_answer(), id, request };
            self.queue.schedule(now + late_by, event);
            return;
        }
        let peer =
            via.and_then(|node_name| self.controller_labelled(&node_name)).filter(|peer| *peer != from.controller);
        if let Some(peer) = peer {
            self.relay_to_store(RequestKey { process: from, id }, request, peer, delay);
            return;
        }
        let slowdown = self.store.slowdown(now);
        let route = self.network.outside_route(now, from.controller, CutSide::Store);
        if let Some(at) = route.arrival(now, delay, slowdown) {
            self.queue.schedule(at, Event::StoreRequest { from, id, request });
        }
    }

    /// For a transaction whose answer will be lost: when it is carried out, in ms from now.
    fn answer_lost(&mut self, request: &KvRequest, delay: u64) -> Option<u64> {
        if !matches!(request, KvRequest::Transaction(_)) {
            return None;
        }
        let delayed = &mut self.store.delayed_transactions;
        if delayed.left > 0 {
            delayed.left -= 1;
            return Some(delayed.by_ms);
        }
        let lost = &self.store.lost_answers;
        let probability = lost.chance.at(self.queue.now())?;
        let execution = lost.execution;
        if !self.random.random_bool(probability) {
            return None;
        }
        match execution {
            Execution::AtOnce => Some(delay),
            Execution::Late => Some(self.random.random_range(LATE_EXECUTION_MS)),
        }
    }

    /// A request through a peer is served as the peer is.
    fn relay_to_store(&mut self, key: RequestKey, request: KvRequest, peer: usize, delay: u64) {
        let now = self.queue.now();
        let served = !self.store.refuses(peer, now)
            && self.network.outside_route(now, peer, CutSide::Store).is_open()
            && self.network.peers_connected(now, key.process.controller, peer)
            && self.controllers[peer].is_running();
        if !served {
            return;
        }
        match self.store.service.handle(now, key, request) {
            None => self.requests.relay(key),
            Some(result) => {
                let message = Event::Message { to: key.process, command: Command::Kv(key.id, result) };
                self.queue.schedule(now + delay * 2, message);
            }
        }
    }

    pub(super) fn handle_at_store(&mut self, from: ProcessId, id: u64, request: KvRequest) {
        let now = self.queue.now();
        if self.store.refuses(from.controller, now) {
            self.reply_from_store(from, Command::Kv(id, Err(RequestError::Unavailable)));
            return;
        }
        if let Some(result) = self.store.service.handle(now, RequestKey { process: from, id }, request) {
            self.reply_from_store(from, Command::Kv(id, result));
        }
        self.answer_watches();
    }

    fn reply_from_store(&mut self, to: ProcessId, command: Command) {
        let slowdown = self.store.slowdown(self.queue.now());
        self.reply_from_outside(to, command, CutSide::Store, slowdown);
    }

    /// Lets the store's time pass and sends the answers of watches.
    pub(super) fn answer_watches(&mut self) {
        let now = self.queue.now();
        for answer in self.store.service.advance(now) {
            let to = answer.request.process;
            let command = Command::Kv(answer.request.id, Ok(answer.reply));
            if self.requests.end_relay(answer.request) {
                let delay = self.network_delay() * 2;
                self.queue.schedule(now + delay, Event::Message { to, command });
            } else if !self.store.refuses(to.controller, now) {
                self.reply_from_store(to, command);
            }
        }
    }
}
