//! Stand-in users: they submit jobs at a steady rate and ask about each until it is done.

use crate::http::call;
use crate::machines::Fleet;
use bytes::Bytes;
use hyper::Method;
use rand::Rng;
use shaleshunt_net::client::{Client, HttpResponse};
use shaleshunt_net::socket_budget::SocketBudget;
use shaleshunt_wire::paths;
use shaleshunt_wire::user::{JobKind, JobStatus, JobView, Priority, Submission};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Longest wait for an answer to a submission.
const PATIENCE: Duration = Duration::from_secs(5);
/// Pause before a submission is repeated.
const RETRY: Duration = Duration::from_secs(1);
/// Interval between questions about a job.
const POLL: Duration = Duration::from_secs(5);
/// Tasks of a job.
const TASKS: u32 = 40;

/// What became of the jobs.
#[derive(Debug, Default)]
pub struct Jobs {
    /// Submitted.
    pub submitted: Cell<u64>,
    /// Reported as done.
    pub done: Cell<u64>,
}

/// Submits `rate` jobs a second until the process ends.
pub async fn submit_all(fleet: Rc<Fleet>, jobs: Rc<Jobs>, team: String, rate: f64, task_s: f64) {
    let mut interval = tokio::time::interval(Duration::from_secs_f64(1.0 / rate));
    loop {
        interval.tick().await;
        let number = jobs.submitted.get();
        jobs.submitted.set(number + 1);
        let submission = submission(number, &team, task_s * rand::rng().random_range(0.5..1.5));
        fleet.jobs.borrow_mut().insert(submission.id.clone(), submission.clone());
        tokio::task::spawn_local(follow(fleet.clone(), jobs.clone(), submission));
    }
}

/// Every other job is urgent and has a deadline; the others are ordinary work.
fn submission(number: u64, team: &str, estimated_run_s: f64) -> Submission {
    let urgent_writes = number.is_multiple_of(2);
    Submission {
        id: format!("wk-{number:06}"),
        class: if urgent_writes { "urgent" } else { "batch" }.into(),
        team: team.into(),
        kind: JobKind::Array,
        priority: if urgent_writes { Priority::High } else { Priority::Normal },
        tasks: TASKS,
        cores: rand::rng().random_range(10..50) as f64 / 10.0,
        accelerators: 0.0,
        memory_gb: 2.0,
        image: format!("image-{}", number % 12),
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

async fn follow(fleet: Rc<Fleet>, jobs: Rc<Jobs>, submission: Submission) {
    let client = Client::new(&SocketBudget::new(64), 1, PATIENCE);
    let pick = || fleet.controllers[rand::rng().random_range(0..fleet.controllers.len())].1.clone();
    let body = Bytes::from(serde_json::to_vec(&submission).unwrap_or_default());
    let mut address = pick();
    loop {
        let answer = client.send(call(&address, Method::POST, paths::SUBMISSIONS, body.clone(), PATIENCE)).await;
        if matches!(answer, Ok(HttpResponse { status: 200 | 201, .. })) {
            break;
        }
        tokio::time::sleep(RETRY).await;
        address = pick();
    }
    let path = format!("{}/{}", paths::SUBMISSIONS, submission.id);
    loop {
        tokio::time::sleep(POLL).await;
        let answer = client.send(call(&address, Method::GET, &path, Bytes::new(), PATIENCE)).await;
        let Ok(HttpResponse { status: 200, body }) = answer else {
            address = pick();
            continue;
        };
        if serde_json::from_slice::<JobView>(&body).is_ok_and(|view| view.status == JobStatus::Done) {
            jobs.done.set(jobs.done.get() + 1);
            return;
        }
    }
}
