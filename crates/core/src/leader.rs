//! What the leader knows, how it reads it all after it has taken the epoch, and how it learns of
//! users' changes.

use crate::commit::Flight;
use crate::io::*;
use crate::model::*;
use crate::node::{Ctx, Wait};
use serde_json::Value;
use shaleshunt_wire::Room;
use shaleshunt_wire::state::{Change, Page, Pair};
use std::collections::{BTreeMap, BTreeSet};

/// Bits of a token below the epoch: a machine's own counter.
pub(crate) const TOKEN_BITS: u32 = 20;
/// Bits of an attempt below the epoch: the leader's counter.
const ATTEMPT_BITS: u32 = 28;

/// Most arrivals remembered.
const ARRIVALS: usize = 500;

/// Steps of the leader that wait for an answer.
#[derive(Debug)]
pub(crate) enum LeadWait {
    Load(&'static str),
    Renew,
    Watch,
    Commit,
    Refresh(Id),
    Orders(Id),
    Hire(String),
    Return(Vec<Id>),
    List,
    Catalog,
}

/// A hire under way.
#[derive(Debug)]
pub(crate) struct HireState {
    pub hire: shaleshunt_wire::cloud::Hire,
    /// Version of its record; 0 until recorded.
    pub stamp: u64,
    pub writing: bool,
    pub asking: bool,
    pub retry_at: u64,
    /// Answered, with these machines.
    pub answer: Option<Vec<Id>>,
}

/// Actual and estimated run time of a class's tasks.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Learned {
    pub actual: f64,
    pub expected: f64,
}

/// The leader's state.
pub struct Leader {
    pub(crate) epoch: u64,
    pub(crate) stamp: u64,
    pub(crate) pass: u64,
    /// Everything has been read.
    pub(crate) active: bool,
    /// Why leadership is over.
    pub(crate) down: Option<&'static str>,
    pub(crate) took_at: u64,
    loading: u32,
    load_retry: Vec<(&'static str, String, u64)>,
    loom_pairs: Vec<Pair>,
    done_pairs: Vec<Pair>,
    watch_from: Option<u64>,
    watch_at: Option<u64>,
    /// Sending time of the last watch that was answered: no withdrawal before it was missed.
    pub(crate) fresh: u64,
    renew_at: u64,
    renewing: bool,
    pub(crate) attempts: u64,
    slots: u64,
    pub(crate) jobs: BTreeMap<Id, Job>,
    pub(crate) looms: BTreeMap<Id, Loom>,
    /// Machines proven gone whose records are to be removed, with versions.
    pub(crate) gone: BTreeMap<Id, u64>,
    pub(crate) hires: BTreeMap<String, HireState>,
    pub(crate) hire_count: u64,
    pub(crate) owned: Option<BTreeSet<String>>,
    pub(crate) owned_stamp: u64,
    pub(crate) owned_dirty: bool,
    pub(crate) catalog_stamp: Option<u64>,
    pub(crate) catalog_dirty: bool,
    pub(crate) teams: BTreeMap<String, Room>,
    pub(crate) flight: Option<Flight>,
    pub(crate) writes: f64,
    pub(crate) writes_at: u64,
    pub(crate) changed_jobs: BTreeSet<Id>,
    pub(crate) replan: bool,
    pub(crate) round_at: u64,
    pub(crate) list_at: u64,
    pub(crate) listing: bool,
    pub(crate) list_seen: Vec<shaleshunt_wire::cloud::Listed>,
    pub(crate) prices_at: u64,
    pub(crate) refused: BTreeMap<crate::rent::Place, (u64, u32)>,
    pub(crate) learned: BTreeMap<String, Learned>,
    /// Jobs that arrived lately, as they arrived.
    pub(crate) arrivals: Vec<(u64, Job)>,
    pub(crate) retry_commit_at: u64,
}

impl Leader {
    pub(crate) fn new(ctx: &mut Ctx, epoch: u64, stamp: u64, pass: u64) -> Leader {
        let now = ctx.now.mono;
        let mut l = Leader {
            epoch,
            stamp,
            pass,
            active: false,
            down: None,
            took_at: now,
            loading: 0,
            load_retry: Vec::new(),
            loom_pairs: Vec::new(),
            done_pairs: Vec::new(),
            watch_from: None,
            watch_at: None,
            fresh: now,
            renew_at: now,
            renewing: false,
            attempts: 0,
            slots: 0,
            jobs: BTreeMap::new(),
            looms: BTreeMap::new(),
            gone: BTreeMap::new(),
            hires: BTreeMap::new(),
            hire_count: 0,
            owned: None,
            owned_stamp: 0,
            owned_dirty: false,
            catalog_stamp: None,
            catalog_dirty: false,
            teams: BTreeMap::new(),
            flight: None,
            writes: 0.0,
            writes_at: now,
            changed_jobs: BTreeSet::new(),
            replan: true,
            round_at: now,
            list_at: now,
            listing: false,
            list_seen: Vec::new(),
            prices_at: now,
            refused: BTreeMap::new(),
            learned: BTreeMap::new(),
            arrivals: Vec::new(),
            retry_commit_at: now,
        };
        l.writes = ctx.set.state_write_rps * ctx.tune.write_share;
        for prefix in [keys::JOBS, keys::DONE, keys::LOOMS, keys::HIRES, "c/"] {
            l.load(ctx, prefix, String::new());
        }
        l
    }

    pub(crate) fn wait(&self, wait: LeadWait) -> Wait {
        Wait::Lead(self.epoch, wait)
    }

    fn load(&mut self, ctx: &mut Ctx, prefix: &'static str, after: String) {
        self.loading += 1;
        let wait = self.wait(LeadWait::Load(prefix));
        ctx.state(StateRequest::Scan { prefix: prefix.into(), after }, wait);
    }

    fn loaded(&mut self, ctx: &mut Ctx, prefix: &'static str, page: Page) {
        let last = page.pairs.last().map(|p| p.path.clone());
        if prefix == keys::JOBS {
            // Changes from the first page's revision on are seen by the watch.
            self.watch_from.get_or_insert(page.ledger);
        }
        for pair in page.pairs {
            match prefix {
                keys::JOBS => self.job_set(ctx, &pair.path, pair.v, pair.stamp),
                keys::DONE => self.done_pairs.push(pair),
                keys::LOOMS => self.loom_pairs.push(pair),
                keys::HIRES => {
                    if let Ok(hire) = serde_json::from_value::<shaleshunt_wire::cloud::Hire>(pair.v) {
                        let state = HireState {
                            hire,
                            stamp: pair.stamp,
                            writing: false,
                            asking: false,
                            retry_at: 0,
                            answer: None,
                        };
                        self.hires.insert(state.hire.hire.clone(), state);
                    }
                }
                _ => match pair.path.as_str() {
                    keys::OWNED => {
                        self.owned = serde_json::from_value(pair.v).ok();
                        self.owned_stamp = pair.stamp;
                    }
                    keys::CATALOG => {
                        self.catalog_stamp = Some(pair.stamp);
                        if ctx.catalog.is_none() {
                            ctx.catalog = serde_json::from_value(pair.v).ok();
                        }
                    }
                    _ => {}
                },
            }
        }
        match last {
            Some(after) if page.truncated => self.load(ctx, prefix, after),
            _ => {
                self.loading -= 1;
                if self.loading == 0 && self.load_retry.is_empty() {
                    self.activate(ctx);
                }
                return;
            }
        }
        self.loading -= 1;
    }

    /// Everything has been read: joins outcomes and placements to jobs and begins to act.
    fn activate(&mut self, ctx: &mut Ctx) {
        let per_chunk = ctx.set.chunk_pieces();
        for pair in std::mem::take(&mut self.done_pairs) {
            let mut parts = pair.path[keys::DONE.len()..].rsplitn(2, '/');
            let chunk = parts.next().and_then(|c| c.parse::<u32>().ok());
            let job = parts.next().and_then(|j| self.jobs.get_mut(j));
            if let (Some(chunk), Some(job)) = (chunk, job) {
                if let Some(text) = pair.v.as_str() {
                    job.done.decode(chunk.saturating_mul(per_chunk), text);
                }
                job.done_count = job.done.count();
                job.chunks.insert(chunk, pair.stamp);
            }
        }
        for pair in std::mem::take(&mut self.loom_pairs) {
            let name: Id = pair.path[keys::LOOMS.len()..].into();
            let Ok(rec) = serde_json::from_value::<LoomRecord>(pair.v) else { continue };
            let mut m = self.new_loom(ctx, &name, &rec.f, &rec.z, rec.b, rec.o);
            m.endpoint = rec.e;
            m.shift = rec.s;
            m.hired = rec.t;
            m.images = rec.i;
            m.stamp = pair.stamp;
            m.dirty = false;
            self.looms.insert(name.clone(), m);
            for (job, piece, attempt) in rec.p {
                // A placement of a finished job, or of a task whose outcome is committed, is void:
                // a job ends only after all its placements' ends were seen.
                let known = self.jobs.get(job.as_str()).filter(|j| !j.done.get(piece));
                if let Some((id, need)) = known.map(|j| (j.id.clone(), j.need)) {
                    let p = Placement {
                        job: id,
                        piece,
                        attempt,
                        slot: self.next_slot(),
                        need,
                        stage: Stage::Committed,
                        sent: true,
                        since: ctx.now.mono,
                        running: None,
                        halt: None,
                    };
                    self.put(&name, p);
                }
            }
            if let Some(m) = self.looms.get_mut(&name) {
                m.dirty = false;
                // Asked at once, so that the new token is confirmed before the next report.
                m.push = !m.endpoint.is_empty() && m.shift > 0;
            }
        }
        self.halt_doubles();
        self.active = true;
        self.changed_jobs = self.jobs.keys().cloned().collect();
        let cancelled: Vec<Id> = self.jobs.values().filter(|j| j.aborted).map(|j| j.id.clone()).collect();
        for id in cancelled {
            self.stop_job(ctx, &id);
        }
        ctx.log(
            Severity::Info,
            format!("epoch {}: read {} jobs, {} machines", self.epoch, self.jobs.len(), self.looms.len()),
        );
        self.watch(ctx);
    }

    /// Where records name a task twice, the earlier placement had been released when the later was
    /// planned, so it is gone; it must not be started again and is released by proof as any other.
    fn halt_doubles(&mut self) {
        for job in self.jobs.values() {
            for list in job.live.values().filter(|l| l.len() > 1) {
                let attempt = |(loom, slot): &(Id, u64)| {
                    let places = self.looms.get(loom).map(|m| &m.places);
                    places.and_then(|p| p.iter().find(|p| p.slot == *slot)).map_or(0, |p| p.attempt)
                };
                let latest = list.iter().map(attempt).max().unwrap_or(0);
                let earlier: Vec<(Id, u64)> = list.iter().filter(|e| attempt(e) < latest).cloned().collect();
                for (loom, slot) in earlier {
                    let place = self.looms.get_mut(&loom).and_then(|m| m.places.iter_mut().find(|p| p.slot == slot));
                    if let Some(p) = place {
                        p.halt = Some(0.0);
                    }
                }
            }
        }
    }

    fn watch(&mut self, ctx: &mut Ctx) {
        self.watch_at = None;
        let after = self.watch_from.unwrap_or(0);
        let hold_ms = ctx.set.report_ms();
        let wait = self.wait(LeadWait::Watch);
        ctx.state(StateRequest::Watch { prefix: keys::JOBS.into(), after, hold_ms }, wait);
    }

    fn job_set(&mut self, ctx: &mut Ctx, path: &str, v: Value, stamp: u64) {
        let id = &path[keys::JOBS.len().min(path.len())..];
        if self.jobs.get(id).is_some_and(|j| j.stamp > stamp) {
            return;
        }
        let Ok(rec) = serde_json::from_value::<JobRecord>(v) else {
            ctx.log(Severity::Error, format!("record {path} not understood"));
            return;
        };
        self.replan = true;
        match self.jobs.get_mut(id) {
            Some(job) => {
                job.stamp = stamp;
                job.stale = false;
                if rec.x && !job.aborted {
                    job.aborted = true;
                    let id = job.id.clone();
                    self.stop_job(ctx, &id);
                }
            }
            None => {
                if self.active && !rec.x && self.arrivals.len() < ARRIVALS {
                    self.arrivals.push((ctx.now.mono, Job::new(rec.clone(), stamp)));
                }
                let job = Job::new(rec, stamp);
                let (id, aborted) = (job.id.clone(), job.aborted);
                self.jobs.insert(id.clone(), job);
                if aborted {
                    self.changed_jobs.insert(id);
                }
            }
        }
    }

    /// A job's record is no longer there.
    fn job_gone(&mut self, ctx: &mut Ctx, id: &str) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.aborted = true;
            let id = job.id.clone();
            self.stop_job(ctx, &id);
            self.jobs.remove(&id);
            self.changed_jobs.remove(&id);
            self.replan = true;
        }
    }

    pub(crate) fn state_answer(
        &mut self,
        ctx: &mut Ctx,
        wait: LeadWait,
        sent: u64,
        result: Result<StateReply, IoError>,
    ) {
        match (wait, result) {
            (LeadWait::Load(prefix), Ok(StateReply::Page(page))) => self.loaded(ctx, prefix, page),
            (LeadWait::Load(_), _) => self.down = Some("could not read everything"),
            (LeadWait::Renew, result) => {
                self.renewing = false;
                match result {
                    Ok(StateReply::Missing) => self.down = Some("the lease has run out"),
                    Ok(_) => {}
                    Err(_) => self.renew_at = ctx.now.mono + ctx.set.report_ms() / 12,
                }
            }
            (LeadWait::Watch, Ok(StateReply::News(news))) => {
                self.fresh = self.fresh.max(sent);
                self.watch_from = Some(news.ledger);
                for change in news.news {
                    match change {
                        Change { set: Some(path), v: Some(v), stamp, .. } => self.job_set(ctx, &path, v, stamp),
                        Change { drop: Some(path), stamp, .. } => {
                            let id = path[keys::JOBS.len().min(path.len())..].to_string();
                            if self.jobs.get(id.as_str()).is_some_and(|j| j.stamp < stamp) {
                                self.job_gone(ctx, &id);
                            }
                        }
                        _ => {}
                    }
                }
                self.watch(ctx);
            }
            (LeadWait::Watch, Ok(StateReply::TooOld)) => self.down = Some("changes were missed"),
            (LeadWait::Watch, _) => self.watch_at = Some(ctx.now.mono + ctx.set.report_ms() / 20),
            (LeadWait::Refresh(_), Ok(StateReply::Found(pair))) => self.job_set(ctx, &pair.path, pair.v, pair.stamp),
            (LeadWait::Refresh(id), Ok(StateReply::Missing)) => self.job_gone(ctx, &id),
            (LeadWait::Refresh(id), _) => self.refresh(ctx, id),
            (LeadWait::Commit, result) => self.committed(ctx, result),
            _ => {}
        }
    }

    /// Reads a job's record again, after a condition on it failed.
    pub(crate) fn refresh(&mut self, ctx: &mut Ctx, id: Id) {
        let key = format!("{}{id}", keys::JOBS);
        let wait = self.wait(LeadWait::Refresh(id));
        ctx.state(StateRequest::Get { key }, wait);
    }

    /// What is due by time or by what the batch brought.
    pub(crate) fn turn(&mut self, ctx: &mut Ctx) {
        let now = ctx.now.mono;
        if self.renew_at <= now && !self.renewing {
            let life = ctx.set.report_s * ctx.tune.lead_life * 1000.0;
            self.renew_at = now + (life / 4.0) as u64;
            self.renewing = true;
            let wait = self.wait(LeadWait::Renew);
            ctx.state(StateRequest::Renew { pass: self.pass }, wait);
        }
        if !self.active {
            return;
        }
        if self.watch_at.is_some_and(|t| now >= t) {
            self.watch(ctx);
        }
        self.watch_floor(ctx);
        self.rounds(ctx);
        if self.replan {
            self.replan = false;
            self.schedule(ctx);
        }
        self.commit(ctx);
        self.push_orders(ctx);
    }

    /// Whether workers' leases may be renewed: no withdrawal can have been missed for too long.
    pub(crate) fn sighted(&self, ctx: &Ctx) -> bool {
        ctx.now.mono.saturating_sub(self.fresh) < ctx.set.blind_ms()
    }

    /// A new attempt number, never used before in any epoch.
    pub(crate) fn next_attempt(&mut self) -> u64 {
        self.attempts += 1;
        (self.epoch << ATTEMPT_BITS) + self.attempts
    }

    /// A new number for a placement inside this process.
    pub(crate) fn next_slot(&mut self) -> u64 {
        self.slots += 1;
        self.slots
    }

    /// Token for a machine.
    pub(crate) fn token(&self, m: &Loom) -> u64 {
        (self.epoch << TOKEN_BITS) + m.bump
    }

    pub(crate) fn new_loom(&self, ctx: &Ctx, id: &Id, frame: &str, hall: &str, borrowed: bool, owned: bool) -> Loom {
        let room = ctx.catalog.as_ref().and_then(|c| c.frame(frame)).map(|f| f.room()).unwrap_or_default();
        Loom {
            id: id.clone(),
            frame: frame.into(),
            hall: hall.into(),
            borrowed,
            owned,
            endpoint: String::new(),
            shift: 0,
            hired: ctx.now.wall,
            room,
            used: Room::default(),
            places: Vec::new(),
            images: Vec::new(),
            stamp: 0,
            dirty: true,
            released: false,
            writing: false,
            heard: None,
            ours: false,
            last: (0, 0),
            bump: 0,
            answer_open: false,
            call: None,
            call_after: 0,
            push: false,
            warned: None,
            strangers: Vec::new(),
            leaving: false,
            returning: false,
            listed: false,
            failures: Vec::new(),
            sick_until: 0,
            sick_times: 0,
            needed_at: 0,
            idle_since: ctx.now.mono,
            slowness: 1.0,
        }
    }

    /// Puts a placement on a machine and counts it everywhere.
    pub(crate) fn put(&mut self, loom: &Id, p: Placement) {
        let Some(m) = self.looms.get_mut(loom) else { return };
        let Some(job) = self.jobs.get_mut(&p.job) else { return };
        m.used.add(&p.need, 1);
        m.dirty = true;
        job.live.entry(p.piece).or_default().push((loom.clone(), p.slot));
        *job.zones.entry(m.hall.clone()).or_default() += 1;
        self.teams.entry(job.spec.crew.clone()).or_default().add(&p.need, 1);
        m.places.push(p);
    }

    /// Takes a placement off a machine; the caller has the proof that it is gone. The machine's
    /// record is written again, but not for a task that is `done`: its outcome voids what the
    /// record says, which saves a write.
    pub(crate) fn release(&mut self, now: u64, loom: &Id, slot: u64, done: bool) -> Option<Placement> {
        let m = self.looms.get_mut(loom)?;
        let at = m.places.iter().position(|p| p.slot == slot)?;
        let p = m.places.remove(at);
        m.used.add(&p.need, -1);
        m.dirty |= !done;
        // A plan may be in the write that is under way.
        m.released |= !done && (p.stage != Stage::Planned || m.writing);
        if m.places.is_empty() {
            m.idle_since = now;
        }
        self.replan = true;
        if let Some(job) = self.jobs.get_mut(&p.job) {
            if let Some(list) = job.live.get_mut(&p.piece) {
                list.retain(|(_, s)| *s != slot);
                if list.is_empty() {
                    job.live.remove(&p.piece);
                    job.cursor = job.cursor.min(p.piece);
                }
            }
            if let Some(n) = job.zones.get_mut(&m.hall) {
                *n = n.saturating_sub(1);
            }
            if let Some(t) = self.teams.get_mut(&job.spec.crew) {
                t.add(&p.need, -1);
            }
            if !done {
                job.tails.insert(loom.clone());
            }
            if job.aborted {
                self.changed_jobs.insert(p.job.clone());
            }
        }
        Some(p)
    }

    /// Stops all tasks of a cancelled job. What never left is released at once.
    pub(crate) fn stop_job(&mut self, ctx: &mut Ctx, id: &Id) {
        self.changed_jobs.insert(id.clone());
        let Some(job) = self.jobs.get(id) else { return };
        let live: Vec<(Id, u64)> = job.live.values().flatten().cloned().collect();
        for (loom, slot) in live {
            self.stop_place(ctx.now.mono, &loom, slot);
        }
    }

    /// Stops a task at once; one whose `run` never left is released.
    pub(crate) fn stop_place(&mut self, now: u64, loom: &Id, slot: u64) {
        let Some(m) = self.looms.get_mut(loom) else { return };
        let Some(p) = m.places.iter_mut().find(|p| p.slot == slot) else { return };
        if p.sent {
            p.halt = Some(0.0);
            m.push = true;
        } else {
            self.release(now, loom, slot, false);
        }
    }

    /// Done and running tasks of a job, for display.
    pub(crate) fn count(&self, job: &str) -> (u32, u32) {
        self.jobs.get(job).map_or((0, 0), |j| {
            let running = j
                .live
                .values()
                .flatten()
                .filter(|(loom, slot)| {
                    let place = self.looms.get(loom).and_then(|m| m.places.iter().find(|p| p.slot == *slot));
                    place.is_some_and(|p| matches!(p.stage, Stage::Running | Stage::Flushing))
                })
                .count();
            (j.done_count, running as u32)
        })
    }

    /// Counts of all jobs, for the other nodes' display.
    pub(crate) fn counts(&self) -> Vec<(String, u32, u32)> {
        let mut running: BTreeMap<&Id, u32> = BTreeMap::new();
        for p in self.looms.values().flat_map(|m| &m.places) {
            if matches!(p.stage, Stage::Running | Stage::Flushing) {
                *running.entry(&p.job).or_default() += 1;
            }
        }
        // Many more jobs than a frame may hold are shown by the leader alone.
        self.jobs
            .values()
            .map(|j| (j.id.to_string(), j.done_count, running.get(&j.id).copied().unwrap_or(0)))
            .filter(|(_, done, running)| done + running > 0)
            .take(3000)
            .collect()
    }
}
