//! The agents of a simulated site: machines boot, send heartbeats, receive replies and commands, and terminate.

use super::Simulation;
use super::event::Event;
use super::fault::{DuplicateArrival, LATE_HEARTBEAT_MS, MachineChoice};
use super::network::Route;
use super::repetition::RepeatedKind;
use super::requests::Requester;
use super::temporary::{TemporaryDelay, TemporaryProbability};
use crate::agent::{Agent, HeartbeatId, JobFacts, Machine, TaskEvent};
use crate::cloud::Instance;
use crate::process::ProcessId;
use rand::Rng;
use shaleshunt_core::io::{Answer, Command};
use shaleshunt_wire::worker::{DirectCommands, Heartbeat, HeartbeatReply, split_task_name};
use std::collections::{BTreeMap, BTreeSet};

/// Timeout of a controller's requests, in heartbeat intervals.
pub(super) const REQUEST_TIMEOUT_IN_HEARTBEAT_INTERVALS: f64 = 0.4;
/// Range of the random factor on an agent's heartbeat interval.
const HEARTBEAT_INTERVAL_JITTER: std::ops::Range<f64> = 0.75..1.25;
/// Timeout after which an agent abandons a heartbeat without a reply, in ms.
const HEARTBEAT_TIMEOUT_MS: u64 = 4_000;
/// Delay before an agent whose heartbeat failed tries the next controller, in ms.
const RETRY_MS: u64 = 1_000;
/// Delay before an agent sends a heartbeat to the controller to which it was redirected, in ms.
const REDIRECT_MS: u64 = 100;
/// Minimum throughput of image fetches, in GB/s.
const MIN_FETCH_GB_PER_S: f64 = 0.01;

/// Injected faults of the network between controllers and one agent.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct AgentLink {
    /// Until when neither replies nor commands reach the agent, in ms; 0 without this fault.
    pub(super) inbound_lost_until_ms: u64,
    /// Until when no heartbeat of the agent reaches a controller, in ms; 0 without this fault.
    pub(super) heartbeats_lost_until_ms: u64,
    /// Additional delay of direct commands.
    pub(super) command_delay: TemporaryDelay,
    /// Additional delay of replies to heartbeats and to direct commands.
    pub(super) answer_delay: TemporaryDelay,
}

/// Injected faults that duplicate heartbeats.
#[derive(Default)]
pub(super) struct HeartbeatDuplicates {
    /// Delay after which a duplicate of every heartbeat arrives.
    pub(super) of_all: TemporaryDelay,
    /// Probability that a heartbeat is duplicated, to arrive as `arrival` says.
    pub(super) of_some: TemporaryProbability,
    /// When the duplicates of some heartbeats arrive; `None` before such a fault.
    pub(super) arrival: Option<DuplicateArrival>,
    /// Duplicates kept until the next leader acts, by machine; the first of each machine is kept.
    kept: BTreeMap<String, Heartbeat>,
    /// The leader to which kept duplicates were last delivered; `None` before the first delivery.
    last_leader: Option<ProcessId>,
}

/// All simulated agents with their network links and faults.
#[derive(Default)]
pub(super) struct Agents {
    /// Agents on running machines, by machine.
    pub(super) running: BTreeMap<String, Agent>,
    /// Network faults by machine, including machines that don't run.
    links: BTreeMap<String, AgentLink>,
    /// When machines with a preemption notice are reclaimed, in ms, by machine.
    pub(super) reclaimed_at_ms: BTreeMap<String, u64>,
    pub(super) heartbeat_duplicates: HeartbeatDuplicates,
    /// Names of the jobs whose tasks fail on every machine.
    pub(super) failing_jobs: BTreeSet<String>,
}

impl Agents {
    pub(super) fn link(&self, machine: &str) -> AgentLink {
        self.links.get(machine).copied().unwrap_or_default()
    }

    pub(super) fn link_mut(&mut self, machine: String) -> &mut AgentLink {
        self.links.entry(machine).or_default()
    }

    /// The name of the machine whose agent has the address; the address itself if no agent has it.
    pub(super) fn at_address<'a>(&'a self, address: &'a str) -> &'a str {
        if self.running.get(address).is_some_and(|agent| agent.machine.address == address) {
            return address;
        }
        let found = self.running.values().find(|agent| agent.machine.address == address);
        found.map_or(address, |agent| &agent.machine.id)
    }

    /// The names of the machines that a fault affects.
    pub(super) fn select(&self, choice: &MachineChoice) -> Vec<String> {
        let names = self.running.keys();
        match choice {
            MachineChoice::Named(name) => vec![name.clone()],
            MachineChoice::InZone(zone) => {
                let in_zone = self.running.values().filter(|agent| agent.machine.zone == *zone);
                in_zone.map(|agent| agent.machine.id.clone()).collect()
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

    /// Starts agents on machines that have booted since the last tick.
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
                address: instance.address,
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

    /// Removes machines whose preemption notice has elapsed.
    pub(super) fn reclaim_machines(&mut self) {
        let now = self.queue.now();
        let due = self.agents.reclaimed_at_ms.iter().filter(|(_, at)| **at <= now);
        let names: Vec<String> = due.map(|(name, _)| name.clone()).collect();
        for name in names {
            self.agents.reclaimed_at_ms.remove(&name);
            self.remove_machine(&name);
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
        let jitter = self.random.random_range(HEARTBEAT_INTERVAL_JITTER);
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
        if let Some(at) = self.agents.reclaimed_at_ms.get(name) {
            agent.preemption_notice_s = Some(at.saturating_sub(now) as f64 / 1000.0);
        }
        let mut heartbeat = None;
        if !hangs {
            if agent.heartbeats.in_flight.is_some_and(|sent| now > sent.sent_at_ms + HEARTBEAT_TIMEOUT_MS) {
                let next = (agent.controller + 1) % controllers;
                agent.switch_controller(next, now + RETRY_MS);
            }
            heartbeat = agent.heartbeat_if_due(now, interval_ms);
        }
        self.report_events_to_checker(name);
        if let Some(heartbeat) = heartbeat {
            self.send_heartbeat(name, heartbeat);
        }
    }

    fn send_heartbeat(&mut self, name: &str, heartbeat: Heartbeat) {
        let now = self.queue.now();
        let Some(agent) = self.agents.running.get(name) else { return };
        let (controller, reply_to) = (agent.controller, agent.heartbeats.in_flight);
        let delay_ms = self.network_delay_ms();
        self.duplicate_heartbeat(controller, &heartbeat);
        if now < self.agents.link(name).heartbeats_lost_until_ms {
            self.retry_at_next_controller(name);
            return;
        }
        let route = self.agent_route(controller, name);
        if route.is_open() && !self.controllers[controller].is_running() {
            self.retry_at_next_controller(name);
        } else if let Some(at) = route.arrival(now, delay_ms, 0) {
            self.queue.schedule(at, Event::AgentHeartbeat { controller, heartbeat, reply_to });
        }
    }

    fn duplicate_heartbeat(&mut self, controller: usize, heartbeat: &Heartbeat) {
        let now = self.queue.now();
        let duplicates = &mut self.agents.heartbeat_duplicates;
        if let Some(delay_ms) = duplicates.of_all.at(now) {
            self.queue.schedule(now + delay_ms, duplicate_of(controller, heartbeat));
        }
        let Some(probability) = duplicates.of_some.at(now) else { return };
        if !self.random.random_bool(probability) {
            return;
        }
        match duplicates.arrival {
            Some(DuplicateArrival::AtNextLeader) => {
                duplicates.kept.entry(heartbeat.machine.clone()).or_insert_with(|| heartbeat.clone());
            }
            Some(DuplicateArrival::Late) => {
                let late_by_ms = self.random.random_range(LATE_HEARTBEAT_MS);
                self.queue.schedule(now + late_by_ms, duplicate_of(controller, heartbeat));
            }
            None => {}
        }
    }

    /// Delivers the kept duplicates to every controller when another process has become leader.
    pub(super) fn deliver_kept_duplicates(&mut self) {
        let leader = self.leader().map(|index| self.process_id(index));
        if leader.is_none() || leader == self.agents.heartbeat_duplicates.last_leader {
            return;
        }
        self.agents.heartbeat_duplicates.last_leader = leader;
        for heartbeat in std::mem::take(&mut self.agents.heartbeat_duplicates.kept).into_values() {
            for controller in 0..self.controllers.len() {
                let delay_ms = self.network_delay_ms();
                self.queue.schedule(self.queue.now() + delay_ms, duplicate_of(controller, &heartbeat));
            }
        }
    }

    pub(super) fn deliver_heartbeat(&mut self, controller: usize, heartbeat: Heartbeat, reply_to: Option<HeartbeatId>) {
        let id = self.requests.next_id();
        let requester = Requester::Agent { agent: heartbeat.machine.clone(), heartbeat: reply_to };
        self.requests.register(id, requester);
        self.step(controller, Command::Heartbeat(id, Box::new(heartbeat)));
    }

    /// Delivers a controller's answer to a heartbeat; answers to duplicates, which no agent awaits, are dropped.
    pub(super) fn deliver_answer_to_agent(
        &mut self,
        controller: usize,
        name: &str,
        heartbeat: Option<HeartbeatId>,
        answer: Answer,
    ) {
        let Some(heartbeat) = heartbeat else { return };
        let now = self.queue.now();
        let link = self.agents.link(name);
        if !self.agent_route(controller, name).is_open() || now < link.inbound_lost_until_ms {
            return;
        }
        match answer {
            Answer::Heartbeat(reply) => match link.answer_delay.at(now).filter(|delay_ms| *delay_ms > 0) {
                None => self.deliver_heartbeat_answer(name, heartbeat, reply),
                Some(delay_ms) => {
                    let event = Event::HeartbeatAnswer { agent: name.into(), heartbeat_id: heartbeat, reply };
                    self.queue.schedule(now + delay_ms, event);
                }
            },
            Answer::Redirect(Some(node_name)) => match self.controller_named(&node_name) {
                Some(leader) => self.switch_agent_controller(name, leader, now + REDIRECT_MS),
                None => self.retry_at_next_controller(name),
            },
            _ => self.retry_at_next_controller(name),
        }
    }

    pub(super) fn deliver_heartbeat_answer(&mut self, name: &str, heartbeat_id: HeartbeatId, reply: HeartbeatReply) {
        let now = self.queue.now();
        if let Some(agent) = self.agents.running.get_mut(name).filter(|agent| !agent.hangs(now)) {
            agent.handle_heartbeat_reply(now, heartbeat_id, reply, &self.checker.submissions);
        }
        self.report_events_to_checker(name);
    }

    /// Delivers direct commands to an agent, after the end of a hang if its machine hangs.
    pub(super) fn deliver_direct_commands(
        &mut self,
        from: ProcessId,
        id: u64,
        address: &str,
        commands: DirectCommands,
    ) {
        let now = self.queue.now();
        let name = self.agents.at_address(address).to_string();
        let Some(agent) = self.agents.running.get_mut(&name).filter(|agent| agent.machine.address == address) else {
            return;
        };
        let arrival = |from, commands| Event::AgentCommands { from, id, address: address.into(), commands };
        if agent.hangs(now) {
            let at = agent.faults.hung_until_ms;
            self.queue.schedule(at, arrival(from, commands));
            return;
        }
        let reply = agent.execute_direct_commands(now, commands.clone(), &self.checker.submissions);
        if from.expects_replies() {
            let copy = || arrival(from.discarding_reply(), commands.clone());
            self.schedule_repetitions(RepeatedKind::DirectCalls, copy);
        } else {
            self.log_line(|| format!("{name}: late copy of a direct call: {commands:?}"));
        }
        self.report_events_to_checker(&name);
        let delay_ms = self.network_delay_ms() + self.agents.link(&name).answer_delay.at(now).unwrap_or(0);
        if let Some(at) = self.agent_route(from.controller, &name).arrival(now, delay_ms, 0) {
            self.queue.schedule(at, Event::Message { to: from, command: Command::DirectCommands(id, Ok(reply)) });
        }
    }

    fn retry_at_next_controller(&mut self, name: &str) {
        let controllers = self.controllers.len();
        let Some(agent) = self.agents.running.get(name) else { return };
        let next = (agent.controller + 1) % controllers;
        self.switch_agent_controller(name, next, self.queue.now() + RETRY_MS);
    }

    fn switch_agent_controller(&mut self, name: &str, controller: usize, next_heartbeat_at_ms: u64) {
        if let Some(agent) = self.agents.running.get_mut(name) {
            agent.switch_controller(controller, next_heartbeat_at_ms);
        }
    }

    /// Passes the events of a machine to the checker, in order.
    pub(super) fn report_events_to_checker(&mut self, name: &str) {
        let now = self.queue.now();
        let Some(agent) = self.agents.running.get_mut(name) else { return };
        if agent.events.is_empty() {
            return;
        }
        let events = std::mem::take(&mut agent.events);
        let machine = agent.machine.clone();
        for event in events {
            self.log_line(|| format!("{name}: {event:?}"));
            let late_starts_before = self.checker.starts_after_cancellation;
            self.checker.record_task_event(now, &machine, &event);
            if self.checker.starts_after_cancellation.count > late_starts_before.count {
                self.log_line(|| format!("{name}: starts after its job was confirmed as cancelled"));
            }
            if let TaskEvent::Completed { task } = &event {
                self.cancel_at_completion(task);
            }
        }
    }

    /// Cancels a job with the injected probability at the moment at which its last task completes.
    fn cancel_at_completion(&mut self, task: &str) {
        let now = self.queue.now();
        let Some(probability) = self.users.completion_cancellation.at(now) else { return };
        let Some((job, _)) = split_task_name(task) else { return };
        let complete = self.checker.submissions.get(job).is_some_and(|spec| self.checker.all_tasks_completed(spec));
        if complete && self.random.random_bool(probability) {
            self.cancel_at(job, now);
        }
    }

    /// Terminates a machine and makes its capacity available again at the cloud.
    pub(super) fn remove_machine(&mut self, name: &str) {
        self.terminate_machine(name);
        self.cloud.service.release(name);
    }

    /// Ends the agent of a machine and reports to the checker that the machine's tasks have stopped.
    pub(super) fn terminate_machine(&mut self, name: &str) {
        let Some(mut agent) = self.agents.running.remove(name) else { return };
        for event in agent.terminate() {
            self.checker.record_task_event(self.queue.now(), &agent.machine, &event);
        }
    }
}

fn duplicate_of(controller: usize, heartbeat: &Heartbeat) -> Event {
    Event::AgentHeartbeat { controller, heartbeat: heartbeat.clone(), reply_to: None }
}
