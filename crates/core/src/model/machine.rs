//! A machine: what it is, what it holds, what its agent has said and been told.

use super::{Agent, DirectCall, Id, ImageCache, MachineHealth, Placement};
use crate::settings::Settings;
use crate::time::Timestamp;
use shaleshunt_wire::Resources;

/// A machine that let so many commands in a row pass unseen gets no tasks until it shows one: its
/// heartbeats may arrive while nothing reaches it.
const MOST_UNACKNOWLEDGED_COMMANDS: u32 = 1;

/// A machine.
#[derive(Debug)]
pub struct Machine {
    /// Name.
    pub id: Id,
    /// Its type's name in the catalog.
    pub machine_type: String,
    /// Zone, empty while only a placement's record names the machine.
    pub zone: String,
    /// A spot instance, which the cloud may take away.
    pub spot: bool,
    /// Owned: never returned for idleness.
    pub owned: bool,
    /// When it was rented (ms, time of day).
    pub rented_at_ms: u64,
    /// Its room, and what placements take of it.
    pub capacity: Capacity,
    /// Tasks on it, from the plan until they are proven gone.
    pub placements: Vec<Placement>,
    /// Images that it holds.
    pub images: ImageCache,
    /// Its record in the state service.
    pub record: MachineRecordState,
    /// The agent that runs on it.
    pub agent: Agent,
    /// The direct call to the agent.
    pub call: DirectCall,
    /// How well tasks run on it.
    pub health: MachineHealth,
    /// Its way out of the fleet.
    pub lifecycle: Lifecycle,
}

/// A machine's room.
#[derive(Debug, Clone, Copy, Default)]
pub struct Capacity {
    /// All of it.
    pub total: Resources,
    /// What placements take.
    pub used: Resources,
}

impl Capacity {
    /// Room left.
    pub fn free(&self) -> Resources {
        Resources {
            cores: self.total.cores - self.used.cores,
            accelerators: self.total.accelerators - self.used.accelerators,
            memory: self.total.memory - self.used.memory,
        }
    }
}

/// What is known of a machine's record in the state service.
#[derive(Debug, Default)]
pub struct MachineRecordState {
    /// The block that holds it.
    pub block: Option<u32>,
    /// It is committed: tasks may be placed on the machine.
    pub committed: bool,
}

/// A machine's use and its way out of the fleet.
#[derive(Debug, Default)]
pub struct Lifecycle {
    /// The cloud takes it away at this time (ms, monotonic).
    pub preemption_at_ms: Option<u64>,
    /// Its return is wanted or under way.
    pub scale_in_wanted: bool,
    /// The request to return it is under way.
    pub scale_in_requested: bool,
    /// It has been seen in the cloud's list.
    pub listed: bool,
    /// When its room was last counted on for work waiting or expected.
    pub needed_at_ms: u64,
    /// Without placements since this time.
    pub idle_since_ms: u64,
}

impl Machine {
    /// A machine of which nothing is known yet.
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

    /// Whether it answers and may get tasks.
    pub fn is_schedulable(&self, now: u64, set: &Settings) -> bool {
        self.record.committed
            && self.agent.unacknowledged_commands < MOST_UNACKNOWLEDGED_COMMANDS
            && !self.agent.partitioned
            && self.is_responsive(now, set)
            && !self.lifecycle.scale_in_wanted
            && self.lifecycle.preemption_at_ms.is_none()
            && now >= self.health.quarantined_until_ms
    }

    /// Whether it has sent a heartbeat lately.
    pub fn is_responsive(&self, now: u64, set: &Settings) -> bool {
        let patience = set.heartbeat_interval_ms() * 2 + set.heartbeat_interval_ms() / 2;
        self.agent.last_heartbeat_ms.is_some_and(|heard| now.saturating_sub(heard) < patience)
            && !self.agent.endpoint.is_empty()
    }

    /// Room left.
    pub fn free(&self) -> Resources {
        self.capacity.free()
    }

    /// A placement by its number.
    pub fn placement(&self, placement_id: u64) -> Option<&Placement> {
        self.placements.iter().find(|placement| placement.placement_id == placement_id)
    }

    /// A placement by its number, to change it.
    pub fn placement_mut(&mut self, placement_id: u64) -> Option<&mut Placement> {
        self.placements.iter_mut().find(|placement| placement.placement_id == placement_id)
    }
}

#[cfg(test)]
mod tests;
