//! Users over HTTP: they submit jobs at a steady rate and ask about each until it is done.

use crate::fleet::Fleet;
use crate::http_client::{call, new_client};
use bytes::Bytes;
use hyper::Method;
use rand::Rng;
use shaleshunt_net::client::{Client, HttpResponse};
use shaleshunt_wire::paths;
use shaleshunt_wire::user::{JobKind, JobStatus, JobView, Priority, Submission};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Longest wait for an answer to a submission.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause before a submission is repeated.
const RETRY: Duration = Duration::from_secs(1);
/// Interval between questions about a job.
const POLL: Duration = Duration::from_secs(5);
/// Tasks of a job.
const TASKS: u32 = 40;
/// Images that jobs use in turn.
const IMAGES: u64 = 12;
/// The only team.
pub const TEAM: &str = "team";

/// How much work comes.
#[derive(Debug, Clone, Copy)]
pub struct Workload {
    /// Jobs submitted a second.
    pub jobs_per_s: f64,
    /// Mean run time of a task, in seconds.
    pub task_s: f64,
}

/// What became of the jobs.
#[derive(Debug, Default)]
pub struct JobCounts {
    /// Submitted.
    pub submitted: Cell<u64>,
    /// Reported as done.
    pub done: Cell<u64>,
}

/// Submits jobs until the process ends.
pub async fn submit_all(fleet: Rc<Fleet>, jobs: Rc<JobCounts>, workload: Workload) {
    let mut interval = tokio::time::interval(Duration::from_secs_f64(1.0 / workload.jobs_per_s));
    loop {
        interval.tick().await;
        let number = jobs.submitted.get();
        jobs.submitted.set(number + 1);
        let submission = submission(number, workload.task_s * rand::rng().random_range(0.5..1.5));
        fleet.jobs.borrow_mut().insert(submission.id.clone(), submission.clone());
        tokio::task::spawn_local(follow(fleet.clone(), jobs.clone(), submission));
    }
}

/// Every other job is urgent and has a deadline; the others are ordinary work.
fn submission(number: u64, estimated_run_s: f64) -> Submission {
    let urgent_writes = number.is_multiple_of(2);
    Submission {
        id: format!("wk-{number:06}"),
        class: if urgent_writes { "urgent" } else { "batch" }.into(),
        team: TEAM.into(),
        kind: JobKind::Array,
        priority: if urgent_writes { Priority::High } else { Priority::Normal },
        tasks: TASKS,
        cores: rand::rng().random_range(10..50) as f64 / 10.0,
        accelerators: 0.0,
        memory_gb: 2.0,
        image: format!("image-{}", number % IMAGES),
        image_gb: 0.5,
        machine_types: None,
        zone: None,
        single_zone: false,
        spread_zones: false,
        spot: true,
        estimated_run_s,
        checkpoint_interval_s: 0.0,
        checkpoint_duration_s: 0.0,
        deadline_s: urgent_writes.then_some(estimated_run_s * 3.0 + 60.0),
        dependencies: Vec::new(),
    }
}

/// Submits a job until it is accepted, and asks about it until it is done.
async fn follow(fleet: Rc<Fleet>, jobs: Rc<JobCounts>, submission: Submission) {
    let client = new_client(ANSWER_TIMEOUT);
    let address = submit(&fleet, &client, &submission).await;
    poll_until_done(&fleet, &client, address, &submission.id).await;
    jobs.done.set(jobs.done.get() + 1);
}

fn any_address(fleet: &Fleet) -> String {
    let index = rand::rng().random_range(0..fleet.controllers.len());
    fleet.controllers[index].address.clone()
}

/// The address of the controller that accepted the job.
async fn submit(fleet: &Fleet, client: &Client, submission: &Submission) -> String {
    let body = Bytes::from(serde_json::to_vec(submission).unwrap_or_default());
    loop {
        let address = any_address(fleet);
        let request = call(&address, Method::POST, paths::SUBMISSIONS, body.clone(), ANSWER_TIMEOUT);
        if matches!(client.send(request).await, Ok(HttpResponse { status: 200 | 201, .. })) {
            return address;
        }
        tokio::time::sleep(RETRY).await;
    }
}

async fn poll_until_done(fleet: &Fleet, client: &Client, mut address: String, job: &str) {
    let path = format!("{}/{job}", paths::SUBMISSIONS);
    loop {
        tokio::time::sleep(POLL).await;
        let answer = client.send(call(&address, Method::GET, &path, Bytes::new(), ANSWER_TIMEOUT)).await;
        let Ok(HttpResponse { status: 200, body }) = answer else {
            address = any_address(fleet);
            continue;
        };
        if serde_json::from_slice::<JobView>(&body).is_ok_and(|view| view.status == JobStatus::Done) {
            return;
        }
    }
}
