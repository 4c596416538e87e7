//! The controller processes of a simulated site.

use super::event::{Event, RequestKind};
use super::fault::ControllerChoice;
use super::{Simulation, WALL_CLOCK_START_MS, previous_version};
use crate::process::ProcessId;
use shaleshunt_core::io::Command;
use shaleshunt_core::{Controller as ControllerNode, RequestError, Settings, Timestamp};

/// How long after a controller's death its peers learn that their connections are broken, in ms.
const BROKEN_CONNECTION_MS: u64 = 5;

/// Which version of the program a controller runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Version {
    /// The one under test.
    Current,
    /// A stand-in of the one before it, which ignores what it does not know.
    Previous,
}

/// A controller and the process that runs it, if one does.
pub(super) struct Controller {
    pub(super) settings: Settings,
    pub(super) version: Version,
    process: Option<ControllerNode>,
    incarnation: u32,
    started_at: u64,
    paused_until: u64,
    /// What waits for a paused process, in order.
    waiting: Vec<Command>,
}

impl Controller {
    pub(super) fn new(settings: Settings) -> Controller {
        Controller {
            settings,
            version: Version::Current,
            process: None,
            incarnation: 0,
            started_at: 0,
            paused_until: 0,
            waiting: Vec::new(),
        }
    }

    pub(super) fn is_running(&self) -> bool {
        self.process.is_some()
    }

    pub(super) fn leads(&self) -> bool {
        self.process.as_ref().is_some_and(ControllerNode::is_active_leader)
    }

    /// The process's clocks: the steady one counts from its start.
    fn clock(&self, now: u64) -> Timestamp {
        Timestamp { monotonic_ms: now - self.started_at + 1, wall_ms: WALL_CLOCK_START_MS + now }
    }

    pub(super) fn pause_until(&mut self, until: u64) {
        self.paused_until = until;
    }

    fn kill(&mut self) {
        self.process = None;
        self.incarnation += 1;
        self.paused_until = 0;
        self.waiting.clear();
    }
}

impl Simulation {
    pub(super) fn process_id(&self, controller: usize) -> ProcessId {
        ProcessId { controller, incarnation: self.controllers[controller].incarnation }
    }

    pub(super) fn controller_labelled(&self, node_name: &str) -> Option<usize> {
        self.controllers.iter().position(|controller| controller.settings.node_name == node_name)
    }

    /// The controller that leads, paused or not.
    pub(super) fn leader(&self) -> Option<usize> {
        self.controllers.iter().position(Controller::leads)
    }

    /// The controller that a fault means.
    pub(super) fn chosen_controller(&self, choice: ControllerChoice) -> usize {
        let now = self.queue.now();
        match choice {
            ControllerChoice::Index(index) => index,
            ControllerChoice::Leader => {
                let acts = |controller: &Controller| now >= controller.paused_until && controller.leads();
                self.controllers.iter().position(acts).unwrap_or(0)
            }
        }
    }

    pub(super) fn start_controller(&mut self, index: usize) {
        let now = self.queue.now();
        let controller = &mut self.controllers[index];
        controller.incarnation += 1;
        controller.started_at = now;
        let mut settings = controller.settings.clone();
        if controller.version == Version::Previous {
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

    /// A controller learns that its connection to another is broken.
    pub(super) fn break_connection(&mut self, at: usize, to: usize) {
        let node_name = self.controllers[to].settings.node_name.clone();
        let message = Event::Message { to: self.process_id(at), command: Command::PeerDisconnected(node_name) };
        self.queue.schedule(self.queue.now() + BROKEN_CONNECTION_MS, message);
    }

    /// Hands a command to a controller and carries out the effects.
    pub(super) fn step(&mut self, index: usize, command: Command) {
        let now = self.queue.now();
        let controller = &mut self.controllers[index];
        if now < controller.paused_until && controller.is_running() {
            if !matches!(command, Command::Tick) {
                controller.waiting.push(command);
            }
            return;
        }
        for earlier in std::mem::take(&mut controller.waiting) {
            self.step_running(index, earlier);
        }
        self.step_running(index, command);
    }

    fn step_running(&mut self, index: usize, command: Command) {
        let now = self.queue.now();
        let from = self.process_id(index);
        let controller = &mut self.controllers[index];
        let version = controller.version;
        let clock = controller.clock(now);
        let Some(process) = controller.process.as_mut() else { return };
        let command = match version {
            Version::Current => command,
            Version::Previous => previous_version::as_read(command),
        };
        if let Some(trace) = &mut self.recording.trace {
            trace.command(now, from, &command);
        }
        for effect in process.step(clock, vec![command]) {
            if let Some(trace) = &mut self.recording.trace {
                trace.effect(now, from, &effect);
            }
            let effect = match version {
                Version::Current => effect,
                Version::Previous => previous_version::as_written(effect),
            };
            self.carry_out(from, effect);
        }
    }

    /// A message reaches a controller: answers only while their requests are open, and nothing that was
    /// meant for an earlier process.
    pub(super) fn take_message(&mut self, to: ProcessId, command: Command) {
        let answered = match &command {
            Command::Kv(id, _) | Command::Cloud(id, _) | Command::DirectCommands(id, _) => Some(*id),
            _ => None,
        };
        if answered.is_some_and(|id| !self.requests.close(to, id)) {
            return;
        }
        if self.process_id(to.controller) == to {
            self.step(to.controller, command);
        }
    }

    pub(super) fn time_out(&mut self, from: ProcessId, id: u64, kind: RequestKind) {
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
