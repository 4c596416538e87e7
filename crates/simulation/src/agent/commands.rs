//! Execution of a controller's commands by an agent: run, stop and forget attempts.

use super::{Agent, TaskAttempt, TaskEvent};
use shaleshunt_core::io::DirectCommandsReply;
use shaleshunt_wire::user::Submission;
use shaleshunt_wire::worker::{DirectCommands, ExitCause, TaskCommand, TaskStatus, split_task_name};
use shaleshunt_wire::{Attempt, Resources};
use std::collections::BTreeMap;

impl Agent {
    /// Executes direct commands, unless their fencing token is outdated or they are for another agent epoch.
    pub fn execute_direct_commands(
        &mut self,
        now: u64,
        commands: DirectCommands,
        jobs: &BTreeMap<String, Submission>,
    ) -> DirectCommandsReply {
        if commands.token < self.token || commands.agent_epoch != self.agent_epoch {
            return DirectCommandsReply::Fenced(self.heartbeat());
        }
        self.heartbeats.changed |= commands.token > self.token;
        self.token = commands.token;
        for command in commands.commands {
            self.execute(now, command, jobs);
        }
        DirectCommandsReply::Executed(self.heartbeat())
    }

    pub(super) fn execute(&mut self, now: u64, command: TaskCommand, jobs: &BTreeMap<String, Submission>) {
        match command {
            TaskCommand::Run { task, attempt } => self.run(now, task, attempt, jobs),
            TaskCommand::Stop { task, attempt, .. } => self.stop(task, attempt),
            TaskCommand::Forget { task, attempt } => self.forget(&task, attempt),
        }
    }

    fn run(&mut self, now: u64, name: String, attempt: Attempt, jobs: &BTreeMap<String, Submission>) {
        if self.tasks.get(&name).is_some_and(|attempts| attempts.iter().any(|task| task.attempt == attempt)) {
            return;
        }
        self.heartbeats.changed = true;
        let job = split_task_name(&name).and_then(|(job, number)| jobs.get(job).filter(|spec| number < spec.tasks));
        let rejection_cause = self.rejection_cause(&name, job);
        let demand = job.map_or(Resources::default(), Submission::task_resources);
        let (image, image_gb) = job.map_or((String::new(), 0.0), |spec| (spec.image.clone(), spec.image_gb));
        let fetch_ms = if self.images.contains(&image) { 0.0 } else { image_gb / self.machine.fetch_gb_per_s * 1000.0 };
        let task = TaskAttempt {
            attempt,
            status: if rejection_cause.is_some() { TaskStatus::Exited } else { TaskStatus::Fetching },
            cause: rejection_cause,
            demand,
            image,
            image_ready_at_ms: now + fetch_ms as u64,
            ends_at_ms: None,
            fails: false,
        };
        self.tasks.entry(name).or_default().push(task);
    }

    /// Why the agent rejects a new attempt of a task; `None` if the attempt may start.
    fn rejection_cause(&self, name: &str, job: Option<&Submission>) -> Option<ExitCause> {
        let Some(spec) = job else { return Some(ExitCause::UnknownTask) };
        let attempts = self.tasks.get(name);
        if attempts.is_some_and(|attempts| attempts.iter().any(|task| task.status != TaskStatus::Exited)) {
            return Some(ExitCause::AttemptConflict);
        }
        let mut used = Resources::default();
        for task in self.unfinished_tasks() {
            used.add(&task.demand, 1);
        }
        used.add(&spec.task_resources(), 1);
        (!self.machine.capacity.fits(&used)).then_some(ExitCause::InsufficientResources)
    }

    fn stop(&mut self, name: String, attempt: Attempt) {
        let attempts = self.tasks.get_mut(&name);
        let found = attempts.and_then(|attempts| attempts.iter_mut().find(|task| task.attempt == attempt));
        let Some(task) = found.filter(|task| task.status != TaskStatus::Exited) else { return };
        if task.status == TaskStatus::Running {
            self.events.push(TaskEvent::Stopped { task: name, attempt });
        }
        task.status = TaskStatus::Exited;
        task.cause = Some(ExitCause::Stopped);
        self.heartbeats.changed = true;
    }

    fn forget(&mut self, name: &str, attempt: Attempt) {
        let Some(attempts) = self.tasks.get_mut(name) else { return };
        attempts.retain(|task| task.attempt != attempt || task.status != TaskStatus::Exited);
        if attempts.is_empty() {
            self.tasks.remove(name);
        }
    }
}
