//! Users, who submit jobs, poll their status, cancel some of them, and probe some at all controllers at once.

use super::Simulation;
use super::event::{Event, ProbeRequest, UserChange};
use super::network::PartitionScope;
use super::repetition::RepeatedKind;
use super::requests::Requester;
use super::temporary::TemporaryProbability;
use crate::agent::Agent;
use rand::Rng;
use shaleshunt_core::io::{Answer, Command};
use shaleshunt_wire::user::{JobKind, JobStatus, Submission};
use shaleshunt_wire::worker::split_task_name;
use std::collections::BTreeMap;

/// Interval of a user's status queries, in ms.
const POLL_INTERVAL_MS: u64 = 5_000;
/// Timeout after which a user repeats a request without an answer, in ms.
const ANSWER_TIMEOUT_MS: u64 = 5_001;
/// Delay before a user retries when no controller is reachable or an answer is unexpected, in ms.
const RETRY_MS: u64 = 1_000;
/// Interval at which a user checks whether the dependencies of a job allow its submission, in ms.
const DEPENDENCY_POLL_INTERVAL_MS: u64 = 100;
/// Number of rounds of requests to all controllers in a probe.
const PROBE_ROUNDS: u64 = 3;
/// Round of a probe in which the submission is repeated, counted from 0; the other rounds send status queries.
const RESUBMISSION_ROUND: u64 = 1;
/// Interval between the rounds of a probe, in ms.
const PROBE_INTERVAL_MS: u64 = 4;
/// Probability that a user also cancels a job that is probed and has not ended.
const PROBED_CANCELLATION_FRACTION: f64 = 0.2;
/// Period over which the cancellations of running jobs are spread at random, in ms.
const CANCELLATION_SPREAD_MS: u64 = 200;
/// Estimated run time that the tasks of a job must exceed for the fault that cancels running jobs, in seconds.
const MIN_CANCELLED_TASK_S: f64 = 5.0;
/// Maximum number of machines that hang when running jobs are cancelled.
const MAX_HANGING_MACHINES: usize = 8;

/// When a user submits a job that depends on others.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum SubmitWhen {
    /// When all dependencies have been accepted.
    #[default]
    DependenciesAccepted,
    /// When all dependencies have completed or been cancelled.
    DependenciesFinished,
}

/// A job as its user plans it.
#[derive(Debug, Clone)]
pub struct PlannedJob {
    /// The submission.
    pub spec: Submission,
    /// When the user submits the job, in ms.
    pub submit_at_ms: u64,
    /// When the user cancels the job, in ms; `None` if never.
    pub cancel_at_ms: Option<u64>,
    /// State of the dependencies for which the user waits before the submission.
    pub submit_when: SubmitWhen,
}

/// A user with one job: what the user knows of the job, and the next step.
pub struct User {
    /// The job as the user plans it.
    pub job: PlannedJob,
    /// Whether a controller has told the user the job's status, which means that the job is accepted.
    accepted: bool,
    /// When the user was told that the job has completed or been cancelled, in ms; `None` before that.
    pub ended_at_ms: Option<u64>,
    /// When the next step is due, in ms; steps that were scheduled for an earlier time are skipped.
    next_step_at_ms: u64,
    /// Whether the user has resubmitted the ended job, which must be answered with the final status.
    resubmitted: bool,
}

impl User {
    fn has_ended(&self) -> bool {
        self.ended_at_ms.is_some()
    }

    /// Whether the user knows that the job is accepted, but not that it has ended.
    pub(super) fn is_waiting(&self) -> bool {
        self.accepted && !self.has_ended()
    }

    /// Whether the job's tasks end by themselves, with an estimated run time above [`MIN_CANCELLED_TASK_S`].
    fn has_long_tasks(&self) -> bool {
        self.job.spec.kind == JobKind::Array && self.job.spec.estimated_run_s > MIN_CANCELLED_TASK_S
    }
}

/// The users, each with one job.
#[derive(Default)]
pub(super) struct Users {
    pub(super) by_job: BTreeMap<String, User>,
    /// Probability that a user cancels the job at the moment at which its last task completes.
    pub(super) completion_cancellation: TemporaryProbability,
    /// When users probe their jobs at all controllers; `None` without this fault.
    pub(super) probes: Option<ProbePeriod>,
}

/// A period in which users probe their jobs at all controllers.
pub(super) struct ProbePeriod {
    /// The job that is probed, also its copies; `None` for all jobs.
    pub(super) job: Option<String>,
    /// End of the period, in ms.
    pub(super) until_ms: u64,
}

impl ProbePeriod {
    fn includes(&self, now: u64, job: &str) -> bool {
        let is_copy_of = |name: &String| job.strip_prefix(name.as_str()).is_some_and(is_copy_suffix);
        now < self.until_ms && self.job.as_ref().is_none_or(is_copy_of)
    }
}

/// Whether this follows the name of a job in the names of the job and its copies: nothing, or `-` and a number.
fn is_copy_suffix(suffix: &str) -> bool {
    suffix.is_empty() || suffix.strip_prefix('-').is_some_and(|number| number.parse::<u32>().is_ok())
}

/// A controller's answer as a user reads it.
struct ReceivedAnswer {
    status: u16,
    job_status: Option<JobStatus>,
    /// Delay before the user's next request, in ms.
    retry_after_ms: u64,
}

impl ReceivedAnswer {
    fn from_answer(answer: &Answer) -> ReceivedAnswer {
        match answer {
            Answer::Job(status, view) => {
                ReceivedAnswer { status: *status, job_status: Some(view.status), retry_after_ms: POLL_INTERVAL_MS }
            }
            Answer::Error { status, retry_after, .. } => {
                let retry_after_s = u64::from(retry_after.unwrap_or(1)).max(1);
                ReceivedAnswer { status: *status, job_status: None, retry_after_ms: retry_after_s * 1000 }
            }
            _ => ReceivedAnswer { status: 500, job_status: None, retry_after_ms: RETRY_MS },
        }
    }

    fn has_ended(&self) -> bool {
        matches!(self.job_status, Some(JobStatus::Done | JobStatus::Cancelled))
    }

    /// Whether the controller has rejected the submission for good.
    fn is_rejection(&self) -> bool {
        matches!(self.status, 400 | 422)
    }
}

impl Simulation {
    /// Adds a user with a job, whose steps begin at the time of submission.
    pub fn add_user(&mut self, job: PlannedJob) {
        let id = job.spec.id.clone();
        let (submit_at_ms, cancel_at_ms) = (job.submit_at_ms, job.cancel_at_ms);
        let user = User { job, accepted: false, ended_at_ms: None, next_step_at_ms: 0, resubmitted: false };
        self.users.by_job.insert(id.clone(), user);
        self.queue.schedule(submit_at_ms, Event::UserStep(id.clone()));
        if let Some(at) = cancel_at_ms {
            self.queue.schedule(at, Event::UserStep(id));
        }
    }

    /// The users, by name of the job.
    pub fn users(&self) -> &BTreeMap<String, User> {
        &self.users.by_job
    }

    /// Sends a user's next request, a submission, status query or cancellation, to a random reachable controller.
    pub(super) fn user_step(&mut self, job: &str) {
        let now = self.queue.now();
        let controller = self.any_reachable_controller();
        if !self.may_submit(job) {
            self.queue.schedule(now + DEPENDENCY_POLL_INTERVAL_MS, Event::UserStep(job.into()));
            return;
        }
        let Some(user) = self.users.by_job.get_mut(job) else { return };
        if now < user.next_step_at_ms {
            return;
        }
        let Some(controller) = controller else {
            user.next_step_at_ms = now + RETRY_MS;
            self.queue.schedule(now + RETRY_MS, Event::UserStep(job.into()));
            return;
        };
        user.next_step_at_ms = now + ANSWER_TIMEOUT_MS;
        let id = self.requests.next_id();
        let Some(command) = self.next_command(job, id) else { return };
        self.requests.register(id, Requester::User { job: job.into(), asked_at_ms: now });
        self.queue.schedule(now + ANSWER_TIMEOUT_MS, Event::UserStep(job.into()));
        self.schedule_user_repetitions(job, controller, &command);
        self.step(controller, command);
    }

    fn schedule_user_repetitions(&mut self, job: &str, controller: usize, command: &Command) {
        let request = match command {
            Command::Submit(..) => UserChange::Submission,
            Command::Cancel(..) => UserChange::Cancellation,
            _ => return,
        };
        let event = || Event::RepeatedUserRequest { job: job.into(), controller, request };
        self.schedule_repetitions(RepeatedKind::UserChanges, event);
    }

    /// Delivers the copy of a user's request, whose answer nobody awaits.
    pub(super) fn repeat_user_request(&mut self, job: String, controller: usize, request: UserChange) {
        if !self.user_reaches(controller) {
            return;
        }
        let id = self.requests.next_id();
        let command = match request {
            UserChange::Submission => {
                let Some(user) = self.users.by_job.get(&job) else { return };
                Command::Submit(id, Box::new(user.job.spec.clone()))
            }
            UserChange::Cancellation => Command::Cancel(id, job),
        };
        self.step(controller, command);
    }

    fn any_reachable_controller(&mut self) -> Option<usize> {
        let reachable: Vec<usize> = (0..self.controllers.len()).filter(|index| self.user_reaches(*index)).collect();
        if reachable.is_empty() {
            return None;
        }
        Some(reachable[self.random.random_range(0..reachable.len())])
    }

    fn user_reaches(&self, controller: usize) -> bool {
        self.controllers[controller].is_running() && self.user_route_is_open(controller)
    }

    fn user_route_is_open(&self, controller: usize) -> bool {
        self.network.external_route(self.queue.now(), controller, PartitionScope::Everything).is_open()
    }

    /// Whether a job has been accepted, or its dependencies allow its submission.
    fn may_submit(&self, job: &str) -> bool {
        let Some(user) = self.users.by_job.get(job).filter(|user| !user.accepted) else { return true };
        let dependencies = user.job.spec.dependencies.iter().filter(|dependency| *dependency != job);
        let mut owners = dependencies.filter_map(|dependency| self.users.by_job.get(dependency));
        owners.all(|owner| match user.job.submit_when {
            SubmitWhen::DependenciesAccepted => owner.accepted,
            SubmitWhen::DependenciesFinished => owner.accepted && owner.has_ended(),
        })
    }

    fn next_command(&mut self, job: &str, id: u64) -> Option<Command> {
        let now = self.queue.now();
        let user = self.users.by_job.get_mut(job)?;
        let cancel_due = user.is_waiting() && user.job.cancel_at_ms.is_some_and(|at| now >= at);
        if !user.accepted || user.has_ended() && !user.resubmitted {
            user.resubmitted |= user.has_ended();
            self.checker.submissions.insert(job.into(), user.job.spec.clone());
            return Some(Command::Submit(id, Box::new(user.job.spec.clone())));
        }
        if cancel_due {
            self.checker.record_cancel_request(job);
            return Some(Command::Cancel(id, job.into()));
        }
        Some(Command::Status(id, job.into()))
    }

    pub(super) fn deliver_answer_to_user(&mut self, controller: usize, job: &str, asked_at_ms: u64, answer: &Answer) {
        if !self.user_route_is_open(controller) {
            return;
        }
        let now = self.queue.now();
        let received = ReceivedAnswer::from_answer(answer);
        self.checker.record_answer(now, asked_at_ms, job, received.status, received.job_status);
        let mut status_changed = false;
        if let Some(user) = self.users.by_job.get_mut(job) {
            user.next_step_at_ms = now + received.retry_after_ms;
            status_changed = !user.accepted && received.job_status.is_some();
            user.accepted |= received.job_status.is_some();
            if received.has_ended() && !user.has_ended() {
                status_changed = true;
                user.ended_at_ms = Some(now);
            }
            if !received.is_rejection() {
                self.queue.schedule(now + received.retry_after_ms, Event::UserStep(job.into()));
            }
        }
        if status_changed && self.users.probes.as_ref().is_some_and(|probes| probes.includes(now, job)) {
            self.probe_all_controllers(job);
            if self.random.random_bool(PROBED_CANCELLATION_FRACTION) {
                self.cancel_at(job, now + 1);
            }
        }
    }

    /// Schedules a probe: rounds of status queries to all controllers, with the submission repeated in one round.
    fn probe_all_controllers(&mut self, job: &str) {
        for round in 0..PROBE_ROUNDS {
            let request = if round == RESUBMISSION_ROUND { ProbeRequest::Resubmission } else { ProbeRequest::Status };
            for controller in 0..self.controllers.len() {
                let at = self.queue.now() + 1 + round * PROBE_INTERVAL_MS + self.random.random_range(0..3);
                self.queue.schedule(at, Event::UserProbe { job: job.into(), controller, request });
            }
        }
    }

    pub(super) fn user_probe(&mut self, job: String, controller: usize, request: ProbeRequest) {
        if !self.user_reaches(controller) {
            return;
        }
        let id = self.requests.next_id();
        let asked_at_ms = self.queue.now();
        self.requests.register(id, Requester::Probe { job: job.clone(), asked_at_ms });
        let user = self.users.by_job.get(&job).filter(|_| request == ProbeRequest::Resubmission);
        let command = match user {
            Some(user) => Command::Submit(id, Box::new(user.job.spec.clone())),
            None => Command::Status(id, job),
        };
        self.step(controller, command);
    }

    pub(super) fn deliver_answer_to_probe(&mut self, controller: usize, job: &str, asked_at_ms: u64, answer: &Answer) {
        if self.user_route_is_open(controller) {
            let received = ReceivedAnswer::from_answer(answer);
            self.checker.record_answer(self.queue.now(), asked_at_ms, job, received.status, received.job_status);
        }
    }

    /// Plans the cancellation of a job at the time `at_ms`, unless an earlier cancellation is planned.
    pub(super) fn cancel_at(&mut self, job: &str, at_ms: u64) {
        let Some(user) = self.users.by_job.get_mut(job).filter(|user| user.is_waiting()) else { return };
        let planned = user.job.cancel_at_ms.unwrap_or(at_ms);
        user.job.cancel_at_ms = Some(planned.min(at_ms));
        user.next_step_at_ms = 0;
        self.queue.schedule(at_ms, Event::UserStep(job.into()));
    }

    /// Has users cancel running jobs, and hangs some of the machines that run them.
    pub(super) fn cancel_running_jobs(&mut self, count: usize, hang_ms: u64) {
        let now = self.queue.now();
        let jobs = self.cancellable_jobs(count);
        if hang_ms > 0 {
            let runs_cancelled_job = |agent: &&mut Agent| {
                let mut tasks = agent.tasks.keys().filter_map(|task| split_task_name(task));
                tasks.any(|(job, _)| jobs.iter().any(|other| other == job))
            };
            let machines = self.agents.running.values_mut().filter(runs_cancelled_job);
            machines.take(MAX_HANGING_MACHINES).for_each(|agent| agent.faults.hung_until_ms = now + hang_ms);
        }
        for job in jobs {
            let at = now + self.random.random_range(0..CANCELLATION_SPREAD_MS);
            self.cancel_at(&job, at);
        }
    }

    /// The first jobs, up to `count`, that run, have long tasks and have no planned cancellation.
    fn cancellable_jobs(&self, count: usize) -> Vec<String> {
        let is_cancellable = |(job, user): &(&String, &User)| {
            user.is_waiting()
                && user.job.cancel_at_ms.is_none()
                && user.has_long_tasks()
                && self.checker.running_tasks(job) > 0
        };
        self.users.by_job.iter().filter(is_cancellable).take(count).map(|(job, _)| job.clone()).collect()
    }
}
