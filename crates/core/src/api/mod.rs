//! Users' requests, on any node. Nothing here needs the leader: an acceptance or withdrawal is a
//! conditional write, a poll a fresh read. Only final states, which never change, are remembered.

use crate::controller::{BatchTime, Context, PendingRequest};
use crate::event::Event;
use crate::io::*;
use crate::leader::Leader;
use crate::model::{FinalRecord, JobRecord, keys};
use crate::records::{SplitJobRecord, StoredJob};
use crate::submission_parts::{SplitSubmission, join};
use serde_json::json;
use shaleshunt_wire::kv::{Condition, KeyValue, Transaction, Write};
use shaleshunt_wire::user::{JobKind, JobStatus, JobView, Submission};
use shaleshunt_wire::{MAX_BODY, Resources, Revision};
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

/// What a front request's answer is for.
#[derive(Debug)]
pub(crate) enum ApiRequest {
    Accept(Vec<PendingSubmission>),
    SplitSubmission(Box<SplitSubmission>),
    /// The parts of a job's submission: its record, its version, and what has come.
    Parts(JobQuery, Box<(SplitJobRecord, Revision, Vec<KeyValue>)>),
    Compare(Vec<JobQuery>),
    Job(JobQuery),
    Final(JobQuery),
    Withdraw(JobQuery),
    Probe,
}

/// A submission on its way.
#[derive(Debug, Clone)]
pub(crate) struct PendingSubmission {
    pub(crate) id: RequestId,
    pub(crate) spec: Submission,
    pub(crate) wall_ms: u64,
    since: u64,
    /// Its place among what came and what was looked for.
    pub(crate) order: u64,
    /// A job that it awaits is cancelled: it is accepted as cancelled.
    cancelled_by_dependency: bool,
}

/// A question about a job.
#[derive(Debug, Clone)]
pub(crate) struct JobQuery {
    id: RequestId,
    job: String,
    why: QueryPurpose,
    tries: u32,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum QueryPurpose {
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
struct OpenJob {
    /// Version of its record.
    version: Revision,
    /// Jobs that it awaits, as far as they were not known to be done.
    dependencies: Vec<String>,
    /// It was neither cancelled nor finished later than this.
    open_at: BatchTime,
}

/// What waits for a look at jobs that are awaited.
#[derive(Debug)]
enum DeferredRequest {
    Submit(Box<PendingSubmission>),
    Ask(JobQuery, BatchTime),
}

/// What is known of the jobs that one awaits, directly or through others.
enum DependencyState {
    /// Each is done, or was open a short while ago.
    Clear,
    /// One is cancelled, and all that are named were accepted.
    Cancelled,
    /// Of these it is not known.
    Unknown(Vec<String>),
}

/// Users' side of a node.
#[derive(Default)]
pub(crate) struct Api {
    queue: VecDeque<PendingSubmission>,
    acceptances_in_flight: u32,
    /// Submissions that go in parts, between two transactions; the jobs whose do.
    pub(crate) large: VecDeque<Box<SplitSubmission>>,
    in_parts: HashSet<String>,
    /// Most acceptances in one transaction, fewer while the state service refuses: a large one finds
    /// its writes all at once less often than a small one.
    most: usize,
    /// Polls of jobs whose records are known, since when they wait: one transaction that only
    /// compares tells of many whether their records are still the same.
    polls: VecDeque<(u64, JobQuery)>,
    comparisons_in_flight: u32,
    /// Reads for polls that may be sent now.
    reads: f64,
    reads_at: u64,
    /// Unfinished jobs as last seen.
    open: Remembered<OpenJob>,
    /// What waits for a look at awaited jobs; the jobs looked at or about to be, and those still to
    /// be read; whether one has been seen since.
    deferred: Vec<DeferredRequest>,
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
    pub(crate) newly_cancelled: Vec<String>,
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

impl Api {
    /// Why a job can never run, if so.
    fn refusal(ctx: &Context, s: &Submission) -> Option<&'static str> {
        let Some(team) = ctx.settings.teams.get(&s.team) else { return Some("unknown team") };
        let catalog = ctx.catalog.as_ref()?;
        let need = s.need();
        let allowed = |f: &&shaleshunt_wire::cloud::MachineType| {
            s.machine_types.as_ref().is_none_or(|names| names.contains(&f.name))
                && s.zone.as_ref().is_none_or(|h| f.zones.is_empty() || f.zones.contains(h))
        };
        if !catalog.machine_types.iter().filter(allowed).any(|f| f.resources().fits(&need)) {
            return Some("a task fits no allowed machine type");
        }
        let mut all = Resources::default();
        all.add(&need, if s.kind == JobKind::Array { 1 } else { i64::from(s.tasks) });
        if !team.allows(&all) {
            return Some("more than the team's limit");
        }
        None
    }

    pub fn submit(&mut self, ctx: &mut Context, id: RequestId, spec: Submission) {
        if let Some(view) = self.remembered(&spec.id) {
            ctx.answer(id, Answer::Job(200, view));
        } else if ctx.catalog.is_none() {
            ctx.answer(id, unavailable("machine types not known yet"));
        } else if ctx.kv_unavailable() {
            ctx.answer(id, unavailable("state service does not answer"));
        } else if let Some(error) = Self::refusal(ctx, &spec) {
            let asked = JobQuery { id, job: spec.id, why: QueryPurpose::Refuse(error), tries: 0 };
            self.read(ctx, asked);
        } else if self.in_parts.contains(&spec.id) {
            ctx.answer(id, unavailable("being written"));
        } else if spec.dependencies.contains(&spec.id) {
            // It was not accepted when its user named it.
            let asked = JobQuery { id, job: spec.id, why: QueryPurpose::Refuse(NEVER_ACCEPTED), tries: 0 };
            self.read(ctx, asked);
        } else {
            self.order += 1;
            let (wall_ms, since, order) = (ctx.now.wall_ms, ctx.now.monotonic_ms, self.order);
            self.admit(ctx, PendingSubmission { id, spec, wall_ms, since, order, cancelled_by_dependency: false });
        }
    }

    /// Queues a submission, unless something is to be found out about the jobs that it awaits.
    fn admit(&mut self, ctx: &mut Context, mut p: PendingSubmission) {
        match self.dependency_state(&p.spec.dependencies, Self::recent_enough(ctx)).0 {
            DependencyState::Unknown(jobs) => {
                self.look_at_jobs(ctx, jobs);
                self.deferred.push(DeferredRequest::Submit(Box::new(p)));
                return;
            }
            DependencyState::Cancelled => p.cancelled_by_dependency = true,
            // What is done by now need not be awaited, nor found out again by each leader.
            DependencyState::Clear => p.spec.dependencies.retain(|a| self.remembered(a).is_none()),
        }
        self.queue.push_back(p);
    }

    /// What is known of these jobs and all that they await, each seen open not before a time. For a
    /// question that is when it came: so its answer is as fresh as if the job's own record had
    /// changed with those before it, whoever leads and however long nobody did. A new job, of which
    /// nobody was told anything yet, does with what was seen well within `cancel_s`. Also says whether
    /// there are many.
    fn dependency_state(&self, dependencies: &[String], since: BatchTime) -> (DependencyState, bool) {
        let mut seen: HashSet<&str> = HashSet::new();
        let mut list: Vec<&String> = dependencies.iter().collect();
        let (mut unknown, mut cancelled_by_dependency) = (Vec::new(), false);
        while let Some(job) = list.pop() {
            if !seen.insert(job) {
                continue;
            }
            match (self.finals.of.get(job), self.open.of.get(job)) {
                (Some((JobStatus::Done, _)), _) => {}
                (Some(_), _) => cancelled_by_dependency = true,
                (None, Some(k)) if k.open_at.covers(since) => {
                    list.extend(&k.dependencies);
                }
                (None, _) => unknown.push(job.clone()),
            }
        }
        if cancelled_by_dependency {
            // Whoever names a cancelled job is cancelled too, but only if all that it names was
            // accepted once.
            let named: HashSet<&String> = dependencies.iter().collect();
            unknown.retain(|job| named.contains(job) && !self.open.of.contains_key(job));
        }
        let many = seen.len() > MANY;
        match unknown.is_empty() {
            false => (DependencyState::Unknown(unknown), many),
            true if cancelled_by_dependency => (DependencyState::Cancelled, many),
            true => (DependencyState::Clear, many),
        }
    }

    /// Since when what is known of awaited jobs is good enough where nothing newer was told.
    fn recent_enough(ctx: &Context) -> BatchTime {
        BatchTime { step: 0, at: ctx.now.monotonic_ms.saturating_sub((ctx.settings.cancel_s * 250.0) as u64).max(1) }
    }

    /// Has jobs looked at: compared with others if their records are known, else read. Of a long list
    /// some at a time, so that nobody waits for long behind it.
    fn look_at_jobs(&mut self, ctx: &Context, jobs: Vec<String>) {
        for job in jobs.into_iter().take(LOOKS) {
            if !self.looking.insert(job.clone()) {
                continue;
            }
            if self.open.of.contains_key(&job) {
                self.order += 1;
                let asked = JobQuery { id: 0, job, why: QueryPurpose::Look(self.order), tries: 0 };
                self.polls.push_back((ctx.now.monotonic_ms, asked));
            } else {
                self.to_read.push_back(job);
            }
        }
    }

    /// Answers a question; a look is only noted.
    fn reply(&mut self, ctx: &mut Context, asked: &JobQuery, answer: Answer) {
        if let QueryPurpose::Look(_) = asked.why {
            self.looking.remove(&asked.job);
            self.looked = true;
            if let Answer::Problem { status: 503, .. } = answer {
                self.look_at = ctx.now.monotonic_ms + ctx.settings.heartbeat_interval_ms() / 60;
            }
            return;
        }
        ctx.answer(asked.id, answer);
    }

    /// Looks at the jobs on long lists again, a round at a time, when half of the time has passed for which
    /// what was seen of them counts.
    fn refresh_long_dependency_lists(&mut self, ctx: &Context) {
        let now = ctx.now.monotonic_ms;
        let open = &self.open.of;
        self.long_lists.retain(|job, until| *until > now && open.contains_key(job));
        if !self.looking.is_empty() || ctx.kv_unavailable() {
            return;
        }
        let recent_enough = Self::recent_enough(ctx);
        let since = BatchTime { at: recent_enough.at.midpoint(now), ..recent_enough };
        for job in self.long_lists.keys() {
            let Some(known) = self.open.of.get(job) else { continue };
            if let (DependencyState::Unknown(jobs), _) = self.dependency_state(&known.dependencies, since) {
                self.look_at_jobs(ctx, jobs);
                return;
            }
        }
    }

    /// Goes on with what waited for looks, and sends looks that are due.
    fn run_deferred_requests(&mut self, ctx: &mut Context, counts: &Counts, leader: Option<&Leader>) {
        if self.deferred.is_empty() {
            self.absent.clear();
            self.looked = false;
        }
        let now = ctx.now.monotonic_ms;
        let patience = |h: &DeferredRequest| match h {
            DeferredRequest::Submit(p) => (p.since, shaleshunt_wire::SUBMIT_TIMEOUT_S * 600.0),
            DeferredRequest::Ask(_, since) => (since.at, shaleshunt_wire::STATUS_TIMEOUT_S * 600.0),
        };
        let late = |h: &DeferredRequest| {
            let (since, ms) = patience(h);
            now.saturating_sub(since) as f64 > ms
        };
        if (std::mem::take(&mut self.looked) && now >= self.look_at) || self.deferred.iter().any(late) {
            let absent = std::mem::take(&mut self.absent);
            // What is still wanted is asked for anew.
            for job in std::mem::take(&mut self.to_read) {
                self.looking.remove(&job);
            }
            for h in std::mem::take(&mut self.deferred) {
                let refused = |p: &PendingSubmission| {
                    absent.iter().any(|(job, order)| *order > p.order && p.spec.dependencies.contains(job))
                };
                match h {
                    DeferredRequest::Submit(p) if refused(&p) => {
                        let why = QueryPurpose::Refuse(NEVER_ACCEPTED);
                        self.read(ctx, JobQuery { id: p.id, job: p.spec.id, why, tries: 0 });
                    }
                    DeferredRequest::Submit(p) if late(&DeferredRequest::Submit(p.clone())) => {
                        ctx.answer(p.id, unavailable(NOT_KNOWN))
                    }
                    DeferredRequest::Submit(p) => self.admit(ctx, *p),
                    DeferredRequest::Ask(asked, since) if late(&DeferredRequest::Ask(asked.clone(), since)) => {
                        ctx.answer(asked.id, unavailable(NOT_KNOWN));
                    }
                    DeferredRequest::Ask(asked, since) => self.open_job(ctx, asked, since, counts, leader),
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
            let asked = JobQuery { id: 0, job, why: QueryPurpose::Look(self.order), tries: 0 };
            self.read(ctx, asked);
        }
    }

    pub fn status(&mut self, ctx: &mut Context, id: RequestId, job: String) {
        self.query(ctx, JobQuery { id, job, why: QueryPurpose::Poll, tries: 0 });
    }

    pub fn withdraw(&mut self, ctx: &mut Context, id: RequestId, job: String) {
        self.query(ctx, JobQuery { id, job, why: QueryPurpose::Withdraw, tries: 0 });
    }

    fn query(&mut self, ctx: &mut Context, asked: JobQuery) {
        if let Some(view) = self.remembered(&asked.job) {
            ctx.answer(asked.id, Answer::Job(200, view));
        } else if ctx.kv_unavailable() {
            ctx.answer(asked.id, unavailable("state service does not answer"));
        } else if asked.why == QueryPurpose::Poll
            && let Some(known) = self.open.of.get(&asked.job)
        {
            // What it awaits is compared along with it.
            if let (DependencyState::Unknown(jobs), _) = self.dependency_state(&known.dependencies, ctx.batch_time()) {
                self.look_at_jobs(ctx, jobs);
            }
            self.polls.push_back((ctx.now.monotonic_ms, asked));
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
    pub fn learn<'a>(&mut self, ctx: &Context, jobs: impl Iterator<Item = (&'a str, Revision)>) {
        let cap = Self::cap(ctx);
        for (job, version) in jobs {
            match self.open.of.get_mut(job) {
                Some(known) => {
                    known.version = version.max(known.version);
                    known.dependencies.clear();
                }
                None => self.open.insert(job, OpenJob { version, ..OpenJob::default() }, cap),
            }
        }
    }

    /// Answers polls of jobs whose records are known, many with one transaction that only compares:
    /// as fresh as a read, at a fraction of the requests.
    fn compare(&mut self, ctx: &mut Context) {
        let most = ctx.limits.conditions().max(1);
        let gap =
            (1000.0 / (ctx.settings.kv_rps * COMPARE_SHARE)).min(shaleshunt_wire::STATUS_TIMEOUT_S * 250.0) as u64;
        if ctx.kv_unavailable() {
            for (_, asked) in std::mem::take(&mut self.polls) {
                self.reply(ctx, &asked, unavailable("state service does not answer"));
            }
        }
        while self.comparisons_in_flight < COMPARING
            && let Some((since, _)) = self.polls.front()
            && (self.polls.len() >= most || ctx.now.monotonic_ms.saturating_sub(*since) >= gap)
        {
            let mut transaction = Transaction { conditions: Vec::new(), writes: Vec::new() };
            let mut batch = Vec::new();
            while transaction.conditions.len() < most
                && let Some((_, asked)) = self.polls.pop_front()
            {
                let Some(version) = self.open.of.get(&asked.job).map(|k| k.version) else {
                    self.read(ctx, asked);
                    continue;
                };
                let path = format!("{}{}", keys::JOBS, asked.job);
                if !transaction.conditions.iter().any(|c| c.path == path) {
                    transaction.conditions.push(Condition { path, version });
                }
                batch.push(asked);
            }
            if !batch.is_empty() {
                self.comparisons_in_flight += 1;
                ctx.send_kv(KvRequest::Transaction(transaction), PendingRequest::Api(ApiRequest::Compare(batch)));
            }
        }
    }

    /// A job is as its record says: neither finished nor cancelled. If it awaits others, it is called
    /// so only when none of them is known to be cancelled.
    fn open_job(
        &mut self,
        ctx: &mut Context,
        asked: JobQuery,
        since: BatchTime,
        counts: &Counts,
        leader: Option<&Leader>,
    ) {
        if let Some(known) = self.open.of.get(&asked.job)
            && !matches!(asked.why, QueryPurpose::Look(_))
        {
            // Thousands cannot all be looked at for each question. Then what was seen lately does, and a
            // cancellation is told when it is in the job's own record: no node says it sooner.
            let (mut found, many) = self.dependency_state(&known.dependencies, since);
            if many {
                let recent_enough = Self::recent_enough(ctx);
                if self.long_lists.len() < LONG_LISTS || self.long_lists.contains_key(&asked.job) {
                    let until = ctx.now.monotonic_ms + (ctx.settings.cancel_s * 1000.0) as u64;
                    self.long_lists.insert(asked.job.clone(), until);
                }
                found = self
                    .dependency_state(
                        &known.dependencies,
                        BatchTime { at: since.at.min(recent_enough.at), ..recent_enough },
                    )
                    .0;
            }
            match found {
                DependencyState::Clear => {}
                DependencyState::Cancelled if many => {
                    ctx.answer(asked.id, unavailable("about to be cancelled"));
                    return;
                }
                // One before it was cancelled, so it never runs: that is as final as its own record
                // will be, and every node finds the same.
                DependencyState::Cancelled => {
                    self.remember(ctx, &asked.job, JobStatus::Cancelled, 0);
                    ctx.answer(asked.id, Answer::Job(200, final_view(&asked.job, JobStatus::Cancelled, 0)));
                    return;
                }
                DependencyState::Unknown(jobs) => {
                    self.look_at_jobs(ctx, jobs);
                    self.deferred.push(DeferredRequest::Ask(asked, since));
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
    fn may_read(&mut self, ctx: &Context) -> bool {
        let rate = ctx.settings.kv_rps * READ_SHARE / f64::from(1 + ctx.live_peers());
        let gained = ctx.now.monotonic_ms.saturating_sub(self.reads_at) as f64 / 1000.0 * rate;
        self.reads = (self.reads + gained).min(rate.max(1.0));
        self.reads_at = ctx.now.monotonic_ms;
        let may = self.reads >= 1.0;
        self.reads -= if may { 1.0 } else { 0.0 };
        may
    }

    fn read(&mut self, ctx: &mut Context, asked: JobQuery) {
        if asked.why == QueryPurpose::Poll && !self.may_read(ctx) {
            ctx.answer(asked.id, unavailable("too many at once"));
            return;
        }
        let key = format!("{}{}", keys::JOBS, asked.job);
        ctx.send_kv(KvRequest::Get { key }, PendingRequest::Api(ApiRequest::Job(asked)));
    }

    fn remembered(&self, job: &str) -> Option<JobView> {
        self.finals.of.get(job).map(|&(status, n)| final_view(job, status, n))
    }

    /// Whether a job is known here to be cancelled.
    pub fn is_cancelled(&self, job: &str) -> bool {
        matches!(self.finals.of.get(job), Some((JobStatus::Cancelled, _)))
    }

    /// Most jobs remembered of each kind: a small share of the memory limit.
    fn cap(ctx: &Context) -> usize {
        (ctx.settings.mem_mb * 1024.0 * 1024.0 / 100.0 / 200.0) as usize
    }

    fn remember(&mut self, ctx: &Context, job: &str, status: JobStatus, n: u32) {
        if status == JobStatus::Cancelled {
            self.newly_cancelled.push(job.to_string());
        }
        self.finals.insert(job, (status, n), Self::cap(ctx));
    }

    /// Sends waiting acceptances, many in one transaction.
    pub fn run_due(&mut self, ctx: &mut Context, counts: &Counts, leader: Option<&Leader>) {
        self.run_deferred_requests(ctx, counts, leader);
        self.refresh_long_dependency_lists(ctx);
        self.compare(ctx);
        let patience = (shaleshunt_wire::SUBMIT_TIMEOUT_S * 1000.0 * 0.6) as u64;
        while self.queue.front().is_some_and(|p| ctx.now.monotonic_ms.saturating_sub(p.since) > patience) {
            if let Some(p) = self.queue.pop_front() {
                ctx.answer(p.id, unavailable("too many at once"));
            }
        }
        for large in &mut self.large {
            if !large.told && ctx.now.monotonic_ms.saturating_sub(large.p.since) > patience {
                large.told = true;
                ctx.answer(large.p.id, unavailable("being written"));
            }
        }
        if ctx.now.monotonic_ms >= self.retry_at
            && let Some(large) = self.large.pop_front()
        {
            self.send_split_submission(ctx, large);
        }
        while self.acceptances_in_flight < FLYING && !self.queue.is_empty() && ctx.now.monotonic_ms >= self.retry_at {
            let mut batch = Vec::new();
            let mut transaction = Transaction { conditions: Vec::new(), writes: Vec::new() };
            let mut bytes = 0;
            while let Some(p) = self.queue.pop_front() {
                let key = format!("{}{}", keys::JOBS, p.spec.id);
                if transaction.conditions.iter().any(|c| c.path == key) {
                    // The same job twice in a batch: the second learns from the first.
                    let asked = JobQuery { id: p.id, job: p.spec.id, why: QueryPurpose::Resubmit, tries: 0 };
                    self.read(ctx, asked);
                    continue;
                }
                let v = if p.cancelled_by_dependency {
                    json!(FinalRecord { cancelled: true, tasks: p.spec.tasks, ended_at_ms: p.wall_ms })
                } else {
                    json!(JobRecord::new(p.spec.clone(), p.wall_ms))
                };
                let size = v.to_string().len();
                if size > ctx.limits.value_bytes() {
                    self.in_parts.insert(p.spec.id.clone());
                    self.large.push_back(Box::new(SplitSubmission::new(ctx, p)));
                    continue;
                }
                bytes += size + key.len() * 3 + 64;
                if bytes > MAX_BODY * 7 / 8 && !batch.is_empty() {
                    self.queue.push_front(p);
                    break;
                }
                let end = format!("{}{}", keys::FINAL_RECORDS, p.spec.id);
                transaction.conditions.push(Condition { path: key.clone(), version: Revision::ABSENT });
                transaction.conditions.push(Condition { path: end.clone(), version: Revision::ABSENT });
                transaction.writes.push(Write::set(if p.cancelled_by_dependency { end } else { key }, v));
                batch.push(p);
                if batch.len() >= self.most.clamp(1, ctx.limits.ops().max(1)) {
                    break;
                }
            }
            if !batch.is_empty() {
                self.acceptances_in_flight += 1;
                ctx.send_kv(KvRequest::Transaction(transaction), PendingRequest::Api(ApiRequest::Accept(batch)));
            }
        }
    }

    pub fn handle_kv_reply(
        &mut self,
        ctx: &mut Context,
        wait: ApiRequest,
        sent: BatchTime,
        result: Result<KvReply, RequestError>,
        counts: &Counts,
        leader: Option<&Leader>,
    ) {
        match wait {
            ApiRequest::Probe => {
                if result.is_ok() {
                    ctx.relay.stop();
                    ctx.emit(Event::StateServiceRelayEnded);
                }
            }
            ApiRequest::Accept(batch) => {
                self.acceptances_in_flight -= 1;
                self.accepted(ctx, batch, sent, result);
            }
            ApiRequest::SplitSubmission(large) => {
                if let Err(RequestError::Throttled) = result {
                    self.retry_at = ctx.now.monotonic_ms + ctx.settings.heartbeat_interval_ms() / 60;
                }
                self.handle_split_submission_reply(ctx, large, sent, result);
            }
            ApiRequest::Parts(asked, mut got) => match result {
                Ok(KvReply::Page(page)) => {
                    got.2.extend(page.pairs);
                    if page.truncated {
                        self.read_parts(ctx, asked, got);
                    } else if let Some(rec) = join(&got.0, &got.2) {
                        // Its own record was read before; who awaits it looks again.
                        let known = OpenJob {
                            version: got.1,
                            dependencies: rec.submission.dependencies,
                            open_at: BatchTime::default(),
                        };
                        self.open.insert(&asked.job, known, Self::cap(ctx));
                        self.open_job(ctx, asked, sent, counts, leader);
                    } else {
                        // It ended meanwhile.
                        self.reply(ctx, &asked, unavailable("try again"));
                    }
                }
                _ => self.reply(ctx, &asked, unavailable("state service does not answer")),
            },
            ApiRequest::Compare(batch) => {
                self.comparisons_in_flight -= 1;
                match result {
                    Ok(KvReply::Committed(_)) => {
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
                    Ok(KvReply::Conflict(failed)) => {
                        for f in &failed {
                            self.open.of.remove(f.get(keys::JOBS.len()..).unwrap_or_default());
                        }
                        let known = |a: &JobQuery| self.open.of.contains_key(&a.job);
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
                        if let Err(RequestError::Rejected(_)) = other {
                            ctx.limits.too_large();
                        }
                        for asked in batch {
                            self.reply(ctx, &asked, unavailable("state service does not answer"));
                        }
                    }
                }
            }
            ApiRequest::Job(asked) => match result {
                Ok(KvReply::Found(pair)) => {
                    let Some(rec) = StoredJob::read(pair.v) else {
                        self.reply(ctx, &asked, unavailable("record not understood"));
                        return;
                    };
                    let (cancelled, tasks) = (rec.is_cancelled(), rec.tasks());
                    if cancelled {
                        self.remember(ctx, &asked.job, JobStatus::Cancelled, tasks);
                        let view = final_view(&asked.job, JobStatus::Cancelled, tasks);
                        self.reply(ctx, &asked, Answer::Job(200, view));
                    } else if asked.why == QueryPurpose::Withdraw {
                        let key = format!("{}{}", keys::JOBS, asked.job);
                        let cancel = format!("{}{}", keys::CANCELLED, asked.job);
                        let transaction = Transaction {
                            conditions: vec![
                                Condition { path: key.clone(), version: pair.version },
                                Condition { path: cancel.clone(), version: Revision::ABSENT },
                            ],
                            writes: vec![Write::set(key, rec.into_cancelled()), Write::set(cancel, json!(true))],
                        };
                        ctx.send_kv(
                            KvRequest::Transaction(transaction),
                            PendingRequest::Api(ApiRequest::Withdraw(asked)),
                        );
                    } else {
                        match rec {
                            StoredJob::Whole(rec) => {
                                let known = OpenJob {
                                    version: pair.version,
                                    dependencies: rec.submission.dependencies,
                                    open_at: sent,
                                };
                                self.open.insert(&asked.job, known, Self::cap(ctx));
                                self.open_job(ctx, asked, sent, counts, leader);
                            }
                            StoredJob::SplitSubmission(rec) => {
                                self.read_parts(ctx, asked, Box::new((rec, pair.version, Vec::new())))
                            }
                        }
                    }
                }
                // Not among the unfinished at this moment: either finished before, and then its
                // final record is there by now, or never accepted until now.
                Ok(KvReply::Missing) => {
                    let key = format!("{}{}", keys::FINAL_RECORDS, asked.job);
                    ctx.send_kv(KvRequest::Get { key }, PendingRequest::Api(ApiRequest::Final(asked)));
                }
                _ => self.reply(ctx, &asked, unavailable("state service does not answer")),
            },
            ApiRequest::Final(mut asked) => match result {
                Ok(KvReply::Found(pair)) => match serde_json::from_value::<FinalRecord>(pair.v) {
                    Ok(rec) => {
                        let status = if rec.cancelled { JobStatus::Cancelled } else { JobStatus::Done };
                        self.remember(ctx, &asked.job, status, rec.tasks);
                        let view = final_view(&asked.job, status, rec.tasks);
                        self.reply(ctx, &asked, Answer::Job(200, view));
                    }
                    Err(_) => self.reply(ctx, &asked, unavailable("record not understood")),
                },
                Ok(KvReply::Missing) => match asked.why {
                    QueryPurpose::Refuse(error) => {
                        ctx.answer(asked.id, Answer::Problem { status: 422, error, retry_after: None });
                    }
                    // A conflict said that it is there; a read can only miss it if it was accepted
                    // between the two reads.
                    QueryPurpose::Resubmit if asked.tries < 3 => {
                        asked.tries += 1;
                        self.read(ctx, asked);
                    }
                    QueryPurpose::Resubmit => ctx.answer(asked.id, unavailable("try again")),
                    QueryPurpose::Look(order) => {
                        self.absent.push((asked.job.clone(), order));
                        self.looking.remove(&asked.job);
                        self.looked = true;
                    }
                    QueryPurpose::Poll | QueryPurpose::Withdraw => {
                        ctx.answer(asked.id, Answer::Problem { status: 404, error: "no such job", retry_after: None });
                    }
                },
                _ => self.reply(ctx, &asked, unavailable("state service does not answer")),
            },
            ApiRequest::Withdraw(mut asked) => match result {
                Ok(KvReply::Committed(_)) => {
                    self.remember(ctx, &asked.job, JobStatus::Cancelled, 0);
                    ctx.emit(Event::JobCancellationRecorded { job: asked.job.as_str().into() });
                    ctx.answer(asked.id, Answer::Job(200, final_view(&asked.job, JobStatus::Cancelled, 0)));
                }
                Ok(KvReply::Conflict(_)) if asked.tries < 3 => {
                    asked.tries += 1;
                    self.read(ctx, asked);
                }
                _ => ctx.answer(asked.id, unavailable("state service does not answer")),
            },
        }
    }

    fn read_parts(&mut self, ctx: &mut Context, asked: JobQuery, got: Box<(SplitJobRecord, Revision, Vec<KeyValue>)>) {
        let prefix = got.0.parts_prefix.clone();
        let after = got.2.last().map(|p| p.path.clone()).unwrap_or_default();
        ctx.send_kv(KvRequest::Scan { prefix, after }, PendingRequest::Api(ApiRequest::Parts(asked, got)));
    }

    pub(crate) fn accepted(
        &mut self,
        ctx: &mut Context,
        batch: Vec<PendingSubmission>,
        sent: BatchTime,
        result: Result<KvReply, RequestError>,
    ) {
        for p in &batch {
            self.in_parts.remove(&p.spec.id);
        }
        match result {
            Ok(KvReply::Committed(revision)) => {
                self.most = (self.most * 2).clamp(2, ctx.limits.ops().max(2));
                for p in batch {
                    ctx.emit(Event::JobAccepted { job: p.spec.id.as_str().into() });
                    let view = if p.cancelled_by_dependency {
                        self.remember(ctx, &p.spec.id, JobStatus::Cancelled, p.spec.tasks);
                        final_view(&p.spec.id, JobStatus::Cancelled, p.spec.tasks)
                    } else {
                        let known = OpenJob { version: revision, dependencies: p.spec.dependencies, open_at: sent };
                        self.open.insert(&p.spec.id, known, Self::cap(ctx));
                        JobView { id: p.spec.id, status: JobStatus::Queued, done: None, running: None }
                    };
                    ctx.answer(p.id, Answer::Job(201, view));
                }
            }
            Ok(KvReply::Conflict(failed)) => {
                for p in batch.into_iter().rev() {
                    let known = |f: &String| f.get(2..) == Some(p.spec.id.as_str());
                    if failed.iter().any(known) {
                        let asked = JobQuery { id: p.id, job: p.spec.id, why: QueryPurpose::Resubmit, tries: 0 };
                        self.read(ctx, asked);
                    } else {
                        self.queue.push_front(p);
                    }
                }
            }
            // Not carried out: again soon, within the user's patience.
            Err(RequestError::Throttled) => {
                self.retry_at = ctx.now.monotonic_ms + ctx.settings.heartbeat_interval_ms() / 60;
                self.most = batch.len() / 2;
                for p in batch.into_iter().rev() {
                    self.queue.push_front(p);
                }
            }
            // Too large by now: again in smaller tasks.
            Err(RequestError::Rejected(_)) if ctx.limits.too_large() => {
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
