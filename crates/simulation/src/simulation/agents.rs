//! The agents of a simulated site: machines come up, report, get answers and end.

use super::Simulation;
use super::event::Event;
use super::fault::{CopyArrival, LATE_HEARTBEAT_MS, MachineChoice};
use super::network::Route;
use super::requests::Requester;
use super::window::{Chance, Delay};
use crate::agent::{Agent, HeartbeatId, JobFacts, Machine, TaskEvent};
use crate::cloud::Instance;
use crate::process::ProcessId;
use rand::Rng;
use shaleshunt_core::io::{Answer, Command};
use shaleshunt_wire::worker::{DirectCommands, Heartbeat, HeartbeatReply, split_task_name};
use std::collections::{BTreeMap, BTreeSet};

/// How long controllers wait for an answer, in heartbeat intervals.
pub(super) const TIMEOUT_IN_HEARTBEAT_INTERVALS: f64 = 0.4;
/// How much an agent's heartbeat interval varies.
const HEARTBEAT_JITTER: std::ops::Range<f64> = 0.75..1.25;
/// How long an agent waits for the answer to a heartbeat, in ms.
const ANSWER_TIMEOUT_MS: u64 = 4_000;
/// Pause before an agent without answer tries the next controller, in ms.
const RETRY_MS: u64 = 1_000;
/// Pause before an agent turns to the controller that it was sent to, in ms.
const REDIRECT_MS: u64 = 100;
/// Least speed at which images are fetched, in GB/s.
const MIN_FETCH_GB_PER_S: f64 = 0.01;

/// Faults on the way between controllers and one agent; times in ms.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct AgentLink {
    /// Until when neither answers nor commands reach the agent.
    pub(super) inbound_lost_until: u64,
    /// Until when no heartbeat reaches a controller.
    pub(super) heartbeats_lost_until: u64,
    pub(super) command_delay: Delay,
    pub(super) answer_delay: Delay,
}

/// Copies of heartbeats that arrive again.
#[derive(Default)]
pub(super) struct HeartbeatCopies {
    /// Of every heartbeat.
    pub(super) of_all: Delay,
    /// Of some heartbeats.
    pub(super) of_some: Chance,
    /// When those arrive.
    pub(super) arrival: Option<CopyArrival>,
    /// Kept for the next leader, the first one of each machine.
    kept: BTreeMap<String, Heartbeat>,
    /// Who led when copies were last handed out.
    last_leader: Option<ProcessId>,
}

/// The agents.
#[derive(Default)]
pub(super) struct Agents {
    /// Agents on machines that are up.
    pub(super) running: BTreeMap<String, Agent>,
    /// Faults on the way, also to machines that are not up.
    links: BTreeMap<String, AgentLink>,
    /// When machines with a notice are reclaimed, in ms.
    pub(super) reclaimed_at: BTreeMap<String, u64>,
    pub(super) heartbeat_copies: HeartbeatCopies,
    /// Jobs whose tasks fail everywhere.
    pub(super) failing_jobs: BTreeSet<String>,
}

impl Agents {
    pub(super) fn link(&self, machine: &str) -> AgentLink {
        self.links.get(machine).copied().unwrap_or_default()
    }

    pub(super) fn link_mut(&mut self, machine: String) -> &mut AgentLink {
        self.links.entry(machine).or_default()
    }

    /// The names of the machines that a fault means.
    pub(super) fn chosen(&self, choice: &MachineChoice) -> Vec<String> {
        let names = self.running.keys();
        match choice {
            MachineChoice::Named(name) => vec![name.clone()],
            MachineChoice::InZone(zone) => {
                let there = self.running.values().filter(|agent| agent.machine.zone == *zone);
                there.map(|agent| agent.machine.id.clone()).collect()
            }
            MachineChoice::First(count) => names.take(*count).cloned().collect(),
            MachineChoice::EveryNth(step) => names.step_by(*step).cloned().collect(),
        }
    }
}

impl Simulation {
    pub(super) fn agent_route(&self, controller: usize, machine: &str) -> Route {
        let zone = self.agents.running.get(machine).map(|agent| agent.machine.zone.as_str());
        self.network.agent_route(self.queue.now(), controller, zone)
    }

    /// Agents begin on machines that have booted.
    pub(super) fn start_agents(&mut self) {
        let now = self.queue.now();
        let booted = |instance: &&Instance| instance.is_up(now) && !self.agents.running.contains_key(&instance.id);
        let instances: Vec<Instance> = self.cloud.service.instances.values().filter(booted).cloned().collect();
        for instance in instances {
            let Some(machine_type) = self.cloud.service.catalog.machine_type(&instance.offer.machine_type) else {
                continue;
            };
            let machine = Machine {
                id: instance.id.clone(),
                machine_type: instance.offer.machine_type,
                zone: instance.offer.zone,
                spot: instance.offer.spot,
                capacity: machine_type.resources(),
                fetch_gb_per_s: machine_type.fetch_gb_per_s.max(MIN_FETCH_GB_PER_S),
            };
            let mut agent = Agent::new(machine, self.lease_ms(), now);
            agent.controller = self.random.random_range(0..self.controllers.len());
            self.agents.running.insert(instance.id, agent);
        }
    }

    /// Machines whose notice is over are taken.
    pub(super) fn reclaim_machines(&mut self) {
        let now = self.queue.now();
        let due = self.agents.reclaimed_at.iter().filter(|(_, at)| **at <= now);
        let names: Vec<String> = due.map(|(name, _)| name.clone()).collect();
        for name in names {
            self.agents.reclaimed_at.remove(&name);
            self.lose_machine(&name);
        }
    }

    pub(super) fn advance_agents(&mut self) {
        let names: Vec<String> = self.agents.running.keys().cloned().collect();
        for name in names {
            self.advance_agent(&name);
        }
    }

    fn advance_agent(&mut self, name: &str) {
        let now = self.queue.now();
        let jitter = self.random.random_range(HEARTBEAT_JITTER);
        let interval_ms = (self.heartbeat_interval_s() * 1000.0 * jitter) as u64;
        let controllers = self.controllers.len();
        let Some(agent) = self.agents.running.get_mut(name) else { return };
        let hangs = agent.hangs(now);
        if !hangs {
            let facts = JobFacts {
                jobs: &self.checker.submissions,
                completed: &self.checker.completed_tasks,
                failing: &self.agents.failing_jobs,
            };
            agent.advance(now, &facts);
        }
        if let Some(at) = self.agents.reclaimed_at.get(name) {
            agent.reclaim_warning_s = Some(at.saturating_sub(now) as f64 / 1000.0);
        }
        let mut heartbeat = None;
        if !hangs {
            if agent.heartbeats.in_flight.is_some_and(|sent| now > sent.sent_at + ANSWER_TIMEOUT_MS) {
                let next = (agent.controller + 1) % controllers;
                agent.turn_to(next, now + RETRY_MS);
            }
            heartbeat = agent.begin_heartbeat(now, interval_ms);
        }
        self.show_to_checker(name);
        if let Some(heartbeat) = heartbeat {
            self.send_heartbeat(name, heartbeat);
        }
    }

    fn send_heartbeat(&mut self, name: &str, heartbeat: Heartbeat) {
        let now = self.queue.now();
        let Some(agent) = self.agents.running.get(name) else { return };
        let (controller, answer_to) = (agent.controller, agent.heartbeats.in_flight);
        let delay = self.network_delay();
        self.copy_heartbeat(controller, &heartbeat);
        if now < self.agents.link(name).heartbeats_lost_until {
            self.retry_heartbeat(name);
            return;
        }
        let route = self.agent_route(controller, name);
        if route.is_open() && !self.controllers[controller].is_running() {
            self.retry_heartbeat(name);
        } else if let Some(at) = route.arrival(now, delay, 0) {
            self.queue.schedule(at, Event::AgentHeartbeat { controller, heartbeat, answer_to });
        }
    }

    fn copy_heartbeat(&mut self, controller: usize, heartbeat: &Heartbeat) {
        let now = self.queue.now();
        let copies = &mut self.agents.heartbeat_copies;
        if let Some(by_ms) = copies.of_all.at(now) {
            self.queue.schedule(now + by_ms, heartbeat_copy(controller, heartbeat));
        }
        let Some(probability) = copies.of_some.at(now) else { return };
        if !self.random.random_bool(probability) {
            return;
        }
        match copies.arrival {
            Some(CopyArrival::AtNextLeader) => {
                copies.kept.entry(heartbeat.machine.clone()).or_insert_with(|| heartbeat.clone());
            }
            Some(CopyArrival::Late) => {
                let late_by = self.random.random_range(LATE_HEARTBEAT_MS);
                self.queue.schedule(now + late_by, heartbeat_copy(controller, heartbeat));
            }
            None => {}
        }
    }

    /// Copies kept for the next leader reach every controller as soon as there is one.
    pub(super) fn deliver_kept_copies(&mut self) {
        let leader = self.leader().map(|index| self.process_id(index));
        if leader.is_none() || leader == self.agents.heartbeat_copies.last_leader {
            return;
        }
        self.agents.heartbeat_copies.last_leader = leader;
        for heartbeat in std::mem::take(&mut self.agents.heartbeat_copies.kept).into_values() {
            for controller in 0..self.controllers.len() {
                let delay = self.network_delay();
                self.queue.schedule(self.queue.now() + delay, heartbeat_copy(controller, &heartbeat));
            }
        }
    }

    pub(super) fn take_heartbeat(&mut self, controller: usize, heartbeat: Heartbeat, answer_to: Option<HeartbeatId>) {
        let id = self.requests.next_id();
        let requester = Requester::Agent { agent: heartbeat.machine.clone(), heartbeat: answer_to };
        self.requests.await_answer(id, requester);
        self.step(controller, Command::Heartbeat(id, Box::new(heartbeat)));
    }

    /// A controller answers a heartbeat; nobody awaits the answer to a copy.
    pub(super) fn answer_agent(
        &mut self,
        controller: usize,
        name: &str,
        heartbeat: Option<HeartbeatId>,
        answer: Answer,
    ) {
        let Some(heartbeat) = heartbeat else { return };
        let now = self.queue.now();
        let link = self.agents.link(name);
        if !self.agent_route(controller, name).is_open() || now < link.inbound_lost_until {
            return;
        }
        match answer {
            Answer::Heartbeat(reply) => match link.answer_delay.at(now).filter(|by_ms| *by_ms > 0) {
                None => self.take_heartbeat_answer(name, heartbeat, reply),
                Some(by_ms) => {
                    let event = Event::HeartbeatAnswer { agent: name.into(), answered: heartbeat, reply };
                    self.queue.schedule(now + by_ms, event);
                }
            },
            Answer::Redirect(Some(node_name)) => match self.controller_labelled(&node_name) {
                Some(leader) => self.turn_agent_to(name, leader, now + REDIRECT_MS),
                None => self.retry_heartbeat(name),
            },
            _ => self.retry_heartbeat(name),
        }
    }

    pub(super) fn take_heartbeat_answer(&mut self, name: &str, answered: HeartbeatId, reply: HeartbeatReply) {
        let now = self.queue.now();
        if let Some(agent) = self.agents.running.get_mut(name).filter(|agent| !agent.hangs(now)) {
            agent.take_answer(now, answered, reply, &self.checker.submissions);
        }
        self.show_to_checker(name);
    }

    /// Direct commands reach an agent; they wait while its machine hangs.
    pub(super) fn take_commands(&mut self, from: ProcessId, id: u64, name: String, commands: DirectCommands) {
        let now = self.queue.now();
        let Some(agent) = self.agents.running.get_mut(&name) else { return };
        if agent.hangs(now) {
            let at = agent.faults.hangs_until;
            self.queue.schedule(at, Event::AgentCommands { from, id, agent: name, commands });
            return;
        }
        let reply = agent.take_commands(now, commands, &self.checker.submissions);
        self.show_to_checker(&name);
        let delay = self.network_delay() + self.agents.link(&name).answer_delay.at(now).unwrap_or(0);
        if let Some(at) = self.agent_route(from.controller, &name).arrival(now, delay, 0) {
            self.queue.schedule(at, Event::Message { to: from, command: Command::DirectCommands(id, Ok(reply)) });
        }
    }

    fn retry_heartbeat(&mut self, name: &str) {
        let controllers = self.controllers.len();
        let Some(agent) = self.agents.running.get(name) else { return };
        let next = (agent.controller + 1) % controllers;
        self.turn_agent_to(name, next, self.queue.now() + RETRY_MS);
    }

    fn turn_agent_to(&mut self, name: &str, controller: usize, heartbeat_at: u64) {
        if let Some(agent) = self.agents.running.get_mut(name) {
            agent.turn_to(controller, heartbeat_at);
        }
    }

    /// Shows the checker what has happened on a machine, in order.
    fn show_to_checker(&mut self, name: &str) {
        let now = self.queue.now();
        let Some(agent) = self.agents.running.get_mut(name) else { return };
        if agent.events.is_empty() {
            return;
        }
        let events = std::mem::take(&mut agent.events);
        let machine = agent.machine.clone();
        for event in events {
            self.log_line(|| format!("{name}: {event:?}"));
            let late_starts = self.checker.starts_after_cancellation;
            self.checker.record_task_event(now, &machine, &event);
            if self.checker.starts_after_cancellation.count > late_starts.count {
                self.log_line(|| format!("{name}: starts after its job was confirmed as cancelled"));
            }
            if let TaskEvent::Completed { task } = &event {
                self.cancel_if_complete(task);
            }
        }
    }

    /// Some users cancel their job at the moment at which its last task completes.
    fn cancel_if_complete(&mut self, task: &str) {
        let now = self.queue.now();
        let Some(probability) = self.users.cancels_at_completion.at(now) else { return };
        let Some((job, _)) = split_task_name(task) else { return };
        let complete = self.checker.submissions.get(job).is_some_and(|spec| self.checker.all_tasks_completed(spec));
        if complete && self.random.random_bool(probability) {
            self.cancel_at(job, now);
        }
    }

    /// A machine is lost, and the cloud has its capacity again.
    pub(super) fn lose_machine(&mut self, name: &str) {
        self.end_machine(name);
        self.cloud.service.take_back(name);
    }

    pub(super) fn end_machine(&mut self, name: &str) {
        let Some(mut agent) = self.agents.running.remove(name) else { return };
        for event in agent.terminate() {
            self.checker.record_task_event(self.queue.now(), &agent.machine, &event);
        }
    }
}

fn heartbeat_copy(controller: usize, heartbeat: &Heartbeat) -> Event {
    Event::AgentHeartbeat { controller, heartbeat: heartbeat.clone(), answer_to: None }
}
