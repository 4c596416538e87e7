//! Jobs, machines and placements, and their records in the state service.

use crate::io::Timestamp;
use crate::settings::Settings;
use serde::{Deserialize, Serialize};
use shaleshunt_wire::user::{JobKind, Priority, Submission};
use shaleshunt_wire::worker::ExitCause;
use shaleshunt_wire::{AgentEpoch, Attempt, Resources, Revision};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A job's or machine's name.
pub type Id = Arc<str>;

/// A machine that let so many commands in a row pass unseen gets no tasks until it shows one: its
/// reports may arrive while nothing reaches it.
const DEAF: u32 = 1;

/// Keys of the state service.
pub mod keys {
    /// The leader's key, attached to its lease.
    pub const LEADER: &str = "l/lead";
    /// The epoch, which only grows.
    pub const EPOCH: &str = "l/epoch";
    /// Cancelled jobs that have not ended. Below the leader's prefix, so that one watch shows a
    /// controller both that its leader still leads and what has been cancelled.
    pub const CANCELLED: &str = "l/x/";
    /// Unfinished jobs.
    pub const JOBS: &str = "j/";
    /// Parts of submissions that take more than a value.
    pub const SUBMISSION_PARTS: &str = "s/";
    /// Finished jobs.
    pub const FINAL_RECORDS: &str = "f/";
    /// Facts about unfinished jobs' tasks, on pages.
    pub const TASK_PAGES: &str = "p/";
    /// Machines, in blocks.
    pub const MACHINE_BLOCKS: &str = "b/";
    /// Outcomes as version 0.1 kept them. Read at a takeover, removed once written anew.
    pub const V01_OUTCOMES: &str = "d/";
    /// Machines and placements as version 0.1 kept them. Read and removed likewise.
    pub const V01_MACHINES: &str = "m/";
    /// Hires under way.
    pub const SCALE_OUTS: &str = "h/";
    /// The machine types.
    pub const CATALOG: &str = "c/catalog";
    /// The machines owned: those that were up when the service first began. More than a value holds
    /// go on further keys below this one, which are written first: they count only if it is there.
    pub const OWNED: &str = "c/owned";
}

/// Record of an unfinished job.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct JobRecord {
    /// The submission.
    pub s: Submission,
    /// When it was accepted, time of day.
    pub at: u64,
    /// Whether it has been cancelled.
    #[serde(default)]
    pub x: bool,
    /// Whether its cancellation has a key of its own; version 0.1 wrote none.
    #[serde(default)]
    pub k: bool,
}

impl JobRecord {
    /// The record when its user cancels it. What only matters before its tasks start goes: the
    /// record may be longer than what may be written by now.
    pub fn into_cancelled(mut self) -> JobRecord {
        self.s.dependencies.clear();
        self.s.machine_types = None;
        self.s.zone = None;
        self.s.image.clear();
        JobRecord { x: true, k: true, ..self }
    }
}

/// Record of a finished job.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FinalRecord {
    /// Whether it was cancelled.
    pub x: bool,
    /// Number of its tasks.
    pub n: u32,
    /// When it ended, time of day; versions before 0.3 wrote none.
    #[serde(default)]
    pub t: u64,
}

/// A machine in a block's record.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineRecord {
    /// Type.
    pub f: String,
    /// Spot.
    pub b: bool,
    /// Owned.
    pub o: bool,
    /// Address.
    pub e: String,
    /// Session when it was written.
    pub s: AgentEpoch,
    /// When it was hired, time of day.
    pub t: u64,
    /// Images held, by their place in the block's list.
    #[serde(default)]
    pub i: Vec<u32>,
}

/// Record of a block: machines of one zone, all owned or all hired, so that a new leader reads
/// some dozens of keys and hiring fifty machines costs a write or two.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct BlockRecord {
    /// Zone.
    pub z: String,
    /// Images that its machines hold, with their sizes.
    #[serde(default)]
    pub i: Vec<(String, f64)>,
    /// The machines.
    pub m: BTreeMap<String, MachineRecord>,
}

/// Record of a machine as version 0.1 kept it, with its placements.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct V01MachineRecord {
    /// Type.
    pub f: String,
    /// Zone.
    pub z: String,
    /// Spot.
    pub b: bool,
    /// Owned.
    pub o: bool,
    /// Address.
    pub e: String,
    /// Session that the placements are for.
    pub s: AgentEpoch,
    /// When it was hired, time of day.
    pub t: u64,
    /// Placements: job, task, attempt.
    pub p: Vec<(String, u32, Attempt)>,
}

/// A set of task numbers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TaskSet(Vec<u64>);

impl TaskSet {
    /// An empty set for numbers below `n`.
    pub fn new(n: u32) -> TaskSet {
        TaskSet(vec![0; n.div_ceil(64) as usize])
    }
    /// Whether `i` is in it.
    pub fn get(&self, i: u32) -> bool {
        self.0.get(i as usize / 64).is_some_and(|w| w >> (i % 64) & 1 == 1)
    }
    /// Puts `i` in; false if it was there.
    pub fn insert(&mut self, i: u32) -> bool {
        match self.0.get_mut(i as usize / 64) {
            Some(w) if *w >> (i % 64) & 1 == 0 => {
                *w |= 1 << (i % 64);
                true
            }
            _ => false,
        }
    }
    /// Takes `i` out.
    pub fn remove(&mut self, i: u32) {
        if let Some(w) = self.0.get_mut(i as usize / 64) {
            *w &= !(1 << (i % 64));
        }
    }
    /// How many are in it.
    pub fn count(&self) -> u32 {
        self.0.iter().map(|w| w.count_ones()).sum()
    }
    /// Numbers from `from`, `len` of them, as text, six bits a character.
    pub fn encode(&self, from: u32, len: u32) -> String {
        let bit = |i: u32| u8::from(i < from + len && self.get(i));
        (from..from + len.min((self.0.len() as u32 * 64).saturating_sub(from)))
            .step_by(6)
            .map(|i| (b'0' + (0..6).map(|k| bit(i + k) << k).sum::<u8>()) as char)
            .map(|c| if c == '\\' { '!' } else { c })
            .collect()
    }
    /// Adds what [`TaskSet::encode`] wrote.
    pub fn decode(&mut self, from: u32, text: &str) {
        for (n, c) in text.bytes().enumerate() {
            let v = if c == b'!' { b'\\' - b'0' } else { c.wrapping_sub(b'0') };
            for k in 0..6 {
                if v < 64 && v >> k & 1 == 1 {
                    self.insert(from + n as u32 * 6 + k);
                }
            }
        }
    }
}

/// How far a placement is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementState {
    /// Not committed: nothing may leave.
    Planned,
    /// Committed; the machine has not shown it.
    Committed,
    /// Waiting for its image.
    Fetching,
    /// Running.
    Running,
    /// Saving.
    Checkpointing,
}

/// A task on a machine, from the plan until it is proven gone.
#[derive(Debug, Clone)]
pub struct Placement {
    /// Job.
    pub job: Id,
    /// Task.
    pub task: u32,
    /// Attempt.
    pub attempt: Attempt,
    /// The machine's session that it is for: gone in any newer one.
    pub agent_epoch: AgentEpoch,
    /// Its number inside this process.
    pub placement_id: u64,
    /// Room it takes.
    pub need: Resources,
    /// Number of its image.
    pub image: u32,
    /// How far it is.
    pub stage: PlacementState,
    /// Whether a `run` may have left.
    pub sent: bool,
    /// When it was planned (steady clock).
    pub since: u64,
    /// When it was first seen running.
    pub running: Option<u64>,
    /// It is to stop, with this time to save.
    pub stop_grace_s: Option<f64>,
}

/// Where a task of a job is.
#[derive(Debug, Clone)]
pub struct TaskPlacement {
    /// Machine.
    pub machine: Id,
    /// The placement's number inside this process.
    pub placement_id: u64,
    /// Attempt.
    pub attempt: Attempt,
    /// The machine's session.
    pub agent_epoch: AgentEpoch,
    /// Not committed yet.
    pub planned: bool,
}

/// An unfinished job.
#[derive(Debug)]
pub struct Job {
    /// Name.
    pub id: Id,
    /// Its submission.
    pub spec: Submission,
    /// Room of a task.
    pub need: Resources,
    /// When it was accepted, time of day.
    pub at: u64,
    /// Number of its image.
    pub image: u32,
    /// Version of its record.
    pub version: Revision,
    /// Cancelled.
    pub cancelled: bool,
    /// Its cancellation has a key, written with its record.
    pub has_cancellation_key: bool,
    /// Its record changed and has not been read again: nothing may be placed.
    pub stale: bool,
    /// Tasks done, committed or not.
    pub done: TaskSet,
    /// How many.
    pub done_count: u32,
    /// Tasks about which something is to be written, with how new that is.
    pub pending: BTreeMap<u32, u64>,
    /// A plan is among it.
    pub urgent_writes: bool,
    /// Since when its end waits to be written.
    pub ended_at: Option<u64>,
    /// It is among the jobs whose outcomes wait to be written.
    pub deferred_write_queued: bool,
    /// By task, the page with the last fact about it, 0 for none; empty before the first.
    pub facts: Vec<u32>,
    /// Placements by task.
    pub live: BTreeMap<u32, Vec<TaskPlacement>>,
    /// Tasks that ended, and how long they ran together, in ms.
    pub runtime: (u32, u64),
    /// Tasks placed and not done.
    pub placed: u32,
    /// Tasks that run or save.
    pub running: u32,
    /// A task of it has started at some time.
    pub started: bool,
    /// No task below this is free.
    pub first_free_hint: u32,
    /// Live placements per zone.
    pub zones: BTreeMap<String, u32>,
    /// Machines on which tasks failed.
    pub failed_on: BTreeSet<Id>,
    /// Failures since the last success.
    pub failures: u32,
    /// Not placed before this time.
    pub not_before: u64,
    /// Sent to rented machines.
    pub offloaded: bool,
    /// Jobs that it awaits and of which no committed outcome is known to be done. While there is
    /// one, nothing of it may be placed.
    pub open_dependencies: BTreeSet<Id>,
    /// When the last job that it awaited was done, or else when it was accepted: all times but the
    /// deadline count from here.
    pub ready_at: u64,
    /// When it has to be done for the sake of jobs that await it.
    pub inherited_deadline: Option<u64>,
    /// Its priority, or that of a job that awaits it if that is higher.
    pub priority: Priority,
}

impl Job {
    /// A job from its record.
    pub fn new(mut rec: JobRecord, version: Revision) -> Job {
        let dependencies = std::mem::take(&mut rec.s.dependencies);
        Job {
            id: rec.s.id.as_str().into(),
            need: rec.s.need(),
            at: rec.at,
            image: 0,
            version,
            cancelled: rec.x,
            has_cancellation_key: rec.k,
            stale: false,
            done: TaskSet::new(rec.s.tasks),
            done_count: 0,
            pending: BTreeMap::new(),
            urgent_writes: false,
            ended_at: None,
            deferred_write_queued: false,
            facts: Vec::new(),
            live: BTreeMap::new(),
            runtime: (0, 0),
            placed: 0,
            running: 0,
            started: false,
            first_free_hint: 0,
            zones: BTreeMap::new(),
            failed_on: BTreeSet::new(),
            failures: 0,
            not_before: 0,
            offloaded: false,
            open_dependencies: dependencies.into_iter().map(Id::from).collect(),
            ready_at: rec.at,
            inherited_deadline: None,
            priority: rec.s.priority,
            spec: rec.s,
        }
    }
    /// Whether it runs until cancelled.
    pub fn is_service(&self) -> bool {
        self.spec.kind == JobKind::Service
    }
    /// Whether its tasks run together or not at all.
    pub fn is_gang(&self) -> bool {
        self.spec.kind == JobKind::Gang
    }
    /// The first task that is neither done nor placed, from `from` on.
    pub fn next_free(&self, from: u32) -> Option<u32> {
        (from.max(self.first_free_hint)..self.spec.tasks).find(|&i| !self.done.get(i) && !self.live.contains_key(&i))
    }
    /// Whether it awaits other jobs.
    pub fn is_blocked(&self) -> bool {
        !self.open_dependencies.is_empty()
    }
    /// Tasks neither done nor placed that may be placed.
    pub fn waiting(&self) -> u32 {
        if self.is_blocked() {
            return 0;
        }
        self.spec.tasks.saturating_sub(self.done_count + self.placed)
    }
    /// Whether all tasks are done.
    pub fn complete(&self) -> bool {
        !self.is_service() && self.done_count >= self.spec.tasks
    }
    /// Most tasks that may be in one zone.
    pub fn zone_cap(&self) -> u32 {
        if self.spec.spread_zones { self.spec.tasks.div_ceil(2) } else { u32::MAX }
    }
    /// Deadline as time of day: its own, or what the jobs that await it leave.
    pub fn deadline(&self) -> Option<u64> {
        let own = self.spec.deadline_s.map(|d| self.at + (d * 1000.0) as u64);
        own.into_iter().chain(self.inherited_deadline).min()
    }
    /// Notes that a task is done; false if that was known. Its placement has been released.
    pub fn mark_done(&mut self, task: u32) -> bool {
        let new = task < self.spec.tasks && self.done.insert(task);
        if new {
            self.done_count += 1;
            if self.live.contains_key(&task) {
                self.placed = self.placed.saturating_sub(1);
            }
        }
        new
    }
    /// Whether it has ended: all tasks done, or cancelled and proven off all machines.
    pub fn has_ended(&self) -> bool {
        self.complete() || self.cancelled && self.live.is_empty()
    }
}

/// A block of machines, as its record has or will have it.
#[derive(Debug, Default)]
pub struct Block {
    /// Zone.
    pub zone: String,
    /// Whether its machines are owned.
    pub owned: bool,
    /// The machines.
    pub machines: BTreeSet<Id>,
    /// Version of its record, if there is one.
    pub version: Revision,
    /// When it was last written: images are noted now and then.
    pub wrote: u64,
    /// Blocks that took over some of its machines: they are stored first.
    pub after: BTreeSet<u32>,
}

/// A machine.
#[derive(Debug)]
pub struct Machine {
    /// Name.
    pub id: Id,
    /// Type.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Spot.
    pub spot: bool,
    /// Owned: never returned for idleness.
    pub owned: bool,
    /// Address, empty until known.
    pub endpoint: String,
    /// Session.
    pub agent_epoch: AgentEpoch,
    /// When it was hired, time of day.
    pub rented_at: u64,
    /// All its room.
    pub resources: Resources,
    /// Room taken by placements.
    pub used: Resources,
    /// Placements.
    pub placements: Vec<Placement>,
    /// Images by number, most recently used last.
    pub images: Vec<(u32, f64)>,
    /// The block that its record is in.
    pub block: Option<u32>,
    /// Its record is committed: tasks may be placed on it.
    pub recorded: bool,
    /// Last report received by this leader.
    pub last_heard: Option<u64>,
    /// Whether a report under this leader's token has come.
    pub token_confirmed: bool,
    /// Order of the last report.
    pub last: (AgentEpoch, u64),
    /// Added to the epoch's token when a command's fate is unknown.
    pub token_counter: u64,
    /// The answer to the last check-in held a `run`, and no later check-in has come.
    pub reply_may_start_tasks: bool,
    /// Commands in a row of which nothing was seen: it reports, but does not hear us.
    pub unacknowledged_commands: u32,
    /// Nobody in its zone reports.
    pub partitioned: bool,
    /// Direct call under way.
    pub call: Option<u64>,
    /// Placements of which a `run` left with that call for the first time.
    pub first_starts_in_call: Vec<u64>,
    /// No direct call before this time.
    pub no_call_before: u64,
    /// The direct call under way only confirms the token.
    pub call_confirms_token: bool,
    /// The direct call under way holds commands.
    pub call_has_commands: bool,
    /// Something is to be told as soon as the direct call under way is over.
    pub push: bool,
    /// Taken away at this time (steady clock).
    pub preempted_at: Option<u64>,
    /// Ended tasks and unknown tasks of the last report.
    pub unexpected_tasks: Vec<(String, Attempt, Option<ExitCause>)>,
    /// Return under way or wanted.
    pub scale_in_wanted: bool,
    /// Return request under way.
    pub scale_in_requested: bool,
    /// Seen in the cloud's list.
    pub listed: bool,
    /// Failures in a row, by job.
    pub failures: Vec<Id>,
    /// Not used before this time, because tasks failed.
    pub quarantined_until: u64,
    /// When last a task failed on it.
    pub failed_at: u64,
    /// Times that it was found sick since a success.
    pub quarantine_count: u32,
    /// Its room was last counted on for work waiting or expected.
    pub needed_at: u64,
    /// Without placements since.
    pub idle_since: u64,
    /// Its tasks take much longer than the same jobs' elsewhere: no batch work before this time.
    pub slow_until: u64,
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
            endpoint: String::new(),
            agent_epoch: AgentEpoch::NONE,
            rented_at: now.wall_ms,
            resources: Resources::default(),
            used: Resources::default(),
            placements: Vec::new(),
            images: Vec::new(),
            block: None,
            recorded: false,
            last_heard: None,
            token_confirmed: false,
            last: (AgentEpoch::NONE, 0),
            token_counter: 0,
            reply_may_start_tasks: false,
            unacknowledged_commands: 0,
            partitioned: false,
            call: None,
            first_starts_in_call: Vec::new(),
            no_call_before: 0,
            call_confirms_token: false,
            call_has_commands: false,
            push: false,
            preempted_at: None,
            unexpected_tasks: Vec::new(),
            scale_in_wanted: false,
            scale_in_requested: false,
            listed: false,
            failures: Vec::new(),
            quarantined_until: 0,
            failed_at: 0,
            quarantine_count: 0,
            needed_at: 0,
            idle_since: now.monotonic_ms,
            slow_until: 0,
        }
    }
    /// Whether it answers and may get tasks.
    pub fn is_schedulable(&self, now: u64, set: &Settings) -> bool {
        self.recorded
            && self.unacknowledged_commands < DEAF
            && !self.partitioned
            && self.answers(now, set)
            && !self.scale_in_wanted
            && self.preempted_at.is_none()
            && now >= self.quarantined_until
    }
    /// Whether it has reported lately.
    pub fn answers(&self, now: u64, set: &Settings) -> bool {
        self.last_heard
            .is_some_and(|h| now.saturating_sub(h) < set.heartbeat_interval_ms() * 2 + set.heartbeat_interval_ms() / 2)
            && !self.endpoint.is_empty()
    }
    /// Room left.
    pub fn free(&self) -> Resources {
        Resources {
            cores: self.resources.cores - self.used.cores,
            accelerators: self.resources.accelerators - self.used.accelerators,
            memory: self.resources.memory - self.used.memory,
        }
    }
    /// Notes that an image is here, forgetting the least recently used beyond `local_gb`.
    pub fn touch_image(&mut self, image: u32, gb: f64, local_gb: f64) {
        self.images.retain(|(b, _)| *b != image);
        self.images.push((image, gb));
        while self.images.len() > 1 && self.images.iter().map(|(_, g)| g).sum::<f64>() > local_gb {
            self.images.remove(0);
        }
    }
    /// Whether it holds an image.
    pub fn has_image(&self, image: u32) -> bool {
        self.images.iter().any(|(b, _)| *b == image)
    }
}

#[cfg(test)]
mod tests;
