//! The events of a simulation and the queue that orders them.

use crate::agent::HeartbeatId;
use crate::process::ProcessId;
use shaleshunt_core::KvRequest;
use shaleshunt_core::io::{CloudRequest, Command};
use shaleshunt_wire::worker::{DirectCommands, Heartbeat, HeartbeatReply};
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// What a request that timed out had been sent to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum RequestKind {
    Store,
    Cloud,
    Agent,
}

/// Something that happens at a time.
#[derive(Debug)]
pub(super) enum Event {
    /// All parties look at their clocks.
    Tick,
    /// A request reaches the key-value store.
    StoreRequest { from: ProcessId, id: u64, request: KvRequest },
    /// A request reaches the cloud.
    CloudRequest { from: ProcessId, id: u64, request: CloudRequest },
    /// Direct commands reach an agent.
    AgentCommands { from: ProcessId, id: u64, agent: String, commands: DirectCommands },
    /// A message reaches a controller.
    Message { to: ProcessId, command: Command },
    /// A controller gives up waiting for the answer to a request.
    RequestTimeout { from: ProcessId, id: u64, kind: RequestKind },
    /// A heartbeat reaches a controller; nobody awaits the answer to a copy.
    AgentHeartbeat { controller: usize, heartbeat: Heartbeat, answer_to: Option<HeartbeatId> },
    /// The answer to a heartbeat reaches its agent after a delay.
    HeartbeatAnswer { agent: String, answered: HeartbeatId, reply: HeartbeatReply },
    /// A controller starts.
    ControllerStart(usize),
    /// A user takes the next step with a job.
    UserStep(String),
    /// A user looks at a job at one controller.
    UserProbe { job: String, controller: usize, request: ProbeRequest },
    /// A fault begins, by its place in the schedule.
    FaultBegins(usize),
}

/// What a user who looks at a job sends.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum ProbeRequest {
    Status,
    /// The submission once more.
    Resubmission,
}

/// An event with its time; of those at the same time, the first that was scheduled comes first.
struct Scheduled {
    at: u64,
    number: u64,
    event: Event,
}

impl Scheduled {
    fn order(&self) -> (u64, u64) {
        (self.at, self.number)
    }
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.order() == other.order()
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> Ordering {
        self.order().cmp(&other.order())
    }
}

/// The clock of a simulation and the events to come.
#[derive(Default)]
pub(super) struct EventQueue {
    now: u64,
    scheduled: u64,
    events: BinaryHeap<Reverse<Scheduled>>,
}

impl EventQueue {
    /// Time since the beginning, in ms.
    pub(super) fn now(&self) -> u64 {
        self.now
    }

    /// Schedules an event, for now if its time has passed.
    pub(super) fn schedule(&mut self, at: u64, event: Event) {
        self.scheduled += 1;
        self.events.push(Reverse(Scheduled { at: at.max(self.now), number: self.scheduled, event }));
    }

    /// The next event that comes no later than `until`; the clock moves to it.
    pub(super) fn next_until(&mut self, until: u64) -> Option<Event> {
        if self.events.peek().is_none_or(|Reverse(next)| next.at > until) {
            return None;
        }
        let Reverse(next) = self.events.pop()?;
        self.now = next.at;
        Some(next.event)
    }

    /// Moves the clock on when no event is left until then.
    pub(super) fn move_clock_to(&mut self, at: u64) {
        self.now = at;
    }
}
