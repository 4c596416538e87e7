//! A controller process: users' requests, leader election and, on the leader, scheduling for the whole cluster.
//!
//! [`Controller`] composes the subsystems and routes commands and replies to them. Each subsystem owns its state:
//!
//! - `context`: time, settings, pending requests and effects, shared by all subsystems;
//! - `election`: the known epoch and leader, and the steps of a claim to leadership;
//! - `peers`: reports of the peers, heartbeats to them, and the job progress that the leader shares;
//! - `relay`: the route to the key-value store through a peer;
//! - `zone_leases`: renewal of machine leases of this zone while the leader is unreachable;
//! - `catalog`: reads of the catalog of machine types;
//! - `api` and `leader` (modules of the crate): users' requests, and the leader's state and work.
//!
//! Three further files implement parts of [`Controller`]: `replies` routes replies of the store, the cloud and agents;
//! `peer_exchange` handles frames of peers; `kv_route` starts and ends the relay.
//!
//! Subsystems do not call each other. A result that concerns another subsystem is returned as a typed value, which the
//! controller applies.
//!
//! Invariants:
//! - Commands are handled one at a time.
//! - Effects are executed in the order in which they were added.
//! - A reply is passed to the leader's state only in the epoch in which the request was sent.

mod batch_time;
mod catalog;
mod context;
mod election;
mod election_request;
mod kv_availability;
mod kv_route;
mod peer_exchange;
mod peer_lease_reports;
mod peer_views;
mod peers;
mod pending;
mod progress;
mod relay;
mod replies;
mod zone_leases;

pub(crate) use batch_time::BatchTime;
pub(crate) use context::Context;
pub(crate) use peer_lease_reports::PeerLeaseReport;
pub(crate) use pending::PendingRequest;

use crate::api::Api;
use crate::event::Event;
use crate::io::{Answer, Batch, Command, Effect, RequestId, Timestamp};
use crate::leader::Leader;
use crate::settings::{Settings, Tuning};
use crate::step_down::StepDownReason;
use crate::work_counters::WorkCounts;
use catalog::CatalogReader;
use election::{Claim, Election, ElectionTransition, Reachability};
use peers::Peers;
use progress::ControllerTaskCounts;
use shaleshunt_wire::FencingToken;
use shaleshunt_wire::worker::{Heartbeat, HeartbeatReply};
use zone_leases::ZoneLeases;

/// HTTP status of responses that ask the client to retry, on this or another controller.
const SERVICE_UNAVAILABLE: u16 = 503;
/// `Retry-After` of a failed health check, in seconds.
const HEALTH_CHECK_RETRY_AFTER_S: u32 = 1;

/// A controller process as a state machine without I/O: takes commands and returns effects.
pub struct Controller {
    ctx: Context,
    api: Api,
    election: Election,
    /// The leader's state; `None` while this process is not the leader.
    leader: Option<Box<Leader>>,
    peers: Peers,
    zone_leases: ZoneLeases,
    catalog_reader: CatalogReader,
}

impl Controller {
    /// Creates the state of a process that starts at `now`. `process_id` is unique among the processes of all nodes. A
    /// start time would not be: a process may restart within the resolution of the clock.
    pub fn new(settings: Settings, tuning: Tuning, now: Timestamp, process_id: u64) -> Controller {
        Controller {
            api: Api::new(&settings),
            election: Election::new(now.monotonic_ms),
            leader: None,
            peers: Peers::new(&settings, now.monotonic_ms),
            zone_leases: ZoneLeases::default(),
            catalog_reader: CatalogReader::new(now.monotonic_ms),
            ctx: Context::new(settings, tuning, now, process_id),
        }
    }

    /// Handles a batch of commands; returns the effects to execute, in order.
    pub fn step(&mut self, now: Timestamp, batch: Batch) -> Vec<Effect> {
        self.begin_batch(now);
        for command in batch {
            self.handle_command(command);
        }
        self.end_batch()
    }

    /// Starts a batch. Callers that measure each command use this method with [`Controller::handle_command`] and
    /// [`Controller::end_batch`] in place of [`Controller::step`].
    pub fn begin_batch(&mut self, now: Timestamp) {
        self.ctx.begin_batch(now);
    }

    /// Handles one command of the current batch.
    pub fn handle_command(&mut self, command: Command) {
        match command {
            Command::Submit(id, submission) => self.api.submit(&mut self.ctx, id, *submission),
            Command::Status(id, job) => self.api.status(&mut self.ctx, id, job),
            Command::Cancel(id, job) => self.api.cancel(&mut self.ctx, id, job),
            Command::HealthCheck(id) => self.handle_health_check(id),
            Command::Heartbeat(id, heartbeat) => self.handle_heartbeat(id, *heartbeat),
            Command::Kv(id, result) => self.handle_kv_reply(id, result),
            Command::Cloud(id, result) => self.handle_cloud_reply(id, result),
            Command::DirectCommands(id, result) => self.handle_direct_commands_reply(id, result),
            Command::Peer(from, frame) => self.handle_frame(from, frame),
            Command::PeerDisconnected(peer) => self.handle_disconnect(&peer),
            Command::Tick => {}
        }
    }

    /// Ends the batch: runs all work that is due, and returns the effects to execute, in order.
    pub fn end_batch(&mut self) -> Vec<Effect> {
        self.run_due();
        self.ctx.take_effects()
    }

    /// Returns the counts of the work done since the process started.
    pub fn work(&self) -> WorkCounts {
        self.ctx.work.counts()
    }

    /// Returns whether this process is the leader and has completed its recovery.
    pub fn is_active_leader(&self) -> bool {
        self.leader.as_ref().is_some_and(|leader| leader.active)
    }

    fn handle_health_check(&mut self, id: RequestId) {
        let healthy = self.ctx.catalog.is_some() && !self.is_isolated_from_store();
        let not_ready = Answer::Error {
            status: SERVICE_UNAVAILABLE,
            error: "not ready",
            retry_after: Some(HEALTH_CHECK_RETRY_AFTER_S),
        };
        self.ctx.answer(id, if healthy { Answer::Healthy } else { not_ready });
    }

    /// Returns whether this process cannot reach the key-value store, a peer can, and no relay is active. The health
    /// check then fails, so that users are sent to other controllers. In an outage of the store for all controllers the
    /// health check still succeeds, since users' queries for known final states can be answered from memory.
    fn is_isolated_from_store(&self) -> bool {
        let (now, settings) = (self.ctx.now_ms(), &self.ctx.settings);
        self.ctx.kv_unavailable()
            && !self.ctx.relay.is_active()
            && self.peers.views().relay_candidate(now, settings, self.ctx.kv_last_answer_at_ms()).is_some()
    }

    fn handle_heartbeat(&mut self, id: RequestId, heartbeat: Heartbeat) {
        // A fencing token of a newer epoch shows that there is a newer leader. The agent would ignore a 200 response of
        // this leader, but keep sending its heartbeats here until its lease expires.
        let token_epoch = heartbeat.token.epoch();
        if self.leader.as_ref().is_some_and(|leader| token_epoch > leader.epoch) {
            self.step_down(StepDownReason::NewerFencingToken);
        }
        match &mut self.leader {
            Some(leader) if leader.active => leader.handle_heartbeat(&mut self.ctx, id, heartbeat),
            Some(_) => self.ctx.answer(id, unavailable("taking over")),
            None => self.handle_heartbeat_as_follower(id, &heartbeat),
        }
    }

    /// Renews the machine lease if this node may do so without the leader; otherwise redirects the agent to the leader.
    fn handle_heartbeat_as_follower(&mut self, id: RequestId, heartbeat: &Heartbeat) {
        let (epoch, api) = (self.election.epoch(), &self.api);
        let renewal = self.zone_leases.renew(&self.ctx, epoch, heartbeat, |job| api.is_cancelled(job));
        let answer = match renewal {
            Some(commands) => Answer::Heartbeat(HeartbeatReply { token: heartbeat.token, commands }),
            None => self.redirect_to_leader(),
        };
        self.ctx.answer(id, answer);
    }

    fn redirect_to_leader(&self) -> Answer {
        let this_node = self.ctx.settings.node_name.as_str();
        match self.election.known_leader() {
            Some(leader) if leader != this_node => Answer::Redirect(Some(leader.to_string())),
            _ => unavailable("no leader known"),
        }
    }

    fn apply_transition(&mut self, transition: ElectionTransition) {
        match transition {
            ElectionTransition::None => {}
            ElectionTransition::CancellationsRead { sent_at_ms, cancelled } => {
                self.zone_leases.set_cancellations(sent_at_ms, cancelled);
            }
            ElectionTransition::CancellationsUnchanged { sent_at_ms } => {
                self.zone_leases.confirm_cancellations(sent_at_ms);
            }
            ElectionTransition::BecomeLeader(claim) => self.become_leader(claim),
        }
    }

    fn become_leader(&mut self, claim: Claim) {
        self.ctx.emit(Event::LeaderElected { epoch: claim.epoch, token: FencingToken::new(claim.epoch, 0) });
        let leader = Leader::new(&mut self.ctx, claim.epoch, claim.epoch_version, claim.lease);
        self.leader = Some(Box::new(leader));
        self.peers.expedite_heartbeat(self.ctx.now_ms());
    }

    fn step_down(&mut self, reason: StepDownReason) {
        let Some(leader) = self.leader.take() else { return };
        let reachability = match reason {
            StepDownReason::NoHeartbeats => Reachability::Unreachable,
            _ => Reachability::Reachable,
        };
        self.ctx.emit(Event::LeaderSteppedDown { epoch: leader.epoch, reason });
        self.election.step_down(&mut self.ctx, leader.lease.id(), reachability);
    }

    /// Runs the work of all subsystems that is due. Called once per batch.
    fn run_due(&mut self) {
        let now = self.ctx.now_ms();
        if self.leader.is_none() {
            self.election.run_due(&mut self.ctx);
        }
        self.catalog_reader.run_due(&mut self.ctx);
        self.ctx.limits.recover_rate(now, self.ctx.settings.heartbeat_interval_ms());
        let progress = ControllerTaskCounts { leader: self.leader.as_deref(), shared: self.peers.task_counts() };
        self.api.run_due(&mut self.ctx, &progress);
        let activity = self.peers.views().activity(now, &self.ctx.settings, self.api.pending_user_writes(now));
        self.ctx.set_peer_activity(activity);
        self.run_leader();
        self.update_relay();
        self.send_heartbeats();
        self.share_progress();
    }

    fn run_leader(&mut self) {
        let Some(leader) = &mut self.leader else { return };
        leader.run_due(&mut self.ctx);
        if let Some(reason) = leader.step_down.take() {
            self.step_down(reason);
        }
    }
}

fn unavailable(error: &'static str) -> Answer {
    Answer::Error { status: SERVICE_UNAVAILABLE, error, retry_after: None }
}
