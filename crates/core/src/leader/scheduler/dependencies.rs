//! Dependencies between jobs, which correspond to the stages of Skedulix with one deadline at the end.
//!
//! A job is released when all of its dependencies are done, and cancelled when any of them is cancelled. Both
//! outcomes are final and follow from committed records alone, so any leader decides the same. A job with a
//! cancelled dependency can never have been released: it has no placements and its final record is written
//! directly.

use crate::controller::Context;
use crate::event::Event;
use crate::io::{KvReply, KvRequest, RequestError};
use crate::leader::scheduler::dependency_graph::clear_inherited;
use crate::leader::{Leader, LeaderRequest};
use crate::model::{Id, Job};
use crate::records::{FinalRecord, keys};

/// Number of retries per heartbeat interval for a final record that could not be read.
const READ_RETRIES_PER_HEARTBEAT: u64 = 12;

impl Leader {
    /// Adds a job to the dependency graph. A dependency that is not among the unfinished jobs has ended, and its
    /// final record is read to learn how.
    pub(crate) fn add_dependencies(&mut self, ctx: &mut Context, id: &Id) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        // A started job has been released, and a cancelled job never will be.
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

    /// Removes a job that no longer exists from the dependents of its dependencies.
    pub(crate) fn remove_dependencies(&mut self, job: &Job) {
        for dependency in &job.open_dependencies {
            let last = self.scheduler.dependencies.remove(dependency, &job.id);
            if last && let Some(job) = self.jobs.get_mut(dependency) {
                clear_inherited(job);
            }
        }
    }

    /// Releases or cancels the dependents of a job whose committed outcome is known.
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
            // The waiting time of the job begins now, and the autoscaler counts its demand from now on.
            self.record_arrival(ctx.now.monotonic_ms, &dependent);
            self.scheduler.jobs_changed();
            self.scheduler.request_pass();
        }
    }

    /// Cancels the dependents of a job whose record says that its user cancelled it.
    pub(crate) fn job_cancelled(&mut self, ctx: &mut Context, id: &Id) {
        if let Some(dependents) = self.scheduler.dependencies.take_dependents(id) {
            self.cancel_dependents(ctx, dependents.into_iter().collect());
        }
    }

    /// Cancels these jobs, each of which has a cancelled dependency, and all jobs that depend on them.
    fn cancel_dependents(&mut self, ctx: &mut Context, mut unvisited: Vec<Id>) {
        while let Some(id) = unvisited.pop() {
            unvisited.extend(self.scheduler.dependencies.take_dependents(&id).into_iter().flatten());
            let Some(job) = self.jobs.get_mut(&id).filter(|job| !job.cancelled) else { continue };
            job.cancelled = true;
            ctx.emit(Event::JobCancelledByDependency { job: id.clone() });
            // The job never had a placement, so only its record has to be written.
            self.stop_job(ctx, &id);
            self.scheduler.jobs_changed();
        }
    }

    /// Handles the removal of a job's record by another controller, or by this one if the reply was lost: the
    /// outcome of the job is read if other jobs depend on it.
    pub(crate) fn job_record_removed(&mut self, now: u64, id: &Id) {
        if self.scheduler.dependencies.has_dependents(id) {
            self.scheduler.dependencies.request_final_record(now, id.clone());
        }
    }

    /// Sends the reads of final records that are due, up to a limit.
    pub(crate) fn read_final_records(&mut self, ctx: &mut Context) {
        for id in self.scheduler.dependencies.take_due_reads(ctx.now.monotonic_ms, &self.jobs) {
            let key = format!("{}{id}", keys::FINAL_RECORDS);
            let pending = self.pending_request(LeaderRequest::ReadFinalRecord(id));
            ctx.send_kv(KvRequest::Get { key }, pending);
        }
    }

    /// Handles the reply to a read of a final record. A record that was not found is not written yet, so the read
    /// is retried.
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
