//! What controllers want done: requests, messages to each other and answers.

use super::Simulation;
use super::agents::TIMEOUT_IN_HEARTBEAT_INTERVALS;
use super::event::{Event, RequestKind};
use super::network::CutSide;
use super::requests::Requester;
use crate::process::ProcessId;
use shaleshunt_core::io::{Answer, CloudRequest, Command, Effect};
use shaleshunt_core::{Event as LogEvent, RequestError};
use shaleshunt_peer::Frame;
use shaleshunt_wire::worker::DirectCommands;

/// How many times as long controllers wait for the cloud as for other services.
const CLOUD_TIMEOUT_FACTOR: u64 = 3;

impl Simulation {
    pub(super) fn carry_out(&mut self, from: ProcessId, effect: Effect) {
        let delay = self.network_delay();
        match effect {
            Effect::Kv(id, request, via) => self.send_to_store(from, id, request, via, delay),
            Effect::Cloud(id, request) => self.send_to_cloud(from, id, request, delay),
            Effect::DirectCommands(id, agent, commands) => self.send_to_agent(from, id, agent, commands, delay),
            Effect::Answer(id, answer) => self.deliver_answer(from.controller, id, answer),
            Effect::Peer(node_name, frame) => self.send_to_peer(from, &node_name, &frame, delay),
            Effect::Log(event) => self.record_log(from.controller, &event),
        }
    }

    /// How long a controller waits for an answer, in ms.
    pub(super) fn request_timeout_ms(&self) -> u64 {
        (self.heartbeat_interval_s() * 1000.0 * TIMEOUT_IN_HEARTBEAT_INTERVALS) as u64
    }

    fn send_to_cloud(&mut self, from: ProcessId, id: u64, request: CloudRequest, delay: u64) {
        let now = self.queue.now();
        self.requests.open(from, id);
        let timeout = Event::RequestTimeout { from, id, kind: RequestKind::Cloud };
        self.queue.schedule(now + self.request_timeout_ms() * CLOUD_TIMEOUT_FACTOR, timeout);
        let delayed = self.cloud.delayed_scale_out.at(now).filter(|_| matches!(request, CloudRequest::ScaleOut(_)));
        if let Some(by_ms) = delayed {
            let event = Event::CloudRequest { from: from.without_answer(), id, request };
            self.queue.schedule(now + by_ms, event);
        } else if self.network.outside_route(now, from.controller, CutSide::Agents).is_open() {
            self.queue.schedule(now + delay, Event::CloudRequest { from, id, request });
        }
    }

    pub(super) fn handle_at_cloud(&mut self, from: ProcessId, id: u64, request: CloudRequest) {
        let outcome = self.cloud.service.handle(self.queue.now(), request);
        for machine in outcome.returned {
            self.end_machine(&machine);
        }
        self.reply_from_outside(from, Command::Cloud(id, outcome.reply), CutSide::Agents, 0);
    }

    fn send_to_agent(&mut self, from: ProcessId, id: u64, agent: String, commands: DirectCommands, delay: u64) {
        let now = self.queue.now();
        self.recording.direct_calls += 1;
        self.requests.open(from, id);
        let timeout_at = now + self.request_timeout_ms();
        if now < self.network.no_direct_calls_until {
            let refused = Command::DirectCommands(id, Err(RequestError::LocalOverload));
            self.queue.schedule(timeout_at, Event::Message { to: from, command: refused });
            return;
        }
        self.queue.schedule(timeout_at, Event::RequestTimeout { from, id, kind: RequestKind::Agent });
        let link = self.agents.link(&agent);
        let route = self.agent_route(from.controller, &agent);
        if route.is_open() && now < link.inbound_lost_until {
            return;
        }
        let slowdown = link.command_delay.at(now).unwrap_or(0);
        if let Some(at) = route.arrival(now, delay, slowdown) {
            self.queue.schedule(at, Event::AgentCommands { from, id, agent, commands });
        }
    }

    fn send_to_peer(&mut self, from: ProcessId, node_name: &str, frame: &Frame, delay: u64) {
        let Some(to) = self.controller_labelled(node_name) else { return };
        let now = self.queue.now();
        if !self.network.peers_connected(now, from.controller, to) {
            return;
        }
        let sender = self.controllers[from.controller].settings.node_name.clone();
        // Encoded and decoded, as on the wire.
        let mut encoded = bytes::BytesMut::new();
        frame.encode(&mut encoded);
        if let Ok(Some(frame)) = Frame::decode(&mut encoded) {
            let event = Event::Message { to: self.process_id(to), command: Command::Peer(sender, frame) };
            self.queue.schedule(now + delay, event);
        }
    }

    /// An answer of the key-value store or the cloud goes back, `slowdown` later on an open route.
    pub(super) fn reply_from_outside(&mut self, to: ProcessId, command: Command, side: CutSide, slowdown: u64) {
        let now = self.queue.now();
        let delay = self.network_delay();
        let route = self.network.outside_route(now, to.controller, side);
        // A reply that was held back may come when the controller has given up.
        if let Some(at) = route.arrival(now, delay, slowdown) {
            self.queue.schedule(at, Event::Message { to, command });
        }
    }

    fn deliver_answer(&mut self, controller: usize, id: u64, answer: Answer) {
        match self.requests.take_requester(id) {
            Some(Requester::Agent { agent, heartbeat }) => self.answer_agent(controller, &agent, heartbeat, answer),
            Some(Requester::Probe { job, asked_at }) => self.answer_probe(controller, &job, asked_at, &answer),
            Some(Requester::User { job, asked_at }) => self.answer_user(controller, &job, asked_at, &answer),
            None => {}
        }
    }

    fn record_log(&mut self, controller: usize, event: &LogEvent) {
        self.recording.isolated_zones += u32::from(matches!(event, LogEvent::ZoneUnreachable { .. }));
        self.log_line(|| format!("n{controller}: {event}"));
    }
}
