//! Stand-in machines: each reports to one controller at a time over HTTP and takes direct commands.

use crate::http::{Received, call, json, serve};
use bytes::Bytes;
use hyper::Method;
use rand::Rng;
use shaleshunt_core::RequestError;
use shaleshunt_net::client::{Client, HttpResponse};
use shaleshunt_net::socket_budget::SocketBudget;
use shaleshunt_testkit::worker::Worker;
use shaleshunt_wire::paths;
use shaleshunt_wire::user::Submission;
use shaleshunt_wire::worker::{DirectCommands, HeartbeatReply, Redirect};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::Instant;

/// How often a machine looks at its clock.
const STEP: Duration = Duration::from_millis(50);
/// Pause before the next controller is tried.
const RETRY: Duration = Duration::from_secs(1);
/// Longest wait for the answer to a report.
const PATIENCE: Duration = Duration::from_secs(4);

/// What all machines share.
pub struct Fleet {
    /// Controllers: label and address.
    pub controllers: Vec<(String, String)>,
    /// Jobs submitted so far.
    pub jobs: RefCell<BTreeMap<String, Submission>>,
    /// Reporting interval.
    pub report: Duration,
    /// Start of the run.
    pub began: Instant,
    /// Counts of the run.
    pub counts: RefCell<Counts>,
    /// Tasks completed, by name.
    pub completed: RefCell<BTreeSet<String>>,
    /// Machines without an answer since controllers were ended, and when that was.
    pub unheard: RefCell<Unheard>,
}

/// Machines that have not had an answer from a controller since some were ended.
#[derive(Debug, Default)]
pub struct Unheard {
    machines: BTreeSet<String>,
    since: Option<Instant>,
    all: BTreeSet<String>,
}

/// What happened to all machines together.
#[derive(Debug, Default, Clone, Copy)]
pub struct Counts {
    /// Reports answered.
    pub reports: u64,
    /// Reports that another controller was named for, or that failed.
    pub redirects: u64,
    /// Direct calls.
    pub calls: u64,
    /// Sessions ended by their lease.
    pub leases_lost: u64,
}

impl Fleet {
    /// Controllers were ended just now: notes how long it takes until every machine has an answer again.
    pub fn expect_all(&self) {
        let mut unheard = self.unheard.borrow_mut();
        unheard.machines = unheard.all.clone();
        unheard.since = Some(Instant::now());
    }

    /// A machine's report was answered.
    fn answered(&self, machine: &str) {
        let mut unheard = self.unheard.borrow_mut();
        if !unheard.all.contains(machine) {
            unheard.all.insert(machine.into());
        }
        unheard.machines.remove(machine);
        let Some(since) = unheard.since.filter(|_| unheard.machines.is_empty()) else { return };
        unheard.since = None;
        let (machines, seconds) = (unheard.all.len(), since.elapsed().as_secs_f64());
        println!("        every one of {machines} machines has had an answer {seconds:.1} s after the end");
    }

    fn now(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }
}

/// Starts a machine: it answers direct commands on `listener` and reports until the process ends.
pub fn start(fleet: Rc<Fleet>, worker: Worker, listener: TcpListener) {
    let endpoint = listener.local_addr().map(|address| address.to_string()).unwrap_or_default();
    let worker = Rc::new(RefCell::new(worker));
    serve_orders(fleet.clone(), worker.clone(), endpoint.clone(), listener);
    tokio::task::spawn_local(report(fleet, worker, endpoint));
}

fn serve_orders(fleet: Rc<Fleet>, worker: Rc<RefCell<Worker>>, endpoint: String, listener: TcpListener) {
    serve(listener, move |received: Received| {
        let (fleet, worker, endpoint) = (fleet.clone(), worker.clone(), endpoint.clone());
        async move {
            let Ok(commands) = serde_json::from_slice::<DirectCommands>(&received.body) else {
                return (400, Vec::new());
            };
            fleet.counts.borrow_mut().calls += 1;
            let (executed, mut report) =
                worker.borrow_mut().direct_commands(fleet.now(), commands, &fleet.jobs.borrow());
            report.endpoint = endpoint;
            json(if executed { 200 } else { 409 }, &report)
        }
    });
}

async fn report(fleet: Rc<Fleet>, worker: Rc<RefCell<Worker>>, endpoint: String) {
    let mut node = rand::rng().random_range(0..fleet.controllers.len());
    let mut client = new_client();
    loop {
        tokio::time::sleep(STEP).await;
        let now = fleet.now();
        let interval = fleet.report.mul_f64(rand::rng().random_range(0.75..1.25)).as_millis() as u64;
        let due = {
            let mut worker = worker.borrow_mut();
            let agent_epoch = worker.agent_epoch;
            worker.turn(now, &fleet.jobs.borrow(), &fleet.completed.borrow(), &BTreeSet::new());
            fleet.counts.borrow_mut().leases_lost += worker.agent_epoch.0 - agent_epoch.0;
            worker.events.clear();
            worker.begin_report(now, interval)
        };
        let Some(mut report) = due else { continue };
        report.endpoint = endpoint.clone();
        let sent = (now, report.agent_epoch, report.sequence);
        let body = serde_json::to_vec(&report).map(Bytes::from).unwrap_or_default();
        let address = &fleet.controllers[node].1;
        let answer = client.send(call(address, Method::POST, paths::HEARTBEAT, body, PATIENCE)).await;
        match outcome(&fleet, node, answer) {
            Outcome::Answered(reply) => {
                fleet.counts.borrow_mut().reports += 1;
                fleet.answered(&worker.borrow().id);
                worker.borrow_mut().answer(fleet.now(), sent, reply, &fleet.jobs.borrow());
            }
            Outcome::Move { to, pause } => {
                fleet.counts.borrow_mut().redirects += 1;
                client = new_client();
                node = to;
                tokio::time::sleep(pause).await;
                let mut worker = worker.borrow_mut();
                worker.waiting = None;
                worker.report_at = fleet.now();
            }
        }
    }
}

/// What the answer to a report means.
enum Outcome {
    Answered(HeartbeatReply),
    Move { to: usize, pause: Duration },
}

fn outcome(fleet: &Fleet, node: usize, answer: Result<HttpResponse, RequestError>) -> Outcome {
    let next = Outcome::Move { to: (node + 1) % fleet.controllers.len(), pause: RETRY };
    let Ok(HttpResponse { status, body }) = answer else { return next };
    match status {
        200 => serde_json::from_slice(&body).map_or(next, Outcome::Answered),
        421 => {
            let named = serde_json::from_slice::<Redirect>(&body).ok().and_then(|elsewhere| elsewhere.known_leader);
            match fleet.controllers.iter().position(|(node_name, _)| Some(node_name) == named.as_ref()) {
                Some(to) if to != node => Outcome::Move { to, pause: Duration::ZERO },
                _ => next,
            }
        }
        _ => next,
    }
}

fn new_client() -> Client {
    Client::new(&SocketBudget::new(64), 1, PATIENCE)
}
