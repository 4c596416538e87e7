//! Changes on a machine over time: image fetches complete, tasks start and exit, the machine lease expires.

use super::{Agent, HeartbeatState, MachineFaults, TaskAttempt, TaskEvent};
use shaleshunt_wire::FencingToken;
use shaleshunt_wire::user::{JobKind, Submission};
use shaleshunt_wire::worker::{ExitCause, TaskStatus, split_task_name};
use std::collections::{BTreeMap, BTreeSet};

/// Minimum run time of a task, in seconds.
const MIN_RUN_TIME_S: f64 = 0.1;

/// Properties of jobs that decide how an agent simulates their tasks.
pub struct JobFacts<'a> {
    /// Submissions, by name of the job.
    pub jobs: &'a BTreeMap<String, Submission>,
    /// Names of the tasks that have completed before: a further run ends as soon as it has started.
    pub completed: &'a BTreeSet<String>,
    /// Names of the jobs whose tasks fail on every machine.
    pub failing: &'a BTreeSet<String>,
}

impl Agent {
    /// Advances the machine to `now`: expires the machine lease, then starts and ends tasks that are due.
    pub fn advance(&mut self, now: u64, facts: &JobFacts) {
        if now > self.lease_renewed_at_ms + self.lease_ms {
            self.expire_lease(now);
        }
        for (name, attempts) in &mut self.tasks {
            let Some((job, _)) = split_task_name(name) else { continue };
            let Some(spec) = facts.jobs.get(job) else { continue };
            for task in attempts {
                if task.status == TaskStatus::Fetching && now >= task.image_ready_at_ms {
                    self.images.insert(task.image.clone());
                    self.events.push(TaskEvent::Started { task: name.clone(), attempt: task.attempt });
                    task.start(now, spec, facts.completed.contains(name), &self.faults);
                    self.heartbeats.changed = true;
                }
                let fails = task.fails || facts.failing.contains(job);
                if task.status == TaskStatus::Running && (fails || task.ends_at_ms.is_some_and(|end| now >= end)) {
                    task.exit(if fails { ExitCause::Error } else { ExitCause::Done });
                    if !fails {
                        self.events.push(TaskEvent::Completed { task: name.clone() });
                    }
                    self.events.push(TaskEvent::Stopped { task: name.clone(), attempt: task.attempt });
                    self.heartbeats.changed = true;
                }
            }
        }
    }

    /// Stops all tasks because the machine is gone; returns all changes that the checker has not observed.
    pub fn terminate(&mut self) -> Vec<TaskEvent> {
        self.stop_all_tasks();
        std::mem::take(&mut self.events)
    }

    /// Restarts the machine, which is up again at `up_at_ms`: its tasks have stopped.
    pub fn restart(&mut self, up_at_ms: u64) {
        self.stop_all_tasks();
        self.heartbeats = HeartbeatState { next_at_ms: up_at_ms, ..HeartbeatState::default() };
        self.faults.hung_until_ms = up_at_ms;
    }

    /// Restarts the machine like [`Agent::restart`]; its agent begins the next agent epoch, without the fencing token
    /// that it had seen.
    pub fn restart_in_next_epoch(&mut self, up_at_ms: u64) {
        self.expire_lease(up_at_ms);
        self.token = FencingToken::default();
        self.restart(up_at_ms);
    }

    /// Stops all tasks and begins a new agent epoch.
    fn expire_lease(&mut self, now: u64) {
        self.stop_all_tasks();
        self.agent_epoch = self.agent_epoch.next();
        self.sequence = 0;
        self.lease_renewed_at_ms = now;
        self.heartbeats.changed = true;
    }

    fn stop_all_tasks(&mut self) {
        for (name, attempts) in std::mem::take(&mut self.tasks) {
            for task in attempts.iter().filter(|task| task.status == TaskStatus::Running) {
                self.events.push(TaskEvent::Stopped { task: name.clone(), attempt: task.attempt });
            }
        }
    }
}

impl TaskAttempt {
    fn start(&mut self, now: u64, spec: &Submission, completed_before: bool, faults: &MachineFaults) {
        self.status = TaskStatus::Running;
        let mut run_s = if completed_before { 0.0 } else { spec.estimated_run_s.max(MIN_RUN_TIME_S) };
        if now < faults.slow_until_ms {
            run_s *= f64::from(faults.slow_factor);
        }
        self.ends_at_ms = (spec.kind != JobKind::Service).then_some(now + (run_s * 1000.0) as u64);
        self.fails = now < faults.fails_tasks_until_ms;
    }

    fn exit(&mut self, cause: ExitCause) {
        self.status = TaskStatus::Exited;
        self.cause = Some(cause);
    }
}
