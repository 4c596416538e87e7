//! Simulated agents over HTTP: each sends heartbeats to one controller at a time and executes direct commands.

use crate::fleet::Fleet;
use crate::http_client::{new_call, new_client};
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

/// Interval at which an agent's simulated time advances.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Delay before an agent tries the next controller after a failed heartbeat.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Longest wait for a connection, and then for the answer to a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(4);
/// Range of the random factor on the heartbeat interval, which spreads the heartbeats of the fleet.
const HEARTBEAT_JITTER_FACTOR: std::ops::Range<f64> = 0.75..1.25;

/// An agent that is reachable over HTTP.
struct AgentServer {
    fleet: Rc<Fleet>,
    agent: RefCell<Agent>,
    /// Address for direct commands, which heartbeats announce.
    address: String,
}

/// A heartbeat to send, with the id that matches the answer to it.
struct DueHeartbeat {
    id: HeartbeatId,
    heartbeat: Heartbeat,
}

/// How an agent proceeds after a heartbeat.
enum HeartbeatOutcome {
    /// The controller answered.
    Answered(HeartbeatReply),
    /// The next heartbeat goes to another controller after a delay.
    SwitchController { controller: usize, delay: Duration },
}

/// Starts an agent, which executes direct commands received on `listener` and sends heartbeats until the process ends.
pub fn start(fleet: Rc<Fleet>, agent: Agent, address: String, listener: TcpListener) {
    let server = Rc::new(AgentServer { fleet, agent: RefCell::new(agent), address });
    let command_server = server.clone();
    http_server::serve(listener, move |received| {
        let server = command_server.clone();
        async move { server.execute_commands(&received.body) }
    });
    tokio::task::spawn_local(send_heartbeats(server));
}

/// Advances the agent's simulated time and sends its heartbeats, for ever.
async fn send_heartbeats(server: Rc<AgentServer>) {
    let fleet = &server.fleet;
    let mut client = new_client(HEARTBEAT_TIMEOUT);
    server.agent.borrow_mut().controller = rand::rng().random_range(0..fleet.controllers.len());
    loop {
        tokio::time::sleep(TICK_INTERVAL).await;
        let Some(DueHeartbeat { id, heartbeat }) = server.advance() else { continue };
        let controller = server.agent.borrow().controller;
        let body = serde_json::to_vec(&heartbeat).map(Bytes::from).unwrap_or_default();
        let address = &fleet.controllers[controller].address;
        let response = client.send(new_call(address, Method::POST, paths::HEARTBEAT, body, HEARTBEAT_TIMEOUT)).await;
        match heartbeat_outcome(fleet, controller, response) {
            HeartbeatOutcome::Answered(reply) => server.apply_answer(id, reply),
            HeartbeatOutcome::SwitchController { controller, delay } => {
                fleet.counters.borrow_mut().redirects += 1;
                client = new_client(HEARTBEAT_TIMEOUT);
                tokio::time::sleep(delay).await;
                server.agent.borrow_mut().switch_controller(controller, fleet.elapsed_ms());
            }
        }
    }
}

impl AgentServer {
    /// Advances the agent's simulated time to the present. Returns the heartbeat that is due, if any.
    fn advance(&self) -> Option<DueHeartbeat> {
        let fleet = &self.fleet;
        let now_ms = fleet.elapsed_ms();
        let interval = fleet.heartbeat_interval.mul_f64(rand::rng().random_range(HEARTBEAT_JITTER_FACTOR));
        let mut agent = self.agent.borrow_mut();
        let agent_epoch = agent.agent_epoch;
        let (jobs, completed) = (fleet.jobs.borrow(), fleet.completed.borrow());
        agent.advance(now_ms, &JobFacts { jobs: &jobs, completed: &completed, failing: &BTreeSet::new() });
        fleet.counters.borrow_mut().leases_expired += agent.agent_epoch.0 - agent_epoch.0;
        agent.events.clear();
        let heartbeat = agent.heartbeat_if_due(now_ms, interval.as_millis() as u64)?;
        let id = agent.heartbeats.in_flight?;
        Some(DueHeartbeat { id, heartbeat: Heartbeat { endpoint: self.address.clone(), ..heartbeat } })
    }

    fn apply_answer(&self, heartbeat: HeartbeatId, reply: HeartbeatReply) {
        let mut agent = self.agent.borrow_mut();
        self.fleet.record_answered_heartbeat(&agent.machine.id);
        agent.handle_heartbeat_reply(self.fleet.elapsed_ms(), heartbeat, reply, &self.fleet.jobs.borrow());
    }

    fn execute_commands(&self, body: &[u8]) -> Reply {
        let Ok(commands) = serde_json::from_slice::<DirectCommands>(body) else {
            return Reply { status: 400, body: Vec::new() };
        };
        self.fleet.counters.borrow_mut().direct_calls += 1;
        let outcome = self.agent.borrow_mut().execute_direct_commands(
            self.fleet.elapsed_ms(),
            commands,
            &self.fleet.jobs.borrow(),
        );
        let (status, heartbeat) = match outcome {
            DirectCommandsReply::Executed(heartbeat) => (200, heartbeat),
            DirectCommandsReply::Fenced(heartbeat) => (409, heartbeat),
        };
        Reply::json(status, &Heartbeat { endpoint: self.address.clone(), ..heartbeat })
    }
}

fn heartbeat_outcome(
    fleet: &Fleet,
    controller: usize,
    response: Result<HttpResponse, RequestError>,
) -> HeartbeatOutcome {
    let next = (controller + 1) % fleet.controllers.len();
    let retry = HeartbeatOutcome::SwitchController { controller: next, delay: RETRY_DELAY };
    match response {
        Ok(HttpResponse { status: 200, body }) => {
            serde_json::from_slice(&body).map_or(retry, HeartbeatOutcome::Answered)
        }
        Ok(HttpResponse { status: 421, body }) => {
            match redirect_target(fleet, &body).filter(|named| *named != controller) {
                Some(named) => HeartbeatOutcome::SwitchController { controller: named, delay: Duration::ZERO },
                None => retry,
            }
        }
        _ => retry,
    }
}

/// Index of the controller that a redirect names as the leader; `None` if it names none or an unknown one.
fn redirect_target(fleet: &Fleet, body: &[u8]) -> Option<usize> {
    let node_name = serde_json::from_slice::<Redirect>(body).ok()?.known_leader?;
    fleet.controllers.iter().position(|controller| controller.node_name == node_name)
}
