//! Users' requests, on any node. Nothing here needs the leader: an acceptance or withdrawal is a
//! conditional write, a poll a fresh read. Only final states, which never change, are remembered.

use crate::event::Event;
use crate::io::*;
use crate::leader::Leader;
use crate::model::{FinalRecord, JobRecord, keys};
use crate::node::{Ctx, Moment, Wait};
use crate::parts::{Large, LargeRecord, Stored, join};
use serde_json::json;
use shaleshunt_wire::state::{Condition, Pair, Txn, Write};
use shaleshunt_wire::user::{JobStatus, JobView, Shape, Submission};
use shaleshunt_wire::{MAX_BODY, Revision, Room};
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

/// What a front request's answer is for.
#[derive(Debug)]
pub(crate) enum FrontWait {
    Accept(Vec<Pending>),
    Large(Box<Large>),
    /// The parts of a job's submission: its record, its version, and what has come.
    Parts(Asked, Box<(LargeRecord, Revision, Vec<Pair>)>),
    Compare(Vec<Asked>),
    Job(Asked),
    Final(Asked),
    Withdraw(Asked),
    Probe,
}

/// A submission on its way.
#[derive(Debug, Clone)]
pub(crate) struct Pending {
    pub(crate) id: RequestId,
    pub(crate) spec: Submission,
    pub(crate) wall: u64,
    since: u64,
    /// Its place among what came and what was looked for.
    pub(crate) order: u64,
    /// A job that it awaits is cancelled: it is accepted as cancelled.
    doomed: bool,
}

/// A question about a job.
#[derive(Debug, Clone)]
pub(crate) struct Asked {
    id: RequestId,
    job: String,
    why: Why,
    tries: u32,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Why {
    Poll,
    Resubmit,
    /// Would be refused, but an accepted job never is.
    Refuse(&'static str),
    Withdraw,
    /// Nobody asks: something awaits it. Sent at this place in the order.
    Look(u64),
}

/// What is known of an unfinished job.
#[derive(Debug, Default)]
struct Known {
    /// Version of its record.
    version: Revision,
    /// Jobs that it awaits, as far as they were not known to be done.
    awaits: Vec<String>,
    /// It was neither cancelled nor finished later than this.
    open_at: Moment,
}

/// What waits for a look at jobs that are awaited.
#[derive(Debug)]
enum Held {
    Submit(Box<Pending>),
    Ask(Asked, Moment),
}

/// What is known of the jobs that one awaits, directly or through others.
enum Before {
    /// Each is done, or was open a short while ago.
    Clear,
    /// One is cancelled, and all that are named were accepted.
    Doomed,
    /// Of these it is not known.
    Unknown(Vec<String>),
}

/// Users' side of a node.
#[derive(Default)]
pub(crate) struct Front {
    queue: VecDeque<Pending>,
    flying: u32,
    /// Submissions that go in parts, between two transactions; the jobs whose do.
    pub(crate) large: VecDeque<Box<Large>>,
    in_parts: HashSet<String>,
    /// Most acceptances in one transaction, fewer while the state service refuses: a large one finds
    /// its writes all at once less often than a small one.
    most: usize,
    /// Polls of jobs whose records are known, since when they wait: one transaction that only
    /// compares tells of many whether their records are still the same.
    polls: VecDeque<(u64, Asked)>,
    comparing: u32,
    /// Reads for polls that may be sent now.
    reads: f64,
    reads_at: u64,
    /// Unfinished jobs as last seen.
    open: Remembered<Known>,
    /// What waits for a look at awaited jobs; the jobs looked at or about to be, and those still to
    /// be read; whether one has been seen since.
    held: Vec<Held>,
    looking: HashSet<String>,
    to_read: VecDeque<String>,
    looked: bool,
    look_at: u64,
    /// Jobs that await many others and were asked about, and until when those are looked at without
    /// another question: more than one question's patience has time for.
    long_lists: BTreeMap<String, u64>,
    /// Awaited jobs that were never accepted, with the place of the look that showed it.
    absent: Vec<(String, u64)>,
    order: u64,
    finals: Remembered<(JobStatus, u32)>,
    /// Jobs found to be cancelled that the leader, if it is here, has not been told of.
    pub(crate) found_cancelled: Vec<String>,
    /// When to try the direct way to the state service again.
    pub probe_at: u64,
    retry_at: u64,
}

/// What is remembered of jobs, the oldest forgotten first.
struct Remembered<T> {
    of: HashMap<String, T>,
    order: VecDeque<String>,
}

impl<T> Default for Remembered<T> {
    fn default() -> Self {
        Remembered { of: HashMap::new(), order: VecDeque::new() }
    }
}

impl<T> Remembered<T> {
    fn insert(&mut self, job: &str, what: T, cap: usize) {
        if self.of.insert(job.to_string(), what).is_none() {
            self.order.push_back(job.to_string());
            if self.order.len() > cap
                && let Some(old) = self.order.pop_front()
            {
                self.of.remove(&old);
            }
        }
    }
}

const COME_BACK: u32 = 1;
/// Awaited jobs of one submission that are looked at together.
const LOOKS: usize = 64;
/// More awaited jobs than this are too many to be looked at for each question.
const MANY: usize = LOOKS * 4;
/// Jobs with long lists that are kept looked at.
const LONG_LISTS: usize = 8;
const NEVER_ACCEPTED: &str = "awaits a job that was never accepted";
const NOT_KNOWN: &str = "jobs that it awaits could not be looked at";
/// Share of the state service's requests that reads for polls of all nodes take, and that one node's
/// comparisons take: what is over is told to come back, so that leases and elections find room.
const READ_SHARE: f64 = 0.5;
const COMPARE_SHARE: f64 = 0.05;
/// Transactions that compare for polls under way at once.
const COMPARING: u32 = 2;
/// Transactions of acceptances under way at once.
const FLYING: u32 = 2;

/// Done and running tasks by job, as the leader told.
type Counts = HashMap<String, (u32, u32)>;

fn unavailable(error: &'static str) -> Answer {
    Answer::Problem { status: 503, error, retry_after: Some(COME_BACK) }
}

impl Front {
    /// Why a job can never run, if so.
    fn refusal(ctx: &Ctx, s: &Submission) -> Option<&'static str> {
        let Some(team) = ctx.set.teams.get(&s.team) else { return Some("unknown team") };
        let catalog = ctx.catalog.as_ref()?;
        let need = s.need();
        let allowed = |f: &&shaleshunt_wire::cloud::Frame| {
            s.frames.as_ref().is_none_or(|names| names.contains(&f.name))
                && s.zone.as_ref().is_none_or(|h| f.zones.is_empty() || f.zones.contains(h))
        };
        if !catalog.frames.iter().filter(allowed).any(|f| f.room().fits(&need)) {
            return Some("a task fits no allowed machine type");
        }
        let mut all = Room::default();
        all.add(&need, if s.shape == Shape::Array { 1 } else { i64::from(s.tasks) });
        if !team.allows(&all) {
            return Some("more than the team's limit");
        }
        None
    }

    pub fn submit(&mut self, ctx: &mut Ctx, id: RequestId, spec: Submission) {
        if let Some(view) = self.remembered(&spec.id) {
            ctx.answer(id, Answer::Job(200, view));
        } else if ctx.catalog.is_none() {
            ctx.answer(id, unavailable("machine types not known yet"));
        } else if ctx.state_down() {
            ctx.answer(id, unavailable("state service does not answer"));
        } else if let Some(error) = Self::refusal(ctx, &spec) {
            let asked = Asked { id, job: spec.id, why: Why::Refuse(error), tries: 0 };
            self.read(ctx, asked);
        } else if self.in_parts.contains(&spec.id) {
            ctx.answer(id, unavailable("being written"));
        } else if spec.awaits.contains(&spec.id) {
            // It was not accepted when its user named it.
            let asked = Asked { id, job: spec.id, why: Why::Refuse(NEVER_ACCEPTED), tries: 0 };
            self.read(ctx, asked);
        } else {
            self.order += 1;
            let (wall, since, order) = (ctx.now.wall, ctx.now.mono, self.order);
            self.admit(ctx, Pending { id, spec, wall, since, order, doomed: false });
        }
    }

    /// Queues a submission, unless something is to be found out about the jobs that it awaits.
    fn admit(&mut self, ctx: &mut Ctx, mut p: Pending) {
        match self.before(&p.spec.awaits, Self::lately(ctx)).0 {
            Before::Unknown(jobs) => {
                self.look_at_jobs(ctx, jobs);
                self.held.push(Held::Submit(Box::new(p)));
                return;
            }
            Before::Doomed => p.doomed = true,
            // What is done by now need not be awaited, nor found out again by each leader.
            Before::Clear => p.spec.awaits.retain(|a| self.remembered(a).is_none()),
        }
        self.queue.push_back(p);
    }

    /// What is known of these jobs and all that they await, each seen open not before a time. For a
    /// question that is when it came: so its answer is as fresh as if the job's own record had
    /// changed with those before it, whoever leads and however long nobody did. A new job, of which
    /// nobody was told anything yet, does with what was seen well within `cancel_s`. Also says whether
    /// there are many.
    fn before(&self, awaits: &[String], since: Moment) -> (Before, bool) {
        let mut seen: HashSet<&str> = HashSet::new();
        let mut list: Vec<&String> = awaits.iter().collect();
        let (mut unknown, mut doomed) = (Vec::new(), false);
        while let Some(job) = list.pop() {
            if !seen.insert(job) {
                continue;
            }
            match (self.finals.of.get(job), self.open.of.get(job)) {
                (Some((JobStatus::Done, _)), _) => {}
                (Some(_), _) => doomed = true,
                (None, Some(k)) if k.open_at.covers(since) => {
                    list.extend(&k.awaits);
                }
                (None, _) => unknown.push(job.clone()),
            }
        }
        if doomed {
            // Whoever names a cancelled job is cancelled too, but only if all that it names was
            // accepted once.
            let named: HashSet<&String> = awaits.iter().collect();
            unknown.retain(|job| named.contains(job) && !self.open.of.contains_key(job));
        }
        let many = seen.len() > MANY;
        match unknown.is_empty() {
            false => (Before::Unknown(unknown), many),
            true if doomed => (Before::Doomed, many),
            true => (Before::Clear, many),
        }
    }

    /// Since when what is known of awaited jobs is good enough where nothing newer was told.
    fn lately(ctx: &Ctx) -> Moment {
        Moment { step: 0, at: ctx.now.mono.saturating_sub((ctx.set.cancel_s * 250.0) as u64).max(1) }
    }

    /// Has jobs looked at: compared with others if their records are known, else read. Of a long list
    /// some at a time, so that nobody waits for long behind it.
    fn look_at_jobs(&mut self, ctx: &Ctx, jobs: Vec<String>) {
        for job in jobs.into_iter().take(LOOKS) {
            if !self.looking.insert(job.clone()) {
                continue;
            }
            if self.open.of.contains_key(&job) {
                self.order += 1;
                let asked = Asked { id: 0, job, why: Why::Look(self.order), tries: 0 };
                self.polls.push_back((ctx.now.mono, asked));
            } else {
                self.to_read.push_back(job);
            }
        }
    }

    /// Answers a question; a look is only noted.
    fn reply(&mut self, ctx: &mut Ctx, asked: &Asked, answer: Answer) {
        if let Why::Look(_) = asked.why {
            self.looking.remove(&asked.job);
            self.looked = true;
            if let Answer::Problem { status: 503, .. } = answer {
                self.look_at = ctx.now.mono + ctx.set.report_ms() / 60;
            }
            return;
        }
        ctx.answer(asked.id, answer);
    }

    /// Looks at the jobs on long lists again, a round at a time, when half of the time has passed for which
    /// what was seen of them counts.
    fn turn_long_lists(&mut self, ctx: &Ctx) {
        let now = ctx.now.mono;
        let open = &self.open.of;
        self.long_lists.retain(|job, until| *until > now && open.contains_key(job));
        if !self.looking.is_empty() || ctx.state_down() {
            return;
        }
        let lately = Self::lately(ctx);
        let since = Moment { at: lately.at.midpoint(now), ..lately };
        for job in self.long_lists.keys() {
            let Some(known) = self.open.of.get(job) else { continue };
            if let (Before::Unknown(jobs), _) = self.before(&known.awaits, since) {
                self.look_at_jobs(ctx, jobs);
                return;
            }
        }
    }

    /// Goes on with what waited for looks, and sends looks that are due.
    fn turn_held(&mut self, ctx: &mut Ctx, counts: &Counts, leader: Option<&Leader>) {
        if self.held.is_empty() {
            self.absent.clear();
            self.looked = false;
        }
        let now = ctx.now.mono;
        let patience = |h: &Held| match h {
            Held::Submit(p) => (p.since, shaleshunt_wire::SUBMIT_PATIENCE_S * 600.0),
            Held::Ask(_, since) => (since.at, shaleshunt_wire::POLL_PATIENCE_S * 600.0),
        };
        let late = |h: &Held| {
            let (since, ms) = patience(h);
            now.saturating_sub(since) as f64 > ms
        };
        if (std::mem::take(&mut self.looked) && now >= self.look_at) || self.held.iter().any(late) {
            let absent = std::mem::take(&mut self.absent);
            // What is still wanted is asked for anew.
            for job in std::mem::take(&mut self.to_read) {
                self.looking.remove(&job);
            }
            for h in std::mem::take(&mut self.held) {
                let refused =
                    |p: &Pending| absent.iter().any(|(job, order)| *order > p.order && p.spec.awaits.contains(job));
                match h {
                    Held::Submit(p) if refused(&p) => {
                        let why = Why::Refuse(NEVER_ACCEPTED);
                        self.read(ctx, Asked { id: p.id, job: p.spec.id, why, tries: 0 });
                    }
                    Held::Submit(p) if late(&Held::Submit(p.clone())) => ctx.answer(p.id, unavailable(NOT_KNOWN)),
                    Held::Submit(p) => self.admit(ctx, *p),
                    Held::Ask(asked, since) if late(&Held::Ask(asked.clone(), since)) => {
                        ctx.answer(asked.id, unavailable(NOT_KNOWN));
                    }
                    Held::Ask(asked, since) => self.open_job(ctx, asked, since, counts, leader),
                }
            }
        } else if now < self.look_at {
            self.looked = true;
        }
        while now >= self.look_at
            && !self.to_read.is_empty()
            && self.may_read(ctx)
            && let Some(job) = self.to_read.pop_front()
        {
            self.order += 1;
            let asked = Asked { id: 0, job, why: Why::Look(self.order), tries: 0 };
            self.read(ctx, asked);
        }
    }

    pub fn status(&mut self, ctx: &mut Ctx, id: RequestId, job: String) {
        self.ask(ctx, Asked { id, job, why: Why::Poll, tries: 0 });
    }

    pub fn withdraw(&mut self, ctx: &mut Ctx, id: RequestId, job: String) {
        self.ask(ctx, Asked { id, job, why: Why::Withdraw, tries: 0 });
    }

    fn ask(&mut self, ctx: &mut Ctx, asked: Asked) {
        if let Some(view) = self.remembered(&asked.job) {
            ctx.answer(asked.id, Answer::Job(200, view));
        } else if ctx.state_down() {
            ctx.answer(asked.id, unavailable("state service does not answer"));
        } else if asked.why == Why::Poll
            && let Some(known) = self.open.of.get(&asked.job)
        {
            // What it awaits is compared along with it.
            if let (Before::Unknown(jobs), _) = self.before(&known.awaits, ctx.moment()) {
                self.look_at_jobs(ctx, jobs);
            }
            self.polls.push_back((ctx.now.mono, asked));
        } else {
            self.read(ctx, asked);
        }
    }

    /// How many submissions wait to be written.
    pub fn waiting(&self) -> u32 {
        self.queue.len() as u32
    }

    /// Versions of jobs' records, as the leader has them. An old one does no harm: it is found out
    /// when it is compared.
    pub fn learn<'a>(&mut self, ctx: &Ctx, jobs: impl Iterator<Item = (&'a str, Revision)>) {
        let cap = Self::cap(ctx);
        for (job, version) in jobs {
            match self.open.of.get_mut(job) {
                Some(known) => {
                    known.version = version.max(known.version);
                    known.awaits.clear();
                }
                None => self.open.insert(job, Known { version, ..Known::default() }, cap),
            }
        }
    }

    /// Answers polls of jobs whose records are known, many with one transaction that only compares:
    /// as fresh as a read, at a fraction of the requests.
    fn compare(&mut self, ctx: &mut Ctx) {
        let most = ctx.limits.conditions().max(1);
        let gap = (1000.0 / (ctx.set.state_rps * COMPARE_SHARE)).min(shaleshunt_wire::POLL_PATIENCE_S * 250.0) as u64;
        if ctx.state_down() {
            for (_, asked) in std::mem::take(&mut self.polls) {
                self.reply(ctx, &asked, unavailable("state service does not answer"));
            }
        }
        while self.comparing < COMPARING
            && let Some((since, _)) = self.polls.front()
            && (self.polls.len() >= most || ctx.now.mono.saturating_sub(*since) >= gap)
        {
            let mut txn = Txn { conditions: Vec::new(), writes: Vec::new() };
            let mut batch = Vec::new();
            while txn.conditions.len() < most
                && let Some((_, asked)) = self.polls.pop_front()
            {
                let Some(version) = self.open.of.get(&asked.job).map(|k| k.version) else {
                    self.read(ctx, asked);
                    continue;
                };
                let path = format!("{}{}", keys::JOBS, asked.job);
                if !txn.conditions.iter().any(|c| c.path == path) {
                    txn.conditions.push(Condition { path, version });
                }
                batch.push(asked);
            }
            if !batch.is_empty() {
                self.comparing += 1;
                ctx.state(StateRequest::Txn(txn), Wait::Front(FrontWait::Compare(batch)));
            }
        }
    }

    /// A job is as its record says: neither finished nor cancelled. If it awaits others, it is called
    /// so only when none of them is known to be cancelled.
    fn open_job(&mut self, ctx: &mut Ctx, asked: Asked, since: Moment, counts: &Counts, leader: Option<&Leader>) {
        if let Some(known) = self.open.of.get(&asked.job)
            && !matches!(asked.why, Why::Look(_))
        {
            // Thousands cannot all be looked at for each question. Then what was seen lately does, and a
            // cancellation is told when it is in the job's own record: no node says it sooner.
            let (mut found, many) = self.before(&known.awaits, since);
            if many {
                let lately = Self::lately(ctx);
                if self.long_lists.len() < LONG_LISTS || self.long_lists.contains_key(&asked.job) {
                    let until = ctx.now.mono + (ctx.set.cancel_s * 1000.0) as u64;
                    self.long_lists.insert(asked.job.clone(), until);
                }
                found = self.before(&known.awaits, Moment { at: since.at.min(lately.at), ..lately }).0;
            }
            match found {
                Before::Clear => {}
                Before::Doomed if many => {
                    ctx.answer(asked.id, unavailable("about to be cancelled"));
                    return;
                }
                // One before it was cancelled, so it never runs: that is as final as its own record
                // will be, and every node finds the same.
                Before::Doomed => {
                    self.remember(ctx, &asked.job, JobStatus::Aborted, 0);
                    ctx.answer(asked.id, Answer::Job(200, final_view(&asked.job, JobStatus::Aborted, 0)));
                    return;
                }
                Before::Unknown(jobs) => {
                    self.look_at_jobs(ctx, jobs);
                    self.held.push(Held::Ask(asked, since));
                    return;
                }
            }
        }
        let (done, running) = match leader {
            Some(l) => l.count(&asked.job),
            None => counts.get(&asked.job).copied().unwrap_or((0, 0)),
        };
        let status = if running > 0 { JobStatus::Running } else { JobStatus::Queued };
        let view = JobView { id: asked.job.clone(), status, done: Some(done), running: Some(running) };
        self.reply(ctx, &asked, Answer::Job(200, view));
    }

    /// Whether a read that is limited may be sent now; it is counted then. Nodes that are heard share.
    fn may_read(&mut self, ctx: &Ctx) -> bool {
        let rate = ctx.set.state_rps * READ_SHARE / f64::from(1 + ctx.live_peers);
        let gained = ctx.now.mono.saturating_sub(self.reads_at) as f64 / 1000.0 * rate;
        self.reads = (self.reads + gained).min(rate.max(1.0));
        self.reads_at = ctx.now.mono;
        let may = self.reads >= 1.0;
        self.reads -= if may { 1.0 } else { 0.0 };
        may
    }

    fn read(&mut self, ctx: &mut Ctx, asked: Asked) {
        if asked.why == Why::Poll && !self.may_read(ctx) {
            ctx.answer(asked.id, unavailable("too many at once"));
            return;
        }
        let key = format!("{}{}", keys::JOBS, asked.job);
        ctx.state(StateRequest::Get { key }, Wait::Front(FrontWait::Job(asked)));
    }

    fn remembered(&self, job: &str) -> Option<JobView> {
        self.finals.of.get(job).map(|&(status, n)| final_view(job, status, n))
    }

    /// Whether a job is known here to be cancelled.
    pub fn is_cancelled(&self, job: &str) -> bool {
        matches!(self.finals.of.get(job), Some((JobStatus::Aborted, _)))
    }

    /// Most jobs remembered of each kind: a small share of the memory limit.
    fn cap(ctx: &Ctx) -> usize {
        (ctx.set.mem_mb * 1024.0 * 1024.0 / 100.0 / 200.0) as usize
    }

    fn remember(&mut self, ctx: &Ctx, job: &str, status: JobStatus, n: u32) {
        if status == JobStatus::Aborted {
            self.found_cancelled.push(job.to_string());
        }
        self.finals.insert(job, (status, n), Self::cap(ctx));
    }

    /// Sends waiting acceptances, many in one transaction.
    pub fn turn(&mut self, ctx: &mut Ctx, counts: &Counts, leader: Option<&Leader>) {
        self.turn_held(ctx, counts, leader);
        self.turn_long_lists(ctx);
        self.compare(ctx);
        let patience = (shaleshunt_wire::SUBMIT_PATIENCE_S * 1000.0 * 0.6) as u64;
        while self.queue.front().is_some_and(|p| ctx.now.mono.saturating_sub(p.since) > patience) {
            if let Some(p) = self.queue.pop_front() {
                ctx.answer(p.id, unavailable("too many at once"));
            }
        }
        for large in &mut self.large {
            if !large.told && ctx.now.mono.saturating_sub(large.p.since) > patience {
                large.told = true;
                ctx.answer(large.p.id, unavailable("being written"));
            }
        }
        if ctx.now.mono >= self.retry_at
            && let Some(large) = self.large.pop_front()
        {
            self.send_large(ctx, large);
        }
        while self.flying < FLYING && !self.queue.is_empty() && ctx.now.mono >= self.retry_at {
            let mut batch = Vec::new();
            let mut txn = Txn { conditions: Vec::new(), writes: Vec::new() };
            let mut bytes = 0;
            while let Some(p) = self.queue.pop_front() {
                let key = format!("{}{}", keys::JOBS, p.spec.id);
                if txn.conditions.iter().any(|c| c.path == key) {
                    // The same job twice in a batch: the second learns from the first.
                    let asked = Asked { id: p.id, job: p.spec.id, why: Why::Resubmit, tries: 0 };
                    self.read(ctx, asked);
                    continue;
                }
                let v = if p.doomed {
                    json!(FinalRecord { x: true, n: p.spec.tasks, t: p.wall })
                } else {
                    json!(JobRecord { s: p.spec.clone(), at: p.wall, x: false, k: false })
                };
                let size = v.to_string().len();
                if size > ctx.limits.value_bytes() {
                    self.in_parts.insert(p.spec.id.clone());
                    self.large.push_back(Box::new(Large::new(ctx, p)));
                    continue;
                }
                bytes += size + key.len() * 3 + 64;
                if bytes > MAX_BODY * 7 / 8 && !batch.is_empty() {
                    self.queue.push_front(p);
                    break;
                }
                let end = format!("{}{}", keys::FINALS, p.spec.id);
                txn.conditions.push(Condition { path: key.clone(), version: Revision::ABSENT });
                txn.conditions.push(Condition { path: end.clone(), version: Revision::ABSENT });
                txn.writes.push(Write::set(if p.doomed { end } else { key }, v));
                batch.push(p);
                if batch.len() >= self.most.clamp(1, ctx.limits.ops().max(1)) {
                    break;
                }
            }
            if !batch.is_empty() {
                self.flying += 1;
                ctx.state(StateRequest::Txn(txn), Wait::Front(FrontWait::Accept(batch)));
            }
        }
    }

    pub fn state_answer(
        &mut self,
        ctx: &mut Ctx,
        wait: FrontWait,
        sent: Moment,
        result: Result<StateReply, IoError>,
        counts: &Counts,
        leader: Option<&Leader>,
    ) {
        match wait {
            FrontWait::Probe => {
                if result.is_ok() {
                    ctx.via = None;
                    ctx.emit(Event::StateServiceRelayEnded);
                }
            }
            FrontWait::Accept(batch) => {
                self.flying -= 1;
                self.accepted(ctx, batch, sent, result);
            }
            FrontWait::Large(large) => {
                if let Err(IoError::Throttled) = result {
                    self.retry_at = ctx.now.mono + ctx.set.report_ms() / 60;
                }
                self.large_sent(ctx, large, sent, result);
            }
            FrontWait::Parts(asked, mut got) => match result {
                Ok(StateReply::Page(page)) => {
                    got.2.extend(page.pairs);
                    if page.truncated {
                        self.read_parts(ctx, asked, got);
                    } else if let Some(rec) = join(&got.0, &got.2) {
                        // Its own record was read before; who awaits it looks again.
                        let known = Known { version: got.1, awaits: rec.s.awaits, open_at: Moment::default() };
                        self.open.insert(&asked.job, known, Self::cap(ctx));
                        self.open_job(ctx, asked, sent, counts, leader);
                    } else {
                        // It ended meanwhile.
                        self.reply(ctx, &asked, unavailable("try again"));
                    }
                }
                _ => self.reply(ctx, &asked, unavailable("state service does not answer")),
            },
            FrontWait::Compare(batch) => {
                self.comparing -= 1;
                match result {
                    Ok(StateReply::Committed(_)) => {
                        for asked in &batch {
                            if let Some(known) = self.open.of.get_mut(&asked.job) {
                                known.open_at = if sent.covers(known.open_at) { sent } else { known.open_at };
                            }
                        }
                        for asked in batch {
                            self.open_job(ctx, asked, sent, counts, leader);
                        }
                    }
                    // What changed is read; of the others nothing is said.
                    Ok(StateReply::Conflict(failed)) => {
                        for f in &failed {
                            self.open.of.remove(f.get(keys::JOBS.len()..).unwrap_or_default());
                        }
                        let known = |a: &Asked| self.open.of.contains_key(&a.job);
                        let (same, changed): (Vec<_>, Vec<_>) = batch.into_iter().partition(known);
                        let (again, read) = if changed.is_empty() { (changed, same) } else { (same, changed) };
                        for asked in read {
                            self.read(ctx, asked);
                        }
                        for asked in again.into_iter().rev() {
                            self.polls.push_front((0, asked));
                        }
                    }
                    other => {
                        if let Err(IoError::Rejected(_)) = other {
                            ctx.limits.too_large();
                        }
                        for asked in batch {
                            self.reply(ctx, &asked, unavailable("state service does not answer"));
                        }
                    }
                }
            }
            FrontWait::Job(asked) => match result {
                Ok(StateReply::Found(pair)) => {
                    let Some(rec) = Stored::read(pair.v) else {
                        self.reply(ctx, &asked, unavailable("record not understood"));
                        return;
                    };
                    let (cancelled, tasks) = rec.cancelled();
                    if cancelled {
                        self.remember(ctx, &asked.job, JobStatus::Aborted, tasks);
                        let view = final_view(&asked.job, JobStatus::Aborted, tasks);
                        self.reply(ctx, &asked, Answer::Job(200, view));
                    } else if asked.why == Why::Withdraw {
                        let key = format!("{}{}", keys::JOBS, asked.job);
                        let cancel = format!("{}{}", keys::CANCELLED, asked.job);
                        let txn = Txn {
                            conditions: vec![
                                Condition { path: key.clone(), version: pair.version },
                                Condition { path: cancel.clone(), version: Revision::ABSENT },
                            ],
                            writes: vec![Write::set(key, rec.into_cancelled()), Write::set(cancel, json!(true))],
                        };
                        ctx.state(StateRequest::Txn(txn), Wait::Front(FrontWait::Withdraw(asked)));
                    } else {
                        match rec {
                            Stored::Whole(rec) => {
                                let known = Known { version: pair.version, awaits: rec.s.awaits, open_at: sent };
                                self.open.insert(&asked.job, known, Self::cap(ctx));
                                self.open_job(ctx, asked, sent, counts, leader);
                            }
                            Stored::Large(rec) => {
                                self.read_parts(ctx, asked, Box::new((rec, pair.version, Vec::new())))
                            }
                        }
                    }
                }
                // Not among the unfinished at this moment: either finished before, and then its
                // final record is there by now, or never accepted until now.
                Ok(StateReply::Missing) => {
                    let key = format!("{}{}", keys::FINALS, asked.job);
                    ctx.state(StateRequest::Get { key }, Wait::Front(FrontWait::Final(asked)));
                }
                _ => self.reply(ctx, &asked, unavailable("state service does not answer")),
            },
            FrontWait::Final(mut asked) => match result {
                Ok(StateReply::Found(pair)) => match serde_json::from_value::<FinalRecord>(pair.v) {
                    Ok(rec) => {
                        let status = if rec.x { JobStatus::Aborted } else { JobStatus::Done };
                        self.remember(ctx, &asked.job, status, rec.n);
                        let view = final_view(&asked.job, status, rec.n);
                        self.reply(ctx, &asked, Answer::Job(200, view));
                    }
                    Err(_) => self.reply(ctx, &asked, unavailable("record not understood")),
                },
                Ok(StateReply::Missing) => match asked.why {
                    Why::Refuse(error) => {
                        ctx.answer(asked.id, Answer::Problem { status: 422, error, retry_after: None });
                    }
                    // A conflict said that it is there; a read can only miss it if it was accepted
                    // between the two reads.
                    Why::Resubmit if asked.tries < 3 => {
                        asked.tries += 1;
                        self.read(ctx, asked);
                    }
                    Why::Resubmit => ctx.answer(asked.id, unavailable("try again")),
                    Why::Look(order) => {
                        self.absent.push((asked.job.clone(), order));
                        self.looking.remove(&asked.job);
                        self.looked = true;
                    }
                    Why::Poll | Why::Withdraw => {
                        ctx.answer(asked.id, Answer::Problem { status: 404, error: "no such job", retry_after: None });
                    }
                },
                _ => self.reply(ctx, &asked, unavailable("state service does not answer")),
            },
            FrontWait::Withdraw(mut asked) => match result {
                Ok(StateReply::Committed(_)) => {
                    self.remember(ctx, &asked.job, JobStatus::Aborted, 0);
                    ctx.emit(Event::JobCancellationRecorded { job: asked.job.as_str().into() });
                    ctx.answer(asked.id, Answer::Job(200, final_view(&asked.job, JobStatus::Aborted, 0)));
                }
                Ok(StateReply::Conflict(_)) if asked.tries < 3 => {
                    asked.tries += 1;
                    self.read(ctx, asked);
                }
                _ => ctx.answer(asked.id, unavailable("state service does not answer")),
            },
        }
    }

    fn read_parts(&mut self, ctx: &mut Ctx, asked: Asked, got: Box<(LargeRecord, Revision, Vec<Pair>)>) {
        let prefix = got.0.p.clone();
        let after = got.2.last().map(|p| p.path.clone()).unwrap_or_default();
        ctx.state(StateRequest::Scan { prefix, after }, Wait::Front(FrontWait::Parts(asked, got)));
    }

    pub(crate) fn accepted(
        &mut self,
        ctx: &mut Ctx,
        batch: Vec<Pending>,
        sent: Moment,
        result: Result<StateReply, IoError>,
    ) {
        for p in &batch {
            self.in_parts.remove(&p.spec.id);
        }
        match result {
            Ok(StateReply::Committed(ledger)) => {
                self.most = (self.most * 2).clamp(2, ctx.limits.ops().max(2));
                for p in batch {
                    ctx.emit(Event::JobAccepted { job: p.spec.id.as_str().into() });
                    let view = if p.doomed {
                        self.remember(ctx, &p.spec.id, JobStatus::Aborted, p.spec.tasks);
                        final_view(&p.spec.id, JobStatus::Aborted, p.spec.tasks)
                    } else {
                        let known = Known { version: ledger, awaits: p.spec.awaits, open_at: sent };
                        self.open.insert(&p.spec.id, known, Self::cap(ctx));
                        JobView { id: p.spec.id, status: JobStatus::Queued, done: None, running: None }
                    };
                    ctx.answer(p.id, Answer::Job(201, view));
                }
            }
            Ok(StateReply::Conflict(failed)) => {
                for p in batch.into_iter().rev() {
                    let known = |f: &String| f.get(2..) == Some(p.spec.id.as_str());
                    if failed.iter().any(known) {
                        let asked = Asked { id: p.id, job: p.spec.id, why: Why::Resubmit, tries: 0 };
                        self.read(ctx, asked);
                    } else {
                        self.queue.push_front(p);
                    }
                }
            }
            // Not carried out: again soon, within the user's patience.
            Err(IoError::Throttled) => {
                self.retry_at = ctx.now.mono + ctx.set.report_ms() / 60;
                self.most = batch.len() / 2;
                for p in batch.into_iter().rev() {
                    self.queue.push_front(p);
                }
            }
            // Too large by now: again in smaller tasks.
            Err(IoError::Rejected(_)) if ctx.limits.too_large() => {
                self.most = batch.len() / 2;
                for p in batch.into_iter().rev() {
                    self.queue.push_front(p);
                }
            }
            // It may have been carried out or may be later. The user comes back and is told then:
            // the repeated submission meets the key if it is there.
            _ => {
                for p in batch {
                    ctx.answer(p.id, unavailable("state service does not answer"));
                }
            }
        }
    }
}

fn final_view(job: &str, status: JobStatus, n: u32) -> JobView {
    let done = (status == JobStatus::Done).then_some(n);
    JobView { id: job.to_string(), status, done, running: None }
}
