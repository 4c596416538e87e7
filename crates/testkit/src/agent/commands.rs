//! Commands to an agent: run, stop and forget attempts.

use super::{Agent, Task, TaskEvent};
use shaleshunt_wire::Room;
use shaleshunt_wire::user::Submission;
use shaleshunt_wire::worker::{Cause, Order, Orders, Report, TaskStatus, split_task_name};
use std::collections::BTreeMap;

/// An agent's answer to direct commands, with the report after them.
#[derive(Debug, Clone, PartialEq)]
pub enum CommandOutcome {
    /// They were executed.
    Executed(Report),
    /// Their fencing token or session is outdated; nothing was executed.
    Outdated(Report),
}

impl Agent {
    /// Executes direct commands if their fencing token and session are current.
    pub fn take_commands(&mut self, now: u64, commands: Orders, jobs: &BTreeMap<String, Submission>) -> CommandOutcome {
        if commands.token < self.token || commands.session != self.session {
            return CommandOutcome::Outdated(self.report());
        }
        self.reporting.changed |= commands.token > self.token;
        self.token = commands.token;
        for order in commands.orders {
            self.execute(now, order, jobs);
        }
        CommandOutcome::Executed(self.report())
    }

    pub(super) fn execute(&mut self, now: u64, order: Order, jobs: &BTreeMap<String, Submission>) {
        match order {
            Order::Run { task, attempt } => self.run(now, task, attempt, jobs),
            Order::Halt { task, attempt, .. } => self.stop(task, attempt),
            Order::Forget { task, attempt } => self.forget(&task, attempt),
        }
    }

    fn run(&mut self, now: u64, name: String, attempt: u64, jobs: &BTreeMap<String, Submission>) {
        if self.tasks.get(&name).is_some_and(|held| held.iter().any(|task| task.attempt == attempt)) {
            return;
        }
        self.reporting.changed = true;
        let job = split_task_name(&name).and_then(|(job, number)| jobs.get(job).filter(|spec| number < spec.tasks));
        let refusal = self.refusal(&name, job);
        let demand = job.map_or(Room::default(), Submission::need);
        let (image, image_gb) = job.map_or((String::new(), 0.0), |spec| (spec.image.clone(), spec.image_gb));
        let fetch_ms = if self.images.contains(&image) { 0.0 } else { image_gb / self.machine.fetch_gb_per_s * 1000.0 };
        let task = Task {
            attempt,
            status: if refusal.is_some() { TaskStatus::Exited } else { TaskStatus::Fetching },
            cause: refusal,
            demand,
            image,
            image_ready_at: now + fetch_ms as u64,
            ends_at: None,
            fails: false,
        };
        self.tasks.entry(name).or_default().push(task);
    }

    /// Why a task may not start here, if it may not.
    fn refusal(&self, name: &str, job: Option<&Submission>) -> Option<Cause> {
        let Some(spec) = job else { return Some(Cause::NoSuch) };
        let held = self.tasks.get(name);
        if held.is_some_and(|attempts| attempts.iter().any(|task| task.status != TaskStatus::Exited)) {
            return Some(Cause::InUse);
        }
        let mut used = Room::default();
        for task in self.unfinished_tasks() {
            used.add(&task.demand, 1);
        }
        used.add(&spec.need(), 1);
        (!self.machine.capacity.fits(&used)).then_some(Cause::NoRoom)
    }

    fn stop(&mut self, name: String, attempt: u64) {
        let attempts = self.tasks.get_mut(&name);
        let found = attempts.and_then(|attempts| attempts.iter_mut().find(|task| task.attempt == attempt));
        let Some(task) = found.filter(|task| task.status != TaskStatus::Exited) else { return };
        if task.status == TaskStatus::Running {
            self.events.push(TaskEvent::Stopped { task: name, attempt });
        }
        task.status = TaskStatus::Exited;
        task.cause = Some(Cause::Stopped);
        self.reporting.changed = true;
    }

    fn forget(&mut self, name: &str, attempt: u64) {
        let Some(attempts) = self.tasks.get_mut(name) else { return };
        attempts.retain(|task| task.attempt != attempt || task.status != TaskStatus::Exited);
        if attempts.is_empty() {
            self.tasks.remove(name);
        }
    }
}
