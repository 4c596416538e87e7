//! A machine: what it is, what it holds, what its agent has said and been told.

use super::{Id, Placement};
use crate::io::Timestamp;
use crate::settings::Settings;
use shaleshunt_wire::worker::ExitCause;
use shaleshunt_wire::{AgentEpoch, Attempt, Resources};

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
    pub rented_at: u64,
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

/// An image on a machine's disk.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CachedImage {
    /// Its number.
    pub image: u32,
    /// Its size.
    pub size_gb: f64,
}

/// Images on a machine's disk, the most recently used last.
#[derive(Debug, Clone, Default)]
pub struct ImageCache(Vec<CachedImage>);

impl ImageCache {
    /// Whether an image is held.
    pub fn contains(&self, image: u32) -> bool {
        self.0.iter().any(|cached| cached.image == image)
    }

    /// Notes that an image was used, forgetting the least recently used beyond `disk_gb`.
    pub fn touch(&mut self, image: u32, size_gb: f64, disk_gb: f64) {
        self.0.retain(|cached| cached.image != image);
        self.0.push(CachedImage { image, size_gb });
        while self.0.len() > 1 && self.size_gb() > disk_gb {
            self.0.remove(0);
        }
    }

    /// Notes an image that is held for all that is known, unless it was known to be.
    pub fn add_known(&mut self, image: u32, size_gb: f64) {
        if !self.contains(image) {
            self.0.push(CachedImage { image, size_gb });
        }
    }

    /// The images, the least recently used first.
    pub fn iter(&self) -> impl Iterator<Item = &CachedImage> {
        self.0.iter()
    }

    fn size_gb(&self) -> f64 {
        self.0.iter().map(|cached| cached.size_gb).sum()
    }
}

impl FromIterator<CachedImage> for ImageCache {
    fn from_iter<I: IntoIterator<Item = CachedImage>>(images: I) -> ImageCache {
        ImageCache(images.into_iter().collect())
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

/// Place of a heartbeat among all of a machine: later ones compare greater.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct HeartbeatOrder {
    /// The agent that sent it.
    pub agent_epoch: AgentEpoch,
    /// Its number among that agent's.
    pub sequence: u64,
}

/// A task that a machine reports and that has no placement there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnexpectedTask {
    /// The task's name as reported.
    pub task: String,
    /// Attempt.
    pub attempt: Attempt,
    /// Why it ended, if it has.
    pub exit: Option<ExitCause>,
}

/// The agent on a machine, as heartbeats and commands show it.
#[derive(Debug, Default)]
pub struct Agent {
    /// Address, empty until known.
    pub endpoint: String,
    /// Its incarnation: placements for an earlier one are gone.
    pub epoch: AgentEpoch,
    /// When this leader last received a heartbeat (ms, monotonic).
    pub last_heard: Option<u64>,
    /// The last heartbeat's place among all.
    pub last_heartbeat: HeartbeatOrder,
    /// A heartbeat under this leader's current fencing token has come.
    pub token_confirmed: bool,
    /// Added to the leader epoch's fencing token when a command's fate is unknown.
    pub token_counter: u64,
    /// The answer to the last heartbeat held a `run`, and no later heartbeat has come.
    pub reply_may_start_tasks: bool,
    /// Commands in a row of which nothing was seen: it reports, but may not hear us.
    pub unacknowledged_commands: u32,
    /// No machine in its zone can be heard.
    pub partitioned: bool,
    /// Tasks of the last heartbeat that have ended or that are not known here.
    pub unexpected_tasks: Vec<UnexpectedTask>,
}

/// The direct call to a machine's agent.
#[derive(Debug, Default)]
pub struct DirectCall {
    /// The call under way.
    pub in_flight: Option<u64>,
    /// Placements of which a `run` left with that call for the first time.
    pub first_starts: Vec<u64>,
    /// No call before this time.
    pub not_before: u64,
    /// The call under way only confirms the fencing token.
    pub confirms_token: bool,
    /// The call under way holds commands.
    pub has_commands: bool,
    /// Something is to be sent as soon as the call under way is over.
    pub more_to_send: bool,
}

/// How well tasks run on a machine.
#[derive(Debug, Default)]
pub struct MachineHealth {
    /// Failures in a row, by job.
    pub failed_jobs: Vec<Id>,
    /// When last a task failed here.
    pub failed_at: u64,
    /// Not used before this time.
    pub quarantined_until: u64,
    /// Times that it was put in quarantine since a task succeeded.
    pub quarantine_count: u32,
    /// Its tasks take much longer than the same jobs' elsewhere: no batch work before this time.
    pub slow_until: u64,
}

/// A machine's use and its way out of the fleet.
#[derive(Debug, Default)]
pub struct Lifecycle {
    /// The cloud takes it away at this time (ms, monotonic).
    pub preempted_at: Option<u64>,
    /// Its return is wanted or under way.
    pub scale_in_wanted: bool,
    /// The request to return it is under way.
    pub scale_in_requested: bool,
    /// It has been seen in the cloud's list.
    pub listed: bool,
    /// When its room was last counted on for work waiting or expected.
    pub needed_at: u64,
    /// Without placements since this time.
    pub idle_since: u64,
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
            rented_at: now.wall_ms,
            capacity: Capacity::default(),
            placements: Vec::new(),
            images: ImageCache::default(),
            record: MachineRecordState::default(),
            agent: Agent::default(),
            call: DirectCall::default(),
            health: MachineHealth::default(),
            lifecycle: Lifecycle { idle_since: now.monotonic_ms, ..Lifecycle::default() },
        }
    }

    /// Whether it answers and may get tasks.
    pub fn is_schedulable(&self, now: u64, set: &Settings) -> bool {
        self.record.committed
            && self.agent.unacknowledged_commands < MOST_UNACKNOWLEDGED_COMMANDS
            && !self.agent.partitioned
            && self.answers(now, set)
            && !self.lifecycle.scale_in_wanted
            && self.lifecycle.preempted_at.is_none()
            && now >= self.health.quarantined_until
    }

    /// Whether it has sent a heartbeat lately.
    pub fn answers(&self, now: u64, set: &Settings) -> bool {
        let patience = set.heartbeat_interval_ms() * 2 + set.heartbeat_interval_ms() / 2;
        self.agent.last_heard.is_some_and(|heard| now.saturating_sub(heard) < patience)
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
