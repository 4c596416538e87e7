//! State shared by all subsystems of a controller: time, settings, pending requests and effects.
//!
//! Effects are executed in the order in which they are added. The same operation adds a request's effect and registers
//! the request as pending, so every request that is sent has a recipient for its reply.

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
    /// Start of the current batch on the monotonic and the wall clock.
    pub now: Timestamp,
    /// Settings of the deployment: interfaces, resources and intervals.
    pub settings: Arc<Settings>,
    /// Tuning parameters that operators may set as properties.
    pub tuning: Tuning,
    /// Current limits of the key-value store.
    pub limits: StoreLimits,
    /// Machine types that the cloud offers; `None` until a catalog has been read.
    pub catalog: Option<Catalog>,
    /// Count of the work done since the process started.
    pub work: WorkCounter,
    /// What the peers reported about the machine leases that they renewed.
    pub peer_lease_reports: PeerLeaseReports,
    /// Relay of requests to the key-value store through a peer.
    pub relay: Relay,
    process_id: u64,
    batch: BatchCounter,
    kv: KvAvailability,
    peer_activity: PeerActivity,
    pending: PendingRequests,
    effects: Vec<Effect>,
}

/// Number and delay of the batches.
#[derive(Debug, Default)]
struct BatchCounter {
    /// Number of the current batch; 0 before the first.
    number: u64,
    /// Decaying maximum of the delay between a batch's expected and actual start.
    lag_ms: u64,
}

impl Context {
    /// Creates the context of a process that starts at `now`. `process_id` is unique among the processes of all nodes.
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

    /// Starts a batch at time `now` and updates the batch lag.
    pub fn begin_batch(&mut self, now: Timestamp) {
        let expected_by = self.now.monotonic_ms + self.settings.max_batch_interval_ms();
        let late = now.monotonic_ms.saturating_sub(expected_by);
        // The lag decays slowly, so that one punctual batch does not hide a series of late ones.
        self.batch.lag_ms = late.max(self.batch.lag_ms * 3 / 4);
        self.batch.number += 1;
        self.now = now;
    }

    /// Takes the effects of the batch, in the order in which they were added.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Returns the start of the current batch on the monotonic clock, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.now.monotonic_ms
    }

    /// Returns the number and time of the current batch. Requests added now are sent after all commands of the batch
    /// were received.
    pub fn batch_time(&self) -> BatchTime {
        BatchTime { batch: self.batch.number, at_ms: self.now_ms() }
    }

    /// Returns how much later than expected recent batches began, in milliseconds. A high value shows that the process
    /// is short of processor time.
    pub fn batch_lag_ms(&self) -> u64 {
        self.batch.lag_ms
    }

    /// Returns this process's identifier, which is unique among the processes of all nodes.
    pub fn process_id(&self) -> u64 {
        self.process_id
    }

    /// Sends a request to the key-value store, through the relay peer if a relay is active.
    pub fn send_kv(&mut self, request: KvRequest, pending: PendingRequest) {
        let id = self.register(pending);
        let peer = self.relay.peer().map(str::to_string);
        self.effects.push(Effect::Kv(id, request, peer));
    }

    /// Sends a request to the key-value store on the direct route, also while a relay is active.
    pub fn send_kv_directly(&mut self, request: KvRequest, pending: PendingRequest) {
        let id = self.register(pending);
        self.effects.push(Effect::Kv(id, request, None));
    }

    /// Sends a request to the cloud.
    pub fn send_cloud(&mut self, request: CloudRequest, pending: PendingRequest) {
        let id = self.register(pending);
        self.effects.push(Effect::Cloud(id, request));
    }

    /// Sends commands directly to the agent at address `to`, without waiting for the agent's next heartbeat.
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

    /// Removes and returns the pending request that a reply belongs to; `None` if no such request is pending.
    pub(crate) fn complete(&mut self, id: RequestId) -> Option<SentRequest> {
        self.pending.complete(id)
    }

    /// Updates the key-value store's availability with the result of a request sent on the current route.
    pub fn record_kv_reply(&mut self, result: &Result<KvReply, RequestError>) {
        self.kv.record(self.now.monotonic_ms, result);
    }

    /// Returns to the direct route after the relay failed, and counts the store as failing at this time.
    pub fn abandon_relay(&mut self) {
        self.relay.stop();
        self.kv.record_failure(self.now.monotonic_ms);
    }

    /// Returns whether the key-value store has failed and not answered since for longer than the timeout. Users'
    /// requests are then answered at once with 503 instead of running into a timeout.
    pub fn kv_unavailable(&self) -> bool {
        self.kv.is_unavailable(self.now_ms(), self.settings.heartbeat_interval_ms())
    }

    /// Returns when the key-value store last answered, on the monotonic clock in milliseconds.
    pub fn kv_last_answer_at_ms(&self) -> u64 {
        self.kv.last_answer_at_ms()
    }

    /// Handles a throttled write of the leader: the leader's write rate may be reduced. While submissions wait to be
    /// written, they are assumed to be the cause, and the leader's rate stays.
    pub fn record_throttled_write(&mut self) {
        let interval = self.settings.heartbeat_interval_ms();
        if !self.user_writes_waiting() && self.limits.record_throttling(self.now.monotonic_ms, interval) {
            self.emit(Event::WriteRateReduced { writes_per_s: self.limits.write_rate() });
        }
    }

    /// Replaces the summary of the peers' activity.
    pub(super) fn set_peer_activity(&mut self, activity: PeerActivity) {
        self.peer_activity = activity;
    }

    /// Returns the number of peers that have sent a heartbeat recently.
    pub fn live_peers(&self) -> u32 {
        self.peer_activity.live_peers
    }

    /// Returns whether writes for users wait to be committed to the key-value store, on this node or on a live peer.
    pub fn user_writes_waiting(&self) -> bool {
        self.peer_activity.user_writes_waiting
    }
}
