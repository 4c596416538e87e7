//! Jobs that await others: the paper's stages, with one deadline at the end.
//!
//! A job that awaits others is released when the committed outcome of each of them is done, and is
//! cancelled with any of them. Both are final and both follow from committed records alone, so any
//! leader reaches the same end: a job of which something that it awaits was cancelled can never have
//! been released, has nothing on any machine, and goes straight to its final record.
//!
//! What a last job's due time leaves passes back through the jobs that it needs, and so does its
//! priority.

use crate::event::Event;
use crate::io::*;
use crate::leader::{LeadWait, Leader};
use crate::model::*;
use crate::node::Ctx;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Final records asked for at once.
const ASKING: u32 = 4;

/// What is known of the jobs that others await.
#[derive(Debug, Default)]
pub(crate) struct Stages {
    /// Waiting jobs by what they await.
    after: BTreeMap<Id, BTreeSet<Id>>,
    /// Jobs whose final record is to be read, not before a time.
    ask: VecDeque<(u64, Id)>,
    asking: u32,
}

impl Leader {
    /// Ties a job to those that it awaits. What is not among the unfinished has ended: its final
    /// record tells how.
    pub(crate) fn link(&mut self, ctx: &mut Ctx, id: &Id) {
        let Some(job) = self.jobs.get(id) else { return };
        // Cancelled itself, or a task of it was placed once, which its release came before.
        if job.aborted || job.begun {
            if let Some(job) = self.jobs.get_mut(id) {
                job.needs.clear();
            }
            return;
        }
        let mut doomed = false;
        for need in job.needs.clone() {
            match self.jobs.get(&need) {
                Some(other) => doomed |= other.aborted,
                None => self.stages.ask.push_back((ctx.now.mono, need.clone())),
            }
            self.stages.after.entry(need).or_default().insert(id.clone());
        }
        if doomed {
            self.doom(ctx, vec![id.clone()]);
        }
    }

    /// A job is no longer there: what it awaits has one less to tell.
    pub(crate) fn unlink(&mut self, job: &Job) {
        for need in &job.needs {
            if let Some(list) = self.stages.after.get_mut(need) {
                list.remove(&job.id);
                if list.is_empty() {
                    self.stages.after.remove(need);
                    if let Some(before) = self.jobs.get_mut(need) {
                        before.wanted_by = None;
                        before.urgency = before.spec.urgency;
                    }
                }
            }
        }
    }

    /// A job's committed end is known: those that await it are released or cancelled.
    pub(crate) fn end_known(&mut self, ctx: &mut Ctx, id: &str, end: &FinalRecord) {
        let Some(waiting) = self.stages.after.remove(id) else { return };
        if end.x {
            self.doom(ctx, waiting.into_iter().collect());
            return;
        }
        for w in waiting {
            let Some(job) = self.jobs.get_mut(&w) else { continue };
            job.needs.remove(id);
            job.ready_at = job.ready_at.max(end.t);
            if job.aborted || job.awaits() {
                continue;
            }
            ctx.emit(Event::JobDependenciesMet { job: w.clone() });
            // Its times begin now, and so does the demand that it stands for.
            self.arrived(ctx.now.mono, &w);
            self.ranks_old = true;
            self.replan = true;
        }
    }

    /// A job was cancelled by its user, as its committed record says: so are those that await it.
    pub(crate) fn cancelled(&mut self, ctx: &mut Ctx, id: &Id) {
        if let Some(waiting) = self.stages.after.remove(id) {
            self.doom(ctx, waiting.into_iter().collect());
        }
    }

    /// Cancels jobs of which something that they await was cancelled, and all that await these.
    fn doom(&mut self, ctx: &mut Ctx, mut list: Vec<Id>) {
        while let Some(id) = list.pop() {
            list.extend(self.stages.after.remove(&id).into_iter().flatten());
            if let Some(job) = self.jobs.get_mut(&id)
                && !job.aborted
            {
                job.aborted = true;
                ctx.emit(Event::JobCancelledByDependency { job: id.clone() });
                // Nothing of it was ever placed, so it only has to be written.
                self.stop_job(ctx, &id);
                self.ranks_old = true;
            }
        }
    }

    /// The record of a job that others await went away by another's hand, or by ours unheard.
    pub(crate) fn vanished(&mut self, now: u64, id: &Id) {
        if self.stages.after.contains_key(id) {
            self.stages.ask.push_back((now, id.clone()));
        }
    }

    /// Reads final records that are wanted, a few at a time.
    pub(crate) fn ask_ends(&mut self, ctx: &mut Ctx) {
        for _ in 0..self.stages.ask.len() {
            let Some((at, id)) = self.stages.ask.pop_front() else { return };
            if self.jobs.contains_key(&id) || !self.stages.after.contains_key(&id) {
                // It will be seen to end, or nobody awaits it any more.
                continue;
            }
            if at > ctx.now.mono || self.stages.asking >= ASKING {
                self.stages.ask.push_back((at, id));
                continue;
            }
            self.stages.asking += 1;
            let key = format!("{}{id}", keys::FINALS);
            let wait = self.wait(LeadWait::End(id));
            ctx.state(StateRequest::Get { key }, wait);
        }
    }

    /// A final record was read.
    pub(crate) fn end_read(&mut self, ctx: &mut Ctx, id: Id, result: Result<StateReply, IoError>) {
        self.stages.asking = self.stages.asking.saturating_sub(1);
        let again = ctx.now.mono + ctx.set.report_ms() / 12;
        match result {
            Ok(StateReply::Found(pair)) => match serde_json::from_value::<FinalRecord>(pair.v) {
                Ok(end) => self.end_known(ctx, &id, &end),
                Err(_) => ctx.emit(Event::RecordUnreadable { key: pair.path }),
            },
            // Its own record is still on its way to us, or it could not be read.
            _ => self.stages.ask.push_back((again, id)),
        }
    }

    /// What a job takes on the longest path after those that it awaits: its image, its longest tasks,
    /// and the time until its end is known.
    fn path_ms(&self, ctx: &Ctx, job: &Job) -> u64 {
        ((self.estimate(job) + self.fetch_s(ctx, job) + ctx.set.report_s / 4.0) * 1000.0) as u64
    }

    /// Passes due times and priorities back from jobs to those that they await, the last first.
    pub(crate) fn pass_back(&mut self, ctx: &Ctx) {
        // How many that await a job have not been looked at yet.
        let mut open: BTreeMap<Id, usize> = BTreeMap::new();
        for (id, waiting) in &self.stages.after {
            let Some(job) = self.jobs.get_mut(id) else { continue };
            job.wanted_by = None;
            job.urgency = job.spec.urgency;
            open.insert(id.clone(), waiting.len());
        }
        let all: BTreeSet<Id> = self.stages.after.values().flatten().cloned().collect();
        let mut last: Vec<Id> = all.into_iter().filter(|id| !open.contains_key(id)).collect();
        while let Some(id) = last.pop() {
            let Some(job) = self.jobs.get(&id) else { continue };
            let by = job.due().map(|due| due.saturating_sub(self.path_ms(ctx, job)));
            let urgency = job.urgency;
            for need in job.needs.clone() {
                if let Some(before) = self.jobs.get_mut(&need) {
                    before.wanted_by = before.wanted_by.into_iter().chain(by).min();
                    before.urgency = before.urgency.max(urgency);
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
    pub(crate) fn later_stages(&self, id: &Id) -> Vec<Id> {
        let mut found: Vec<Id> = Vec::new();
        let mut list = vec![id.clone()];
        while let Some(id) = list.pop() {
            for w in self.stages.after.get(&id).into_iter().flatten() {
                if self.jobs.get(w).is_some_and(|j| !j.sent_out) && !found.contains(w) {
                    found.push(w.clone());
                    list.push(w.clone());
                }
            }
        }
        found
    }
}
