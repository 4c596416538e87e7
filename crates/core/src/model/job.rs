//! An unfinished job: its submission, the progress of its tasks and its unwritten changes.

use super::{Id, TaskProgress};
use crate::records::JobRecord;
use shaleshunt_wire::user::{JobKind, Priority, Submission};
use shaleshunt_wire::{Resources, Revision};
use std::collections::{BTreeMap, BTreeSet};

/// An unfinished job.
#[derive(Debug)]
pub struct Job {
    /// Name of the job.
    pub id: Id,
    /// The submission, without its dependencies.
    pub spec: Submission,
    /// Resources that one task takes.
    pub need: Resources,
    /// Number of the job's image (see `ImageNames`).
    pub image: u32,
    /// When the job was accepted (ms, wall clock).
    pub accepted_at_ms: u64,
    /// Whether the job has been cancelled.
    pub cancelled: bool,
    /// Dependencies without a committed outcome of done. While the set is not empty, no task of the job may be placed.
    pub open_dependencies: BTreeSet<Id>,
    /// State of the job's record in the key-value store.
    pub record: JobRecordState,
    /// Progress of the job's tasks.
    pub tasks: TaskProgress,
    /// Changes that are not yet written to the store.
    pub writes: PendingWrites,
    /// Inputs to the job's place in the queue.
    pub scheduling: SchedulingState,
    /// Failures of the job's tasks.
    pub failures: JobFailures,
}

/// State of a job's record in the key-value store.
#[derive(Debug)]
pub struct JobRecordState {
    /// Version of the record's key.
    pub version: Revision,
    /// Whether the cancellation has a key of its own, written together with the record.
    pub has_cancellation_key: bool,
    /// Whether the record changed and has not been read again. No task may be placed until then.
    pub stale: bool,
}

/// Changes of a job that are not yet written to the store.
#[derive(Debug, Default)]
pub struct PendingWrites {
    /// Tasks with an unwritten change, each with the number of its newest change; higher is newer.
    pub tasks: BTreeMap<u32, u64>,
    /// Whether a new placement is among the changes. Its start command must wait for the commit.
    pub urgent: bool,
    /// Since when the end of the job waits to be written (ms, monotonic); absent while the job has not ended.
    pub ended_at_ms: Option<u64>,
    /// Whether the job is in the queue of deferred outcomes.
    pub deferred: bool,
    /// Task page that holds the newest written change, by task number; 0 for none. Empty before the first write.
    pub page_of_task: Vec<u32>,
}

/// Inputs to a job's place in the queue.
#[derive(Debug)]
pub struct SchedulingState {
    /// No task is placed before this time (ms, monotonic).
    pub not_before_ms: u64,
    /// Whether the job's tasks are offloaded to rented machines.
    pub offloaded: bool,
    /// When the last dependency completed, or the job was accepted if it has none (ms, wall clock). All waiting times
    /// count from here; the deadline counts from acceptance.
    pub ready_at_ms: u64,
    /// Latest end that the deadlines of dependent jobs allow (ms, wall clock); absent if none of them has a deadline.
    pub inherited_deadline_ms: Option<u64>,
    /// The job's own priority, or that of a dependent job if higher.
    pub priority: Priority,
}

/// Failures of a job's tasks.
#[derive(Debug, Default)]
pub struct JobFailures {
    /// Failures since a task last succeeded.
    pub count: u32,
    /// Machines on which any task of the job has failed so far.
    pub machines: BTreeSet<Id>,
}

impl Job {
    /// Builds a job from its record.
    pub fn new(mut rec: JobRecord, version: Revision) -> Job {
        let dependencies = std::mem::take(&mut rec.submission.dependencies);
        Job {
            id: rec.submission.id.as_str().into(),
            need: rec.submission.task_resources(),
            image: 0,
            accepted_at_ms: rec.accepted_at_ms,
            cancelled: rec.cancelled,
            open_dependencies: dependencies.into_iter().map(Id::from).collect(),
            record: JobRecordState { version, has_cancellation_key: rec.has_cancellation_key, stale: false },
            tasks: TaskProgress::new(rec.submission.tasks),
            writes: PendingWrites::default(),
            scheduling: SchedulingState {
                not_before_ms: 0,
                offloaded: false,
                ready_at_ms: rec.accepted_at_ms,
                inherited_deadline_ms: None,
                priority: rec.submission.priority,
            },
            failures: JobFailures::default(),
            spec: rec.submission,
        }
    }

    /// Whether the job is a service, which runs until cancelled.
    pub fn is_service(&self) -> bool {
        self.spec.kind == JobKind::Service
    }

    /// Whether the job is a gang, whose tasks run all together or not at all.
    pub fn is_gang(&self) -> bool {
        self.spec.kind == JobKind::Gang
    }

    /// The first task from `from` on that is neither done nor placed.
    pub fn next_free_task(&self, from: u32) -> Option<u32> {
        self.tasks.next_free_task(from)
    }

    /// Whether the job still waits for dependencies.
    pub fn is_blocked(&self) -> bool {
        !self.open_dependencies.is_empty()
    }

    /// Number of tasks that are neither done nor placed; 0 while the job waits for dependencies.
    pub fn waiting_task_count(&self) -> u32 {
        if self.is_blocked() {
            return 0;
        }
        self.tasks.free_count()
    }

    /// Whether all tasks are done; never true for a service.
    pub fn is_complete(&self) -> bool {
        !self.is_service() && self.tasks.done_count() >= self.spec.tasks
    }

    /// Maximum number of tasks in one zone.
    pub fn max_tasks_per_zone(&self) -> u32 {
        if self.spec.spread_zones { self.spec.tasks.div_ceil(2) } else { u32::MAX }
    }

    /// Deadline (ms, wall clock): the earlier of the job's own and the one inherited from dependent jobs.
    pub fn deadline(&self) -> Option<u64> {
        let own = self.spec.deadline_s.map(|d| self.accepted_at_ms + (d * 1000.0) as u64);
        own.into_iter().chain(self.scheduling.inherited_deadline_ms).min()
    }

    /// Marks a task as done, after its placement was released. Returns false if the task was done already.
    pub fn mark_done(&mut self, task: u32) -> bool {
        self.tasks.mark_done(task)
    }

    /// Whether the job has ended: all tasks are done, or the job is cancelled and all its placements are proven gone.
    pub fn has_ended(&self) -> bool {
        self.is_complete() || self.cancelled && !self.tasks.has_placements()
    }
}
