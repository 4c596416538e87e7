//! Agents over HTTP: each reports to one controller at a time and takes direct commands.

use crate::fleet::Fleet;
use crate::http_client::{call, new_client};
use crate::http_server::{self, Reply};
use bytes::Bytes;
use hyper::Method;
use rand::Rng;
use shaleshunt_core::RequestError;
use shaleshunt_core::io::DirectCommandsReply;
use shaleshunt_net::client::HttpResponse;
use shaleshunt_simulation::agent::{Agent, HeartbeatId, JobFacts};
use shaleshunt_wire::paths;
use shaleshunt_wire::worker::{DirectCommands, Heartbeat, HeartbeatReply, Redirect};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;

/// How often an agent looks at its clock.
const CLOCK_INTERVAL: Duration = Duration::from_millis(50);
/// Pause before the next controller is tried.
const RETRY: Duration = Duration::from_secs(1);
/// Longest wait for the answer to a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(4);
/// How much the heartbeat interval varies.
const HEARTBEAT_JITTER: std::ops::Range<f64> = 0.75..1.25;

/// An agent with its address.
struct AgentServer {
    fleet: Rc<Fleet>,
    agent: RefCell<Agent>,
    address: String,
}

/// A heartbeat to be sent, and by what its answer is known.
struct DueHeartbeat {
    id: HeartbeatId,
    heartbeat: Heartbeat,
}

/// What the answer to a heartbeat means.
enum HeartbeatOutcome {
    Answered(HeartbeatReply),
    /// Another controller is to be tried after a pause.
    TurnTo {
        controller: usize,
        pause: Duration,
    },
}

/// Starts an agent: it takes direct commands on `listener` and sends heartbeats until the process ends.
pub fn start(fleet: Rc<Fleet>, agent: Agent, address: String, listener: TcpListener) {
    let server = Rc::new(AgentServer { fleet, agent: RefCell::new(agent), address });
    let commands = server.clone();
    http_server::serve(listener, move |received| {
        let server = commands.clone();
        async move { server.take_commands(&received.body) }
    });
    tokio::task::spawn_local(run(server));
}

/// Lets the agent's time pass and sends its heartbeats.
async fn run(server: Rc<AgentServer>) {
    let fleet = &server.fleet;
    let mut client = new_client(HEARTBEAT_TIMEOUT);
    server.agent.borrow_mut().controller = rand::rng().random_range(0..fleet.controllers.len());
    loop {
        tokio::time::sleep(CLOCK_INTERVAL).await;
        let Some(DueHeartbeat { id, heartbeat }) = server.advance() else { continue };
        let controller = server.agent.borrow().controller;
        let body = serde_json::to_vec(&heartbeat).map(Bytes::from).unwrap_or_default();
        let address = &fleet.controllers[controller].address;
        let answer = client.send(call(address, Method::POST, paths::HEARTBEAT, body, HEARTBEAT_TIMEOUT)).await;
        match heartbeat_outcome(fleet, controller, answer) {
            HeartbeatOutcome::Answered(reply) => server.take_answer(id, reply),
            HeartbeatOutcome::TurnTo { controller, pause } => {
                fleet.counts.borrow_mut().redirects += 1;
                client = new_client(HEARTBEAT_TIMEOUT);
                tokio::time::sleep(pause).await;
                server.agent.borrow_mut().switch_controller(controller, fleet.now());
            }
        }
    }
}

impl AgentServer {
    /// Lets time pass; the heartbeat that is due, if one is.
    fn advance(&self) -> Option<DueHeartbeat> {
        let fleet = &self.fleet;
        let now = fleet.now();
        let interval = fleet.heartbeat_interval.mul_f64(rand::rng().random_range(HEARTBEAT_JITTER));
        let mut agent = self.agent.borrow_mut();
        let agent_epoch = agent.agent_epoch;
        let (jobs, completed) = (fleet.jobs.borrow(), fleet.completed.borrow());
        agent.advance(now, &JobFacts { jobs: &jobs, completed: &completed, failing: &BTreeSet::new() });
        fleet.counts.borrow_mut().leases_lost += agent.agent_epoch.0 - agent_epoch.0;
        agent.events.clear();
        let heartbeat = agent.heartbeat_if_due(now, interval.as_millis() as u64)?;
        let id = agent.heartbeats.in_flight?;
        Some(DueHeartbeat { id, heartbeat: Heartbeat { endpoint: self.address.clone(), ..heartbeat } })
    }

    fn take_answer(&self, heartbeat: HeartbeatId, reply: HeartbeatReply) {
        let mut agent = self.agent.borrow_mut();
        self.fleet.heartbeat_answered(&agent.machine.id);
        agent.handle_heartbeat_reply(self.fleet.now(), heartbeat, reply, &self.fleet.jobs.borrow());
    }

    fn take_commands(&self, body: &[u8]) -> Reply {
        let Ok(commands) = serde_json::from_slice::<DirectCommands>(body) else {
            return Reply { status: 400, body: Vec::new() };
        };
        self.fleet.counts.borrow_mut().calls += 1;
        let outcome =
            self.agent.borrow_mut().execute_direct_commands(self.fleet.now(), commands, &self.fleet.jobs.borrow());
        let (status, heartbeat) = match outcome {
            DirectCommandsReply::Executed(heartbeat) => (200, heartbeat),
            DirectCommandsReply::Fenced(heartbeat) => (409, heartbeat),
        };
        Reply::json(status, &Heartbeat { endpoint: self.address.clone(), ..heartbeat })
    }
}

fn heartbeat_outcome(fleet: &Fleet, controller: usize, answer: Result<HttpResponse, RequestError>) -> HeartbeatOutcome {
    let next = (controller + 1) % fleet.controllers.len();
    let retry = HeartbeatOutcome::TurnTo { controller: next, pause: RETRY };
    match answer {
        Ok(HttpResponse { status: 200, body }) => {
            serde_json::from_slice(&body).map_or(retry, HeartbeatOutcome::Answered)
        }
        Ok(HttpResponse { status: 421, body }) => {
            match named_controller(fleet, &body).filter(|named| *named != controller) {
                Some(named) => HeartbeatOutcome::TurnTo { controller: named, pause: Duration::ZERO },
                None => retry,
            }
        }
        _ => retry,
    }
}

/// The controller that another one names as the leader.
fn named_controller(fleet: &Fleet, body: &[u8]) -> Option<usize> {
    let node_name = serde_json::from_slice::<Redirect>(body).ok()?.known_leader?;
    fleet.controllers.iter().position(|controller| controller.node_name == node_name)
}
