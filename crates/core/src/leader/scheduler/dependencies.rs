//! Jobs that depend on others: the paper's stages, with one deadline at the end.
//!
//! A job is released when the committed outcome of each of its dependencies is done, and is cancelled
//! with any of them. Both are final and both follow from committed records alone, so any leader reaches
//! the same end: a job with a cancelled dependency can never have been released, has nothing on any
//! machine, and goes straight to its final record.

use crate::controller::Context;
use crate::event::Event;
use crate::io::{KvReply, KvRequest, RequestError};
use crate::leader::scheduler::dependency_graph::clear_inherited;
use crate::leader::{Leader, LeaderRequest};
use crate::model::{Id, Job};
use crate::records::{FinalRecord, keys};

/// A final record that could not be read is asked for again after this part of a heartbeat interval.
const READ_RETRIES_PER_HEARTBEAT: u64 = 12;

impl Leader {
    /// Enters a job into the dependency graph. What is not among the unfinished has ended: its final
    /// record tells how.
    pub(crate) fn add_dependencies(&mut self, ctx: &mut Context, id: &Id) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        // A started job was released once; a cancelled one never will be.
        if job.cancelled || job.tasks.has_started() {
            job.open_dependencies.clear();
            return;
        }
        let mut dependency_cancelled = false;
        for dependency in job.open_dependencies.clone() {
            match self.jobs.get(&dependency) {
                Some(job) => dependency_cancelled |= job.cancelled,
                None => {
                    self.scheduler.dependencies.request_final_record(ctx.now.monotonic_ms, dependency.clone());
                }
            }
            self.scheduler.dependencies.add(dependency, id.clone());
        }
        if dependency_cancelled {
            self.cancel_dependents(ctx, vec![id.clone()]);
        }
    }

    /// A job is no longer there: what it depended on has one dependent less.
    pub(crate) fn remove_dependencies(&mut self, job: &Job) {
        for dependency in &job.open_dependencies {
            let last = self.scheduler.dependencies.remove(dependency, &job.id);
            if last && let Some(job) = self.jobs.get_mut(dependency) {
                clear_inherited(job);
            }
        }
    }

    /// A job's committed end is known: its dependents are released or cancelled.
    pub(crate) fn dependency_ended(&mut self, ctx: &mut Context, id: &str, end: &FinalRecord) {
        let Some(dependents) = self.scheduler.dependencies.take_dependents(id) else { return };
        if end.cancelled {
            self.cancel_dependents(ctx, dependents.into_iter().collect());
            return;
        }
        for dependent in dependents {
            let Some(job) = self.jobs.get_mut(&dependent) else { continue };
            job.open_dependencies.remove(id);
            job.scheduling.ready_at_ms = job.scheduling.ready_at_ms.max(end.ended_at_ms);
            if job.cancelled || job.is_blocked() {
                continue;
            }
            ctx.emit(Event::JobDependenciesMet { job: dependent.clone() });
            // Its times begin now, and so does the demand that it stands for.
            self.record_arrival(ctx.now.monotonic_ms, &dependent);
            self.scheduler.jobs_changed();
            self.scheduler.request_pass();
        }
    }

    /// A job was cancelled by its user, as its committed record says: so are its dependents.
    pub(crate) fn job_cancelled(&mut self, ctx: &mut Context, id: &Id) {
        if let Some(dependents) = self.scheduler.dependencies.take_dependents(id) {
            self.cancel_dependents(ctx, dependents.into_iter().collect());
        }
    }

    /// Cancels these jobs, of which each has a cancelled dependency, and all that depend on them.
    fn cancel_dependents(&mut self, ctx: &mut Context, mut unvisited: Vec<Id>) {
        while let Some(id) = unvisited.pop() {
            unvisited.extend(self.scheduler.dependencies.take_dependents(&id).into_iter().flatten());
            let Some(job) = self.jobs.get_mut(&id).filter(|job| !job.cancelled) else { continue };
            job.cancelled = true;
            ctx.emit(Event::JobCancelledByDependency { job: id.clone() });
            // Nothing of it was ever placed, so it only has to be written.
            self.stop_job(ctx, &id);
            self.scheduler.jobs_changed();
        }
    }

    /// The record of a job was removed by another controller, or by this one and its answer was lost: how the
    /// job ended is read if others depend on it.
    pub(crate) fn job_record_removed(&mut self, now: u64, id: &Id) {
        if self.scheduler.dependencies.has_dependents(id) {
            self.scheduler.dependencies.request_final_record(now, id.clone());
        }
    }

    /// Reads final records that are due, a few at a time.
    pub(crate) fn read_final_records(&mut self, ctx: &mut Context) {
        for id in self.scheduler.dependencies.take_due_reads(ctx.now.monotonic_ms, &self.jobs) {
            let key = format!("{}{id}", keys::FINAL_RECORDS);
            let wait = self.pending_request(LeaderRequest::ReadFinalRecord(id));
            ctx.send_kv(KvRequest::Get { key }, wait);
        }
    }

    /// A final record was read. One that was not found is on its way to its key yet.
    pub(crate) fn handle_final_record(&mut self, ctx: &mut Context, id: Id, result: Result<KvReply, RequestError>) {
        self.scheduler.dependencies.read_answered();
        let Ok(KvReply::Found(pair)) = result else {
            let retry_at = ctx.now.monotonic_ms + ctx.settings.heartbeat_interval_ms() / READ_RETRIES_PER_HEARTBEAT;
            self.scheduler.dependencies.request_final_record(retry_at, id);
            return;
        };
        match serde_json::from_value::<FinalRecord>(pair.value) {
            Ok(end) => self.dependency_ended(ctx, &id, &end),
            Err(_) => ctx.emit(Event::RecordUnreadable { key: pair.key }),
        }
    }
}
