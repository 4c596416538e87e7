//! Users: they submit jobs, follow them, cancel some, and look at some from every side.

use super::Simulation;
use super::event::{Event, ProbeRequest};
use super::network::CutSide;
use super::requests::Requester;
use super::window::Chance;
use crate::agent::Agent;
use rand::Rng;
use shaleshunt_core::io::{Answer, Command};
use shaleshunt_wire::user::{JobKind, JobStatus, Submission};
use shaleshunt_wire::worker::split_task_name;
use std::collections::BTreeMap;

/// Interval at which a user asks about a job, in ms.
const POLL_MS: u64 = 5_000;
/// How long a user waits for an answer, in ms.
const ANSWER_TIMEOUT_MS: u64 = 5_001;
/// Pause before a user tries again, in ms.
const RETRY_MS: u64 = 1_000;
/// Interval at which a user looks whether what a job depends on has been accepted, in ms.
const DEPENDENCY_POLL_MS: u64 = 100;
/// Rounds of questions to every controller when a user looks from every side.
const PROBE_ROUNDS: u64 = 3;
/// The round in which the submission is repeated.
const RESUBMISSION_ROUND: u64 = 1;
/// Time between these rounds, in ms.
const PROBE_INTERVAL_MS: u64 = 4;
/// Share of the jobs that users cancel when they look from every side.
const CANCELLED_WHEN_PROBED: f64 = 0.2;
/// Time within which running jobs are cancelled together, in ms.
const CANCELLATION_SPREAD_MS: u64 = 200;
/// Jobs with shorter tasks are not cancelled together, in seconds.
const MIN_CANCELLED_TASK_S: f64 = 5.0;
/// Machines that hang when running jobs are cancelled.
const HANGING_MACHINES: usize = 8;

/// When a user submits a job that depends on others.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum SubmitWhen {
    /// When they have been accepted.
    #[default]
    DependenciesAccepted,
    /// When they are over.
    DependenciesOver,
}

/// A job as its user plans it.
#[derive(Debug, Clone)]
pub struct PlannedJob {
    /// The job.
    pub spec: Submission,
    /// When it is submitted, in ms.
    pub submit_at: u64,
    /// When it is cancelled, in ms.
    pub cancel_at: Option<u64>,
    /// Whether its user waits for what it depends on.
    pub submit_when: SubmitWhen,
}

/// What a user has learnt of the job and does next.
pub struct User {
    /// The job.
    pub job: PlannedJob,
    accepted: bool,
    /// When the user was told that the job is over, in ms.
    pub ended_at: Option<u64>,
    /// When the next step is due, in ms; what was scheduled earlier is void.
    next_step_at: u64,
    /// Whether the job was submitted again after its end, which must show the end.
    resubmitted: bool,
}

impl User {
    fn is_over(&self) -> bool {
        self.ended_at.is_some()
    }

    /// Whether the user has been told that the job is accepted, and not yet that it is over.
    pub(super) fn is_waiting(&self) -> bool {
        self.accepted && !self.is_over()
    }

    /// Whether the job has tasks that end by themselves, but not soon.
    fn has_long_tasks(&self) -> bool {
        self.job.spec.kind == JobKind::Array && self.job.spec.estimated_run_s > MIN_CANCELLED_TASK_S
    }
}

/// The users, each with one job.
#[derive(Default)]
pub(super) struct Users {
    pub(super) by_job: BTreeMap<String, User>,
    /// How many cancel their job at the moment at which it completes.
    pub(super) cancels_at_completion: Chance,
    /// Until when users look from every side, in ms.
    pub(super) probe_until: u64,
}

/// What a controller's answer tells a user.
struct Told {
    status: u16,
    job_status: Option<JobStatus>,
    /// When to ask again, in ms.
    pause_ms: u64,
}

impl Told {
    fn by(answer: &Answer) -> Told {
        match answer {
            Answer::Job(status, view) => Told { status: *status, job_status: Some(view.status), pause_ms: POLL_MS },
            Answer::Error { status, retry_after, .. } => {
                let pause_s = u64::from(retry_after.unwrap_or(1)).max(1);
                Told { status: *status, job_status: None, pause_ms: pause_s * 1000 }
            }
            _ => Told { status: 500, job_status: None, pause_ms: RETRY_MS },
        }
    }

    fn is_over(&self) -> bool {
        matches!(self.job_status, Some(JobStatus::Done | JobStatus::Cancelled))
    }

    /// Whether the submission will never be accepted.
    fn is_rejection(&self) -> bool {
        matches!(self.status, 400 | 422)
    }
}

impl Simulation {
    /// Adds a user.
    pub fn add_user(&mut self, job: PlannedJob) {
        let id = job.spec.id.clone();
        let (submit_at, cancel_at) = (job.submit_at, job.cancel_at);
        let user = User { job, accepted: false, ended_at: None, next_step_at: 0, resubmitted: false };
        self.users.by_job.insert(id.clone(), user);
        self.queue.schedule(submit_at, Event::UserStep(id.clone()));
        if let Some(at) = cancel_at {
            self.queue.schedule(at, Event::UserStep(id));
        }
    }

    /// The users, by job.
    pub fn users(&self) -> &BTreeMap<String, User> {
        &self.users.by_job
    }

    /// A user submits a job, asks about it or cancels it, at any controller that can be reached.
    pub(super) fn user_step(&mut self, job: &str) {
        let now = self.queue.now();
        let controller = self.any_reachable_controller();
        if !self.may_submit(job) {
            self.queue.schedule(now + DEPENDENCY_POLL_MS, Event::UserStep(job.into()));
            return;
        }
        let Some(user) = self.users.by_job.get_mut(job) else { return };
        if now < user.next_step_at {
            return;
        }
        let Some(controller) = controller else {
            user.next_step_at = now + RETRY_MS;
            self.queue.schedule(now + RETRY_MS, Event::UserStep(job.into()));
            return;
        };
        user.next_step_at = now + ANSWER_TIMEOUT_MS;
        let id = self.requests.next_id();
        let Some(command) = self.next_command(job, id) else { return };
        self.requests.await_answer(id, Requester::User { job: job.into(), asked_at: now });
        self.queue.schedule(now + ANSWER_TIMEOUT_MS, Event::UserStep(job.into()));
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
        self.network.outside_route(self.queue.now(), controller, CutSide::Everything).is_open()
    }

    /// Whether what a job depends on has come far enough for its user.
    fn may_submit(&self, job: &str) -> bool {
        let Some(user) = self.users.by_job.get(job).filter(|user| !user.accepted) else { return true };
        let others = user.job.spec.dependencies.iter().filter(|needed| *needed != job);
        let mut known = others.filter_map(|needed| self.users.by_job.get(needed));
        known.all(|needed| match user.job.submit_when {
            SubmitWhen::DependenciesAccepted => needed.accepted,
            SubmitWhen::DependenciesOver => needed.accepted && needed.is_over(),
        })
    }

    fn next_command(&mut self, job: &str, id: u64) -> Option<Command> {
        let now = self.queue.now();
        let user = self.users.by_job.get_mut(job)?;
        let cancels = user.is_waiting() && user.job.cancel_at.is_some_and(|at| now >= at);
        if !user.accepted || user.is_over() && !user.resubmitted {
            user.resubmitted |= user.is_over();
            self.checker.submissions.insert(job.into(), user.job.spec.clone());
            return Some(Command::Submit(id, Box::new(user.job.spec.clone())));
        }
        if cancels {
            self.checker.record_cancel_request(job);
            return Some(Command::Cancel(id, job.into()));
        }
        Some(Command::Status(id, job.into()))
    }

    pub(super) fn answer_user(&mut self, controller: usize, job: &str, asked_at: u64, answer: &Answer) {
        if !self.user_route_is_open(controller) {
            return;
        }
        let now = self.queue.now();
        let told = Told::by(answer);
        self.checker.record_answer(now, asked_at, job, told.status, told.job_status);
        let mut has_news = false;
        if let Some(user) = self.users.by_job.get_mut(job) {
            user.next_step_at = now + told.pause_ms;
            has_news = !user.accepted && told.job_status.is_some();
            user.accepted |= told.job_status.is_some();
            if told.is_over() && !user.is_over() {
                has_news = true;
                user.ended_at = Some(now);
            }
            if !told.is_rejection() {
                self.queue.schedule(now + told.pause_ms, Event::UserStep(job.into()));
            }
        }
        if has_news && now < self.users.probe_until {
            self.probe_all_controllers(job);
            if self.random.random_bool(CANCELLED_WHEN_PROBED) {
                self.cancel_at(job, now + 1);
            }
        }
    }

    /// A user asks at all controllers again and again, and repeats the submission.
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
        let asked_at = self.queue.now();
        self.requests.await_answer(id, Requester::Probe { job: job.clone(), asked_at });
        let user = self.users.by_job.get(&job).filter(|_| request == ProbeRequest::Resubmission);
        let command = match user {
            Some(user) => Command::Submit(id, Box::new(user.job.spec.clone())),
            None => Command::Status(id, job),
        };
        self.step(controller, command);
    }

    pub(super) fn answer_probe(&mut self, controller: usize, job: &str, asked_at: u64, answer: &Answer) {
        if self.user_route_is_open(controller) {
            let told = Told::by(answer);
            self.checker.record_answer(self.queue.now(), asked_at, job, told.status, told.job_status);
        }
    }

    /// A user decides to cancel a job at a time, unless another time before it is planned.
    pub(super) fn cancel_at(&mut self, job: &str, at: u64) {
        let Some(user) = self.users.by_job.get_mut(job).filter(|user| user.is_waiting()) else { return };
        let planned = user.job.cancel_at.unwrap_or(at);
        user.job.cancel_at = Some(planned.min(at));
        user.next_step_at = 0;
        self.queue.schedule(at, Event::UserStep(job.into()));
    }

    /// Users cancel jobs that run, while some of the machines under them hang.
    pub(super) fn cancel_running_jobs(&mut self, count: usize, hang_ms: u64) {
        let now = self.queue.now();
        let jobs = self.running_jobs(count);
        if hang_ms > 0 {
            let runs_one = |agent: &&mut Agent| {
                let mut tasks = agent.tasks.keys().filter_map(|task| split_task_name(task));
                tasks.any(|(job, _)| jobs.iter().any(|other| other == job))
            };
            let machines = self.agents.running.values_mut().filter(runs_one);
            machines.take(HANGING_MACHINES).for_each(|agent| agent.faults.hangs_until = now + hang_ms);
        }
        for job in jobs {
            let at = now + self.random.random_range(0..CANCELLATION_SPREAD_MS);
            self.cancel_at(&job, at);
        }
    }

    /// The first jobs with long tasks that run and are not to be cancelled.
    fn running_jobs(&self, count: usize) -> Vec<String> {
        let runs = |(job, user): &(&String, &User)| {
            user.is_waiting()
                && user.job.cancel_at.is_none()
                && user.has_long_tasks()
                && self.checker.running_tasks(job) > 0
        };
        self.users.by_job.iter().filter(runs).take(count).map(|(job, _)| job.clone()).collect()
    }
}
