//! Checks the protocol's rules during a simulation. The checker observes only the answers to users and the events on
//! machines, not the internal state of controllers. Each rule has its own module; this one keeps the observations.
//!
//! All times are in ms since the simulation started.

mod dependencies;
mod final_status;
mod forgotten;
mod invented;
mod left_waiting;
mod placement;
mod quota;
mod ran_cancelled;
mod ran_twice;
mod violation;

pub use ran_cancelled::LateStarts;
pub use violation::{Rule, Violation};

use crate::agent::{Machine, TaskEvent};
use left_waiting::Wait;
use shaleshunt_wire::user::{JobStatus, Submission};
use shaleshunt_wire::worker::split_task_name;
use shaleshunt_wire::{Attempt, to_milli};
use std::collections::{BTreeMap, BTreeSet};

/// An attempt of a task that is on a machine.
#[derive(Debug, Clone)]
struct Placement {
    machine: Machine,
    attempt: Attempt,
}

/// The observations about a job.
#[derive(Debug, Default)]
struct JobHistory {
    /// Time of the first answer that shows the job as accepted.
    accepted_at: Option<u64>,
    /// Whether the user has requested the cancellation.
    cancel_requested: bool,
    /// Time of the first answer that shows the job as cancelled.
    cancelled_at: Option<u64>,
    /// Time of the first answer that shows the job as done.
    done_at: Option<u64>,
    /// HTTP status of a permanent refusal of the submission before any acceptance.
    refused_with: Option<u16>,
    /// Time of the latest answer that shows a status of the job.
    answered_at: Option<u64>,
    /// Longest time between two such answers, in ms; `None` before the first.
    longest_answer_gap_ms: Option<u64>,
    /// Whether the current time without an answer has been reported as a violation.
    answer_gap_reported: bool,
    /// Time of the first start of any task.
    first_start_at: Option<u64>,
    /// Time of the latest completion of any task.
    last_completion_at: Option<u64>,
    /// Current wait despite free capacity; `None` while the job does not wait or has no room.
    wait: Option<Wait>,
}

/// An answer to a user's request that shows the status of a job.
#[derive(Debug, Clone, Copy)]
struct UserAnswer<'a> {
    now: u64,
    /// Time at which the user sent the request.
    asked_at: u64,
    job: &'a str,
    status: JobStatus,
}

impl UserAnswer<'_> {
    /// Whether the status is not final.
    fn is_open(&self) -> bool {
        matches!(self.status, JobStatus::Queued | JobStatus::Running)
    }

    /// Whether the user sent the request after the given earlier answer, if there was one.
    fn asked_after(&self, earlier_answer_at: Option<u64>) -> bool {
        earlier_answer_at.is_some_and(|at| at < self.asked_at)
    }
}

/// The observations so far, and the violations found in them.
#[derive(Default)]
pub struct Checker {
    /// Submissions that users have sent at least once, by job.
    pub submissions: BTreeMap<String, Submission>,
    /// Limits of teams in CPUs; 0 or absent for none.
    pub cpu_limits: BTreeMap<String, f64>,
    /// Names of completed tasks.
    pub completed_tasks: BTreeSet<String>,
    /// Violations in the order of their detection.
    pub violations: Vec<Violation>,
    /// Number of task starts.
    pub starts: u32,
    /// Task starts after a confirmed cancellation of the job.
    pub starts_after_cancellation: LateStarts,
    /// Time after a confirmed cancellation within which all tasks of the job must stop, in ms.
    cancel_ms: u64,
    /// Attempts that are on machines, by task.
    placements: BTreeMap<String, Vec<Placement>>,
    /// CPUs of each team's tasks that are on machines, in thousandths.
    used_millicores: BTreeMap<String, i64>,
    /// Observations by job.
    histories: BTreeMap<String, JobHistory>,
}

impl Checker {
    /// Creates a checker for a site where tasks of cancelled jobs must stop within `cancel_ms`.
    pub fn new(cancel_ms: u64) -> Checker {
        Checker { cancel_ms, ..Checker::default() }
    }

    fn report(&mut self, now: u64, rule: Rule, description: String) {
        self.violations.push(Violation { rule, at_ms: now, description });
    }

    /// Records the start, stop or completion of a task on a machine, and checks the rules for starts.
    pub fn record_task_event(&mut self, now: u64, machine: &Machine, event: &TaskEvent) {
        match event {
            TaskEvent::Started { task, attempt } => self.task_started(now, machine, task, *attempt),
            TaskEvent::Stopped { task, attempt } => self.task_stopped(machine, task, *attempt),
            TaskEvent::Completed { task } => {
                let job = task.split('/').next().unwrap_or_default();
                self.history(job).last_completion_at = Some(now);
                self.completed_tasks.insert(task.clone());
            }
        }
    }

    fn task_started(&mut self, now: u64, machine: &Machine, task: &str, attempt: Attempt) {
        self.starts += 1;
        let Some((job, _)) = split_task_name(task) else { return };
        self.history(job).first_start_at.get_or_insert(now);
        let description = || format!("{task} runs, but nobody submitted it");
        let Some(spec) = self.submitted(now, job, description) else { return };
        self.check_runs_once(now, task, machine);
        self.check_not_cancelled(now, job, task, machine);
        self.check_dependencies_completed(now, task, &spec);
        self.check_placement(now, task, machine, &spec);
        let placement = Placement { machine: machine.clone(), attempt };
        self.placements.entry(task.into()).or_default().push(placement);
        *self.used_millicores.entry(spec.team.clone()).or_default() += to_milli(spec.cores);
        self.check_quota(now, &spec.team);
    }

    fn task_stopped(&mut self, machine: &Machine, task: &str, attempt: Attempt) {
        let Some(placements) = self.placements.get_mut(task) else { return };
        let before = placements.len();
        placements.retain(|placement| placement.machine.id != machine.id || placement.attempt != attempt);
        let removed = (before - placements.len()) as i64;
        if placements.is_empty() {
            self.placements.remove(task);
        }
        if let Some(spec) = split_task_name(task).and_then(|(job, _)| self.submissions.get(job)) {
            *self.used_millicores.entry(spec.team.clone()).or_default() -= to_milli(spec.cores) * removed;
        }
    }

    /// Records that a user requests the cancellation of a job.
    pub fn record_cancel_request(&mut self, job: &str) {
        self.history(job).cancel_requested = true;
    }

    /// Records an answer to a user's request about a job and checks it. The answer has an HTTP status, and the status
    /// of the job if the response holds one.
    ///
    /// Several requests can be in flight at once. An answer may therefore show an older state than an answer that
    /// arrived before it, but not an older state than an answer that had arrived before the request was sent.
    pub fn record_answer(&mut self, now: u64, asked_at: u64, job: &str, http_status: u16, status: Option<JobStatus>) {
        match (http_status, status) {
            (404, _) => self.check_known(now, asked_at, job),
            (400 | 422, _) => self.submission_refused(now, job, http_status),
            (200 | 201, Some(status)) => self.job_answered(UserAnswer { now, asked_at, job, status }),
            _ => {}
        }
    }

    fn job_answered(&mut self, answer: UserAnswer) {
        let UserAnswer { now, job, status, .. } = answer;
        let Some(spec) = self.submitted(now, job, || format!("{job} is {status:?}")) else { return };
        self.record_answer_time(now, job);
        let dependencies = self.all_dependencies(job);
        self.check_status_follows(&answer, &dependencies);
        self.check_cancelled_with_dependencies(&answer, &dependencies);
        self.check_done(&answer, &spec);
        self.check_dependencies_submitted(now, &spec);
        if status == JobStatus::Cancelled {
            self.history(job).cancelled_at.get_or_insert(now);
        }
    }

    /// Updates the times of answers about a job.
    fn record_answer_time(&mut self, now: u64, job: &str) {
        let history = self.history(job);
        history.accepted_at.get_or_insert(now);
        let gap_ms = now.saturating_sub(history.answered_at.unwrap_or(now));
        history.longest_answer_gap_ms = Some(gap_ms.max(history.longest_answer_gap_ms.unwrap_or(0)));
        history.answered_at = Some(now);
        history.answer_gap_reported = false;
    }

    /// The observations about a job, which are created on first use.
    fn history(&mut self, job: &str) -> &mut JobHistory {
        if !self.histories.contains_key(job) {
            self.histories.insert(job.into(), JobHistory::default());
        }
        self.histories.entry(job.into()).or_default()
    }

    /// The observations about a job, if there are any.
    fn known_history(&self, job: &str) -> Option<&JobHistory> {
        self.histories.get(job)
    }

    /// Whether all tasks of a job have completed.
    pub fn all_tasks_completed(&self, spec: &Submission) -> bool {
        (0..spec.tasks).all(|number| self.completed_tasks.contains(&format!("{}/{number}", spec.id)))
    }

    /// Whether a task is on a machine.
    pub fn is_running(&self, task: &str) -> bool {
        self.placements.get(task).is_some_and(|placements| !placements.is_empty())
    }

    /// CPUs of a team's tasks that are on machines, in thousandths.
    pub fn used_millicores(&self, team: &str) -> i64 {
        self.used_millicores.get(team).copied().unwrap_or(0)
    }

    /// The attempts on machines of each of a job's tasks.
    fn placements_of(&self, job: &str) -> impl Iterator<Item = &Vec<Placement>> {
        // The end of the range is `JOB0`, since `0` follows `/` in ASCII.
        let names = format!("{job}/")..format!("{job}0");
        self.placements.range(names).map(|(_, placements)| placements)
    }

    /// Number of attempts of a job's tasks that are on machines.
    pub fn running_tasks(&self, job: &str) -> usize {
        self.placements_of(job).map(Vec::len).sum()
    }

    /// Whether a user was told that a job is done.
    pub fn is_done(&self, job: &str) -> bool {
        self.known_history(job).is_some_and(|history| history.done_at.is_some())
    }

    /// Whether a user was told that a job is cancelled.
    pub fn is_cancelled(&self, job: &str) -> bool {
        self.known_history(job).is_some_and(|history| history.cancelled_at.is_some())
    }

    /// Number of jobs whose users were told that they are cancelled.
    pub fn cancellations(&self) -> usize {
        self.histories.values().filter(|history| history.cancelled_at.is_some()).count()
    }

    /// Time of the first start of any of a job's tasks, in ms; `None` if none has started.
    pub fn first_start_at(&self, job: &str) -> Option<u64> {
        self.known_history(job)?.first_start_at
    }

    /// Time of the latest completion of any of a job's tasks, in ms; `None` if none has completed.
    pub fn last_completion_at(&self, job: &str) -> Option<u64> {
        self.known_history(job)?.last_completion_at
    }

    /// Longest time between two answers about a job, in ms; `None` if there was no answer.
    pub fn longest_answer_gap_ms(&self, job: &str) -> Option<u64> {
        self.known_history(job)?.longest_answer_gap_ms
    }

    /// HTTP status of the refusal of a job's submission; `None` if it was not refused.
    pub fn refused_with(&self, job: &str) -> Option<u16> {
        self.known_history(job)?.refused_with
    }
}
