//! The controller processes of a simulated site.

use super::event::{Event, RequestKind};
use super::fault::ControllerChoice;
use super::{Simulation, WALL_CLOCK_START_MS, previous_version};
use crate::process::ProcessId;
use shaleshunt_core::io::Command;
use shaleshunt_core::{Controller as ControllerNode, RequestError, Settings, Timestamp};

/// Delay after which a controller learns that a connection to a peer is broken, in ms.
const DISCONNECT_DETECTION_MS: u64 = 5;

/// Version of the program that a controller runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProgramVersion {
    /// The version under test.
    Current,
    /// The version before it, simulated by the current one without the fields that the previous version doesn't know.
    Previous,
}

/// A controller and its process, if one runs.
pub(super) struct Controller {
    pub(super) settings: Settings,
    pub(super) version: ProgramVersion,
    process: Option<ControllerNode>,
    /// Number of starts and kills so far.
    incarnation: u32,
    started_at_ms: u64,
    paused_until_ms: u64,
    /// Commands that arrived while the process was paused, in order.
    queued_commands: Vec<Command>,
}

impl Controller {
    pub(super) fn new(settings: Settings) -> Controller {
        Controller {
            settings,
            version: ProgramVersion::Current,
            process: None,
            incarnation: 0,
            started_at_ms: 0,
            paused_until_ms: 0,
            queued_commands: Vec::new(),
        }
    }

    pub(super) fn is_running(&self) -> bool {
        self.process.is_some()
    }

    pub(super) fn is_leader(&self) -> bool {
        self.process.as_ref().is_some_and(ControllerNode::is_active_leader)
    }

    /// The clocks that the process reads; its monotonic clock begins at 1 ms when the process starts.
    fn clock(&self, now: u64) -> Timestamp {
        Timestamp { monotonic_ms: now - self.started_at_ms + 1, wall_ms: WALL_CLOCK_START_MS + now }
    }

    pub(super) fn pause_until(&mut self, until_ms: u64) {
        self.paused_until_ms = until_ms;
    }

    fn kill(&mut self) {
        self.process = None;
        self.incarnation += 1;
        self.paused_until_ms = 0;
        self.queued_commands.clear();
    }
}

impl Simulation {
    pub(super) fn process_id(&self, controller: usize) -> ProcessId {
        ProcessId { controller, incarnation: self.controllers[controller].incarnation }
    }

    pub(super) fn controller_named(&self, node_name: &str) -> Option<usize> {
        self.controllers.iter().position(|controller| controller.settings.node_name == node_name)
    }

    /// The active leader, whether or not its process is paused.
    pub(super) fn leader(&self) -> Option<usize> {
        self.controllers.iter().position(Controller::is_leader)
    }

    /// The index of the controller that a fault affects.
    pub(super) fn select_controller(&self, choice: ControllerChoice) -> usize {
        let now = self.queue.now();
        match choice {
            ControllerChoice::Index(index) => index,
            ControllerChoice::Leader => {
                let is_unpaused_leader =
                    |controller: &Controller| now >= controller.paused_until_ms && controller.is_leader();
                self.controllers.iter().position(is_unpaused_leader).unwrap_or(0)
            }
        }
    }

    pub(super) fn start_controller(&mut self, index: usize) {
        let now = self.queue.now();
        let controller = &mut self.controllers[index];
        controller.incarnation += 1;
        controller.started_at_ms = now;
        let mut settings = controller.settings.clone();
        if controller.version == ProgramVersion::Previous {
            settings.next_store_quota = None;
        }
        let process_number = ((index as u64 + 1) << 32) + u64::from(controller.incarnation);
        let clock = controller.clock(now);
        controller.process = Some(ControllerNode::new(settings, self.tuning.clone(), clock, process_number));
        self.step(index, Command::Tick);
    }

    pub(super) fn kill_controller(&mut self, index: usize, restart_after_ms: u64) {
        let now = self.queue.now();
        self.controllers[index].kill();
        self.queue.schedule(now + restart_after_ms, Event::ControllerStart(index));
        for peer in 0..self.controllers.len() {
            self.break_connection(peer, index);
        }
    }

    /// Notifies the controller `at` that its connection to the controller `to` is broken.
    pub(super) fn break_connection(&mut self, at: usize, to: usize) {
        let node_name = self.controllers[to].settings.node_name.clone();
        let message = Event::Message { to: self.process_id(at), command: Command::PeerDisconnected(node_name) };
        self.queue.schedule(self.queue.now() + DISCONNECT_DETECTION_MS, message);
    }

    /// Passes a command to a controller and executes the effects; a paused process queues all commands but ticks.
    pub(super) fn step(&mut self, index: usize, command: Command) {
        let now = self.queue.now();
        let controller = &mut self.controllers[index];
        if now < controller.paused_until_ms && controller.is_running() {
            if !matches!(command, Command::Tick) {
                controller.queued_commands.push(command);
            }
            return;
        }
        for queued in std::mem::take(&mut controller.queued_commands) {
            self.step_process(index, queued);
        }
        self.step_process(index, command);
    }

    fn step_process(&mut self, index: usize, command: Command) {
        let now = self.queue.now();
        let from = self.process_id(index);
        let controller = &mut self.controllers[index];
        let version = controller.version;
        let clock = controller.clock(now);
        let Some(process) = controller.process.as_mut() else { return };
        let command = match version {
            ProgramVersion::Current => command,
            ProgramVersion::Previous => previous_version::filter_command(command),
        };
        if let Some(trace) = &mut self.recording.trace_digest {
            trace.record_command(now, from, &command);
        }
        for effect in process.step(clock, vec![command]) {
            if let Some(trace) = &mut self.recording.trace_digest {
                trace.record_effect(now, from, &effect);
            }
            let effect = match version {
                ProgramVersion::Current => effect,
                ProgramVersion::Previous => previous_version::filter_effect(effect),
            };
            self.execute_effect(from, effect);
        }
    }

    /// Delivers a message to a controller process. Replies to requests that are no longer open and messages to an
    /// earlier process of the controller are dropped.
    pub(super) fn deliver_message(&mut self, to: ProcessId, command: Command) {
        let request_id = match &command {
            Command::Kv(id, _) | Command::Cloud(id, _) | Command::DirectCommands(id, _) => Some(*id),
            _ => None,
        };
        if request_id.is_some_and(|id| !self.requests.close(to, id)) {
            return;
        }
        if self.process_id(to.controller) == to {
            self.step(to.controller, command);
        }
    }

    /// Reports an unknown outcome to the process whose request has had no reply in time.
    pub(super) fn time_out_request(&mut self, from: ProcessId, id: u64, kind: RequestKind) {
        if !self.requests.close(from, id) || self.process_id(from.controller) != from {
            return;
        }
        let command = match kind {
            RequestKind::Store => Command::Kv(id, Err(RequestError::OutcomeUnknown)),
            RequestKind::Cloud => Command::Cloud(id, Err(RequestError::OutcomeUnknown)),
            RequestKind::Agent => Command::DirectCommands(id, Err(RequestError::OutcomeUnknown)),
        };
        self.step(from.controller, command);
    }
}
