//! A machine: its attributes, its placements and the state of its agent.

use super::{Agent, DirectCall, Id, ImageCache, MachineHealth, Placement};
use crate::settings::Settings;
use crate::time::Timestamp;
use shaleshunt_wire::Resources;

/// A machine with this many consecutive unacknowledged commands gets no tasks until it acknowledges one, because its
/// heartbeats may arrive while commands to it are lost.
const UNACKNOWLEDGED_COMMANDS_LIMIT: u32 = 1;

/// A machine.
#[derive(Debug)]
pub struct Machine {
    /// Name of the machine.
    pub id: Id,
    /// Name of the machine type in the catalog.
    pub machine_type: String,
    /// Zone; empty while the machine is known only from the record of a placement.
    pub zone: String,
    /// Whether the machine is a spot instance, which the cloud may preempt.
    pub spot: bool,
    /// Whether the machine is owned. An owned machine is never returned because it is idle.
    pub owned: bool,
    /// When the machine was rented (ms, wall clock).
    pub rented_at_ms: u64,
    /// Total resources and the part that placements use.
    pub capacity: Capacity,
    /// Placements on the machine, from planning until they are proven gone.
    pub placements: Vec<Placement>,
    /// Images on the machine's disk.
    pub images: ImageCache,
    /// State of the machine's record in the key-value store.
    pub record: MachineRecordState,
    /// The machine's agent.
    pub agent: Agent,
    /// Direct-call state of the agent.
    pub call: DirectCall,
    /// Failure history and quarantine.
    pub health: MachineHealth,
    /// Usage and removal state.
    pub lifecycle: Lifecycle,
}

/// Resources of a machine.
#[derive(Debug, Clone, Copy, Default)]
pub struct Capacity {
    /// Total resources.
    pub total: Resources,
    /// Resources that placements use.
    pub used: Resources,
}

impl Capacity {
    /// Resources that no placement uses.
    pub fn free(&self) -> Resources {
        Resources {
            cores: self.total.cores - self.used.cores,
            accelerators: self.total.accelerators - self.used.accelerators,
            memory: self.total.memory - self.used.memory,
        }
    }
}

/// State of a machine's record in the key-value store.
#[derive(Debug, Default)]
pub struct MachineRecordState {
    /// Number of the machine block with the record; absent if no block has it.
    pub block: Option<u32>,
    /// Whether the record is committed. Tasks may be placed only on a machine with a committed record.
    pub committed: bool,
}

/// Usage and removal state of a machine.
#[derive(Debug, Default)]
pub struct Lifecycle {
    /// When the cloud takes the machine away (ms, monotonic); absent without a preemption notice.
    pub preemption_at_ms: Option<u64>,
    /// Whether the machine is to be returned to the cloud, or its return is in flight.
    pub scale_in_wanted: bool,
    /// Whether a request to return the machine is in flight.
    pub scale_in_requested: bool,
    /// Whether the cloud's machine list has shown the machine.
    pub listed: bool,
    /// When the autoscaler last counted on the machine's free resources for waiting or expected work (ms, monotonic).
    pub needed_at_ms: u64,
    /// Since when the machine has had no placements (ms, monotonic).
    pub idle_since_ms: u64,
}

impl Machine {
    /// A machine of which only the name is known.
    pub fn new(id: Id, now: Timestamp) -> Machine {
        Machine {
            id,
            machine_type: String::new(),
            zone: String::new(),
            spot: false,
            owned: false,
            rented_at_ms: now.wall_ms,
            capacity: Capacity::default(),
            placements: Vec::new(),
            images: ImageCache::default(),
            record: MachineRecordState::default(),
            agent: Agent::default(),
            call: DirectCall::default(),
            health: MachineHealth::default(),
            lifecycle: Lifecycle { idle_since_ms: now.monotonic_ms, ..Lifecycle::default() },
        }
    }

    /// Whether the machine may get tasks: it is responsive, recorded, not partitioned, not in quarantine and not about
    /// to leave.
    pub fn is_schedulable(&self, now: u64, settings: &Settings) -> bool {
        self.record.committed
            && self.agent.unacknowledged_commands < UNACKNOWLEDGED_COMMANDS_LIMIT
            && !self.agent.partitioned
            && self.is_responsive(now, settings)
            && !self.lifecycle.scale_in_wanted
            && self.lifecycle.preemption_at_ms.is_none()
            && now >= self.health.quarantined_until_ms
    }

    /// Whether the machine's address is known and its last heartbeat is less than 2.5 heartbeat intervals old.
    pub fn is_responsive(&self, now: u64, settings: &Settings) -> bool {
        let timeout_ms = settings.heartbeat_interval_ms() * 2 + settings.heartbeat_interval_ms() / 2;
        self.agent.last_heartbeat_ms.is_some_and(|at| now.saturating_sub(at) < timeout_ms)
            && !self.agent.endpoint.is_empty()
    }

    /// Resources that no placement uses.
    pub fn free(&self) -> Resources {
        self.capacity.free()
    }

    /// Looks up a placement by its number.
    pub fn placement(&self, placement_id: u64) -> Option<&Placement> {
        self.placements.iter().find(|placement| placement.placement_id == placement_id)
    }

    /// Looks up a placement by its number, for changes.
    pub fn placement_mut(&mut self, placement_id: u64) -> Option<&mut Placement> {
        self.placements.iter_mut().find(|placement| placement.placement_id == placement_id)
    }
}

#[cfg(test)]
mod tests;
