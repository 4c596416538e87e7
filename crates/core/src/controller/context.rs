//! What all subsystems of a controller share: time, settings, pending requests and effects.
//!
//! Effects leave in the order in which they are added. A request is registered as pending in the same operation
//! that adds its effect, so no request can go out whose reply nobody expects.

use super::batch_time::BatchTime;
use super::kv_availability::KvAvailability;
use super::peer_lease_reports::PeerLeaseReports;
use super::peer_views::PeerActivity;
use super::pending::{PendingRequest, PendingRequests, SentRequest};
use super::relay::Relay;
use crate::event::Event;
use crate::io::{Answer, CloudRequest, Effect, KvReply, KvRequest, RequestError, RequestId, Timestamp};
use crate::settings::{Settings, Tuning};
use crate::store_limits::StoreLimits;
use crate::work_counters::WorkCounter;
use shaleshunt_peer::Frame;
use shaleshunt_wire::cloud::Catalog;
use shaleshunt_wire::worker::DirectCommands;
use std::sync::Arc;

/// Time, settings, pending requests and effects of one controller process.
pub(crate) struct Context {
    /// Time of the current batch.
    pub now: Timestamp,
    /// The platform's settings.
    pub settings: Arc<Settings>,
    /// The operators' settings.
    pub tuning: Tuning,
    /// Limits of the key-value store that are in force.
    pub limits: StoreLimits,
    /// Machine types that the cloud offers; `None` until read.
    pub catalog: Option<Catalog>,
    /// Work done so far.
    pub work: WorkCounter,
    /// Lease renewals by other controllers.
    pub peer_lease_reports: PeerLeaseReports,
    /// Route of requests to the key-value store through a peer.
    pub relay: Relay,
    process_id: u64,
    batch: BatchCounter,
    kv: KvAvailability,
    peer_activity: PeerActivity,
    pending: PendingRequests,
    effects: Vec<Effect>,
}

/// How many batches have begun, and how late they began.
#[derive(Debug, Default)]
struct BatchCounter {
    number: u64,
    lag_ms: u64,
}

impl Context {
    /// The context of a process that starts now. `process_id` is a number that no other process has.
    pub fn new(settings: Settings, tuning: Tuning, now: Timestamp, process_id: u64) -> Context {
        Context {
            now,
            limits: StoreLimits::new(&settings),
            peer_lease_reports: PeerLeaseReports::new(&settings),
            settings: Arc::new(settings),
            tuning,
            catalog: None,
            work: WorkCounter::default(),
            relay: Relay::default(),
            process_id,
            batch: BatchCounter::default(),
            kv: KvAvailability::new(now.monotonic_ms),
            peer_activity: PeerActivity::default(),
            pending: PendingRequests::default(),
            effects: Vec::new(),
        }
    }

    /// Begins a batch.
    pub fn begin_batch(&mut self, now: Timestamp) {
        let expected_by = self.now.monotonic_ms + self.settings.max_batch_interval_ms();
        let late = now.monotonic_ms.saturating_sub(expected_by);
        // It falls slowly, so that one quick batch does not hide a row of slow ones.
        self.batch.lag_ms = late.max(self.batch.lag_ms * 3 / 4);
        self.batch.number += 1;
        self.now = now;
    }

    /// Ends a batch: its effects, in order.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// The current time on the steady clock, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.now.monotonic_ms
    }

    /// Number and time of the current batch. What is sent now leaves after all that the batch brought has arrived.
    pub fn batch_time(&self) -> BatchTime {
        BatchTime { step: self.batch.number, at: self.now_ms() }
    }

    /// How much later than expected recent batches began, in milliseconds: a measure of how short of processor
    /// time this process is.
    pub fn batch_lag_ms(&self) -> u64 {
        self.batch.lag_ms
    }

    /// A number that no other process has, of this node or another.
    pub fn process_id(&self) -> u64 {
        self.process_id
    }

    /// Sends a request to the key-value store, through the relay peer if there is one.
    pub fn send_kv(&mut self, request: KvRequest, pending: PendingRequest) {
        let id = self.register(pending);
        let peer = self.relay.peer().map(str::to_string);
        self.effects.push(Effect::Kv(id, request, peer));
    }

    /// Sends a request to the key-value store without a relay.
    pub fn send_kv_directly(&mut self, request: KvRequest, pending: PendingRequest) {
        let id = self.register(pending);
        self.effects.push(Effect::Kv(id, request, None));
    }

    /// Sends a request to the cloud.
    pub fn send_cloud(&mut self, request: CloudRequest, pending: PendingRequest) {
        let id = self.register(pending);
        self.effects.push(Effect::Cloud(id, request));
    }

    /// Sends commands to the agent at an address, rather than with the reply to its next heartbeat.
    pub fn send_direct_commands(&mut self, to: String, commands: DirectCommands, pending: PendingRequest) -> RequestId {
        let id = self.register(pending);
        self.effects.push(Effect::DirectCommands(id, to, commands));
        id
    }

    /// Answers a request of a user, an agent or a health check.
    pub fn answer(&mut self, id: RequestId, answer: Answer) {
        self.effects.push(Effect::Answer(id, answer));
    }

    /// Sends a frame to a peer.
    pub fn send_peer(&mut self, peer: String, frame: Frame) {
        self.effects.push(Effect::Peer(peer, frame));
    }

    /// Logs an event.
    pub fn emit(&mut self, event: Event) {
        self.effects.push(Effect::Log(event));
    }

    fn register(&mut self, pending: PendingRequest) -> RequestId {
        let sent = self.batch_time();
        self.pending.register(pending, sent)
    }

    /// Removes the pending request that a reply belongs to; `None` for a reply that nobody expects.
    pub(super) fn complete(&mut self, id: RequestId) -> Option<SentRequest> {
        self.pending.complete(id)
    }

    /// Takes note of how the key-value store answered a request sent on the route in use.
    pub fn record_kv_reply(&mut self, result: &Result<KvReply, RequestError>) {
        self.kv.record(self.now.monotonic_ms, result);
    }

    /// Returns to direct requests, after the relay peer failed to reach the key-value store too.
    pub fn abandon_relay(&mut self) {
        self.relay.stop();
        self.kv.record_failure(self.now.monotonic_ms);
    }

    /// Whether the key-value store has recently failed and not answered since. Users are then asked at once to
    /// retry, instead of waiting for a timeout.
    pub fn kv_unavailable(&self) -> bool {
        self.kv.is_unavailable(self.now_ms(), self.settings.heartbeat_interval_ms())
    }

    /// When the key-value store last answered, on the steady clock.
    pub fn kv_answered_at(&self) -> u64 {
        self.kv.answered_at()
    }

    /// The leader's writes were throttled. While users' submissions wait to be written, the cause is assumed to be
    /// those, and the leader's rate stays.
    pub fn record_throttled_write(&mut self) {
        let interval = self.settings.heartbeat_interval_ms();
        if !self.submissions_waiting() && self.limits.record_throttling(self.now.monotonic_ms, interval) {
            self.emit(Event::WriteRateReduced { writes_per_s: self.limits.write_rate() });
        }
    }

    /// Replaces what is known of the peers' activity.
    pub(super) fn set_peer_activity(&mut self, activity: PeerActivity) {
        self.peer_activity = activity;
    }

    /// How many peers have sent a heartbeat recently.
    pub fn live_peers(&self) -> u32 {
        self.peer_activity.live_peers
    }

    /// Whether users' submissions wait for the key-value store, here or at a live peer.
    pub fn submissions_waiting(&self) -> bool {
        self.peer_activity.submissions_waiting
    }
}
