//! A simulated machine and its agent, which sends heartbeats, executes commands and runs tasks under a machine lease.
//!
//! Times are milliseconds of simulated time since the start of the run, unless a name has another unit.

mod commands;
mod tasks;

pub use tasks::JobFacts;

use shaleshunt_wire::user::Submission;
use shaleshunt_wire::worker::{ExitCause, Heartbeat, HeartbeatReply, TaskReport, TaskStatus};
use shaleshunt_wire::{AgentEpoch, Attempt, FencingToken, Resources};
use std::collections::{BTreeMap, BTreeSet};

/// Minimum interval between two heartbeats when the agent's state has changed, in ms.
const MIN_HEARTBEAT_INTERVAL_MS: u64 = 500;

/// A machine as the cloud has granted it.
#[derive(Debug, Clone)]
pub struct Machine {
    /// Name of the machine.
    pub id: String,
    /// Address of its agent.
    pub address: String,
    /// Name of the machine type.
    pub machine_type: String,
    /// Zone in which the machine runs.
    pub zone: String,
    /// Whether the machine is a spot instance.
    pub spot: bool,
    /// Resources available to tasks.
    pub capacity: Resources,
    /// Throughput of image fetches, in GB/s.
    pub fetch_gb_per_s: f64,
}

/// An attempt to run a task on the machine.
#[derive(Debug, Clone)]
pub struct TaskAttempt {
    /// Number of the attempt among all attempts of the task.
    pub attempt: Attempt,
    /// State as heartbeats report it.
    pub status: TaskStatus,
    /// Why the attempt exited; `None` while the attempt has not exited.
    pub cause: Option<ExitCause>,
    demand: Resources,
    image: String,
    /// When the fetch of the image completes, in ms.
    image_ready_at_ms: u64,
    /// When the task completes without a stop command, in ms; `None` before its start and for services.
    ends_at_ms: Option<u64>,
    /// Whether the attempt started under [`MachineFaults::fails_tasks_until_ms`] and therefore exits with an error.
    fails: bool,
}

/// A change on a machine that the checker observes.
#[derive(Debug, Clone)]
pub enum TaskEvent {
    /// An attempt has started to run, after the fetch of its image.
    Started {
        /// Name of the task.
        task: String,
        /// Number of the attempt.
        attempt: Attempt,
    },
    /// An attempt no longer runs on the machine.
    Stopped {
        /// Name of the task.
        task: String,
        /// Number of the attempt.
        attempt: Attempt,
    },
    /// A task has run to completion.
    Completed {
        /// Name of the task.
        task: String,
    },
}

/// Identity of a heartbeat, by which its reply is matched.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeartbeatId {
    /// When the agent sent the heartbeat, in ms.
    pub sent_at_ms: u64,
    /// Agent epoch in which the agent sent the heartbeat.
    pub agent_epoch: AgentEpoch,
    /// Sequence number of the heartbeat within the agent epoch.
    pub sequence: u64,
}

/// State of the agent's heartbeat loop.
#[derive(Debug, Default)]
pub struct HeartbeatState {
    /// The heartbeat in flight, whose reply the agent awaits.
    pub in_flight: Option<HeartbeatId>,
    /// When the next periodic heartbeat is due, in ms.
    pub next_at_ms: u64,
    /// When the agent sent its last heartbeat, in ms.
    last_at_ms: u64,
    /// Whether the state has changed since the last heartbeat, so that the next one is sent early.
    changed: bool,
}

/// Injected faults of the machine itself.
#[derive(Debug, Default)]
pub struct MachineFaults {
    /// End of a hang in ms, during which the agent neither runs nor communicates; 0 without one.
    pub hung_until_ms: u64,
    /// Until when every task that starts fails, in ms; 0 without this fault.
    pub fails_tasks_until_ms: u64,
    /// Until when tasks that start run longer, in ms; 0 without this fault.
    pub slow_until_ms: u64,
    /// Factor by which the run time of slow tasks is multiplied.
    pub slow_factor: u32,
}

/// A machine and the agent on it.
pub struct Agent {
    /// The machine on which the agent runs.
    pub machine: Machine,
    /// Current agent epoch; a new epoch begins when the machine lease expires.
    pub agent_epoch: AgentEpoch,
    /// Number of heartbeats built in this agent epoch, including those in replies to direct commands.
    sequence: u64,
    /// Highest fencing token received from a controller.
    pub token: FencingToken,
    /// Attempts on the machine, by name of the task; exited attempts stay until a controller has the agent forget them.
    pub tasks: BTreeMap<String, Vec<TaskAttempt>>,
    /// Images that the machine has fetched.
    images: BTreeSet<String>,
    /// When the last answered heartbeat was sent, in ms: the machine lease counts from the send time.
    lease_renewed_at_ms: u64,
    /// Duration of the machine lease, in ms.
    lease_ms: u64,
    /// State of the heartbeat loop.
    pub heartbeats: HeartbeatState,
    /// Index of the controller to which the agent sends its heartbeats.
    pub controller: usize,
    /// Seconds until the cloud reclaims the machine; `None` without a preemption notice.
    pub preemption_notice_s: Option<f64>,
    /// Injected faults of the machine.
    pub faults: MachineFaults,
    /// Changes that have not been passed on to the checker yet, oldest first.
    pub events: Vec<TaskEvent>,
}

impl Agent {
    /// Creates the agent of a machine that has just booted.
    pub fn new(machine: Machine, lease_ms: u64, now: u64) -> Agent {
        Agent {
            machine,
            agent_epoch: AgentEpoch(1),
            sequence: 0,
            token: FencingToken::default(),
            tasks: BTreeMap::new(),
            images: BTreeSet::new(),
            lease_renewed_at_ms: now,
            lease_ms,
            heartbeats: HeartbeatState { next_at_ms: now, ..HeartbeatState::default() },
            controller: 0,
            preemption_notice_s: None,
            faults: MachineFaults::default(),
            events: Vec::new(),
        }
    }

    /// Whether an injected fault hangs the machine at `now`.
    pub fn hangs(&self, now: u64) -> bool {
        now < self.faults.hung_until_ms
    }

    /// Resources that no unfinished task uses.
    pub fn free(&self) -> Resources {
        let mut free = self.machine.capacity;
        for task in self.unfinished_tasks() {
            free.add(&task.demand, -1);
        }
        free
    }

    fn unfinished_tasks(&self) -> impl Iterator<Item = &TaskAttempt> {
        self.tasks.values().flatten().filter(|task| task.status != TaskStatus::Exited)
    }

    /// Builds a heartbeat with the current state and the next sequence number.
    pub fn heartbeat(&mut self) -> Heartbeat {
        self.sequence += 1;
        let mut tasks = Vec::new();
        for (name, attempts) in &self.tasks {
            tasks.extend(attempts.iter().map(|task| TaskReport {
                task: name.clone(),
                attempt: task.attempt,
                status: task.status,
                cause: task.cause,
                checkpointed: None,
            }));
        }
        Heartbeat {
            machine: self.machine.id.clone(),
            endpoint: self.machine.address.clone(),
            machine_type: self.machine.machine_type.clone(),
            zone: self.machine.zone.clone(),
            spot: self.machine.spot,
            agent_epoch: self.agent_epoch,
            sequence: self.sequence,
            token: self.token,
            preemption_notice_s: self.preemption_notice_s,
            tasks,
        }
    }

    /// Returns a heartbeat to send if one is due and none is in flight; the next one is due after `interval_ms`.
    pub fn heartbeat_if_due(&mut self, now: u64, interval_ms: u64) -> Option<Heartbeat> {
        let changed = self.heartbeats.changed && now >= self.heartbeats.last_at_ms + MIN_HEARTBEAT_INTERVAL_MS;
        let due = now >= self.heartbeats.next_at_ms || changed;
        if self.heartbeats.in_flight.is_some() || !due {
            return None;
        }
        let heartbeat = self.heartbeat();
        let id = HeartbeatId { sent_at_ms: now, agent_epoch: heartbeat.agent_epoch, sequence: heartbeat.sequence };
        self.heartbeats =
            HeartbeatState { in_flight: Some(id), next_at_ms: now + interval_ms, last_at_ms: now, changed: false };
        Some(heartbeat)
    }

    /// Renews the machine lease and executes the commands in the reply to the heartbeat in flight.
    ///
    /// Replies to other heartbeats, from an earlier agent epoch or with an older fencing token have no effect.
    pub fn handle_heartbeat_reply(
        &mut self,
        now: u64,
        heartbeat_id: HeartbeatId,
        reply: HeartbeatReply,
        jobs: &BTreeMap<String, Submission>,
    ) {
        if self.heartbeats.in_flight != Some(heartbeat_id) {
            return;
        }
        self.heartbeats.in_flight = None;
        if heartbeat_id.agent_epoch != self.agent_epoch || reply.token < self.token {
            return;
        }
        self.heartbeats.changed |= reply.token > self.token;
        self.token = reply.token;
        self.lease_renewed_at_ms = heartbeat_id.sent_at_ms;
        for command in reply.commands {
            self.execute(now, command, jobs);
        }
    }

    /// Abandons the heartbeat in flight and sends the next one to `controller`, at `next_at_ms`.
    pub fn switch_controller(&mut self, controller: usize, next_at_ms: u64) {
        self.heartbeats.in_flight = None;
        self.heartbeats.next_at_ms = next_at_ms;
        self.controller = controller;
    }
}
