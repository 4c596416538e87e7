//! Jobs that await others: the paper's stages, with one deadline at the end.
//!
//! A job that awaits others is released when the committed outcome of each of them is done, and is
//! cancelled with any of them. Both are final and both follow from committed records alone, so any
//! leader reaches the same end: a job of which something that it awaits was cancelled can never have
//! been released, has nothing on any machine, and goes straight to its final record.
//!
//! What a last job's due time leaves passes back through the jobs that it needs, and so does its
//! priority.

use crate::controller::Context;
use crate::event::Event;
use crate::io::*;
use crate::leader::{Leader, LeaderRequest};
use crate::model::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Final records asked for at once.
const ASKING: u32 = 4;

/// What is known of the jobs that others await.
#[derive(Debug, Default)]
pub(crate) struct DependencyGraph {
    /// Waiting jobs by what they await.
    after: BTreeMap<Id, BTreeSet<Id>>,
    /// Jobs whose final record is to be read, not before a time.
    ask: VecDeque<(u64, Id)>,
    asking: u32,
}

impl Leader {
    /// Ties a job to those that it awaits. What is not among the unfinished has ended: its final
    /// record tells how.
    pub(crate) fn add_dependencies(&mut self, ctx: &mut Context, id: &Id) {
        let Some(job) = self.jobs.get(id) else { return };
        // Cancelled itself, or a task of it was placed once, which its release came before.
        if job.cancelled || job.tasks.started {
            if let Some(job) = self.jobs.get_mut(id) {
                job.open_dependencies.clear();
            }
            return;
        }
        let mut cancelled_by_dependency = false;
        for need in job.open_dependencies.clone() {
            match self.jobs.get(&need) {
                Some(other) => cancelled_by_dependency |= other.cancelled,
                None => self.scheduler.dependencies.ask.push_back((ctx.now.monotonic_ms, need.clone())),
            }
            self.scheduler.dependencies.after.entry(need).or_default().insert(id.clone());
        }
        if cancelled_by_dependency {
            self.cancel_dependents(ctx, vec![id.clone()]);
        }
    }

    /// A job is no longer there: what it awaits has one less to tell.
    pub(crate) fn remove_dependencies(&mut self, job: &Job) {
        for need in &job.open_dependencies {
            if let Some(list) = self.scheduler.dependencies.after.get_mut(need) {
                list.remove(&job.id);
                if list.is_empty() {
                    self.scheduler.dependencies.after.remove(need);
                    if let Some(before) = self.jobs.get_mut(need) {
                        before.scheduling.inherited_deadline = None;
                        before.scheduling.priority = before.spec.priority;
                    }
                }
            }
        }
    }

    /// A job's committed end is known: those that await it are released or cancelled.
    pub(crate) fn dependency_ended(&mut self, ctx: &mut Context, id: &str, end: &FinalRecord) {
        let Some(waiting) = self.scheduler.dependencies.after.remove(id) else { return };
        if end.x {
            self.cancel_dependents(ctx, waiting.into_iter().collect());
            return;
        }
        for w in waiting {
            let Some(job) = self.jobs.get_mut(&w) else { continue };
            job.open_dependencies.remove(id);
            job.scheduling.ready_at = job.scheduling.ready_at.max(end.t);
            if job.cancelled || job.is_blocked() {
                continue;
            }
            ctx.emit(Event::JobDependenciesMet { job: w.clone() });
            // Its times begin now, and so does the demand that it stands for.
            self.record_arrival(ctx.now.monotonic_ms, &w);
            self.scheduler.ranks_outdated = true;
            self.scheduler.pass_wanted = true;
        }
    }

    /// A job was cancelled by its user, as its committed record says: so are those that await it.
    pub(crate) fn cancelled(&mut self, ctx: &mut Context, id: &Id) {
        if let Some(waiting) = self.scheduler.dependencies.after.remove(id) {
            self.cancel_dependents(ctx, waiting.into_iter().collect());
        }
    }

    /// Cancels jobs of which something that they await was cancelled, and all that await these.
    fn cancel_dependents(&mut self, ctx: &mut Context, mut list: Vec<Id>) {
        while let Some(id) = list.pop() {
            list.extend(self.scheduler.dependencies.after.remove(&id).into_iter().flatten());
            if let Some(job) = self.jobs.get_mut(&id)
                && !job.cancelled
            {
                job.cancelled = true;
                ctx.emit(Event::JobCancelledByDependency { job: id.clone() });
                // Nothing of it was ever placed, so it only has to be written.
                self.stop_job(ctx, &id);
                self.scheduler.ranks_outdated = true;
            }
        }
    }

    /// The record of a job that others await went away by another's hand, or by ours unheard.
    pub(crate) fn dependency_vanished(&mut self, now: u64, id: &Id) {
        if self.scheduler.dependencies.after.contains_key(id) {
            self.scheduler.dependencies.ask.push_back((now, id.clone()));
        }
    }

    /// Reads final records that are wanted, a few at a time.
    pub(crate) fn read_final_records(&mut self, ctx: &mut Context) {
        for _ in 0..self.scheduler.dependencies.ask.len() {
            let Some((at, id)) = self.scheduler.dependencies.ask.pop_front() else { return };
            if self.jobs.contains_key(&id) || !self.scheduler.dependencies.after.contains_key(&id) {
                // It will be seen to end, or nobody awaits it any more.
                continue;
            }
            if at > ctx.now.monotonic_ms || self.scheduler.dependencies.asking >= ASKING {
                self.scheduler.dependencies.ask.push_back((at, id));
                continue;
            }
            self.scheduler.dependencies.asking += 1;
            let key = format!("{}{id}", keys::FINAL_RECORDS);
            let wait = self.wait(LeaderRequest::End(id));
            ctx.send_kv(KvRequest::Get { key }, wait);
        }
    }

    /// A final record was read.
    pub(crate) fn handle_final_record(&mut self, ctx: &mut Context, id: Id, result: Result<KvReply, RequestError>) {
        self.scheduler.dependencies.asking = self.scheduler.dependencies.asking.saturating_sub(1);
        let again = ctx.now.monotonic_ms + ctx.settings.heartbeat_interval_ms() / 12;
        match result {
            Ok(KvReply::Found(pair)) => match serde_json::from_value::<FinalRecord>(pair.v) {
                Ok(end) => self.dependency_ended(ctx, &id, &end),
                Err(_) => ctx.emit(Event::RecordUnreadable { key: pair.path }),
            },
            // Its own record is still on its way to us, or it could not be read.
            _ => self.scheduler.dependencies.ask.push_back((again, id)),
        }
    }

    /// What a job takes on the longest path after those that it awaits: its image, its longest tasks,
    /// and the time until its end is known.
    fn path_ms(&self, ctx: &Context, job: &Job) -> u64 {
        ((self.estimate(job) + self.image_fetch_s(ctx, job) + ctx.settings.heartbeat_interval_s / 4.0) * 1000.0) as u64
    }

    /// Passes due times and priorities back from jobs to those that they await, the last first.
    pub(crate) fn propagate_deadlines(&mut self, ctx: &Context) {
        // How many that await a job have not been looked at yet.
        let mut open: BTreeMap<Id, usize> = BTreeMap::new();
        for (id, waiting) in &self.scheduler.dependencies.after {
            let Some(job) = self.jobs.get_mut(id) else { continue };
            job.scheduling.inherited_deadline = None;
            job.scheduling.priority = job.spec.priority;
            open.insert(id.clone(), waiting.len());
        }
        let all: BTreeSet<Id> = self.scheduler.dependencies.after.values().flatten().cloned().collect();
        let mut last: Vec<Id> = all.into_iter().filter(|id| !open.contains_key(id)).collect();
        while let Some(id) = last.pop() {
            let Some(job) = self.jobs.get(&id) else { continue };
            let by = job.deadline().map(|due| due.saturating_sub(self.path_ms(ctx, job)));
            let priority = job.scheduling.priority;
            for need in job.open_dependencies.clone() {
                if let Some(before) = self.jobs.get_mut(&need) {
                    before.scheduling.inherited_deadline =
                        before.scheduling.inherited_deadline.into_iter().chain(by).min();
                    before.scheduling.priority = before.scheduling.priority.max(priority);
                }
                if let Some(n) = open.get_mut(&need) {
                    *n -= 1;
                    if *n == 0 {
                        last.push(need);
                    }
                }
            }
        }
    }

    /// Later stages follow one that is sent to rented machines, as in the paper.
    pub(crate) fn dependents_of(&self, id: &Id) -> Vec<Id> {
        let mut found: Vec<Id> = Vec::new();
        let mut list = vec![id.clone()];
        while let Some(id) = list.pop() {
            for w in self.scheduler.dependencies.after.get(&id).into_iter().flatten() {
                if self.jobs.get(w).is_some_and(|j| !j.scheduling.offloaded) && !found.contains(w) {
                    found.push(w.clone());
                    list.push(w.clone());
                }
            }
        }
        found
    }
}
