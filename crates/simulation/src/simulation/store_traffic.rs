//! Requests to the key-value store and replies from it, with the injected faults of their network paths.

use super::Simulation;
use super::event::{Event, RequestKind};
use super::fault::{LATE_EXECUTION_MS, TransactionExecution};
use super::network::PartitionScope;
use super::repetition::RepeatedKind;
use super::temporary::{TemporaryDelay, TemporaryProbability};
use crate::process::ProcessId;
use crate::store::{KeyValueStore, RequestKey};
use rand::Rng;
use shaleshunt_core::io::Command;
use shaleshunt_core::{KvReply, KvRequest, RequestError};

/// Injected fault that loses the answers to some transactions.
pub(super) struct LostAnswers {
    pub(super) probability: TemporaryProbability,
    pub(super) execution: TransactionExecution,
}

/// Injected fault that executes the next transactions late and loses their answers.
#[derive(Default)]
pub(super) struct DelayedTransactions {
    /// Number of transactions still to delay.
    pub(super) remaining: u32,
    pub(super) delay_ms: u64,
}

/// The simulated key-value store and the injected faults of its traffic.
pub(super) struct StoreEndpoint {
    pub(super) service: KeyValueStore,
    /// End of the store's outage, in ms; meaningful only while the store is down.
    pub(super) down_until_ms: u64,
    /// Until when the store refuses each controller, in ms, by index of the controller; 0 without this fault.
    pub(super) refused_until_ms: Vec<u64>,
    /// Additional round-trip time of requests, half of it in each direction.
    pub(super) latency: TemporaryDelay,
    pub(super) lost_answers: LostAnswers,
    pub(super) delayed_transactions: DelayedTransactions,
}

impl StoreEndpoint {
    pub(super) fn new(service: KeyValueStore, controllers: usize) -> StoreEndpoint {
        StoreEndpoint {
            service,
            down_until_ms: 0,
            refused_until_ms: vec![0; controllers],
            latency: TemporaryDelay::default(),
            lost_answers: LostAnswers {
                probability: TemporaryProbability::default(),
                execution: TransactionExecution::Late,
            },
            delayed_transactions: DelayedTransactions::default(),
        }
    }

    pub(super) fn end_outage(&mut self, now: u64) {
        if self.service.down && now >= self.down_until_ms {
            self.service.down = false;
        }
    }

    fn refuses(&self, controller: usize, now: u64) -> bool {
        now < self.refused_until_ms[controller]
    }

    /// Additional delay of a message to or from the store, in ms.
    fn extra_delay_ms(&self, now: u64) -> u64 {
        self.latency.at(now).unwrap_or(0) / 2
    }
}

impl Simulation {
    pub(super) fn send_to_store(
        &mut self,
        from: ProcessId,
        id: u64,
        request: KvRequest,
        via: Option<String>,
        delay_ms: u64,
    ) {
        let now = self.queue.now();
        self.requests.open(from, id);
        let watch_ms = if let KvRequest::Watch { max_wait_ms, .. } = &request { *max_wait_ms } else { 0 };
        let timeout = Event::RequestTimeout { from, id, kind: RequestKind::Store };
        self.queue.schedule(now + self.request_timeout_ms() + watch_ms, timeout);
        if let Some(late_by_ms) = self.lost_answer_delay_ms(&request, delay_ms) {
            let event = Event::StoreRequest { from: from.discarding_reply(), id, request };
            self.queue.schedule(now + late_by_ms, event);
            return;
        }
        let peer = via.and_then(|node_name| self.controller_named(&node_name)).filter(|peer| *peer != from.controller);
        if let Some(peer) = peer {
            self.relay_to_store(RequestKey { process: from, id }, request, peer, delay_ms);
            return;
        }
        let extra_delay_ms = self.store.extra_delay_ms(now);
        let route = self.network.external_route(now, from.controller, PartitionScope::Store);
        if let Some(at) = route.arrival(now, delay_ms, extra_delay_ms) {
            self.queue.schedule(at, Event::StoreRequest { from, id, request });
        }
    }

    /// Delay until the execution of a transaction whose answer is to be lost, in ms; `None` for other requests.
    fn lost_answer_delay_ms(&mut self, request: &KvRequest, delay_ms: u64) -> Option<u64> {
        if !matches!(request, KvRequest::Transaction(_)) {
            return None;
        }
        let delayed = &mut self.store.delayed_transactions;
        if delayed.remaining > 0 {
            delayed.remaining -= 1;
            return Some(delayed.delay_ms);
        }
        let lost = &self.store.lost_answers;
        let probability = lost.probability.at(self.queue.now())?;
        let execution = lost.execution;
        if !self.random.random_bool(probability) {
            return None;
        }
        match execution {
            TransactionExecution::Immediate => Some(delay_ms),
            TransactionExecution::Late => Some(self.random.random_range(LATE_EXECUTION_MS)),
        }
    }

    /// Sends a request through a peer; the request is lost unless the peer is reachable and the store serves the peer.
    fn relay_to_store(&mut self, key: RequestKey, request: KvRequest, peer: usize, delay_ms: u64) {
        let now = self.queue.now();
        let served = !self.store.refuses(peer, now)
            && self.network.external_route(now, peer, PartitionScope::Store).is_open()
            && self.network.peers_connected(now, key.process.controller, peer)
            && self.controllers[peer].is_running();
        if !served {
            return;
        }
        match self.execute_at_store(key, request) {
            None => self.requests.mark_relayed(key),
            Some(result) => {
                let message = Event::Message { to: key.process, command: Command::Kv(key.id, result) };
                self.queue.schedule(now + delay_ms * 2, message);
            }
        }
    }

    pub(super) fn handle_at_store(&mut self, from: ProcessId, id: u64, request: KvRequest) {
        let now = self.queue.now();
        if self.store.refuses(from.controller, now) {
            self.reply_from_store(from, Command::Kv(id, Err(RequestError::Unavailable)));
            return;
        }
        if let Some(result) = self.execute_at_store(RequestKey { process: from, id }, request) {
            self.reply_from_store(from, Command::Kv(id, result));
        }
        self.answer_watches();
    }

    /// Has the store handle the copy of an executed request. A rejection of the copy counts as none: the store's limits
    /// may have been lowered since the controller sent the request.
    pub(super) fn handle_copy_at_store(&mut self, from: ProcessId, id: u64, request: KvRequest) {
        let rejections = self.store.service.rejections;
        self.handle_at_store(from, id, request);
        let rejected = self.store.service.rejections > rejections;
        self.store.service.rejections = rejections;
        if rejected {
            self.log_line(|| format!("the store rejects the copy of a request of n{}", from.controller));
        }
    }

    /// Has the store execute a request, which may arrive once more if it changed something.
    fn execute_at_store(&mut self, key: RequestKey, request: KvRequest) -> Option<Result<KvReply, RequestError>> {
        let copy = is_store_write(&request).then(|| request.clone());
        let result = self.store.service.handle(self.queue.now(), key, request);
        let changed = matches!(result, Some(Ok(KvReply::Committed(_) | KvReply::LeaseGranted(_) | KvReply::Done)));
        if let Some(request) = copy.filter(|_| changed && key.process.expects_replies()) {
            let from = key.process.discarding_reply();
            let event = || Event::RepeatedStoreRequest { from, id: key.id, request: request.clone() };
            self.schedule_repetitions(RepeatedKind::StoreWrites, event);
        }
        result
    }

    fn reply_from_store(&mut self, to: ProcessId, command: Command) {
        let extra_delay_ms = self.store.extra_delay_ms(self.queue.now());
        self.reply_from_service(to, command, PartitionScope::Store, extra_delay_ms);
    }

    /// Advances the store to the current time and sends the replies to watches.
    pub(super) fn answer_watches(&mut self) {
        let now = self.queue.now();
        for answer in self.store.service.advance(now) {
            let to = answer.request.process;
            let command = Command::Kv(answer.request.id, Ok(answer.reply));
            if self.requests.take_relayed(answer.request) {
                let delay_ms = self.network_delay_ms() * 2;
                self.queue.schedule(now + delay_ms, Event::Message { to, command });
            } else if !self.store.refuses(to.controller, now) {
                self.reply_from_store(to, command);
            }
        }
    }
}

fn is_store_write(request: &KvRequest) -> bool {
    match request {
        KvRequest::Transaction(transaction) => !transaction.writes.is_empty(),
        KvRequest::GrantLease { .. } | KvRequest::RenewLease { .. } | KvRequest::RevokeLease { .. } => true,
        KvRequest::Get { .. } | KvRequest::Scan { .. } | KvRequest::Watch { .. } => false,
    }
}
