//! Facts about tasks, on pages: where each is placed, which are done, which are free again.
//!
//! A page is one value of the state service with facts of any number of jobs, so that a
//! transaction writes one page however many tasks it places. The newest page is written again with
//! more until it is full. Of the facts about a task the last one counts, in the order of pages and
//! of the facts on a page: an old placement had been proven gone when a newer one was planned, so
//! a reader that finds both knows that only the newer can be. A page that nothing refers to any
//! more is removed; what little is left on an old one is written anew first.

use crate::controller::Context;
use crate::leader::Leader;
use crate::leader::store::InFlightTransaction;
use crate::model::{Id, Job};
use crate::records::{PageRecord, PlacementRecord, TaskFact, TaskRun, keys};
use serde_json::json;
use shaleshunt_wire::kv::KeyValue;
use shaleshunt_wire::{AgentEpoch, Attempt, Revision};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// Most tasks of a job in one transaction.
const MOST_TASKS: usize = 1024;
/// Most bytes that a run of tasks takes in a fact, with room for the rest of the fact among many.
const RUN_BYTES: usize = 20;
/// An old page of which less than this share still counts is written anew.
const STALE_SHARE: f64 = 0.5;

/// The page with the last fact about a task, and where it is placed: machine, session, attempt.
type LastFact = (u32, Option<(Id, AgentEpoch, Attempt)>);

/// What is known of a page that is stored.
#[derive(Debug, Default)]
pub(crate) struct Page {
    version: Revision,
    /// Facts that still count, by job.
    jobs: BTreeMap<Id, u32>,
    live: u32,
    total: u32,
}

/// The pages, and the newest one's content.
#[derive(Debug, Default)]
pub(crate) struct Pages {
    all: BTreeMap<u32, Page>,
    newest: u32,
    facts: Vec<TaskFact>,
    bytes: usize,
    /// The page that is being written anew.
    draining: Option<u32>,
}

impl PageDraft {
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }
}

impl Pages {
    pub(crate) fn len(&self) -> usize {
        self.all.len()
    }
}

/// A page as a transaction would leave it.
#[derive(Debug, Clone, Default)]
pub(crate) struct PageDraft {
    number: u32,
    facts: Vec<TaskFact>,
    bytes: usize,
}

/// A task's fact in a transaction: job, task, how new it was, and the page it is on.
#[derive(Debug)]
pub(crate) struct RecordedFacts {
    pub job: Id,
    pub tasks: Vec<(u32, u64)>,
    pub page: u32,
}

/// What is to be written of a job: facts, the plans among them, and the tasks with how new that is.
struct PendingFacts {
    facts: Vec<TaskFact>,
    plans: Vec<(Id, u64)>,
    taken: BTreeMap<u32, u64>,
}

impl PendingFacts {
    /// Of the first of a job's tasks of which something is to be written.
    fn new(job: &Job, tasks: usize) -> PendingFacts {
        let taken: BTreeMap<u32, u64> = job.writes.tasks.iter().take(tasks).map(|(p, n)| (*p, *n)).collect();
        let mut done = TaskFact::new(&job.id);
        done.done = true;
        let mut free = TaskFact::new(&job.id);
        let mut placed: BTreeMap<(&Id, AgentEpoch, Attempt), TaskFact> = BTreeMap::new();
        let mut plans = Vec::new();
        for task in taken.keys() {
            if job.tasks.is_done(*task) {
                done.push(*task);
                continue;
            }
            let placements = job.tasks.placements_of(*task);
            if placements.is_empty() {
                free.push(*task);
            }
            for l in placements {
                let key = (&l.machine, l.agent_epoch, l.attempt);
                placed.entry(key).or_insert_with(|| TaskFact::new(&job.id)).push(*task);
                if l.planned {
                    plans.push((l.machine.clone(), l.placement_id));
                }
            }
        }
        let mut facts: Vec<TaskFact> = [done, free].into_iter().filter(|f| !f.runs.is_empty()).collect();
        facts.extend(placed.into_iter().map(|((machine, agent_epoch, attempt), mut fact)| {
            fact.placement = Some(PlacementRecord { machine: machine.to_string(), agent_epoch, attempt });
            fact
        }));
        PendingFacts { facts, plans, taken }
    }
}

impl Leader {
    /// Something about a task is to be written: at once for a plan, else soon.
    pub(crate) fn record_change(&mut self, now: u64, id: &Id, task: u32, urgent_writes: bool) {
        self.store.change_counter += 1;
        let change_counter = self.store.change_counter;
        if let Some(job) = self.jobs.get_mut(id) {
            job.writes.tasks.insert(task, change_counter);
            job.writes.urgent |= urgent_writes;
            self.queue_write(now, id);
        }
    }

    /// Queues what a job has to write, its end included.
    pub(crate) fn queue_write(&mut self, now: u64, id: &Id) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if job.has_ended() {
            let since = *job.writes.ended_at.get_or_insert(now);
            // What is cancelled with another is known to be so from that one's record meanwhile.
            self.store.job_ends.insert((job.cancelled && !job.record.has_cancellation_key, since, id.clone()));
        } else if job.writes.urgent {
            self.store.urgent_writes.insert((Reverse(job.scheduling.priority), job.accepted_at, id.clone()));
        }
        if !job.writes.tasks.is_empty() && !job.writes.deferred {
            job.writes.deferred = true;
            self.store.deferred_writes.insert((now, id.clone()));
        }
    }

    /// Puts facts of a job into the transaction; false if not all fit.
    pub(crate) fn collect_facts(&mut self, ctx: &Context, f: &mut InFlightTransaction, id: &Id) -> bool {
        let most = ctx.limits.page_bytes();
        // All that is pending, or as much as finds room.
        let mut tasks = MOST_TASKS.min((most / RUN_BYTES).max(1));
        loop {
            let Some(job) = self.jobs.get(id) else { return true };
            if job.writes.tasks.is_empty() {
                return true;
            }
            let PendingFacts { facts, plans, taken } = PendingFacts::new(job, tasks);
            let bytes: usize = facts.iter().map(TaskFact::max_bytes).sum();
            let more = self.pages_needed(f, most, &facts);
            if f.has_space_for(more, 1 + more, bytes + f.drafted()) {
                if !plans.is_empty() {
                    f.require_job_version(job);
                }
                let all = taken.len() == job.writes.tasks.len();
                self.draft(f, most, id, facts, &taken);
                f.plans.extend(plans);
                return all;
            }
            if taken.len() <= 1 {
                return false;
            }
            tasks = taken.len() / 2;
        }
    }

    /// Where the next facts go: the page being put together, else the newest one if the first of
    /// them fits there. It may be larger than what may be written by now; then it stays as it is.
    fn first_page(&self, f: &InFlightTransaction, most: usize, first: usize) -> (bool, usize) {
        match f.drafts.last() {
            Some(d) => (true, d.bytes),
            None if self.store.pages.facts.is_empty() || self.store.pages.bytes + first <= most => {
                (false, self.store.pages.bytes)
            }
            None => (false, 0),
        }
    }

    /// How many pages more a transaction writes with these facts.
    fn pages_needed(&self, f: &InFlightTransaction, most: usize, facts: &[TaskFact]) -> usize {
        let (started, mut used) = self.first_page(f, most, facts.first().map_or(0, TaskFact::max_bytes));
        let mut more = usize::from(!started);
        for size in facts.iter().map(TaskFact::max_bytes) {
            if used + size > most && used > 0 {
                (more, used) = (more + 1, 0);
            }
            used += size;
        }
        more
    }

    /// Puts facts on the pages of a transaction.
    fn draft(
        &self,
        f: &mut InFlightTransaction,
        most: usize,
        id: &Id,
        facts: Vec<TaskFact>,
        taken: &BTreeMap<u32, u64>,
    ) {
        if f.drafts.is_empty() {
            let p = &self.store.pages;
            let number = p.newest.max(1);
            let (_, used) = self.first_page(f, most, facts.first().map_or(0, TaskFact::max_bytes));
            f.drafts.push(if used == p.bytes {
                PageDraft { number, facts: p.facts.clone(), bytes: p.bytes }
            } else {
                PageDraft { number: number + 1, ..PageDraft::default() }
            });
        }
        for fact in facts {
            let size = fact.max_bytes();
            let Some(last) = f.drafts.last() else { return };
            if last.bytes + size > most && !last.facts.is_empty() {
                let number = last.number + 1;
                f.drafts.push(PageDraft { number, ..PageDraft::default() });
            }
            let Some(last) = f.drafts.last_mut() else { return };
            let all = fact.runs.iter().flat_map(TaskRun::tasks);
            let tasks = all.filter_map(|p| taken.get(&p).map(|n| (p, *n))).collect();
            f.noted.push(RecordedFacts { job: id.clone(), tasks, page: last.number });
            last.bytes += size;
            last.facts.push(fact);
        }
    }

    /// Writes the drafted pages into the transaction.
    pub(crate) fn collect_pages(&mut self, f: &mut InFlightTransaction) {
        for d in std::mem::take(&mut f.drafts) {
            let version = self.store.pages.all.get(&d.number).map_or(Revision::ABSENT, |p| p.version);
            let v = json!(PageRecord { facts: d.facts.clone() });
            f.set(keys::task_page(d.number), version, v, d.bytes);
            f.pages.push(d);
        }
    }

    /// Room for removing pages: those that nothing refers to.
    pub(crate) fn collect_unreferenced_pages(&mut self, f: &mut InFlightTransaction) {
        let newest = self.store.pages.newest;
        for (n, p) in &self.store.pages.all {
            if *n < newest && p.live == 0 && p.version > Revision::ABSENT && f.has_space_for(1, 1, 100) {
                f.drop_key(keys::task_page(*n), p.version);
                f.dead_pages.push(*n);
            }
        }
    }

    /// An old page of which little still counts: that is to be written anew.
    pub(crate) fn compact_page(&mut self, now: u64) {
        if let Some(n) = self.store.pages.draining {
            if self.store.pages.all.get(&n).is_some_and(|p| p.live > 0) {
                return;
            }
            self.store.pages.draining = None;
        }
        let newest = self.store.pages.newest;
        let stale = |p: &Page| p.live > 0 && f64::from(p.live) < f64::from(p.total) * STALE_SHARE;
        let found = self.store.pages.all.iter().find(|(n, p)| **n < newest && stale(p)).map(|(n, _)| *n);
        let Some(n) = found else { return };
        self.store.pages.draining = Some(n);
        let jobs: Vec<Id> = self.store.pages.all.get(&n).map(|p| p.jobs.keys().cloned().collect()).unwrap_or_default();
        for id in jobs {
            let tasks: Vec<u32> = match self.jobs.get(&id) {
                Some(j) => {
                    (0..).zip(&j.writes.page_of_task).filter(|(_, at)| **at == n).map(|(task, _)| task).collect()
                }
                None => continue,
            };
            for task in tasks {
                self.record_change(now, &id, task, false);
            }
        }
    }

    /// The pages of a transaction are stored.
    pub(crate) fn apply_stored_pages(
        &mut self,
        pages: Vec<PageDraft>,
        noted: Vec<RecordedFacts>,
        dead: Vec<u32>,
        revision: Revision,
    ) {
        for d in pages {
            let total = d.facts.iter().map(TaskFact::task_count).sum();
            let page = self.store.pages.all.entry(d.number).or_default();
            (page.version, page.total) = (revision, total);
            if d.number >= self.store.pages.newest {
                (self.store.pages.newest, self.store.pages.facts, self.store.pages.bytes) =
                    (d.number, d.facts, d.bytes);
            }
        }
        for n in noted {
            let Some(job) = self.jobs.get_mut(&n.job) else { continue };
            if job.writes.page_of_task.is_empty() {
                job.writes.page_of_task = vec![0; job.spec.tasks as usize];
            }
            for (task, touched) in n.tasks {
                if job.writes.tasks.get(&task) == Some(&touched) {
                    job.writes.tasks.remove(&task);
                }
                let Some(at) = job.writes.page_of_task.get_mut(task as usize) else { continue };
                let old = std::mem::replace(at, n.page);
                self.store.pages.count(old, &n.job, -1);
                self.store.pages.count(n.page, &n.job, 1);
            }
        }
        for n in dead {
            self.store.pages.all.remove(&n);
        }
    }

    /// A job is over: what pages say of it counts no more.
    pub(crate) fn drop_facts(&mut self, job: &Job) {
        let on: BTreeSet<u32> = job.writes.page_of_task.iter().copied().filter(|p| *p > 0).collect();
        for n in on {
            if let Some(p) = self.store.pages.all.get_mut(&n)
                && let Some(count) = p.jobs.remove(&job.id)
            {
                p.live = p.live.saturating_sub(count);
            }
        }
    }

    /// Takes in the pages that earlier leaders wrote, in order.
    pub(crate) fn restore_pages(&mut self, ctx: &Context, pairs: Vec<KeyValue>) {
        let mut last: BTreeMap<Id, BTreeMap<u32, LastFact>> = BTreeMap::new();
        for pair in pairs {
            let Some(number) = keys::task_page_number(&pair.path) else { continue };
            let rec: PageRecord = serde_json::from_value(pair.v).unwrap_or_default();
            let total = rec.facts.iter().map(TaskFact::task_count).sum();
            self.store.pages.all.insert(number, Page { version: pair.version, total, ..Page::default() });
            // What it holds is not written again: a new page follows.
            self.store.pages.newest = self.store.pages.newest.max(number + 1);
            for fact in rec.facts {
                let Some(job) = self.jobs.get_mut(fact.job.as_str()) else { continue };
                let place = fact.placement.map(|p| (Id::from(p.machine.as_str()), p.agent_epoch, p.attempt));
                let facts = last.entry(job.id.clone()).or_default();
                for run in fact.runs {
                    for task in run.first..run.tasks().end.min(job.spec.tasks) {
                        if fact.done {
                            job.tasks.mark_done(task);
                        }
                        facts.insert(task, (number, place.clone()));
                    }
                }
            }
        }
        for (id, facts) in last {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.tasks.mark_started();
                job.writes.page_of_task = vec![0; job.spec.tasks as usize];
                for (task, (number, _)) in &facts {
                    job.writes.page_of_task[*task as usize] = *number;
                }
            }
            for (task, (number, place)) in facts {
                self.store.pages.count(number, &id, 1);
                if let Some((machine, agent_epoch, attempt)) = place {
                    self.restore_placement(ctx, &id, &machine, agent_epoch, attempt, task);
                }
            }
        }
    }
}

impl Pages {
    fn count(&mut self, number: u32, job: &Id, change: i32) {
        let Some(p) = self.all.get_mut(&number) else { return };
        let n = p.jobs.entry(job.clone()).or_default();
        *n = n.saturating_add_signed(change);
        if *n == 0 {
            p.jobs.remove(job);
        }
        p.live = p.live.saturating_add_signed(change);
    }
}
