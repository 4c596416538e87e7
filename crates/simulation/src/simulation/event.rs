//! The events of a simulation and the queue that orders them by time.

use crate::agent::HeartbeatId;
use crate::process::ProcessId;
use shaleshunt_core::KvRequest;
use shaleshunt_core::io::{CloudRequest, Command};
use shaleshunt_wire::worker::{DirectCommands, Heartbeat, HeartbeatReply};
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// Receiver of a controller's request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum RequestKind {
    Store,
    Cloud,
    Agent,
}

/// Something that happens at a simulated time.
#[derive(Debug)]
pub(super) enum Event {
    /// All parties act on the elapsed time.
    Tick,
    /// A request reaches the key-value store.
    StoreRequest { from: ProcessId, id: u64, request: KvRequest },
    /// A request that the key-value store has executed and answered reaches it once more.
    RepeatedStoreRequest { from: ProcessId, id: u64, request: KvRequest },
    /// A request reaches the cloud.
    CloudRequest { from: ProcessId, id: u64, request: CloudRequest },
    /// Direct commands reach the agent at an address.
    AgentCommands { from: ProcessId, id: u64, address: String, commands: DirectCommands },
    /// A message from a service, agent or peer reaches a controller process.
    Message { to: ProcessId, command: Command },
    /// A controller's request times out, unless a reply has closed the request.
    RequestTimeout { from: ProcessId, id: u64, kind: RequestKind },
    /// A heartbeat reaches a controller; `reply_to` is `None` for a duplicate, whose reply no agent awaits.
    AgentHeartbeat { controller: usize, heartbeat: Heartbeat, reply_to: Option<HeartbeatId> },
    /// A delayed reply to a heartbeat reaches its agent.
    HeartbeatAnswer { agent: String, heartbeat_id: HeartbeatId, reply: HeartbeatReply },
    /// The controller with this index starts.
    ControllerStart(usize),
    /// The user of this job submits, queries or cancels the job.
    UserStep(String),
    /// A user sends a probe request for a job to one controller.
    UserProbe { job: String, controller: usize, request: ProbeRequest },
    /// A change that a user requested reaches the controller once more.
    RepeatedUserRequest { job: String, controller: usize, request: UserChange },
    /// The fault with this index in the schedule begins.
    FaultBegins(usize),
}

/// Request with which a user probes the state of a job.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum ProbeRequest {
    Status,
    /// The job's submission, sent again.
    Resubmission,
}

/// A change that a user requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum UserChange {
    Submission,
    Cancellation,
}

/// An event with its time; events at the same time are ordered as they were scheduled.
struct ScheduledEvent {
    at_ms: u64,
    /// Number of the event in the order of scheduling.
    sequence: u64,
    event: Event,
}

impl ScheduledEvent {
    fn sort_key(&self) -> (u64, u64) {
        (self.at_ms, self.sequence)
    }
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.sort_key() == other.sort_key()
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> Ordering {
        self.sort_key().cmp(&other.sort_key())
    }
}

/// The clock of a simulation and its pending events.
#[derive(Default)]
pub(super) struct EventQueue {
    now: u64,
    scheduled_count: u64,
    events: BinaryHeap<Reverse<ScheduledEvent>>,
}

impl EventQueue {
    /// Simulated time since the start of the run, in ms.
    pub(super) fn now(&self) -> u64 {
        self.now
    }

    /// Schedules an event; an event whose time has passed is scheduled for now.
    pub(super) fn schedule(&mut self, at_ms: u64, event: Event) {
        self.scheduled_count += 1;
        self.events.push(Reverse(ScheduledEvent { at_ms: at_ms.max(self.now), sequence: self.scheduled_count, event }));
    }

    /// Removes the next event that is due no later than `until_ms`, and advances the clock to the event's time.
    pub(super) fn next_until(&mut self, until_ms: u64) -> Option<Event> {
        if self.events.peek().is_none_or(|Reverse(next)| next.at_ms > until_ms) {
            return None;
        }
        let Reverse(next) = self.events.pop()?;
        self.now = next.at_ms;
        Some(next.event)
    }

    /// Advances the clock when no pending event is due until `now`.
    pub(super) fn advance_clock_to(&mut self, now: u64) {
        self.now = now;
    }
}
