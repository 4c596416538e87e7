//! What the leader knows, how it reads it all after it has taken the epoch, and how it learns of
//! users' changes.

use crate::awaits::Stages;
use crate::commit::{Flight, Written};
use crate::fleet::Fleet;
use crate::io::*;
use crate::model::*;
use crate::node::{Ctx, Wait};
use crate::pages::Pages;
use crate::parts::{LargeRecord, Parts, Stored};
use crate::step_down::{ForeignWrite, StepDown};
use serde_json::Value;
use shaleshunt_wire::Room;
use shaleshunt_wire::state::{Change, Page, Pair};
use shaleshunt_wire::user::Urgency;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// Bits of a token below the epoch: a machine's own counter.
pub(crate) const TOKEN_BITS: u32 = 20;
/// Bits of an attempt below the epoch: the leader's counter.
const ATTEMPT_BITS: u32 = 28;

/// So many times a node's lag goes by between two passes over the queue, up to a fifth of a reporting interval.
const LAG_BETWEEN_PASSES: u64 = 4;

/// Most arrivals remembered: three times what comes within two boot times in a threefold burst at 4,000
/// machines. Of more the oldest are forgotten.
const ARRIVALS: usize = 6000;

/// Steps of the leader that wait for an answer.
#[derive(Debug)]
pub(crate) enum LeadWait {
    Load(&'static str, String),
    Renew,
    Watch,
    Commit,
    Settle,
    Settled(u64),
    /// The version of a key that somebody else has written, for the log.
    ForeignWrite(ForeignWrite),
    Refresh(Id),
    End(Id),
    Parts(Box<(LargeRecord, u64, Vec<Pair>)>),
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
    pub version: u64,
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

/// What a class has on machines.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Held {
    pub all: i64,
    pub owned: i64,
}

/// The leader's state.
pub struct Leader {
    pub(crate) epoch: u64,
    pub(crate) version: u64,
    pub(crate) pass: u64,
    /// Everything has been read.
    pub(crate) active: bool,
    /// Why leadership is over.
    pub(crate) down: Option<StepDown>,
    pub(crate) took_at: u64,
    loading: u32,
    load_retry: Vec<(&'static str, String, u64)>,
    block_pairs: Vec<Pair>,
    page_pairs: Vec<Pair>,
    old_machines: Vec<Pair>,
    old_done: Vec<Pair>,
    part_pairs: Vec<Pair>,
    large: Vec<(LargeRecord, u64)>,
    /// Parts of jobs' submissions, those that no record refers to, and records whose parts are to be
    /// read again at a time.
    pub(crate) parts: BTreeMap<Id, Parts>,
    pub(crate) dead_parts: Vec<Parts>,
    /// Jobs whose end this leader has written, with the revision of that: news of them that the watch
    /// brings from before is old.
    pub(crate) ended: BTreeMap<Id, u64>,
    /// Jobs that are not known before their parts have been read, with the version of the record.
    pub(crate) reading_parts: BTreeMap<Id, u64>,
    pub(crate) parts_later: Vec<(u64, LargeRecord, u64)>,
    watch_from: Option<u64>,
    watch_at: Option<u64>,
    /// Sending time of the last watch that was answered: no withdrawal before it was missed.
    pub(crate) fresh: u64,
    renew_at: u64,
    renewing: bool,
    pub(crate) attempts: u64,
    slots: u64,
    pub(crate) jobs: BTreeMap<Id, Job>,
    pub(crate) machines: Fleet,
    pub(crate) pages: Pages,
    /// Who awaits whom.
    pub(crate) stages: Stages,
    /// Facts touched so far.
    pub(crate) touches: u64,
    /// Blocks of machines by number, and those to be written.
    pub(crate) blocks: BTreeMap<u32, Block>,
    pub(crate) dirty_blocks: BTreeSet<u32>,
    /// The highest number that a block has had. None is used again: a late copy of the transaction
    /// that began the first would be carried out.
    pub(crate) newest_block: u32,
    /// Blocks from which machines went, to be written when there is room.
    pub(crate) thinned_blocks: BTreeSet<u32>,
    /// Jobs with plans to write, most urgent first; jobs that ended, oldest first, behind them those
    /// that are cancelled with another; jobs with outcomes, oldest first.
    pub(crate) ends: BTreeSet<(bool, u64, Id)>,
    pub(crate) urgent: BTreeSet<(Reverse<Urgency>, u64, Id)>,
    pub(crate) lazy: BTreeSet<(u64, Id)>,
    /// Records of an earlier form, with versions. They go when all they held has been written anew.
    pub(crate) orphans: BTreeMap<String, u64>,
    pub(crate) legacy: BTreeMap<String, u64>,
    /// Machines to be told something at once; those that wait for a time; those to confirm a token.
    pub(crate) push: BTreeSet<Id>,
    pub(crate) push_later: BTreeSet<(u64, Id)>,
    pub(crate) confirm: VecDeque<Id>,
    pub(crate) confirming: u32,
    /// Images by number.
    pub(crate) image_names: Vec<String>,
    image_numbers: HashMap<String, u32>,
    /// Tasks on machines by class.
    pub(crate) held: BTreeMap<String, Held>,
    /// The order among jobs is worked out anew once a round or when jobs come or go.
    pub(crate) ranks_old: bool,
    pub(crate) ranks_at: u64,
    pub(crate) behind: BTreeMap<Id, u8>,
    pub(crate) guaranteed: BTreeSet<Id>,
    /// Shorter tasks than this go to spot machines first.
    pub(crate) spot_below: f64,
    /// CPUs of machines that cannot be taken away, and when they were counted.
    pub(crate) safe_cores: (u64, i64),
    /// Where the next sample of machines begins.
    pub(crate) sample_from: Option<Id>,
    /// By zone: when last a machine in it reported, and how many do.
    pub(crate) zones_heard: BTreeMap<String, (u64, u32)>,
    /// Machines whose reports are overdue are few: it is them and not us.
    pub(crate) few_overdue: bool,
    /// Zones from which nobody reports.
    pub(crate) zones_cut: BTreeSet<String>,
    pub(crate) plan_at: u64,
    silence_at: u64,
    told_at: u64,
    pub(crate) written: Written,
    pub(crate) hires: BTreeMap<String, HireState>,
    pub(crate) hire_count: u64,
    pub(crate) owned: Option<BTreeSet<String>>,
    /// The settings were compared with what the fleet needs.
    pub(crate) capacity_checked: bool,
    /// Versions of the keys that hold them, and the parts to be written.
    pub(crate) owned_versions: BTreeMap<String, u64>,
    pub(crate) owned_dirty: BTreeMap<u32, Vec<String>>,
    owned_parts: BTreeSet<String>,
    pub(crate) catalog_version: Option<u64>,
    pub(crate) catalog_dirty: bool,
    pub(crate) teams: BTreeMap<String, Room>,
    pub(crate) flight: Option<Flight>,
    pub(crate) writes: f64,
    pub(crate) writes_at: u64,
    pub(crate) replan: bool,
    pub(crate) round_at: u64,
    pub(crate) list_at: u64,
    pub(crate) listing: bool,
    /// Pages of the cloud's list that have come so far, and when the next may be asked for.
    pub(crate) list_seen: Vec<shaleshunt_wire::cloud::Listed>,
    pub(crate) list_pages: u32,
    pub(crate) prices_at: u64,
    pub(crate) refused: BTreeMap<crate::rent::Place, (u64, u32)>,
    pub(crate) learned: BTreeMap<String, Learned>,
    /// Jobs that arrived lately, as they arrived.
    pub(crate) arrivals: VecDeque<(u64, Job)>,
    pub(crate) commit_at: u64,
}

impl Leader {
    pub(crate) fn new(ctx: &mut Ctx, epoch: u64, version: u64, pass: u64) -> Leader {
        let now = ctx.now.mono;
        let mut l = Leader {
            epoch,
            version,
            pass,
            active: false,
            down: None,
            took_at: now,
            loading: 0,
            load_retry: Vec::new(),
            block_pairs: Vec::new(),
            page_pairs: Vec::new(),
            old_machines: Vec::new(),
            old_done: Vec::new(),
            part_pairs: Vec::new(),
            large: Vec::new(),
            parts: BTreeMap::new(),
            dead_parts: Vec::new(),
            ended: BTreeMap::new(),
            reading_parts: BTreeMap::new(),
            parts_later: Vec::new(),
            watch_from: None,
            watch_at: None,
            fresh: now,
            renew_at: now,
            renewing: false,
            attempts: 0,
            slots: 0,
            jobs: BTreeMap::new(),
            machines: Fleet::default(),
            pages: Pages::default(),
            stages: Stages::default(),
            touches: 0,
            blocks: BTreeMap::new(),
            dirty_blocks: BTreeSet::new(),
            newest_block: 0,
            thinned_blocks: BTreeSet::new(),
            ends: BTreeSet::new(),
            urgent: BTreeSet::new(),
            lazy: BTreeSet::new(),
            orphans: BTreeMap::new(),
            legacy: BTreeMap::new(),
            push: BTreeSet::new(),
            push_later: BTreeSet::new(),
            confirm: VecDeque::new(),
            confirming: 0,
            image_names: Vec::new(),
            image_numbers: HashMap::new(),
            held: BTreeMap::new(),
            ranks_old: true,
            ranks_at: 0,
            behind: BTreeMap::new(),
            guaranteed: BTreeSet::new(),
            spot_below: 0.0,
            safe_cores: (0, 0),
            sample_from: None,
            zones_heard: BTreeMap::new(),
            few_overdue: false,
            zones_cut: BTreeSet::new(),
            plan_at: now,
            silence_at: now,
            told_at: now,
            written: Written::default(),
            hires: BTreeMap::new(),
            hire_count: 0,
            owned: None,
            capacity_checked: false,
            owned_versions: BTreeMap::new(),
            owned_dirty: BTreeMap::new(),
            owned_parts: BTreeSet::new(),
            catalog_version: None,
            catalog_dirty: false,
            teams: BTreeMap::new(),
            flight: None,
            writes: 0.0,
            writes_at: now,
            replan: true,
            round_at: now,
            list_at: now,
            listing: false,
            list_seen: Vec::new(),
            list_pages: 0,
            prices_at: now,
            refused: BTreeMap::new(),
            learned: BTreeMap::new(),
            arrivals: VecDeque::new(),
            commit_at: now,
        };
        l.writes = ctx.limits.rate() * ctx.tune.write_share;
        let mine = [keys::JOBS, keys::PARTS, keys::PAGES, keys::BLOCKS, keys::HIRES, "c/"];
        for prefix in mine.into_iter().chain([keys::OLD_DONE, keys::OLD_MACHINES]) {
            l.load(ctx, prefix, String::new());
        }
        l
    }

    pub(crate) fn wait(&self, wait: LeadWait) -> Wait {
        Wait::Lead(self.epoch, wait)
    }

    fn load(&mut self, ctx: &mut Ctx, prefix: &'static str, after: String) {
        self.loading += 1;
        let wait = self.wait(LeadWait::Load(prefix, after.clone()));
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
                keys::JOBS => self.job_set(ctx, &pair.path, pair.v, pair.version),
                keys::PARTS => self.part_pairs.push(pair),
                keys::PAGES => self.page_pairs.push(pair),
                keys::BLOCKS => self.block_pairs.push(pair),
                keys::OLD_DONE => self.old_done.push(pair),
                keys::OLD_MACHINES => self.old_machines.push(pair),
                keys::HIRES => {
                    if let Ok(hire) = serde_json::from_value::<shaleshunt_wire::cloud::Hire>(pair.v) {
                        let state = HireState {
                            hire,
                            version: pair.version,
                            writing: false,
                            asking: false,
                            retry_at: 0,
                            answer: None,
                        };
                        self.hires.insert(state.hire.hire.clone(), state);
                    }
                }
                _ => match pair.path.as_str() {
                    path if path.starts_with(keys::OWNED) => {
                        self.owned_parts.extend(serde_json::from_value::<Vec<String>>(pair.v).unwrap_or_default());
                        self.owned_versions.insert(pair.path, pair.version);
                    }
                    keys::CATALOG => {
                        self.catalog_version = Some(pair.version);
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
        let now = ctx.now.mono;
        if self.owned_versions.contains_key(keys::OWNED) {
            self.owned = Some(std::mem::take(&mut self.owned_parts));
        }
        let (parts, large) = (std::mem::take(&mut self.part_pairs), std::mem::take(&mut self.large));
        self.parts_loaded(ctx, parts, large);
        for pair in std::mem::take(&mut self.block_pairs) {
            self.block_read(ctx, pair);
        }
        let pages = std::mem::take(&mut self.page_pairs);
        self.pages_read(ctx, pages);
        self.read_earlier_form(ctx);
        self.halt_doubles();
        self.active = true;
        let ids: Vec<Id> = self.jobs.keys().cloned().collect();
        for id in &ids {
            if self.jobs.get(id).is_some_and(|j| j.aborted) {
                self.stop_job(ctx, id);
            }
            self.link(ctx, id);
            self.queue_write(now, id);
        }
        // A zone may be cut off already: its machines have two reporting intervals to be heard.
        for m in self.machines.values().filter(|m| !m.zone.is_empty()) {
            let z = self.zones_heard.entry(m.zone.clone()).or_insert((now + ctx.set.report_ms() * 2, 0));
            z.1 += 1;
        }
        // All are asked, some at a time, so that the new token is confirmed before the next report.
        self.confirm =
            self.machines.values().filter(|m| !m.endpoint.is_empty() && m.session > 0).map(|m| m.id.clone()).collect();
        ctx.log(
            Severity::Info,
            format!("epoch {}: read {} jobs, {} machines", self.epoch, self.jobs.len(), self.machines.len()),
        );
        self.watch(ctx);
    }

    fn block_read(&mut self, ctx: &Ctx, pair: Pair) {
        let Ok(n) = pair.path[keys::BLOCKS.len()..].parse::<u32>() else { return };
        let Ok(rec) = serde_json::from_value::<BlockRecord>(pair.v) else { return };
        let images: Vec<(u32, f64)> = rec.i.iter().map(|(name, gb)| (self.image(name), *gb)).collect();
        let mut block = Block { zone: rec.z.clone(), version: pair.version, wrote: ctx.now.mono, ..Block::default() };
        for (name, r) in rec.m {
            let id: Id = name.as_str().into();
            // In two blocks only if its move between them was not finished: either will do.
            if self.machines.contains_key(&id) {
                continue;
            }
            let mut m = self.new_machine(ctx, &id, &r.f, &rec.z, r.b, r.o);
            (m.endpoint, m.session, m.hired) = (r.e, r.s, r.t);
            m.images = r.i.iter().filter_map(|i| images.get(*i as usize).copied()).collect();
            (m.block, m.recorded) = (Some(n), true);
            block.owned = r.o;
            block.machines.insert(id.clone());
            self.machines.insert(m);
        }
        self.newest_block = self.newest_block.max(n);
        self.blocks.insert(n, block);
    }

    /// A placement that an earlier leader committed. That of a task whose outcome is committed is void.
    pub(crate) fn placed_before(&mut self, ctx: &Ctx, id: &Id, machine: &Id, session: u64, attempt: u64, task: u32) {
        let Some(job) = self.jobs.get(id).filter(|j| !j.done.get(task) && task < j.spec.tasks) else { return };
        let known =
            job.live.get(&task).is_some_and(|l| l.iter().any(|l| l.machine == *machine && l.attempt == attempt));
        if known {
            return;
        }
        let (need, image, gb) = (job.need, job.image, job.spec.image_gb);
        if !self.machines.contains_key(machine) {
            // Gone by a return after which its jobs' records were not written any more, or not
            // recorded: it counts until its silence or another return proves it gone.
            let m = self.new_machine(ctx, machine, "", "", false, false);
            self.machines.insert(m);
        }
        if let Some(m) = self.machines.get_mut(machine)
            && !m.has_image(image)
        {
            m.images.push((image, gb));
        }
        let p = Placement {
            job: id.clone(),
            task,
            attempt,
            session,
            slot: self.next_slot(),
            need,
            image,
            stage: Stage::Committed,
            sent: true,
            since: ctx.now.mono,
            running: None,
            halt: None,
        };
        self.put(machine, p);
    }

    /// Records as version 0.1 kept them: machines with placements, and outcomes by themselves. A
    /// task about which a page says something is known from there: the leader that wrote it had
    /// read the earlier form.
    fn read_earlier_form(&mut self, ctx: &Ctx) {
        let now = ctx.now.mono;
        // Outcomes of 0.1 came in chunks of a third of a value's limit, six bits a character.
        let per_chunk = ((ctx.set.state.value_kb * 1024.0 * 2.0) as u32 / 64 * 64).max(64);
        let mut touched: Vec<(Id, u32)> = Vec::new();
        for pair in std::mem::take(&mut self.old_done) {
            let mut parts = pair.path[keys::OLD_DONE.len()..].rsplitn(2, '/');
            let chunk = parts.next().and_then(|c| c.parse::<u32>().ok());
            let job = parts.next().and_then(|j| self.jobs.get_mut(j));
            if let (Some(chunk), Some(job), Some(text)) = (chunk, job, pair.v.as_str()) {
                let before = job.done.clone();
                job.done.decode(chunk.saturating_mul(per_chunk), text);
                job.done_count = job.done.count();
                job.begun = true;
                let new = |i: &u32| job.done.get(*i) && !before.get(*i);
                touched.extend((0..job.spec.tasks).filter(new).map(|i| (job.id.clone(), i)));
            }
            self.legacy.insert(pair.path, pair.version);
        }
        for pair in std::mem::take(&mut self.old_machines) {
            let name: Id = pair.path[keys::OLD_MACHINES.len()..].into();
            self.legacy.insert(pair.path, pair.version);
            let Ok(rec) = serde_json::from_value::<OldMachineRecord>(pair.v) else { continue };
            if !self.machines.contains_key(&name) {
                let mut m = self.new_machine(ctx, &name, &rec.f, &rec.z, rec.b, rec.o);
                (m.endpoint, m.session, m.hired) = (rec.e, rec.s, rec.t);
                self.machines.insert(m);
                self.join_block(ctx, &name);
            }
            for (job, task, attempt) in rec.p {
                let unknown = |j: &&Job| j.facts.get(task as usize).is_none_or(|at| *at == 0);
                if let Some(id) = self.jobs.get(job.as_str()).filter(unknown).map(|j| j.id.clone()) {
                    self.placed_before(ctx, &id, &name, rec.s, attempt, task);
                    touched.push((id, task));
                }
            }
        }
        for (id, task) in touched {
            self.touch(now, &id, task, true);
        }
    }

    /// The number of an image.
    pub(crate) fn image(&mut self, name: &str) -> u32 {
        if let Some(n) = self.image_numbers.get(name) {
            return *n;
        }
        let n = self.image_names.len() as u32;
        self.image_names.push(name.to_string());
        self.image_numbers.insert(name.to_string(), n);
        n
    }

    /// Where records of the earlier form name a task twice, the earlier placement had been released
    /// when the later was planned, so it is gone; it must not be started again and is released by
    /// proof as any other.
    fn halt_doubles(&mut self) {
        for job in self.jobs.values() {
            for list in job.live.values().filter(|l| l.len() > 1) {
                let latest = list.iter().map(|l| l.attempt).max().unwrap_or(0);
                for l in list.iter().filter(|l| l.attempt < latest) {
                    let places = self.machines.get_mut(&l.machine).map(|m| &mut m.places);
                    if let Some(p) = places.and_then(|p| p.iter_mut().find(|p| p.slot == l.slot)) {
                        p.halt = Some(0.0);
                    }
                }
            }
        }
    }

    fn watch(&mut self, ctx: &mut Ctx) {
        self.watch_at = None;
        let after = self.watch_from.unwrap_or(0);
        // Short: what is known of cancellations bounds how long leases may be renewed in a cut.
        let hold_ms = ctx.set.report_ms() / 8;
        let wait = self.wait(LeadWait::Watch);
        ctx.state(StateRequest::Watch { prefix: keys::JOBS.into(), after, hold_ms }, wait);
    }

    fn job_set(&mut self, ctx: &mut Ctx, path: &str, v: Value, version: u64) {
        let id = &path[keys::JOBS.len().min(path.len())..];
        if self.ended.contains_key(id) || self.jobs.get(id).is_some_and(|j| j.version > version) {
            return;
        }
        let Some(rec) = Stored::read(v) else {
            ctx.log(Severity::Error, format!("record {path} not understood"));
            return;
        };
        let (cancelled, _) = rec.cancelled();
        if let Some(job) = self.jobs.get_mut(id) {
            self.replan = true;
            job.version = version;
            job.stale = false;
            job.cancel_key = match &rec {
                Stored::Whole(r) => r.k,
                Stored::Large(r) => r.k,
            };
            let id = job.id.clone();
            if cancelled && !job.aborted {
                job.aborted = true;
                self.stop_job(ctx, &id);
                self.cancelled(ctx, &id);
            }
            self.queue_write(ctx.now.mono, &id);
            return;
        }
        match rec {
            Stored::Whole(rec) => self.record_set(ctx, *rec, version),
            Stored::Large(rec) if self.active => self.read_parts(ctx, rec, version, Vec::new()),
            Stored::Large(rec) => self.large.push((rec, version)),
        }
    }

    /// A job that was not known has come.
    pub(crate) fn record_set(&mut self, ctx: &mut Ctx, rec: JobRecord, version: u64) {
        if self.jobs.get(rec.s.id.as_str()).is_some_and(|j| j.version >= version) {
            return;
        }
        self.replan = true;
        let mut job = Job::new(rec, version);
        job.image = self.image(&job.spec.image);
        let (id, aborted, awaits) = (job.id.clone(), job.aborted, job.awaits());
        self.jobs.insert(id.clone(), job);
        self.ranks_old = true;
        if self.active {
            self.link(ctx, &id);
            if aborted {
                self.cancelled(ctx, &id);
            } else if !awaits {
                self.arrived(ctx.now.mono, &id);
            }
        }
        self.queue_write(ctx.now.mono, &id);
    }

    /// A job that may run has come: as much may come again.
    pub(crate) fn arrived(&mut self, now: u64, id: &Id) {
        let Some(j) = self.jobs.get(id) else { return };
        let rec = JobRecord { s: j.spec.clone(), at: j.at, x: false, k: false };
        self.arrivals.push_back((now, Job::new(rec, j.version)));
        if self.arrivals.len() > ARRIVALS {
            self.arrivals.pop_front();
        }
    }

    /// A user's request has shown that a job is cancelled: what runs is stopped and what has not left
    /// never does. Its record is read for the rest.
    pub(crate) fn known_cancelled(&mut self, ctx: &mut Ctx, job: &str) {
        let Some(j) = self.jobs.get_mut(job).filter(|j| !j.aborted && !j.awaits()) else { return };
        // Nothing more is placed before it has been read.
        j.stale = true;
        let id = j.id.clone();
        self.stop_job(ctx, &id);
        if self.active {
            self.refresh(ctx, id);
        }
    }

    /// A job's record is no longer there.
    fn job_gone(&mut self, ctx: &mut Ctx, id: &str) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.aborted = true;
            let id = job.id.clone();
            self.stop_job(ctx, &id);
            if let Some(job) = self.jobs.remove(&id) {
                self.forget_facts(&job);
                self.unlink(&job);
            }
            self.vanished(ctx.now.mono, &id);
            self.ranks_old = true;
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
            (LeadWait::Load(prefix, _), Ok(StateReply::Page(page))) => self.loaded(ctx, prefix, page),
            // Once more: after an outage all ask at once. The lease says for how long that is of use.
            (LeadWait::Load(prefix, after), Err(_)) => {
                self.loading -= 1;
                self.load_retry.push((prefix, after, ctx.now.mono + ctx.set.report_ms() / 60));
            }
            (LeadWait::Load(..), _) => self.down = Some(StepDown::Unreadable),
            (LeadWait::Renew, result) => {
                self.renewing = false;
                match result {
                    Ok(StateReply::Missing) => self.down = Some(StepDown::LeaseEnded),
                    Ok(_) => {}
                    Err(_) => self.renew_at = ctx.now.mono + ctx.set.report_ms() / 12,
                }
            }
            (LeadWait::Watch, Ok(StateReply::News(news))) => {
                self.fresh = self.fresh.max(sent);
                self.watch_from = Some(news.ledger);
                for change in news.news {
                    match change {
                        Change { set: Some(path), v: Some(v), version, .. } => self.job_set(ctx, &path, v, version),
                        Change { drop: Some(path), version, .. } => {
                            let id = path[keys::JOBS.len().min(path.len())..].to_string();
                            self.reading_parts.retain(|job, read| **job != *id || *read > version);
                            if self.jobs.get(id.as_str()).is_some_and(|j| j.version < version) {
                                self.job_gone(ctx, &id);
                            }
                        }
                        _ => {}
                    }
                }
                self.ended.retain(|_, end| *end > news.ledger);
                self.watch(ctx);
            }
            (LeadWait::Watch, Ok(StateReply::TooOld)) => self.down = Some(StepDown::ChangesMissed),
            (LeadWait::Watch, _) => self.watch_at = Some(ctx.now.mono + ctx.set.report_ms() / 20),
            (LeadWait::Refresh(id), Ok(StateReply::Found(pair))) if self.jobs.contains_key(&id) => {
                self.job_set(ctx, &pair.path, pair.v, pair.version)
            }
            // The answer is late. A job that has ended meanwhile never comes back.
            (LeadWait::Refresh(_), Ok(StateReply::Found(_))) => {}
            (LeadWait::Refresh(id), Ok(StateReply::Missing)) => self.job_gone(ctx, &id),
            (LeadWait::Refresh(id), _) => self.refresh(ctx, id),
            (LeadWait::Parts(got), result) => {
                let (rec, version, pairs) = *got;
                self.parts_read(ctx, rec, version, pairs, result);
            }
            (LeadWait::End(id), result) => self.end_read(ctx, id, result),
            (LeadWait::Commit, result) => self.committed(ctx, result),
            (LeadWait::Settle, result) => self.settle(ctx, result),
            (LeadWait::Settled(version), result) => self.settled(ctx, version, result),
            (LeadWait::ForeignWrite(write), result) => {
                let found = match result {
                    Ok(StateReply::Found(pair)) => Some(pair.version),
                    Ok(StateReply::Missing) => Some(0),
                    _ => None,
                };
                self.down = Some(StepDown::ForeignWrite(ForeignWrite { found, ..write }));
            }
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
        while let Some(i) = self.load_retry.iter().position(|(.., at)| now >= *at) {
            let (prefix, after, _) = self.load_retry.swap_remove(i);
            self.load(ctx, prefix, after);
        }
        if !self.active {
            return;
        }
        if self.watch_at.is_some_and(|t| now >= t) {
            self.watch(ctx);
        }
        if now >= self.silence_at {
            self.silence_at = now + ctx.set.report_ms() / 8;
            self.watch_silence(ctx);
            self.ask_overdue(ctx);
        }
        if now >= self.told_at {
            self.told_at = now + ctx.set.report_ms();
            self.tell_state(ctx);
        }
        self.ask_ends(ctx);
        while let Some(i) = self.parts_later.iter().position(|(at, ..)| now >= *at) {
            let (_, rec, version) = self.parts_later.swap_remove(i);
            if self.reading_parts.get(rec.job()) == Some(&version) {
                self.read_parts(ctx, rec, version, Vec::new());
            }
        }
        self.rounds(ctx);
        if self.replan && now >= self.plan_at {
            self.replan = false;
            self.watch_zones(ctx);
            // The shorter of processor time, the longer between passes: leases and answers come first.
            let apart = (ctx.set.report_s * 1000.0 / ctx.tune.passes) as u64;
            self.plan_at = now + apart + (ctx.lag_ms * LAG_BETWEEN_PASSES).min(ctx.set.report_ms() / 5);
            self.schedule(ctx);
        }
        self.commit(ctx);
        self.push_orders(ctx);
    }

    /// A line for operators: how much there is to do, and what holds it up.
    fn tell_state(&mut self, ctx: &mut Ctx) {
        debug_assert!(self.machines.consistent(), "machines by free CPUs");
        let waiting: u32 = self.jobs.values().filter(|j| !j.aborted).map(Job::waiting).sum();
        let used = self.machines.values().filter(|m| m.usable(ctx.now.mono, &ctx.set)).count();
        let line = format!(
            "{} jobs, {waiting} tasks wait, {used} of {} machines usable; writes in {} transactions: {} for ends, \
             {} pages, {} blocks, {} others, {:.0} in hand; {} ends and {} jobs to write at once, {} later, {} pages{}",
            self.jobs.len(),
            self.machines.len(),
            self.written.transactions,
            self.written.ends,
            self.written.pages,
            self.written.blocks,
            self.written.others,
            self.writes,
            self.ends.len(),
            self.urgent.len(),
            self.lazy.len(),
            self.pages.len(),
            if self.flight.is_some() { ", one under way" } else { "" },
        );
        self.written = Written::default();
        ctx.log(Severity::Debug, line);
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
    pub(crate) fn token(&self, m: &Machine) -> u64 {
        (self.epoch << TOKEN_BITS) + m.bump
    }

    pub(crate) fn new_machine(&self, ctx: &Ctx, id: &Id, frame: &str, zone: &str, spot: bool, owned: bool) -> Machine {
        let room = ctx.catalog.as_ref().and_then(|c| c.frame(frame)).map(|f| f.room()).unwrap_or_default();
        let (frame, zone) = (frame.to_string(), zone.to_string());
        Machine { frame, zone, spot, owned, room, ..Machine::new(id.clone(), ctx.now) }
    }

    /// Puts a placement on a machine and counts it everywhere.
    pub(crate) fn put(&mut self, machine: &Id, p: Placement) {
        if !self.machines.contains_key(machine) {
            return;
        }
        let Some(job) = self.jobs.get_mut(&p.job) else { return };
        self.machines.take_room(machine, &p.need);
        let Some(m) = self.machines.get_mut(machine) else { return };
        let list = job.live.entry(p.task).or_default();
        if list.is_empty() && !job.done.get(p.task) {
            job.placed += 1;
        }
        list.push(Live {
            machine: machine.clone(),
            slot: p.slot,
            attempt: p.attempt,
            session: p.session,
            planned: p.stage == Stage::Planned,
        });
        *job.zones.entry(m.zone.clone()).or_default() += 1;
        self.teams.entry(job.spec.team.clone()).or_default().add(&p.need, 1);
        let held = self.held.entry(job.spec.class.clone()).or_default();
        held.all += 1;
        held.owned += i64::from(m.owned);
        m.places.push(p);
    }

    /// Takes a placement off a machine; the caller has the proof that it is gone.
    pub(crate) fn release(&mut self, now: u64, machine: &Id, slot: u64, done: bool) -> Option<Placement> {
        let m = self.machines.get_mut(machine)?;
        let at = m.places.iter().position(|p| p.slot == slot)?;
        let p = m.places.remove(at);
        if m.places.is_empty() {
            m.idle_since = now;
        }
        self.machines.give_room(machine, &p.need);
        let m = self.machines.get(machine)?;
        self.replan = true;
        if let Some(job) = self.jobs.get_mut(&p.job) {
            if let Some(list) = job.live.get_mut(&p.task) {
                list.retain(|l| l.slot != slot);
                if list.is_empty() {
                    job.live.remove(&p.task);
                    job.cursor = job.cursor.min(p.task);
                    if !job.done.get(p.task) {
                        job.placed = job.placed.saturating_sub(1);
                    }
                }
            }
            if matches!(p.stage, Stage::Running | Stage::Flushing) {
                job.running = job.running.saturating_sub(1);
            }
            if let Some(n) = job.zones.get_mut(&m.zone) {
                *n = n.saturating_sub(1);
            }
            if let Some(t) = self.teams.get_mut(&job.spec.team) {
                t.add(&p.need, -1);
            }
            if let Some(held) = self.held.get_mut(&job.spec.class) {
                held.all -= 1;
                held.owned -= i64::from(m.owned);
            }
            let aborted = job.aborted;
            if !done {
                self.touch(now, &p.job, p.task, false);
            }
            if aborted {
                self.queue_write(now, &p.job);
            }
        }
        Some(p)
    }

    /// Stops all tasks of a cancelled job. What never left is released at once.
    pub(crate) fn stop_job(&mut self, ctx: &mut Ctx, id: &Id) {
        let Some(job) = self.jobs.get(id) else { return };
        let live: Vec<(Id, u64)> = job.live.values().flatten().map(|l| (l.machine.clone(), l.slot)).collect();
        for (machine, slot) in live {
            self.stop_place(ctx.now.mono, &machine, slot);
        }
        self.queue_write(ctx.now.mono, id);
    }

    /// Stops a task at once; one whose `run` never left is released.
    pub(crate) fn stop_place(&mut self, now: u64, machine: &Id, slot: u64) {
        let Some(m) = self.machines.get_mut(machine) else { return };
        let Some(p) = m.places.iter_mut().find(|p| p.slot == slot) else { return };
        if p.sent {
            p.halt = Some(0.0);
            self.push.insert(machine.clone());
        } else {
            self.release(now, machine, slot, false);
        }
    }

    /// Done and running tasks of a job, for display.
    pub(crate) fn count(&self, job: &str) -> (u32, u32) {
        self.jobs.get(job).map_or((0, 0), |j| (j.done_count, j.running))
    }

    /// Counts of all jobs that await nothing and their records' versions, for the other nodes: who
    /// has a version from here need not look for cancelled jobs before this one.
    pub(crate) fn counts(&self) -> Vec<shaleshunt_peer::JobProgress> {
        // A job takes some 30 bytes of a frame. Of many more than a frame may hold, the rest is
        // shown by the leader alone and read at each poll.
        self.jobs
            .values()
            .filter(|j| !j.aborted && !j.awaits())
            .map(|j| shaleshunt_peer::JobProgress {
                job: j.id.to_string(),
                record_version: j.version,
                done: j.done_count,
                running: j.running,
            })
            .take(shaleshunt_peer::MAX_FRAME / 256)
            .collect()
    }
}
