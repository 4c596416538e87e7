//! Stand-in users: they submit jobs at a steady rate and ask about each until it is done.

use crate::http::call;
use crate::machines::Fleet;
use bytes::Bytes;
use hyper::Method;
use rand::Rng;
use shaleshunt_net::client::{Client, HttpResponse};
use shaleshunt_net::socket_budget::SocketBudget;
use shaleshunt_wire::paths;
use shaleshunt_wire::user::{JobStatus, JobView, Shape, Submission, Urgency};
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
fn submission(number: u64, team: &str, expect_s: f64) -> Submission {
    let urgent = number.is_multiple_of(2);
    Submission {
        id: format!("wk-{number:06}"),
        class: if urgent { "urgent" } else { "batch" }.into(),
        team: team.into(),
        shape: Shape::Array,
        urgency: if urgent { Urgency::High } else { Urgency::Normal },
        tasks: TASKS,
        cores: rand::rng().random_range(10..50) as f64 / 10.0,
        cards: 0.0,
        ram_gb: 2.0,
        image: format!("image-{}", number % 12),
        image_gb: 0.5,
        frames: None,
        zone: None,
        one_zone: false,
        scatter: false,
        spot: true,
        expect_s,
        mark_every_s: 0.0,
        mark_takes_s: 0.0,
        due_s: urgent.then_some(expect_s * 3.0 + 60.0),
        awaits: Vec::new(),
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
