//! Execution of the controllers' effects: requests to services and agents, messages to peers and answers to requesters.

use super::Simulation;
use super::agents::REQUEST_TIMEOUT_IN_HEARTBEAT_INTERVALS;
use super::event::{Event, RequestKind};
use super::network::PartitionScope;
use super::repetition::RepeatedKind;
use super::requests::Requester;
use crate::process::ProcessId;
use shaleshunt_core::io::{Answer, CloudRequest, Command, Effect};
use shaleshunt_core::{Event as LogEvent, RequestError};
use shaleshunt_peer::Frame;
use shaleshunt_wire::worker::DirectCommands;

/// Factor between a controller's timeout for the cloud and its timeout for other requests.
const CLOUD_TIMEOUT_FACTOR: u64 = 3;

impl Simulation {
    pub(super) fn execute_effect(&mut self, from: ProcessId, effect: Effect) {
        let delay_ms = self.network_delay_ms();
        match effect {
            Effect::Kv(id, request, via) => self.send_to_store(from, id, request, via, delay_ms),
            Effect::Cloud(id, request) => self.send_to_cloud(from, id, request, delay_ms),
            Effect::DirectCommands(id, agent, commands) => self.send_to_agent(from, id, agent, commands, delay_ms),
            Effect::Answer(id, answer) => self.deliver_answer(from.controller, id, answer),
            Effect::Peer(node_name, frame) => self.send_to_peer(from, &node_name, &frame, delay_ms),
            Effect::Log(event) => self.record_log(from.controller, &event),
        }
    }

    /// Timeout of a controller's requests, in ms; a request to the cloud has [`CLOUD_TIMEOUT_FACTOR`] times as long.
    pub(super) fn request_timeout_ms(&self) -> u64 {
        (self.heartbeat_interval_s() * 1000.0 * REQUEST_TIMEOUT_IN_HEARTBEAT_INTERVALS) as u64
    }

    fn send_to_cloud(&mut self, from: ProcessId, id: u64, request: CloudRequest, delay_ms: u64) {
        let now = self.queue.now();
        self.requests.open(from, id);
        let timeout = Event::RequestTimeout { from, id, kind: RequestKind::Cloud };
        self.queue.schedule(now + self.request_timeout_ms() * CLOUD_TIMEOUT_FACTOR, timeout);
        let delayed = self.cloud.delayed_scale_out.at(now).filter(|_| matches!(request, CloudRequest::ScaleOut(_)));
        if let Some(scale_out_delay_ms) = delayed {
            let event = Event::CloudRequest { from: from.discarding_reply(), id, request };
            self.queue.schedule(now + scale_out_delay_ms, event);
        } else if self.network.external_route(now, from.controller, PartitionScope::AgentsAndCloud).is_open() {
            self.queue.schedule(now + delay_ms, Event::CloudRequest { from, id, request });
        }
    }

    pub(super) fn handle_at_cloud(&mut self, from: ProcessId, id: u64, request: CloudRequest) {
        let copy = is_cloud_change(&request).then(|| request.clone());
        let outcome = self.cloud.service.handle(self.queue.now(), request);
        if let Some(request) = copy.filter(|_| outcome.reply.is_ok() && from.expects_replies()) {
            let from = from.discarding_reply();
            let event = || Event::CloudRequest { from, id, request: request.clone() };
            self.schedule_repetitions(RepeatedKind::CloudChanges, event);
        }
        for machine in outcome.scaled_in {
            self.terminate_machine(&machine);
        }
        self.reply_from_service(from, Command::Cloud(id, outcome.reply), PartitionScope::AgentsAndCloud, 0);
    }

    fn send_to_agent(&mut self, from: ProcessId, id: u64, address: String, commands: DirectCommands, delay_ms: u64) {
        let now = self.queue.now();
        self.recording.direct_calls += 1;
        self.requests.open(from, id);
        let timeout_at = now + self.request_timeout_ms();
        if now < self.network.direct_calls_refused_until_ms {
            let overloaded = Command::DirectCommands(id, Err(RequestError::LocalOverload));
            self.queue.schedule(timeout_at, Event::Message { to: from, command: overloaded });
            return;
        }
        self.queue.schedule(timeout_at, Event::RequestTimeout { from, id, kind: RequestKind::Agent });
        let agent = self.agents.at_address(&address);
        let link = self.agents.link(agent);
        let route = self.agent_route(from.controller, agent);
        if route.is_open() && now < link.inbound_lost_until_ms {
            return;
        }
        let extra_delay_ms = link.command_delay.at(now).unwrap_or(0);
        if let Some(at) = route.arrival(now, delay_ms, extra_delay_ms) {
            self.queue.schedule(at, Event::AgentCommands { from, id, address, commands });
        }
    }

    fn send_to_peer(&mut self, from: ProcessId, node_name: &str, frame: &Frame, delay_ms: u64) {
        let Some(to) = self.controller_named(node_name) else { return };
        let now = self.queue.now();
        if !self.network.peers_connected(now, from.controller, to) {
            return;
        }
        let sender = self.controllers[from.controller].settings.node_name.clone();
        // Encodes and decodes the frame as a real connection does.
        let mut encoded = bytes::BytesMut::new();
        frame.encode(&mut encoded);
        if let Ok(Some(frame)) = Frame::decode(&mut encoded) {
            let event = Event::Message { to: self.process_id(to), command: Command::Peer(sender, frame) };
            self.queue.schedule(now + delay_ms, event);
        }
    }

    /// Sends a reply of the key-value store or the cloud to a controller; `extra_delay_ms` applies to an open route.
    pub(super) fn reply_from_service(
        &mut self,
        to: ProcessId,
        command: Command,
        scope: PartitionScope,
        extra_delay_ms: u64,
    ) {
        let now = self.queue.now();
        let delay_ms = self.network_delay_ms();
        let route = self.network.external_route(now, to.controller, scope);
        // A reply that a partition holds back may arrive after the request has timed out.
        if let Some(at) = route.arrival(now, delay_ms, extra_delay_ms) {
            self.queue.schedule(at, Event::Message { to, command });
        }
    }

    fn deliver_answer(&mut self, controller: usize, id: u64, answer: Answer) {
        match self.requests.take_requester(id) {
            Some(Requester::Agent { agent, heartbeat }) => {
                self.deliver_answer_to_agent(controller, &agent, heartbeat, answer)
            }
            Some(Requester::Probe { job, asked_at_ms }) => {
                self.deliver_answer_to_probe(controller, &job, asked_at_ms, &answer)
            }
            Some(Requester::User { job, asked_at_ms }) => {
                self.deliver_answer_to_user(controller, &job, asked_at_ms, &answer)
            }
            None => {}
        }
    }

    fn record_log(&mut self, controller: usize, event: &LogEvent) {
        self.recording.unreachable_zones += u32::from(matches!(event, LogEvent::ZoneUnreachable { .. }));
        self.log_line(|| format!("n{controller}: {event}"));
    }
}

fn is_cloud_change(request: &CloudRequest) -> bool {
    matches!(request, CloudRequest::ScaleOut(_) | CloudRequest::ScaleIn(_))
}
