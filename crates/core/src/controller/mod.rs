//! One controller process: users' requests, leader election and, while it leads, the cluster's scheduler.
//!
//! [`Controller`] composes the subsystems and routes commands and replies to them. Each owns its state:
//!
//! - `context`: time, settings, pending requests and effects, shared by all subsystems;
//! - `election`: epoch, leader and the steps towards leadership;
//! - `peers`: what the other controllers report, heartbeats to them, shared job progress;
//! - `relay`: the route to the key-value store through a peer;
//! - `zone_leases`: leases of this zone's machines while the leader is not heard;
//! - `catalog`: when the machine types are read;
//! - `api` and `leader` (modules of the crate): users' requests, and the work of the leader.
//!
//! Three further files hold parts of the composition: `replies` routes the replies of outside services,
//! `peer_exchange` the frames of other controllers, `kv_route` starts and ends the relay.
//!
//! Subsystems do not use one another. Where one's result concerns another, it returns a typed value and the
//! controller carries it out. What always holds: at most one command is handled at a time; effects leave in the
//! order in which they arose; a reply reaches the leader only in the epoch in which the request was sent.

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
use progress::ReportedProgress;
use shaleshunt_wire::worker::{Heartbeat, HeartbeatReply};
use zone_leases::ZoneLeases;

/// HTTP status of responses that ask the client to retry, here or elsewhere.
const SERVICE_UNAVAILABLE: u16 = 503;
/// Seconds after which a failed health check may be repeated.
const HEALTH_CHECK_RETRY_S: u32 = 1;

/// One controller process, as a state machine without I/O: commands go in, effects come out.
pub struct Controller {
    ctx: Context,
    api: Api,
    election: Election,
    /// The leader's state, while this process leads.
    leader: Option<Box<Leader>>,
    peers: Peers,
    zone_leases: ZoneLeases,
    catalog_reader: CatalogReader,
}

impl Controller {
    /// A process that has just started. `process_id` is a number that no other process has, of this node or
    /// another: a restart may take less than any clock shows.
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

    /// Works through a batch of commands; returns the effects to carry out, in order.
    pub fn step(&mut self, now: Timestamp, batch: Batch) -> Vec<Effect> {
        self.begin_batch(now);
        for command in batch {
            self.handle_command(command);
        }
        self.end_batch()
    }

    /// Begins a batch. [`Controller::handle_command`] and [`Controller::end_batch`] are its other parts, for callers that measure
    /// each command.
    pub fn begin_batch(&mut self, now: Timestamp) {
        self.ctx.begin_batch(now);
    }

    /// Takes in one command of a batch.
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

    /// Ends a batch: does what is due by time, and returns the effects to carry out, in order.
    pub fn end_batch(&mut self) -> Vec<Effect> {
        self.run_due();
        self.ctx.take_effects()
    }

    /// The work done so far.
    pub fn work(&self) -> WorkCounts {
        self.ctx.work.counts()
    }

    /// Whether this process leads and has completed its failover.
    pub fn is_active_leader(&self) -> bool {
        self.leader.as_ref().is_some_and(|leader| leader.active)
    }

    fn handle_health_check(&mut self, id: RequestId) {
        let healthy = self.ctx.catalog.is_some() && !self.is_cut_off_alone();
        let not_ready =
            Answer::Error { status: SERVICE_UNAVAILABLE, error: "not ready", retry_after: Some(HEALTH_CHECK_RETRY_S) };
        self.ctx.answer(id, if healthy { Answer::Healthy } else { not_ready });
    }

    /// Whether the key-value store fails only this process, and no peer relays its requests: then users are better
    /// sent elsewhere. In an outage for all, staying healthy lets users learn final states that are remembered.
    fn is_cut_off_alone(&self) -> bool {
        let (now, settings) = (self.ctx.now_ms(), &self.ctx.settings);
        self.ctx.kv_unavailable()
            && !self.ctx.relay.is_active()
            && self.peers.views().relay_candidate(now, settings, self.ctx.kv_answered_at()).is_some()
    }

    fn handle_heartbeat(&mut self, id: RequestId, heartbeat: Heartbeat) {
        // A newer token shows that there is a newer leader. Any 200 of ours would be dropped by the agent and would
        // hold it here while its lease expires.
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

    /// Renews the agent's lease if that is allowed without the leader; redirects it to the leader otherwise.
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
            ElectionTransition::CancellationsRead { sent_at, cancelled } => {
                self.zone_leases.set_cancellations(sent_at, cancelled);
            }
            ElectionTransition::CancellationsUnchanged { sent_at } => {
                self.zone_leases.confirm_cancellations(sent_at);
            }
            ElectionTransition::BecomeLeader(claim) => self.become_leader(claim),
        }
    }

    fn become_leader(&mut self, claim: Claim) {
        self.ctx.emit(Event::LeaderElected { epoch: claim.epoch });
        let leader = Leader::new(&mut self.ctx, claim.epoch, claim.revision, claim.lease);
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
        self.election.resign(&mut self.ctx, leader.lease_id, reachability);
    }

    /// Does what is due by time, once in each batch.
    fn run_due(&mut self) {
        let now = self.ctx.now_ms();
        if self.leader.is_none() {
            self.election.run_due(&mut self.ctx);
        }
        self.catalog_reader.run_due(&mut self.ctx);
        self.ctx.limits.recover_rate(now, self.ctx.settings.heartbeat_interval_ms());
        let progress = ReportedProgress { leader: self.leader.as_deref(), shared: self.peers.task_counts() };
        self.api.run_due(&mut self.ctx, &progress);
        let activity = self.peers.views().activity(now, &self.ctx.settings, self.api.pending_submissions());
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
