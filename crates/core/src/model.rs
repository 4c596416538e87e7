//! Jobs, machines and placements, and their records in the state service.

use crate::io::Now;
use crate::settings::Settings;
use serde::{Deserialize, Serialize};
use shaleshunt_wire::user::{Shape, Submission, Urgency};
use shaleshunt_wire::worker::Cause;
use shaleshunt_wire::{AgentEpoch, Attempt, Revision, Room};
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
    pub const LEAD: &str = "l/lead";
    /// The epoch, which only grows.
    pub const EPOCH: &str = "l/epoch";
    /// Cancelled jobs that have not ended. Below the leader's prefix, so that one watch shows a
    /// controller both that its leader still leads and what has been cancelled.
    pub const CANCELLED: &str = "l/x/";
    /// Unfinished jobs.
    pub const JOBS: &str = "j/";
    /// Parts of submissions that take more than a value.
    pub const PARTS: &str = "s/";
    /// Finished jobs.
    pub const FINALS: &str = "f/";
    /// Facts about unfinished jobs' tasks, on pages.
    pub const PAGES: &str = "p/";
    /// Machines, in blocks.
    pub const BLOCKS: &str = "b/";
    /// Outcomes as version 0.1 kept them. Read at a takeover, removed once written anew.
    pub const OLD_DONE: &str = "d/";
    /// Machines and placements as version 0.1 kept them. Read and removed likewise.
    pub const OLD_MACHINES: &str = "m/";
    /// Hires under way.
    pub const HIRES: &str = "h/";
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
        self.s.awaits.clear();
        self.s.frames = None;
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
pub struct OldMachineRecord {
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
pub struct Bits(Vec<u64>);

impl Bits {
    /// An empty set for numbers below `n`.
    pub fn new(n: u32) -> Bits {
        Bits(vec![0; n.div_ceil(64) as usize])
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
    /// Adds what [`Bits::encode`] wrote.
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
pub enum Stage {
    /// Not committed: nothing may leave.
    Planned,
    /// Committed; the machine has not shown it.
    Committed,
    /// Waiting for its image.
    Fetching,
    /// Running.
    Running,
    /// Saving.
    Flushing,
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
    pub session: AgentEpoch,
    /// Its number inside this process.
    pub slot: u64,
    /// Room it takes.
    pub need: Room,
    /// Number of its image.
    pub image: u32,
    /// How far it is.
    pub stage: Stage,
    /// Whether a `run` may have left.
    pub sent: bool,
    /// When it was planned (steady clock).
    pub since: u64,
    /// When it was first seen running.
    pub running: Option<u64>,
    /// It is to stop, with this time to save.
    pub halt: Option<f64>,
}

/// Where a task of a job is.
#[derive(Debug, Clone)]
pub struct Live {
    /// Machine.
    pub machine: Id,
    /// The placement's number inside this process.
    pub slot: u64,
    /// Attempt.
    pub attempt: Attempt,
    /// The machine's session.
    pub session: AgentEpoch,
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
    pub need: Room,
    /// When it was accepted, time of day.
    pub at: u64,
    /// Number of its image.
    pub image: u32,
    /// Version of its record.
    pub version: Revision,
    /// Cancelled.
    pub aborted: bool,
    /// Its cancellation has a key, written with its record.
    pub cancel_key: bool,
    /// Its record changed and has not been read again: nothing may be placed.
    pub stale: bool,
    /// Tasks done, committed or not.
    pub done: Bits,
    /// How many.
    pub done_count: u32,
    /// Tasks about which something is to be written, with how new that is.
    pub pending: BTreeMap<u32, u64>,
    /// A plan is among it.
    pub urgent: bool,
    /// Since when its end waits to be written.
    pub over_at: Option<u64>,
    /// It is among the jobs whose outcomes wait to be written.
    pub waits_to_write: bool,
    /// By task, the page with the last fact about it, 0 for none; empty before the first.
    pub facts: Vec<u32>,
    /// Placements by task.
    pub live: BTreeMap<u32, Vec<Live>>,
    /// Tasks that ended, and how long they ran together, in ms.
    pub ran: (u32, u64),
    /// Tasks placed and not done.
    pub placed: u32,
    /// Tasks that run or save.
    pub running: u32,
    /// A task of it has started at some time.
    pub begun: bool,
    /// No task below this is free.
    pub cursor: u32,
    /// Live placements per zone.
    pub zones: BTreeMap<String, u32>,
    /// Machines on which tasks failed.
    pub failed_on: BTreeSet<Id>,
    /// Failures since the last success.
    pub failures: u32,
    /// Not placed before this time.
    pub not_before: u64,
    /// Sent to rented machines.
    pub sent_out: bool,
    /// Jobs that it awaits and of which no committed outcome is known to be done. While there is
    /// one, nothing of it may be placed.
    pub needs: BTreeSet<Id>,
    /// When the last job that it awaited was done, or else when it was accepted: all times but the
    /// deadline count from here.
    pub ready_at: u64,
    /// When it has to be done for the sake of jobs that await it.
    pub wanted_by: Option<u64>,
    /// Its priority, or that of a job that awaits it if that is higher.
    pub urgency: Urgency,
}

impl Job {
    /// A job from its record.
    pub fn new(mut rec: JobRecord, version: Revision) -> Job {
        let awaits = std::mem::take(&mut rec.s.awaits);
        Job {
            id: rec.s.id.as_str().into(),
            need: rec.s.need(),
            at: rec.at,
            image: 0,
            version,
            aborted: rec.x,
            cancel_key: rec.k,
            stale: false,
            done: Bits::new(rec.s.tasks),
            done_count: 0,
            pending: BTreeMap::new(),
            urgent: false,
            over_at: None,
            waits_to_write: false,
            facts: Vec::new(),
            live: BTreeMap::new(),
            ran: (0, 0),
            placed: 0,
            running: 0,
            begun: false,
            cursor: 0,
            zones: BTreeMap::new(),
            failed_on: BTreeSet::new(),
            failures: 0,
            not_before: 0,
            sent_out: false,
            needs: awaits.into_iter().map(Id::from).collect(),
            ready_at: rec.at,
            wanted_by: None,
            urgency: rec.s.urgency,
            spec: rec.s,
        }
    }
    /// Whether it runs until cancelled.
    pub fn is_service(&self) -> bool {
        self.spec.shape == Shape::Daemon
    }
    /// Whether its tasks run together or not at all.
    pub fn is_gang(&self) -> bool {
        self.spec.shape == Shape::Ensemble
    }
    /// The first task that is neither done nor placed, from `from` on.
    pub fn next_free(&self, from: u32) -> Option<u32> {
        (from.max(self.cursor)..self.spec.tasks).find(|&i| !self.done.get(i) && !self.live.contains_key(&i))
    }
    /// Whether it awaits other jobs.
    pub fn awaits(&self) -> bool {
        !self.needs.is_empty()
    }
    /// Tasks neither done nor placed that may be placed.
    pub fn waiting(&self) -> u32 {
        if self.awaits() {
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
        if self.spec.scatter { self.spec.tasks.div_ceil(2) } else { u32::MAX }
    }
    /// Deadline as time of day: its own, or what the jobs that await it leave.
    pub fn due(&self) -> Option<u64> {
        let own = self.spec.due_s.map(|d| self.at + (d * 1000.0) as u64);
        own.into_iter().chain(self.wanted_by).min()
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
    pub fn over(&self) -> bool {
        self.complete() || self.aborted && self.live.is_empty()
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
    pub frame: String,
    /// Zone.
    pub zone: String,
    /// Spot.
    pub spot: bool,
    /// Owned: never returned for idleness.
    pub owned: bool,
    /// Address, empty until known.
    pub endpoint: String,
    /// Session.
    pub session: AgentEpoch,
    /// When it was hired, time of day.
    pub hired: u64,
    /// All its room.
    pub room: Room,
    /// Room taken by placements.
    pub used: Room,
    /// Placements.
    pub places: Vec<Placement>,
    /// Images by number, most recently used last.
    pub images: Vec<(u32, f64)>,
    /// The block that its record is in.
    pub block: Option<u32>,
    /// Its record is committed: tasks may be placed on it.
    pub recorded: bool,
    /// Last report received by this leader.
    pub heard: Option<u64>,
    /// Whether a report under this leader's token has come.
    pub ours: bool,
    /// Order of the last report.
    pub last: (AgentEpoch, u64),
    /// Added to the epoch's token when a command's fate is unknown.
    pub bump: u64,
    /// The answer to the last check-in held a `run`, and no later check-in has come.
    pub answer_open: bool,
    /// Commands in a row of which nothing was seen: it reports, but does not hear us.
    pub deaf: u32,
    /// Nobody in its zone reports.
    pub cut: bool,
    /// Direct call under way.
    pub call: Option<u64>,
    /// Placements of which a `run` left with that call for the first time.
    pub call_runs: Vec<u64>,
    /// No direct call before this time.
    pub call_after: u64,
    /// The direct call under way only confirms the token.
    pub confirms: bool,
    /// The direct call under way holds commands.
    pub risky: bool,
    /// Something is to be told as soon as the direct call under way is over.
    pub push: bool,
    /// Taken away at this time (steady clock).
    pub warned: Option<u64>,
    /// Ended tasks and unknown tasks of the last report.
    pub strangers: Vec<(String, Attempt, Option<Cause>)>,
    /// Return under way or wanted.
    pub leaving: bool,
    /// Return request under way.
    pub returning: bool,
    /// Seen in the cloud's list.
    pub listed: bool,
    /// Failures in a row, by job.
    pub failures: Vec<Id>,
    /// Not used before this time, because tasks failed.
    pub sick_until: u64,
    /// When last a task failed on it.
    pub failed_at: u64,
    /// Times that it was found sick since a success.
    pub sick_times: u32,
    /// Its room was last counted on for work waiting or expected.
    pub needed_at: u64,
    /// Without placements since.
    pub idle_since: u64,
    /// Its tasks take much longer than the same jobs' elsewhere: no batch work before this time.
    pub slow_until: u64,
}

impl Machine {
    /// A machine of which nothing is known yet.
    pub fn new(id: Id, now: Now) -> Machine {
        Machine {
            id,
            frame: String::new(),
            zone: String::new(),
            spot: false,
            owned: false,
            endpoint: String::new(),
            session: AgentEpoch::NONE,
            hired: now.wall,
            room: Room::default(),
            used: Room::default(),
            places: Vec::new(),
            images: Vec::new(),
            block: None,
            recorded: false,
            heard: None,
            ours: false,
            last: (AgentEpoch::NONE, 0),
            bump: 0,
            answer_open: false,
            deaf: 0,
            cut: false,
            call: None,
            call_runs: Vec::new(),
            call_after: 0,
            confirms: false,
            risky: false,
            push: false,
            warned: None,
            strangers: Vec::new(),
            leaving: false,
            returning: false,
            listed: false,
            failures: Vec::new(),
            sick_until: 0,
            failed_at: 0,
            sick_times: 0,
            needed_at: 0,
            idle_since: now.mono,
            slow_until: 0,
        }
    }
    /// Whether it answers and may get tasks.
    pub fn usable(&self, now: u64, set: &Settings) -> bool {
        self.recorded
            && self.deaf < DEAF
            && !self.cut
            && self.answers(now, set)
            && !self.leaving
            && self.warned.is_none()
            && now >= self.sick_until
    }
    /// Whether it has reported lately.
    pub fn answers(&self, now: u64, set: &Settings) -> bool {
        self.heard.is_some_and(|h| now.saturating_sub(h) < set.report_ms() * 2 + set.report_ms() / 2)
            && !self.endpoint.is_empty()
    }
    /// Room left.
    pub fn free(&self) -> Room {
        Room {
            cores: self.room.cores - self.used.cores,
            cards: self.room.cards - self.used.cards,
            ram: self.room.ram - self.used.ram,
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
