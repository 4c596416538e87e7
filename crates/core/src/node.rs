//! One node: users' requests, leadership and, while it leads, the scheduler.

use crate::front::{Front, FrontWait};
use crate::io::*;
use crate::leader::{LeadWait, Leader};
use crate::limits::Granted;
use crate::model::keys;
use crate::settings::{Settings, Tuning};
use crate::step_down::StepDown;
use crate::work::{Work, WorkCounter};
use serde_json::{Value, json};
use shaleshunt_peer::{Frame, HeartbeatEcho, PeerHeartbeat};
use shaleshunt_wire::cloud::Catalog;
use shaleshunt_wire::state::{Condition, Txn, Write};
use shaleshunt_wire::worker::{Order, Report, ReportReply, TaskStatus, split_task_name};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// What a request's answer is for.
#[derive(Debug)]
pub(crate) enum Wait {
    /// A user's request.
    Front(FrontWait),
    /// Leadership.
    Vote(VoteWait),
    /// The leader's work; void in another epoch.
    Lead(u64, LeadWait),
    /// The catalogue.
    Catalog,
    /// Nothing.
    Ignore,
}

/// Steps of leadership that wait for an answer.
#[derive(Debug)]
pub(crate) enum VoteWait {
    Look,
    Watch,
    Hold,
    Take { epoch: u64, pass: u64 },
}

/// What every part of the owner shares: time, settings, requests under way and effects.
pub(crate) struct Ctx {
    pub now: Now,
    pub set: Arc<Settings>,
    pub tune: Tuning,
    pub limits: Granted,
    pub out: Vec<Effect>,
    pub catalog: Option<Catalog>,
    next: RequestId,
    waits: HashMap<RequestId, (Wait, Moment)>,
    /// Batches so far.
    step: u64,
    /// How much later than it should the last batches began, in ms: how short of processor time this
    /// node is.
    pub lag_ms: u64,
    /// Work done so far.
    pub work: WorkCounter,
    /// A number that no other process of any node has.
    pub process: u64,
    /// When the state service last answered, and when it last did not.
    pub state_ok: u64,
    pub state_bad: u64,
    /// Peer that passes requests to the state service for us.
    pub via: Option<String>,
    /// Users' submissions wait for the state service, here or at a peer.
    pub accepting: bool,
    /// Peers heard lately.
    pub live_peers: u32,
    /// What the other controllers may have done for machines of their zones.
    pub keepers: BTreeMap<String, Keeper>,
}

/// When something came or was sent: its batch, and the time of that. The order of batches tells what
/// was sent after a question came; two batches may have the same time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Moment {
    pub step: u64,
    pub at: u64,
}

impl Moment {
    /// Whether this is no earlier than that, in both respects.
    pub fn covers(self, since: Moment) -> bool {
        self.step >= since.step && self.at >= since.at
    }
}

/// What a peer said of the leases that it may keep while it does not hear the leader.
#[derive(Debug, Clone, Default)]
pub(crate) struct Keeper {
    /// Its zone.
    pub zone: String,
    /// When its last pulse came.
    pub heard: u64,
    /// That pulse was sent after this time: it shows that a pulse of ours of this time had come.
    pub sent_after: u64,
    /// It kept none later than this, up to that pulse.
    pub kept: u64,
}

impl Ctx {
    fn id(&mut self, wait: Wait) -> RequestId {
        self.next += 1;
        self.waits.insert(self.next, (wait, self.moment()));
        self.next
    }
    /// The moment of this batch: what is sent now leaves after all that it holds has come.
    pub fn moment(&self) -> Moment {
        Moment { step: self.step, at: self.now.mono }
    }
    pub fn state(&mut self, request: StateRequest, wait: Wait) {
        let id = self.id(wait);
        let via = self.via.clone();
        self.out.push(Effect::State(id, request, via));
    }
    pub fn cloud(&mut self, request: CloudRequest, wait: Wait) {
        let id = self.id(wait);
        self.out.push(Effect::Cloud(id, request));
    }
    pub fn orders(&mut self, to: String, orders: shaleshunt_wire::worker::Orders, wait: Wait) -> RequestId {
        let id = self.id(wait);
        self.out.push(Effect::Orders(id, to, orders));
        id
    }
    pub fn answer(&mut self, id: RequestId, answer: Answer) {
        self.out.push(Effect::Answer(id, answer));
    }
    pub fn log(&mut self, severity: Severity, text: String) {
        self.out.push(Effect::Log(severity, text));
    }
    /// The leader's changes were refused as too many. While submissions wait, it is them.
    pub fn write_refused(&mut self) {
        if !self.accepting && self.limits.refused(self.now.mono, self.set.report_ms()) {
            let rate = self.limits.rate();
            self.log(Severity::Info, format!("state service grants fewer changes: {rate:.1} a second from here"));
        }
    }
    /// Whether the state service has lately failed us and not answered since: then users are told
    /// at once to come back, in place of a wait for a time-out.
    pub fn state_down(&self) -> bool {
        self.state_bad > self.state_ok && self.now.mono.saturating_sub(self.state_ok) > self.set.report_ms() / 3
    }
}

/// What a peer said last.
#[derive(Debug, Clone, Default)]
struct PeerView {
    heard: u64,
    state_age_ms: u32,
    /// Its process and clock at its last pulse.
    pulse: HeartbeatEcho,
    /// Acceptances that wait there.
    waiting: u32,
}

/// The leader as this node last heard it: what it needs to keep its zone's leases without it.
#[derive(Debug, Clone, Default)]
struct Heard {
    epoch: u64,
    /// When its last pulse came.
    at: u64,
    /// It surely lived and led after this time: it had heard a pulse of ours of this time.
    sure: u64,
}

/// A node of the service.
pub struct Node {
    pub(crate) ctx: Ctx,
    pub(crate) front: Front,
    leader: Option<Box<Leader>>,
    /// Name and epoch of the leader, as last known.
    foreman: Option<String>,
    epoch: u64,
    /// Leadership is looked at again at this time, unless a request for it is under way.
    look_at: Option<u64>,
    vote_ledger: u64,
    via_at: u64,
    /// The leader's lease at the state service.
    lead_pass: Option<u64>,
    heard: Heard,
    /// Sending time of the last answered look at leadership and cancellations: none before it was
    /// missed.
    sighted: u64,
    cancelled: BTreeSet<String>,
    /// When a machine's lease was last kept in place of a leader not heard.
    kept: Option<u64>,
    peers: BTreeMap<String, PeerView>,
    counts: HashMap<String, (u32, u32)>,
    catalog_at: u64,
    pulse_at: u64,
    counts_at: u64,
}

impl Node {
    /// A node that has just started. `process` is a number that no other process has, of this node
    /// or another: a restart may take less than any clock shows.
    pub fn new(set: Settings, tune: Tuning, now: Now, process: u64) -> Node {
        let peers = set.peers.iter().map(|(label, _)| (label.clone(), PeerView::default())).collect();
        let keeper = |zone: &String| Keeper { zone: zone.clone(), ..Keeper::default() };
        let keepers = set.peers.iter().map(|(label, zone)| (label.clone(), keeper(zone))).collect();
        Node {
            ctx: Ctx {
                now,
                limits: Granted::new(&set),
                set: Arc::new(set),
                tune,
                out: Vec::new(),
                catalog: None,
                next: 0,
                waits: HashMap::new(),
                step: 0,
                lag_ms: 0,
                work: WorkCounter::default(),
                process,
                state_ok: now.mono,
                state_bad: 0,
                via: None,
                accepting: false,
                live_peers: 0,
                keepers,
            },
            front: Front::default(),
            leader: None,
            foreman: None,
            epoch: 0,
            look_at: Some(now.mono),
            vote_ledger: 0,
            via_at: 0,
            lead_pass: None,
            heard: Heard::default(),
            sighted: 0,
            cancelled: BTreeSet::new(),
            kept: None,
            peers,
            counts: HashMap::new(),
            catalog_at: now.mono,
            pulse_at: now.mono,
            counts_at: now.mono,
        }
    }

    /// Works through a batch of commands; returns what is to be done.
    pub fn step(&mut self, now: Now, batch: Batch) -> Vec<Effect> {
        self.begin(now);
        for command in batch {
            self.take(command);
        }
        self.finish()
    }

    /// Begins a batch; [`Node::take`] and [`Node::finish`] are its other parts, for who measures them.
    pub fn begin(&mut self, now: Now) {
        let late = now.mono.saturating_sub(self.ctx.now.mono + self.ctx.set.tick_ms());
        // It falls slowly, so that one quick batch does not hide a row of slow ones.
        self.ctx.lag_ms = late.max(self.ctx.lag_ms * 3 / 4);
        self.ctx.now = now;
        self.ctx.step += 1;
    }

    /// Ends a batch: what is due by time, and all that is to be done.
    pub fn finish(&mut self) -> Vec<Effect> {
        self.turn();
        std::mem::take(&mut self.ctx.out)
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
            Command::Withdraw(id, job) => self.front.withdraw(&mut self.ctx, id, job),
            Command::Up(id) => self.up(id),
            Command::Checkin(id, report) => self.checkin(id, *report),
            Command::State(id, result) => self.state_answer(id, result),
            Command::Cloud(id, result) => match self.ctx.waits.remove(&id) {
                Some((Wait::Catalog, _)) => {
                    if let Ok(CloudReply::Catalog(c)) = result {
                        self.got_catalog(c);
                    }
                }
                Some((Wait::Lead(epoch, wait), _)) => {
                    if let Some(l) = self.leader.as_mut().filter(|l| l.epoch == epoch) {
                        l.cloud_answer(&mut self.ctx, wait, result);
                    }
                }
                _ => {}
            },
            Command::Orders(id, result) => {
                if let Some((Wait::Lead(epoch, LeadWait::Orders(machine)), _)) = self.ctx.waits.remove(&id)
                    && let Some(l) = self.leader.as_mut().filter(|l| l.epoch == epoch)
                {
                    l.orders_answer(&mut self.ctx, &machine, id, result);
                }
            }
            Command::Peer(from, frame) => self.peer(from, frame),
            Command::PeerLost(from) => {
                if let Some(p) = self.peers.get_mut(&from) {
                    p.heard = 0;
                }
                // The leader's connection broke: most likely its process has ended. Its lease is
                // ended for it, rather than waited for. If it lives, that costs it an election;
                // nothing rests on the guess, since the epoch fences what it still sends.
                if self.leader.is_none()
                    && self.foreman.as_deref() == Some(from.as_str())
                    && let Some(pass) = self.lead_pass.take()
                {
                    self.ctx.state(StateRequest::EndHold { pass }, Wait::Ignore);
                }
            }
            Command::Tick => {}
        }
    }

    fn up(&mut self, id: RequestId) {
        // Refused by the state service alone and with nobody to pass requests on, users would be
        // led here in vain. In an outage for all, staying healthy lets known final states be told.
        let alone = self.ctx.state_down() && self.ctx.via.is_none() && self.served_peer().is_some();
        let answer = if self.ctx.catalog.is_some() && !alone {
            Answer::Healthy
        } else {
            Answer::Problem { status: 503, error: "not ready", retry_after: Some(1) }
        };
        self.ctx.answer(id, answer);
    }

    fn served_peer(&self) -> Option<String> {
        let fresh = self.ctx.set.report_ms() / 2;
        self.peers
            .iter()
            .filter(|(_, p)| p.heard > 0 && self.ctx.now.mono.saturating_sub(p.heard) < fresh)
            .filter(|(_, p)| u64::from(p.state_age_ms) + self.ctx.state_ok.min(p.heard) < p.heard)
            .filter(|(_, p)| u64::from(p.state_age_ms) < fresh / 2 && self.ctx.now.mono - self.ctx.state_ok > fresh)
            .min_by_key(|(_, p)| p.state_age_ms)
            .map(|(label, _)| label.clone())
    }

    fn checkin(&mut self, id: RequestId, report: Report) {
        // A token above our epoch's shows that there is a newer leader. Any 200 of ours would be
        // dropped and would hold the worker here while its lease runs out.
        let theirs = report.token >> crate::leader::TOKEN_BITS;
        if self.leader.as_ref().is_some_and(|l| theirs > l.epoch) {
            self.deposed(StepDown::NewerToken);
        }
        let me = self.ctx.set.label.clone();
        match &mut self.leader {
            Some(l) if l.active => l.checkin(&mut self.ctx, id, report),
            Some(_) => {
                let busy = Answer::Problem { status: 503, error: "taking over", retry_after: None };
                self.ctx.answer(id, busy);
            }
            None => {
                if let Some(orders) = self.keeps(&report) {
                    self.kept = Some(self.ctx.now.mono);
                    self.ctx.answer(id, Answer::Report(ReportReply { token: report.token, orders }));
                    return;
                }
                let to = self.foreman.clone().filter(|f| *f != me);
                let answer = match to {
                    Some(to) => Answer::Elsewhere(Some(to)),
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
    fn keeps(&self, report: &Report) -> Option<Vec<Order>> {
        let (now, set) = (self.ctx.now.mono, &self.ctx.set);
        let term = set.blind_ms().min((self.ctx.tune.block_term_s * 1000.0) as u64);
        let sure = self.heard.sure.min(self.sighted);
        let ours = self.heard.epoch > 0 && self.heard.epoch == self.epoch && sure > 0;
        let unheard = now.saturating_sub(self.heard.at) > set.report_ms() / 2;
        let token = report.token >> crate::leader::TOKEN_BITS == self.heard.epoch;
        if !(ours && unheard && token && report.zone == set.location && now < sure + term) {
            return None;
        }
        let cancelled = |task: &str| {
            split_task_name(task).is_some_and(|(job, _)| self.cancelled.contains(job) || self.front.is_cancelled(job))
        };
        let halts = report
            .tasks
            .iter()
            .filter(|p| p.status != TaskStatus::Exited && cancelled(&p.task))
            .map(|p| Order::Halt { task: p.task.clone(), attempt: p.attempt, wind_down_s: 0.0 });
        Some(halts.collect())
    }

    fn state_answer(&mut self, id: RequestId, result: Result<StateReply, IoError>) {
        let Some((wait, sent)) = self.ctx.waits.remove(&id) else { return };
        match &result {
            // A look at the direct way says nothing about the way in use.
            _ if matches!(wait, Wait::Front(FrontWait::Probe)) => {}
            Err(IoError::NotSent | IoError::Busy | IoError::Unknown | IoError::Refused) => {
                self.ctx.state_bad = self.ctx.now.mono
            }
            _ => self.ctx.state_ok = self.ctx.now.mono,
        }
        match wait {
            Wait::Front(w) => {
                self.front.state_answer(&mut self.ctx, w, sent, result, &self.counts, self.leader.as_deref());
                self.pass_on_cancelled();
            }
            Wait::Vote(w) => self.vote_answer(w, sent.at, result),
            Wait::Catalog => {
                let found = match result {
                    Ok(StateReply::Found(pair)) => serde_json::from_value::<Catalog>(pair.v).ok(),
                    _ => None,
                };
                match found {
                    Some(c) => self.got_catalog(c),
                    None if self.ctx.catalog.is_none() => {
                        self.ctx.cloud(CloudRequest::Catalog, Wait::Catalog);
                    }
                    None => {}
                }
            }
            Wait::Lead(epoch, w) => {
                if let Some(l) = self.leader.as_mut().filter(|l| l.epoch == epoch) {
                    l.state_answer(&mut self.ctx, w, sent.at, result);
                }
            }
            Wait::Ignore => {}
        }
    }

    /// What users' requests have shown to be cancelled is stopped at once, before the leader's own
    /// watch tells of it: it may be refused just then.
    fn pass_on_cancelled(&mut self) {
        let cancelled = std::mem::take(&mut self.front.found_cancelled);
        if let Some(l) = &mut self.leader {
            for job in cancelled {
                l.known_cancelled(&mut self.ctx, &job);
            }
        }
    }

    fn got_catalog(&mut self, c: Catalog) {
        if !c.frames.is_empty() {
            self.ctx.catalog = Some(c);
        }
    }

    // Leadership. The lead key is attached to a lease of the state service; the epoch key only
    // grows and is what every transaction of the leader conditions on.

    fn look(&mut self) {
        self.look_at = None;
        self.ctx.state(StateRequest::Scan { prefix: "l/".into(), after: String::new() }, Wait::Vote(VoteWait::Look));
    }

    fn look_soon(&mut self, reports: f64) {
        self.look_at = Some(self.ctx.now.mono + (self.ctx.set.report_s * reports * 1000.0) as u64);
    }

    fn vote_answer(&mut self, wait: VoteWait, sent: u64, result: Result<StateReply, IoError>) {
        if self.leader.is_some() {
            return;
        }
        match (wait, result) {
            (VoteWait::Look, Ok(StateReply::Page(page))) => {
                self.vote_ledger = page.ledger;
                if !page.truncated {
                    self.sighted = sent;
                    let cancelled = page.pairs.iter().filter_map(|p| p.path.strip_prefix(keys::CANCELLED));
                    self.cancelled = cancelled.map(str::to_string).collect();
                }
                let get = |key: &str| page.pairs.iter().find(|p| p.path == key);
                let epoch = get(keys::EPOCH);
                let number = epoch.and_then(|p| p.v["epoch"].as_u64()).unwrap_or(0);
                self.epoch = self.epoch.max(number);
                match get(keys::LEAD) {
                    Some(lead) => {
                        let node = lead.v["node"].as_str().unwrap_or_default().to_string();
                        if node == self.ctx.set.label {
                            // Ours from before a restart, or from a try whose answer was lost.
                            self.foreman = None;
                            let pass = lead.v["pass"].as_u64().unwrap_or(0);
                            self.ctx.state(StateRequest::EndHold { pass }, Wait::Ignore);
                            self.look_soon(0.02);
                        } else {
                            self.foreman = Some(node);
                            self.lead_pass = lead.v["pass"].as_u64();
                            self.watch_lead();
                        }
                    }
                    None => {
                        self.foreman = None;
                        let life_ms = self.lead_life();
                        self.ctx.state(StateRequest::NewHold { life_ms }, Wait::Vote(VoteWait::Hold));
                    }
                }
            }
            (VoteWait::Hold, Ok(StateReply::Hold(pass))) => {
                // Read again: the epoch's version must be no older than the lease.
                self.ctx.state(
                    StateRequest::Get { key: keys::EPOCH.into() },
                    Wait::Vote(VoteWait::Take { epoch: 0, pass }),
                );
            }
            (VoteWait::Take { epoch: 0, pass }, Ok(reply @ (StateReply::Found(_) | StateReply::Missing))) => {
                let (version, number) = match &reply {
                    StateReply::Found(p) => (p.version, p.v["epoch"].as_u64().unwrap_or(0)),
                    _ => (0, 0),
                };
                let epoch = number.max(self.epoch) + 1;
                let node: Value = json!({"node": self.ctx.set.label, "pass": pass});
                let txn = Txn {
                    conditions: vec![
                        Condition { path: keys::LEAD.into(), version: 0 },
                        Condition { path: keys::EPOCH.into(), version },
                    ],
                    writes: vec![
                        Write::Set { set: keys::LEAD.into(), v: node, pass: Some(pass) },
                        Write::set(keys::EPOCH, json!({"epoch": epoch, "node": self.ctx.set.label})),
                    ],
                };
                self.ctx.state(StateRequest::Txn(txn), Wait::Vote(VoteWait::Take { epoch, pass }));
            }
            (VoteWait::Take { epoch, pass }, Ok(StateReply::Committed(ledger))) => {
                self.epoch = epoch;
                self.foreman = Some(self.ctx.set.label.clone());
                self.ctx.log(Severity::Info, format!("epoch {epoch}: leads from here"));
                self.leader = Some(Box::new(Leader::new(&mut self.ctx, epoch, ledger, pass)));
                self.pulse_at = self.ctx.now.mono;
            }
            (VoteWait::Take { pass, .. }, Ok(_)) => {
                self.ctx.state(StateRequest::EndHold { pass }, Wait::Ignore);
                self.look();
            }
            (VoteWait::Watch, Ok(StateReply::News(news))) => {
                if news.news.is_empty() {
                    self.sighted = sent;
                    self.watch_lead();
                } else {
                    self.look();
                }
            }
            (VoteWait::Watch, Ok(_)) => self.look(),
            (_, _) => self.look_soon(0.07),
        }
    }

    fn lead_life(&self) -> u64 {
        (self.ctx.set.report_s * self.ctx.tune.lead_life * 1000.0).max(200.0) as u64
    }

    fn watch_lead(&mut self) {
        // Short, so that what is known of cancellations is never old.
        let hold_ms = self.ctx.set.report_ms() / 8;
        let watch = StateRequest::Watch { prefix: "l/".into(), after: self.vote_ledger, hold_ms };
        self.ctx.state(watch, Wait::Vote(VoteWait::Watch));
    }

    fn deposed(&mut self, why: StepDown) {
        if let Some(l) = self.leader.take() {
            self.ctx.log(Severity::Info, format!("epoch {}: steps down: {why}", l.epoch));
            self.ctx.state(StateRequest::EndHold { pass: l.pass }, Wait::Ignore);
            self.foreman = None;
            // A leader that no machine reaches leaves the next election to others.
            self.look_soon(if why == StepDown::Unheard { 3.0 } else { 0.01 });
        }
    }

    fn peer(&mut self, from: String, frame: Frame) {
        let now = self.ctx.now.mono;
        match frame {
            Frame::Heartbeat(heartbeat) => {
                let PeerHeartbeat { epoch, leader, is_leader: leads, echo, .. } = heartbeat;
                let Some(p) = self.peers.get_mut(&from) else { return };
                *p = PeerView {
                    heard: now,
                    state_age_ms: heartbeat.store_contact_age_ms,
                    pulse: HeartbeatEcho { process_id: heartbeat.process_id, sent_at_ms: heartbeat.sent_at_ms },
                    waiting: heartbeat.pending_submissions,
                };
                let answers_us = echo.process_id == self.ctx.process && echo.sent_at_ms <= now;
                if let Some(k) = self.ctx.keepers.get_mut(&from) {
                    k.heard = now;
                    k.kept = now.saturating_sub(u64::from(heartbeat.lease_extension_age_ms));
                    if answers_us {
                        k.sent_after = k.sent_after.max(echo.sent_at_ms);
                    }
                }
                if leads && leader == from && epoch >= self.epoch {
                    if self.heard.epoch != epoch {
                        self.heard = Heard { epoch, at: now, sure: 0 };
                    }
                    self.heard.at = now;
                    if answers_us {
                        self.heard.sure = self.heard.sure.max(echo.sent_at_ms);
                    }
                }
                if leads && epoch > self.epoch {
                    // A newer leader than the one we know, ourselves perhaps.
                    self.epoch = epoch;
                    if self.leader.as_ref().is_some_and(|l| l.epoch < epoch) {
                        self.deposed(StepDown::NewerLeader);
                    }
                    self.foreman = Some(leader);
                }
            }
            Frame::JobProgress { epoch, jobs } => {
                if epoch >= self.epoch && self.leader.is_none() {
                    self.front.learn(&self.ctx, jobs.iter().map(|j| (j.job.as_str(), j.record_version)));
                    self.counts = jobs.into_iter().map(|j| (j.job, (j.done, j.running))).collect();
                }
            }
            // A hello belongs to the connection, what is forwarded to the clients of the state service.
            Frame::Hello { .. } | Frame::ForwardedRequest { .. } | Frame::ForwardedResponse { .. } => {}
        }
    }

    /// What is due by time, once a batch.
    fn turn(&mut self) {
        let now = self.ctx.now.mono;
        if self.look_at.is_some_and(|t| now >= t) && self.leader.is_none() {
            self.look();
        }
        if self.catalog_at <= now {
            let known = self.ctx.catalog.is_some();
            self.catalog_at = now + self.ctx.set.report_ms() * if known { 20 } else { 1 } / 3;
            self.ctx.state(StateRequest::Get { key: keys::CATALOG.into() }, Wait::Catalog);
        }
        self.ctx.limits.turn(now, self.ctx.set.report_ms());
        self.front.turn(&mut self.ctx, &self.counts, self.leader.as_deref());
        let fresh = self.ctx.set.report_ms() / 2;
        let live = self.peers.values().filter(|p| p.heard > 0 && now.saturating_sub(p.heard) < fresh);
        self.ctx.live_peers = live.clone().count() as u32;
        self.ctx.accepting = self.front.waiting() > 0 || live.map(|p| p.waiting).any(|n| n > 0);
        let mut down = None;
        if let Some(l) = &mut self.leader {
            l.turn(&mut self.ctx);
            down = l.down.take();
        }
        if let Some(why) = down {
            self.deposed(why);
        }
        self.choose_via();
        if self.pulse_at <= now {
            self.pulse_at = now + self.ctx.set.report_ms() / 12;
            // Through a peer is not served: nobody shall pass requests on through us.
            let age = if self.ctx.via.is_some() { u64::from(u32::MAX) } else { now - self.ctx.state_ok.min(now) };
            let kept = now.saturating_sub(self.kept.unwrap_or(0));
            let peers: Vec<(String, HeartbeatEcho)> = self.peers.iter().map(|(l, p)| (l.clone(), p.pulse)).collect();
            for (label, echo) in peers {
                let heartbeat = PeerHeartbeat {
                    epoch: self.epoch,
                    leader: self.foreman.clone().unwrap_or_default(),
                    is_leader: self.leader.is_some(),
                    store_contact_age_ms: u32::try_from(age).unwrap_or(u32::MAX),
                    process_id: self.ctx.process,
                    sent_at_ms: now,
                    echo,
                    lease_extension_age_ms: u32::try_from(kept).unwrap_or(u32::MAX),
                    pending_submissions: self.front.waiting(),
                };
                self.ctx.out.push(Effect::Peer(label, Frame::Heartbeat(heartbeat)));
            }
        }
        if self.counts_at <= now {
            self.counts_at = now + self.ctx.set.report_ms() / 3;
            if let Some(l) = &self.leader {
                let jobs = l.counts();
                self.front.learn(&self.ctx, jobs.iter().map(|j| (j.job.as_str(), j.record_version)));
                let counts = Frame::JobProgress { epoch: l.epoch, jobs };
                self.tell_peers(counts);
            }
        }
    }

    /// Goes through a peer while the state service refuses or does not reach only us; back to the
    /// direct way now and then, to see whether it works again.
    fn choose_via(&mut self) {
        let now = self.ctx.now.mono;
        match &self.ctx.via {
            None if self.ctx.state_down() => {
                if let Some(peer) = self.served_peer() {
                    self.ctx.log(Severity::Info, format!("state service refuses this node alone: through {peer}"));
                    self.ctx.via = Some(peer);
                    self.via_at = now;
                    self.front.probe_at = now + self.ctx.set.report_ms();
                    if self.leader.is_none() {
                        self.look();
                    }
                }
            }
            Some(peer) => {
                let heard = self.peers.get(peer).map_or(0, |p| p.heard);
                let lost = now.saturating_sub(heard) > self.ctx.set.report_ms() / 2;
                // What was still on the direct way may fail for a while.
                let settled = now.saturating_sub(self.via_at) > self.ctx.set.report_ms() / 2;
                if lost || settled && self.ctx.state_down() {
                    self.ctx.via = None;
                    self.ctx.state_bad = now;
                } else if now >= self.front.probe_at {
                    self.front.probe_at = now + self.ctx.set.report_ms();
                    let via = self.ctx.via.take();
                    let probe = StateRequest::Get { key: keys::EPOCH.into() };
                    self.ctx.state(probe, Wait::Front(FrontWait::Probe));
                    self.ctx.via = via;
                }
            }
            None => {}
        }
    }

    fn tell_peers(&mut self, frame: Frame) {
        for label in self.peers.keys() {
            self.ctx.out.push(Effect::Peer(label.clone(), frame.clone()));
        }
    }
}
