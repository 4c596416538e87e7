//! An unfinished job: what was submitted, how far its tasks are, what is to be written about it.

use super::{Id, TaskProgress};
use crate::records::JobRecord;
use shaleshunt_wire::user::{JobKind, Priority, Submission};
use shaleshunt_wire::{Resources, Revision};
use std::collections::{BTreeMap, BTreeSet};

/// An unfinished job.
#[derive(Debug)]
pub struct Job {
    /// Name.
    pub id: Id,
    /// What was submitted, without its dependencies.
    pub spec: Submission,
    /// Room that a task takes.
    pub need: Resources,
    /// Number of its image.
    pub image: u32,
    /// When it was accepted (ms, time of day).
    pub accepted_at_ms: u64,
    /// It has been cancelled.
    pub cancelled: bool,
    /// Jobs that it depends on and of which no committed outcome is known to be done. While there is
    /// one, no task of it may be placed.
    pub open_dependencies: BTreeSet<Id>,
    /// Its record in the state service.
    pub record: JobRecordState,
    /// How far its tasks are.
    pub tasks: TaskProgress,
    /// What is to be written about it.
    pub writes: PendingWrites,
    /// What decides its place in the queue.
    pub scheduling: SchedulingState,
    /// What failed.
    pub failures: JobFailures,
}

/// What is known of a job's record in the state service.
#[derive(Debug)]
pub struct JobRecordState {
    /// Version of the record.
    pub version: Revision,
    /// The cancellation has a key of its own, written with the record.
    pub has_cancellation_key: bool,
    /// The record changed and has not been read again: nothing may be placed.
    pub stale: bool,
}

/// What waits to be written about a job.
#[derive(Debug, Default)]
pub struct PendingWrites {
    /// Tasks with an unwritten fact, and how new that fact is.
    pub tasks: BTreeMap<u32, u64>,
    /// A new placement is among them, which nothing may follow before it is committed.
    pub urgent: bool,
    /// Since when its end waits to be written.
    pub ended_at_ms: Option<u64>,
    /// It is among the jobs whose outcomes wait to be written.
    pub deferred: bool,
    /// By task, the page with the last fact about it, 0 for none; empty before the first.
    pub page_of_task: Vec<u32>,
}

/// What decides a job's place in the queue.
#[derive(Debug)]
pub struct SchedulingState {
    /// Nothing is placed before this time.
    pub not_before_ms: u64,
    /// Its tasks go to rented machines.
    pub offloaded: bool,
    /// When its last dependency was done, or else when it was accepted: all times but the deadline
    /// count from here.
    pub ready_at_ms: u64,
    /// When it has to be done for the sake of jobs that depend on it.
    pub inherited_deadline_ms: Option<u64>,
    /// Its priority, or that of a job that depends on it if that is higher.
    pub priority: Priority,
}

/// Failures of a job's tasks.
#[derive(Debug, Default)]
pub struct JobFailures {
    /// How many since a task last succeeded.
    pub count: u32,
    /// Machines on which tasks failed at any time.
    pub machines: BTreeSet<Id>,
}

impl Job {
    /// A job from its record.
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

    /// Whether it runs until cancelled.
    pub fn is_service(&self) -> bool {
        self.spec.kind == JobKind::Service
    }

    /// Whether its tasks run together or not at all.
    pub fn is_gang(&self) -> bool {
        self.spec.kind == JobKind::Gang
    }

    /// The first task that is neither done nor placed, from `from` on.
    pub fn next_free_task(&self, from: u32) -> Option<u32> {
        self.tasks.next_free_task(from)
    }

    /// Whether it waits for other jobs.
    pub fn is_blocked(&self) -> bool {
        !self.open_dependencies.is_empty()
    }

    /// Tasks neither done nor placed that may be placed.
    pub fn waiting_task_count(&self) -> u32 {
        if self.is_blocked() {
            return 0;
        }
        self.tasks.free_count()
    }

    /// Whether all tasks are done.
    pub fn is_complete(&self) -> bool {
        !self.is_service() && self.tasks.done_count() >= self.spec.tasks
    }

    /// Most tasks that may be in one zone.
    pub fn max_tasks_per_zone(&self) -> u32 {
        if self.spec.spread_zones { self.spec.tasks.div_ceil(2) } else { u32::MAX }
    }

    /// Deadline as time of day: its own, or what the jobs that depend on it leave.
    pub fn deadline(&self) -> Option<u64> {
        let own = self.spec.deadline_s.map(|d| self.accepted_at_ms + (d * 1000.0) as u64);
        own.into_iter().chain(self.scheduling.inherited_deadline_ms).min()
    }

    /// Notes that a task is done; false if that was known. Its placement has been released.
    pub fn mark_done(&mut self, task: u32) -> bool {
        self.tasks.mark_done(task)
    }

    /// Whether it has ended: all tasks done, or cancelled and proven off all machines.
    pub fn has_ended(&self) -> bool {
        self.is_complete() || self.cancelled && !self.tasks.has_placements()
    }
}
