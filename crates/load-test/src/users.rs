//! Simulated users over HTTP: they submit jobs at a constant rate and poll the status of each until it is done.

use crate::fleet::Fleet;
use crate::http_client::{new_call, new_client};
use bytes::Bytes;
use hyper::Method;
use rand::Rng;
use shaleshunt_net::client::{Client, HttpResponse};
use shaleshunt_wire::paths;
use shaleshunt_wire::user::{JobKind, JobStatus, JobView, Priority, Submission};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Longest wait for a connection, and then for the answer to a submission or a status query.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay before a submission without a success status is retried.
const SUBMISSION_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Interval between status queries for a job.
const POLL_INTERVAL: Duration = Duration::from_secs(5);
const TASKS_PER_JOB: u32 = 40;
/// Number of images, which jobs use in turn.
const IMAGE_COUNT: u64 = 12;
/// Team of all jobs.
pub const TEAM: &str = "team";

/// Rate and size of the submitted jobs.
#[derive(Debug, Clone, Copy)]
pub struct Workload {
    /// Jobs submitted per second.
    pub jobs_per_s: f64,
    /// Mean run time of a task, in seconds.
    pub task_s: f64,
}

/// Numbers of jobs since the start of the run.
#[derive(Debug, Default)]
pub struct JobCounts {
    /// Jobs that users have begun to submit, accepted or not.
    pub submitted: Cell<u64>,
    /// Jobs whose users were told that they are done.
    pub done: Cell<u64>,
}

/// Submits jobs until the process ends.
pub async fn submit_jobs(fleet: Rc<Fleet>, jobs: Rc<JobCounts>, workload: Workload) {
    let mut interval = tokio::time::interval(Duration::from_secs_f64(1.0 / workload.jobs_per_s));
    loop {
        interval.tick().await;
        let number = jobs.submitted.get();
        jobs.submitted.set(number + 1);
        let submission = new_submission(number, workload.task_s * rand::rng().random_range(0.5..1.5));
        fleet.jobs.borrow_mut().insert(submission.id.clone(), submission.clone());
        tokio::task::spawn_local(submit_and_poll(fleet.clone(), jobs.clone(), submission));
    }
}

/// Creates job `number`. Every other job is of class `urgent`, with high priority and a deadline; the others are of
/// class `batch`, with normal priority.
fn new_submission(number: u64, estimated_run_s: f64) -> Submission {
    let is_urgent = number.is_multiple_of(2);
    Submission {
        id: format!("wk-{number:06}"),
        class: if is_urgent { "urgent" } else { "batch" }.into(),
        team: TEAM.into(),
        kind: JobKind::Array,
        priority: if is_urgent { Priority::High } else { Priority::Normal },
        tasks: TASKS_PER_JOB,
        cores: rand::rng().random_range(10..50) as f64 / 10.0,
        accelerators: 0.0,
        memory_gb: 2.0,
        image: format!("image-{}", number % IMAGE_COUNT),
        image_gb: 0.5,
        machine_types: None,
        zone: None,
        single_zone: false,
        spread_zones: false,
        spot: true,
        estimated_run_s,
        checkpoint_interval_s: 0.0,
        checkpoint_duration_s: 0.0,
        deadline_s: is_urgent.then_some(estimated_run_s * 3.0 + 60.0),
        dependencies: Vec::new(),
    }
}

/// Submits a job with retries until it is accepted, and polls its status until it is done.
async fn submit_and_poll(fleet: Rc<Fleet>, jobs: Rc<JobCounts>, submission: Submission) {
    let client = new_client(ANSWER_TIMEOUT);
    let address = submit(&fleet, &client, &submission).await;
    poll_until_done(&fleet, &client, address, &submission.id).await;
    jobs.done.set(jobs.done.get() + 1);
}

fn random_address(fleet: &Fleet) -> String {
    let index = rand::rng().random_range(0..fleet.controllers.len());
    fleet.controllers[index].address.clone()
}

/// Retries a submission, each time at a random controller. Returns the address of the controller that accepted the job.
async fn submit(fleet: &Fleet, client: &Client, submission: &Submission) -> String {
    let body = Bytes::from(serde_json::to_vec(submission).unwrap_or_default());
    loop {
        let address = random_address(fleet);
        let request = new_call(&address, Method::POST, paths::SUBMISSIONS, body.clone(), ANSWER_TIMEOUT);
        if matches!(client.send(request).await, Ok(HttpResponse { status: 200 | 201, .. })) {
            return address;
        }
        tokio::time::sleep(SUBMISSION_RETRY_DELAY).await;
    }
}

/// Polls a job's status, and turns to a random controller after each query that fails.
async fn poll_until_done(fleet: &Fleet, client: &Client, mut address: String, job: &str) {
    let path = format!("{}/{job}", paths::SUBMISSIONS);
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        let response = client.send(new_call(&address, Method::GET, &path, Bytes::new(), ANSWER_TIMEOUT)).await;
        let Ok(HttpResponse { status: 200, body }) = response else {
            address = random_address(fleet);
            continue;
        };
        if serde_json::from_slice::<JobView>(&body).is_ok_and(|view| view.status == JobStatus::Done) {
            return;
        }
    }
}
