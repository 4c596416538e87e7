//! One node: users' requests, leadership and, while it leads, the scheduler.

use crate::api::{Api, ApiRequest};
use crate::event::Event;
use crate::io::*;
use crate::leader::step_down::StepDown;
use crate::leader::{Leader, LeaderRequest};
use crate::model::keys;
use crate::settings::{Settings, Tuning};
use crate::store_limits::StoreLimits;
use crate::work_counters::{Work, WorkCounter};
use serde_json::{Value, json};
use shaleshunt_peer::Frame;
use shaleshunt_wire::cloud::Catalog;
use shaleshunt_wire::kv::{Condition, Transaction, Write};
use shaleshunt_wire::worker::{Heartbeat, HeartbeatReply, TaskCommand, TaskStatus, split_task_name};
use shaleshunt_wire::{Epoch, Revision};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// What a request's answer is for.
#[derive(Debug)]
pub(crate) enum PendingRequest {
    /// A user's request.
    Api(ApiRequest),
    /// Leadership.
    Election(ElectionRequest),
    /// The leader's work; void in another epoch.
    Leader(Epoch, LeaderRequest),
    /// The catalogue.
    Catalog,
    /// Nothing.
    Ignored,
}

/// Steps of leadership that wait for an answer.
#[derive(Debug)]
pub(crate) enum ElectionRequest {
    Look,
    Watch,
    LeaseGrant,
    Take { epoch: Epoch, pass: u64 },
}

/// What every part of the owner shares: time, settings, requests under way and effects.
pub(crate) struct Context {
    pub now: Timestamp,
    pub settings: Arc<Settings>,
    pub tuning: Tuning,
    pub limits: StoreLimits,
    pub effects: Vec<Effect>,
    pub catalog: Option<Catalog>,
    next: RequestId,
    waits: HashMap<RequestId, (PendingRequest, BatchTime)>,
    /// Batches so far.
    step: u64,
    /// How much later than it should the last batches began, in ms: how short of processor time this
    /// node is.
    pub batch_lag_ms: u64,
    /// Work done so far.
    pub work: WorkCounter,
    /// A number that no other process of any node has.
    pub process_id: u64,
    /// When the state service last answered, and when it last did not.
    pub state_answered_at: u64,
    pub state_failed_at: u64,
    /// Peer that passes requests to the state service for us.
    pub relay: Option<String>,
    /// Users' submissions wait for the state service, here or at a peer.
    pub accepting: bool,
    /// Peers heard lately.
    pub live_peers: u32,
    /// What the other controllers may have done for machines of their zones.
    pub peer_lease_reports: BTreeMap<String, PeerLeaseReport>,
}

/// When something came or was sent: its batch, and the time of that. The order of batches tells what
/// was sent after a question came; two batches may have the same time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct BatchTime {
    pub step: u64,
    pub at: u64,
}

impl BatchTime {
    /// Whether this is no earlier than that, in both respects.
    pub fn covers(self, since: BatchTime) -> bool {
        self.step >= since.step && self.at >= since.at
    }
}

/// What a peer said of the leases that it may keep while it does not hear the leader.
#[derive(Debug, Clone, Default)]
pub(crate) struct PeerLeaseReport {
    /// Its zone.
    pub zone: String,
    /// When its last pulse came.
    pub last_heard: u64,
    /// That pulse was sent after this time: it shows that a pulse of ours of this time had come.
    pub sent_after: u64,
    /// It kept none later than this, up to that pulse.
    pub kept: u64,
}

impl Context {
    fn id(&mut self, wait: PendingRequest) -> RequestId {
        self.next += 1;
        self.waits.insert(self.next, (wait, self.moment()));
        self.next
    }
    /// The moment of this batch: what is sent now leaves after all that it holds has come.
    pub fn moment(&self) -> BatchTime {
        BatchTime { step: self.step, at: self.now.monotonic_ms }
    }
    pub fn send_kv(&mut self, request: KvRequest, wait: PendingRequest) {
        let id = self.id(wait);
        let relay = self.relay.clone();
        self.effects.push(Effect::Kv(id, request, relay));
    }
    pub fn send_cloud(&mut self, request: CloudRequest, wait: PendingRequest) {
        let id = self.id(wait);
        self.effects.push(Effect::Cloud(id, request));
    }
    pub fn direct_commands(
        &mut self,
        to: String,
        commands: shaleshunt_wire::worker::DirectCommands,
        wait: PendingRequest,
    ) -> RequestId {
        let id = self.id(wait);
        self.effects.push(Effect::DirectCommands(id, to, commands));
        id
    }
    pub fn answer(&mut self, id: RequestId, answer: Answer) {
        self.effects.push(Effect::Answer(id, answer));
    }
    pub fn emit(&mut self, event: Event) {
        self.effects.push(Effect::Log(event));
    }
    /// The leader's changes were refused as too many. While submissions wait, it is them.
    pub fn write_refused(&mut self) {
        if !self.accepting && self.limits.refused(self.now.monotonic_ms, self.settings.heartbeat_interval_ms()) {
            let rate = self.limits.rate();
            self.emit(Event::WriteRateReduced { writes_per_s: rate });
        }
    }
    /// Whether the state service has lately failed us and not answered since: then users are told
    /// at once to come back, in place of a wait for a time-out.
    pub fn kv_unavailable(&self) -> bool {
        self.state_failed_at > self.state_answered_at
            && self.now.monotonic_ms.saturating_sub(self.state_answered_at) > self.settings.heartbeat_interval_ms() / 3
    }
}

/// What a peer said last.
#[derive(Debug, Clone, Default)]
struct PeerView {
    last_heard: u64,
    state_age_ms: u32,
    /// Its process and clock at its last pulse.
    pulse: (u64, u64),
    /// Acceptances that wait there.
    waiting: u32,
}

/// The leader as this node last heard it: what it needs to keep its zone's leases without it.
#[derive(Debug, Clone, Default)]
struct LeaderContact {
    epoch: Epoch,
    /// When its last pulse came.
    at: u64,
    /// It surely lived and led after this time: it had heard a pulse of ours of this time.
    surely_led_at: u64,
}

/// A node of the service.
pub struct Controller {
    pub(crate) ctx: Context,
    pub(crate) front: Api,
    leader: Option<Box<Leader>>,
    /// Name and epoch of the leader, as last known.
    known_leader: Option<String>,
    epoch: Epoch,
    /// Leadership is looked at again at this time, unless a request for it is under way.
    read_leadership_at: Option<u64>,
    lead_revision: Revision,
    via_at: u64,
    /// The leader's lease at the state service.
    leader_lease: Option<u64>,
    last_heard: LeaderContact,
    /// Sending time of the last answered look at leadership and cancellations: none before it was
    /// missed.
    may_renew_leases: u64,
    cancelled: BTreeSet<String>,
    /// When a machine's lease was last kept in place of a leader not heard.
    kept: Option<u64>,
    peers: BTreeMap<String, PeerView>,
    counts: HashMap<String, (u32, u32)>,
    catalog_at: u64,
    pulse_at: u64,
    counts_at: u64,
}

impl Controller {
    /// A node that has just started. `process` is a number that no other process has, of this node
    /// or another: a restart may take less than any clock shows.
    pub fn new(settings: Settings, tuning: Tuning, now: Timestamp, process_id: u64) -> Controller {
        let peers = settings.peers.iter().map(|(node_name, _)| (node_name.clone(), PeerView::default())).collect();
        let keeper = |zone: &String| PeerLeaseReport { zone: zone.clone(), ..PeerLeaseReport::default() };
        let peer_lease_reports =
            settings.peers.iter().map(|(node_name, zone)| (node_name.clone(), keeper(zone))).collect();
        Controller {
            ctx: Context {
                now,
                limits: StoreLimits::new(&settings),
                settings: Arc::new(settings),
                tuning,
                effects: Vec::new(),
                catalog: None,
                next: 0,
                waits: HashMap::new(),
                step: 0,
                batch_lag_ms: 0,
                work: WorkCounter::default(),
                process_id,
                state_answered_at: now.monotonic_ms,
                state_failed_at: 0,
                relay: None,
                accepting: false,
                live_peers: 0,
                peer_lease_reports,
            },
            front: Api::default(),
            leader: None,
            known_leader: None,
            epoch: Epoch::NONE,
            read_leadership_at: Some(now.monotonic_ms),
            lead_revision: Revision::ABSENT,
            via_at: 0,
            leader_lease: None,
            last_heard: LeaderContact::default(),
            may_renew_leases: 0,
            cancelled: BTreeSet::new(),
            kept: None,
            peers,
            counts: HashMap::new(),
            catalog_at: now.monotonic_ms,
            pulse_at: now.monotonic_ms,
            counts_at: now.monotonic_ms,
        }
    }

    /// Works through a batch of commands; returns what is to be done.
    pub fn step(&mut self, now: Timestamp, batch: Batch) -> Vec<Effect> {
        self.begin(now);
        for command in batch {
            self.take(command);
        }
        self.finish()
    }

    /// Begins a batch; [`Controller::take`] and [`Controller::finish`] are its other parts, for who measures them.
    pub fn begin(&mut self, now: Timestamp) {
        let late =
            now.monotonic_ms.saturating_sub(self.ctx.now.monotonic_ms + self.ctx.settings.max_batch_interval_ms());
        // It falls slowly, so that one quick batch does not hide a row of slow ones.
        self.ctx.batch_lag_ms = late.max(self.ctx.batch_lag_ms * 3 / 4);
        self.ctx.now = now;
        self.ctx.step += 1;
    }

    /// Ends a batch: what is due by time, and all that is to be done.
    pub fn finish(&mut self) -> Vec<Effect> {
        self.run_due();
        std::mem::take(&mut self.ctx.effects)
    }

    /// The work done so far.
    pub fn work(&self) -> Work {
        self.ctx.work.done()
    }

    /// Whether this node leads and has read everything.
    pub fn leads(&self) -> bool {
        self.leader.as_ref().is_some_and(|l| l.active)
    }

    /// Takes in one command of a batch.
    pub fn take(&mut self, command: Command) {
        match command {
            Command::Submit(id, s) => self.front.submit(&mut self.ctx, id, *s),
            Command::Status(id, job) => self.front.status(&mut self.ctx, id, job),
            Command::Cancel(id, job) => self.front.withdraw(&mut self.ctx, id, job),
            Command::HealthCheck(id) => self.health_check(id),
            Command::Heartbeat(id, heartbeat) => self.heartbeat(id, *heartbeat),
            Command::Kv(id, result) => self.handle_kv_reply(id, result),
            Command::Cloud(id, result) => match self.ctx.waits.remove(&id) {
                Some((PendingRequest::Catalog, _)) => {
                    if let Ok(CloudReply::Catalog(c)) = result {
                        self.set_catalog(c);
                    }
                }
                Some((PendingRequest::Leader(epoch, wait), _)) => {
                    if let Some(l) = self.leader.as_mut().filter(|l| l.epoch == epoch) {
                        l.handle_cloud_reply(&mut self.ctx, wait, result);
                    }
                }
                _ => {}
            },
            Command::DirectCommands(id, result) => {
                if let Some((PendingRequest::Leader(epoch, LeaderRequest::DirectCommands(machine)), _)) =
                    self.ctx.waits.remove(&id)
                    && let Some(l) = self.leader.as_mut().filter(|l| l.epoch == epoch)
                {
                    l.handle_direct_commands_reply(&mut self.ctx, &machine, id, result);
                }
            }
            Command::Peer(from, frame) => self.peer(from, frame),
            Command::PeerDisconnected(from) => {
                if let Some(p) = self.peers.get_mut(&from) {
                    p.last_heard = 0;
                }
                // The leader's connection broke: most likely its process has ended. Its lease is
                // ended for it, rather than waited for. If it lives, that costs it an election;
                // nothing rests on the guess, since the epoch fences what it still sends.
                if self.leader.is_none()
                    && self.known_leader.as_deref() == Some(from.as_str())
                    && let Some(pass) = self.leader_lease.take()
                {
                    self.ctx.send_kv(KvRequest::RevokeLease { pass }, PendingRequest::Ignored);
                }
            }
            Command::Tick => {}
        }
    }

    fn health_check(&mut self, id: RequestId) {
        // Refused by the state service alone and with nobody to pass requests on, users would be
        // led here in vain. In an outage for all, staying healthy lets known final states be told.
        let alone = self.ctx.kv_unavailable() && self.ctx.relay.is_none() && self.reachable_peer().is_some();
        let answer = if self.ctx.catalog.is_some() && !alone {
            Answer::Healthy
        } else {
            Answer::Problem { status: 503, error: "not ready", retry_after: Some(1) }
        };
        self.ctx.answer(id, answer);
    }

    fn reachable_peer(&self) -> Option<String> {
        let fresh = self.ctx.settings.heartbeat_interval_ms() / 2;
        self.peers
            .iter()
            .filter(|(_, p)| p.last_heard > 0 && self.ctx.now.monotonic_ms.saturating_sub(p.last_heard) < fresh)
            .filter(|(_, p)| u64::from(p.state_age_ms) + self.ctx.state_answered_at.min(p.last_heard) < p.last_heard)
            .filter(|(_, p)| {
                u64::from(p.state_age_ms) < fresh / 2 && self.ctx.now.monotonic_ms - self.ctx.state_answered_at > fresh
            })
            .min_by_key(|(_, p)| p.state_age_ms)
            .map(|(node_name, _)| node_name.clone())
    }

    fn heartbeat(&mut self, id: RequestId, heartbeat: Heartbeat) {
        // A token above our epoch's shows that there is a newer leader. Any 200 of ours would be
        // dropped and would hold the worker here while its lease runs out.
        let theirs = heartbeat.token.epoch();
        if self.leader.as_ref().is_some_and(|l| theirs > l.epoch) {
            self.step_down(StepDown::NewerToken);
        }
        let me = self.ctx.settings.node_name.clone();
        match &mut self.leader {
            Some(l) if l.active => l.heartbeat(&mut self.ctx, id, heartbeat),
            Some(_) => {
                let busy = Answer::Problem { status: 503, error: "taking over", retry_after: None };
                self.ctx.answer(id, busy);
            }
            None => {
                if let Some(commands) = self.zone_lease_commands(&heartbeat) {
                    self.kept = Some(self.ctx.now.monotonic_ms);
                    self.ctx.answer(id, Answer::Heartbeat(HeartbeatReply { token: heartbeat.token, commands }));
                    return;
                }
                let to = self.known_leader.clone().filter(|f| *f != me);
                let answer = match to {
                    Some(to) => Answer::Redirect(Some(to)),
                    None => Answer::Problem { status: 503, error: "no leader known", retry_after: None },
                };
                self.ctx.answer(id, answer);
            }
        }
    }

    /// Whether this node keeps the lease of a machine of its zone while the leader is not heard,
    /// and with which commands: the leader's block in this zone is this node's for a term. It
    /// speaks with the token that the machine has seen, of the epoch that this node last heard, and
    /// starts nothing. The term ends `cancel_s - lease_s` less a margin after the last moment at
    /// which the leader surely led and no cancellation had been missed. The leader, and the next
    /// one, count on that before they release anything of a silent machine.
    fn zone_lease_commands(&self, heartbeat: &Heartbeat) -> Option<Vec<TaskCommand>> {
        let (now, set) = (self.ctx.now.monotonic_ms, &self.ctx.settings);
        let term = set.lease_renewal_window_ms().min((self.ctx.tuning.zone_lease_term_s * 1000.0) as u64);
        let surely_led_at = self.last_heard.surely_led_at.min(self.may_renew_leases);
        let token_confirmed =
            self.last_heard.epoch > Epoch::NONE && self.last_heard.epoch == self.epoch && surely_led_at > 0;
        let unheard = now.saturating_sub(self.last_heard.at) > set.heartbeat_interval_ms() / 2;
        let token = heartbeat.token.epoch() == self.last_heard.epoch;
        if !(token_confirmed && unheard && token && heartbeat.zone == set.location && now < surely_led_at + term) {
            return None;
        }
        let cancelled = |task: &str| {
            split_task_name(task).is_some_and(|(job, _)| self.cancelled.contains(job) || self.front.is_cancelled(job))
        };
        let halts = heartbeat
            .tasks
            .iter()
            .filter(|p| p.status != TaskStatus::Exited && cancelled(&p.task))
            .map(|p| TaskCommand::Stop { task: p.task.clone(), attempt: p.attempt, grace_period_s: 0.0 });
        Some(halts.collect())
    }

    fn handle_kv_reply(&mut self, id: RequestId, result: Result<KvReply, RequestError>) {
        let Some((wait, sent)) = self.ctx.waits.remove(&id) else { return };
        match &result {
            // A look at the direct way says nothing about the way in use.
            _ if matches!(wait, PendingRequest::Api(ApiRequest::Probe)) => {}
            Err(
                RequestError::NotSent
                | RequestError::LocalOverload
                | RequestError::OutcomeUnknown
                | RequestError::Unavailable,
            ) => self.ctx.state_failed_at = self.ctx.now.monotonic_ms,
            _ => self.ctx.state_answered_at = self.ctx.now.monotonic_ms,
        }
        match wait {
            PendingRequest::Api(w) => {
                self.front.handle_kv_reply(&mut self.ctx, w, sent, result, &self.counts, self.leader.as_deref());
                self.forward_cancellations();
            }
            PendingRequest::Election(w) => self.handle_election_reply(w, sent.at, result),
            PendingRequest::Catalog => {
                let found = match result {
                    Ok(KvReply::Found(pair)) => serde_json::from_value::<Catalog>(pair.v).ok(),
                    _ => None,
                };
                match found {
                    Some(c) => self.set_catalog(c),
                    None if self.ctx.catalog.is_none() => {
                        self.ctx.send_cloud(CloudRequest::Catalog, PendingRequest::Catalog);
                    }
                    None => {}
                }
            }
            PendingRequest::Leader(epoch, w) => {
                if let Some(l) = self.leader.as_mut().filter(|l| l.epoch == epoch) {
                    l.handle_kv_reply(&mut self.ctx, w, sent.at, result);
                }
            }
            PendingRequest::Ignored => {}
        }
    }

    /// What users' requests have shown to be cancelled is stopped at once, before the leader's own
    /// watch tells of it: it may be refused just then.
    fn forward_cancellations(&mut self) {
        let cancelled = std::mem::take(&mut self.front.newly_cancelled);
        if let Some(l) = &mut self.leader {
            for job in cancelled {
                l.stop_cancelled_job(&mut self.ctx, &job);
            }
        }
    }

    fn set_catalog(&mut self, c: Catalog) {
        if !c.machine_types.is_empty() {
            self.ctx.catalog = Some(c);
        }
    }

    // Leadership. The lead key is attached to a lease of the state service; the epoch key only
    // grows and is what every transaction of the leader conditions on.

    fn read_leadership(&mut self) {
        self.read_leadership_at = None;
        self.ctx.send_kv(
            KvRequest::Scan { prefix: "l/".into(), after: String::new() },
            PendingRequest::Election(ElectionRequest::Look),
        );
    }

    fn read_leadership_soon(&mut self, reports: f64) {
        self.read_leadership_at =
            Some(self.ctx.now.monotonic_ms + (self.ctx.settings.heartbeat_interval_s * reports * 1000.0) as u64);
    }

    fn handle_election_reply(&mut self, wait: ElectionRequest, sent: u64, result: Result<KvReply, RequestError>) {
        if self.leader.is_some() {
            return;
        }
        match (wait, result) {
            (ElectionRequest::Look, Ok(KvReply::Page(page))) => {
                self.lead_revision = page.revision;
                if !page.truncated {
                    self.may_renew_leases = sent;
                    let cancelled = page.pairs.iter().filter_map(|p| p.path.strip_prefix(keys::CANCELLED));
                    self.cancelled = cancelled.map(str::to_string).collect();
                }
                let get = |key: &str| page.pairs.iter().find(|p| p.path == key);
                let epoch = get(keys::EPOCH);
                let number = epoch.and_then(|p| p.v["epoch"].as_u64()).unwrap_or(0);
                self.epoch = self.epoch.max(Epoch(number));
                match get(keys::LEADER) {
                    Some(lead) => {
                        let node = lead.v["node"].as_str().unwrap_or_default().to_string();
                        if node == self.ctx.settings.node_name {
                            // Ours from before a restart, or from a try whose answer was lost.
                            self.known_leader = None;
                            let pass = lead.v["pass"].as_u64().unwrap_or(0);
                            self.ctx.send_kv(KvRequest::RevokeLease { pass }, PendingRequest::Ignored);
                            self.read_leadership_soon(0.02);
                        } else {
                            self.known_leader = Some(node);
                            self.leader_lease = lead.v["pass"].as_u64();
                            self.watch_lead();
                        }
                    }
                    None => {
                        self.known_leader = None;
                        let ttl_ms = self.leader_lease_intervals();
                        self.ctx.send_kv(
                            KvRequest::GrantLease { ttl_ms },
                            PendingRequest::Election(ElectionRequest::LeaseGrant),
                        );
                    }
                }
            }
            (ElectionRequest::LeaseGrant, Ok(KvReply::LeaseGranted(pass))) => {
                // Read again: the epoch's version must be no older than the lease.
                self.ctx.send_kv(
                    KvRequest::Get { key: keys::EPOCH.into() },
                    PendingRequest::Election(ElectionRequest::Take { epoch: Epoch::NONE, pass }),
                );
            }
            (
                ElectionRequest::Take { epoch: Epoch::NONE, pass },
                Ok(reply @ (KvReply::Found(_) | KvReply::Missing)),
            ) => {
                let (version, number) = match &reply {
                    KvReply::Found(p) => (p.version, p.v["epoch"].as_u64().unwrap_or(0)),
                    _ => (Revision::ABSENT, 0),
                };
                let epoch = Epoch(number).max(self.epoch).next();
                let node: Value = json!({"node": self.ctx.settings.node_name, "pass": pass});
                let transaction = Transaction {
                    conditions: vec![
                        Condition { path: keys::LEADER.into(), version: Revision::ABSENT },
                        Condition { path: keys::EPOCH.into(), version },
                    ],
                    writes: vec![
                        Write::Set { set: keys::LEADER.into(), v: node, pass: Some(pass) },
                        Write::set(keys::EPOCH, json!({"epoch": epoch, "node": self.ctx.settings.node_name})),
                    ],
                };
                self.ctx.send_kv(
                    KvRequest::Transaction(transaction),
                    PendingRequest::Election(ElectionRequest::Take { epoch, pass }),
                );
            }
            (ElectionRequest::Take { epoch, pass }, Ok(KvReply::Committed(revision))) => {
                self.epoch = epoch;
                self.known_leader = Some(self.ctx.settings.node_name.clone());
                self.ctx.emit(Event::LeaderElected { epoch });
                self.leader = Some(Box::new(Leader::new(&mut self.ctx, epoch, revision, pass)));
                self.pulse_at = self.ctx.now.monotonic_ms;
            }
            (ElectionRequest::Take { pass, .. }, Ok(_)) => {
                self.ctx.send_kv(KvRequest::RevokeLease { pass }, PendingRequest::Ignored);
                self.read_leadership();
            }
            (ElectionRequest::Watch, Ok(KvReply::Changes(news))) => {
                if news.changes.is_empty() {
                    self.may_renew_leases = sent;
                    self.watch_lead();
                } else {
                    self.read_leadership();
                }
            }
            (ElectionRequest::Watch, Ok(_)) => self.read_leadership(),
            (_, _) => self.read_leadership_soon(0.07),
        }
    }

    fn leader_lease_intervals(&self) -> u64 {
        (self.ctx.settings.heartbeat_interval_s * self.ctx.tuning.leader_lease_intervals * 1000.0).max(200.0) as u64
    }

    fn watch_lead(&mut self) {
        // Short, so that what is known of cancellations is never old.
        let hold_ms = self.ctx.settings.heartbeat_interval_ms() / 8;
        let watch = KvRequest::Watch { prefix: "l/".into(), after: self.lead_revision, hold_ms };
        self.ctx.send_kv(watch, PendingRequest::Election(ElectionRequest::Watch));
    }

    fn step_down(&mut self, why: StepDown) {
        if let Some(l) = self.leader.take() {
            self.ctx.emit(Event::LeaderSteppedDown { epoch: l.epoch, reason: why.clone() });
            self.ctx.send_kv(KvRequest::RevokeLease { pass: l.pass }, PendingRequest::Ignored);
            self.known_leader = None;
            // A leader that no machine reaches leaves the next election to others.
            self.read_leadership_soon(if why == StepDown::Unheard { 3.0 } else { 0.01 });
        }
    }

    fn peer(&mut self, from: String, frame: Frame) {
        let now = self.ctx.now.monotonic_ms;
        match frame {
            Frame::Heartbeat { epoch, leader, leads, state_age_ms, born, at, echo, kept_ms, waiting } => {
                let Some(p) = self.peers.get_mut(&from) else { return };
                *p = PeerView { last_heard: now, state_age_ms, pulse: (born, at), waiting };
                let answers_us = echo.0 == self.ctx.process_id && echo.1 <= now;
                if let Some(k) = self.ctx.peer_lease_reports.get_mut(&from) {
                    k.last_heard = now;
                    k.kept = now.saturating_sub(u64::from(kept_ms));
                    if answers_us {
                        k.sent_after = k.sent_after.max(echo.1);
                    }
                }
                if leads && leader == from && epoch >= self.epoch {
                    if self.last_heard.epoch != epoch {
                        self.last_heard = LeaderContact { epoch, at: now, surely_led_at: 0 };
                    }
                    self.last_heard.at = now;
                    if answers_us {
                        self.last_heard.surely_led_at = self.last_heard.surely_led_at.max(echo.1);
                    }
                }
                if leads && epoch > self.epoch {
                    // A newer leader than the one we know, ourselves perhaps.
                    self.epoch = epoch;
                    if self.leader.as_ref().is_some_and(|l| l.epoch < epoch) {
                        self.step_down(StepDown::NewerLeader);
                    }
                    self.known_leader = Some(leader);
                }
            }
            Frame::JobProgress { epoch, jobs } => {
                if epoch >= self.epoch && self.leader.is_none() {
                    self.front.learn(&self.ctx, jobs.iter().map(|j| (j.0.as_str(), j.1)));
                    self.counts = jobs.into_iter().map(|(job, _, done, running)| (job, (done, running))).collect();
                }
            }
            // Hello belongs to the connection, Relay and Relayed to the clients of the state service.
            Frame::Hello { .. } | Frame::Relay { .. } | Frame::Relayed { .. } => {}
        }
    }

    /// What is due by time, once a batch.
    fn run_due(&mut self) {
        let now = self.ctx.now.monotonic_ms;
        if self.read_leadership_at.is_some_and(|t| now >= t) && self.leader.is_none() {
            self.read_leadership();
        }
        if self.catalog_at <= now {
            let known = self.ctx.catalog.is_some();
            self.catalog_at = now + self.ctx.settings.heartbeat_interval_ms() * if known { 20 } else { 1 } / 3;
            self.ctx.send_kv(KvRequest::Get { key: keys::CATALOG.into() }, PendingRequest::Catalog);
        }
        self.ctx.limits.run_due(now, self.ctx.settings.heartbeat_interval_ms());
        self.front.run_due(&mut self.ctx, &self.counts, self.leader.as_deref());
        let fresh = self.ctx.settings.heartbeat_interval_ms() / 2;
        let live = self.peers.values().filter(|p| p.last_heard > 0 && now.saturating_sub(p.last_heard) < fresh);
        self.ctx.live_peers = live.clone().count() as u32;
        self.ctx.accepting = self.front.waiting() > 0 || live.map(|p| p.waiting).any(|n| n > 0);
        let mut down = None;
        if let Some(l) = &mut self.leader {
            l.run_due(&mut self.ctx);
            down = l.down.take();
        }
        if let Some(why) = down {
            self.step_down(why);
        }
        self.choose_relay();
        if self.pulse_at <= now {
            self.pulse_at = now + self.ctx.settings.heartbeat_interval_ms() / 12;
            // Through a peer is not served: nobody shall pass requests on through us.
            let age =
                if self.ctx.relay.is_some() { u64::from(u32::MAX) } else { now - self.ctx.state_answered_at.min(now) };
            let kept = now.saturating_sub(self.kept.unwrap_or(0));
            let peers: Vec<(String, (u64, u64))> = self.peers.iter().map(|(l, p)| (l.clone(), p.pulse)).collect();
            for (node_name, echo) in peers {
                let pulse = Frame::Heartbeat {
                    epoch: self.epoch,
                    leader: self.known_leader.clone().unwrap_or_default(),
                    leads: self.leader.is_some(),
                    state_age_ms: u32::try_from(age).unwrap_or(u32::MAX),
                    born: self.ctx.process_id,
                    at: now,
                    echo,
                    kept_ms: u32::try_from(kept).unwrap_or(u32::MAX),
                    waiting: self.front.waiting(),
                };
                self.ctx.effects.push(Effect::Peer(node_name, pulse));
            }
        }
        if self.counts_at <= now {
            self.counts_at = now + self.ctx.settings.heartbeat_interval_ms() / 3;
            if let Some(l) = &self.leader {
                let jobs = l.job_progress();
                self.front.learn(&self.ctx, jobs.iter().map(|j| (j.0.as_str(), j.1)));
                let counts = Frame::JobProgress { epoch: l.epoch, jobs };
                self.broadcast(counts);
            }
        }
    }

    /// Goes through a peer while the state service refuses or does not reach only us; back to the
    /// direct way now and then, to see whether it works again.
    fn choose_relay(&mut self) {
        let now = self.ctx.now.monotonic_ms;
        match &self.ctx.relay {
            None if self.ctx.kv_unavailable() => {
                if let Some(peer) = self.reachable_peer() {
                    self.ctx.emit(Event::StateServiceRelayStarted { peer: peer.clone() });
                    self.ctx.relay = Some(peer);
                    self.via_at = now;
                    self.front.probe_at = now + self.ctx.settings.heartbeat_interval_ms();
                    if self.leader.is_none() {
                        self.read_leadership();
                    }
                }
            }
            Some(peer) => {
                let last_heard = self.peers.get(peer).map_or(0, |p| p.last_heard);
                let lost = now.saturating_sub(last_heard) > self.ctx.settings.heartbeat_interval_ms() / 2;
                // What was still on the direct way may fail for a while.
                let settled = now.saturating_sub(self.via_at) > self.ctx.settings.heartbeat_interval_ms() / 2;
                if lost || settled && self.ctx.kv_unavailable() {
                    self.ctx.relay = None;
                    self.ctx.state_failed_at = now;
                } else if now >= self.front.probe_at {
                    self.front.probe_at = now + self.ctx.settings.heartbeat_interval_ms();
                    let relay = self.ctx.relay.take();
                    let probe = KvRequest::Get { key: keys::EPOCH.into() };
                    self.ctx.send_kv(probe, PendingRequest::Api(ApiRequest::Probe));
                    self.ctx.relay = relay;
                }
            }
            None => {}
        }
    }

    fn broadcast(&mut self, frame: Frame) {
        for node_name in self.peers.keys() {
            self.ctx.effects.push(Effect::Peer(node_name.clone(), frame.clone()));
        }
    }
}
