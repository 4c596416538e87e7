//! Jobs, machines and placements, and their records in the state service.

use crate::settings::Settings;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use shaleshunt_wire::Room;
use shaleshunt_wire::user::{Shape, Submission};
use shaleshunt_wire::worker::Cause;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A job's or machine's name.
pub type Id = Arc<str>;

/// Keys of the state service.
pub mod keys {
    /// The leader's key, attached to its lease.
    pub const LEAD: &str = "l/lead";
    /// The epoch, which only grows.
    pub const EPOCH: &str = "l/epoch";
    /// Unfinished jobs.
    pub const JOBS: &str = "j/";
    /// Finished jobs.
    pub const FINALS: &str = "f/";
    /// Outcomes of unfinished jobs' tasks.
    pub const DONE: &str = "d/";
    /// Machines and their placements.
    pub const LOOMS: &str = "m/";
    /// Hires under way.
    pub const HIRES: &str = "h/";
    /// The machine types.
    pub const CATALOG: &str = "c/catalog";
    /// The machines owned: those that were up when the service first began.
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
}

/// Record of a finished job.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FinalRecord {
    /// Whether it was cancelled.
    pub x: bool,
    /// Number of its tasks.
    pub n: u32,
}

/// Record of a machine: one key holds all its placements, so a start costs one write a machine.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LoomRecord {
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
    pub s: u64,
    /// When it was hired, time of day.
    pub t: u64,
    /// Placements: job, task, attempt.
    pub p: Vec<(String, u32, u64)>,
    /// Images held, most recently used last.
    #[serde(default)]
    pub i: Vec<(String, f64)>,
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
    /// Numbers from `from`, `len` of them (multiples of 64), as text: 16 hexadecimal digits a
    /// word would be too long for a value, so six bits a character.
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
    pub piece: u32,
    /// Attempt.
    pub attempt: u64,
    /// Its number inside this process.
    pub slot: u64,
    /// Room it takes.
    pub need: Room,
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
    /// Version of its record.
    pub stamp: u64,
    /// Cancelled.
    pub aborted: bool,
    /// Its record changed and has not been read again: nothing may be placed.
    pub stale: bool,
    /// Tasks done, committed or not.
    pub done: Bits,
    /// How many.
    pub done_count: u32,
    /// Tasks done whose outcome is not committed.
    pub uncommitted: BTreeSet<u32>,
    /// Outcome keys that exist, with their versions.
    pub chunks: BTreeMap<u32, u64>,
    /// Placements by task.
    pub live: BTreeMap<u32, Vec<(Id, u64)>>,
    /// No task below this is free.
    pub cursor: u32,
    /// Machines whose records may still name a placement that has been released.
    pub tails: BTreeSet<Id>,
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
}

impl Job {
    /// A job from its record.
    pub fn new(rec: JobRecord, stamp: u64) -> Job {
        Job {
            id: rec.s.id.as_str().into(),
            need: rec.s.need(),
            at: rec.at,
            stamp,
            aborted: rec.x,
            stale: false,
            done: Bits::new(rec.s.pieces),
            done_count: 0,
            uncommitted: BTreeSet::new(),
            chunks: BTreeMap::new(),
            live: BTreeMap::new(),
            cursor: 0,
            tails: BTreeSet::new(),
            zones: BTreeMap::new(),
            failed_on: BTreeSet::new(),
            failures: 0,
            not_before: 0,
            sent_out: false,
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
        (from.max(self.cursor)..self.spec.pieces).find(|&i| !self.done.get(i) && !self.live.contains_key(&i))
    }
    /// Tasks neither done nor placed.
    pub fn waiting(&self) -> u32 {
        let placed = self.live.keys().filter(|&&i| !self.done.get(i)).count() as u32;
        self.spec.pieces.saturating_sub(self.done_count + placed)
    }
    /// Whether all tasks are done.
    pub fn complete(&self) -> bool {
        !self.is_service() && self.done_count >= self.spec.pieces
    }
    /// Most tasks that may be in one zone.
    pub fn zone_cap(&self) -> u32 {
        if self.spec.scatter { self.spec.pieces.div_ceil(2) } else { u32::MAX }
    }
    /// Deadline as time of day.
    pub fn due(&self) -> Option<u64> {
        self.spec.due_s.map(|d| self.at + (d * 1000.0) as u64)
    }
    /// Records that a task is done; false if that was known.
    pub fn mark_done(&mut self, piece: u32) -> bool {
        let new = piece < self.spec.pieces && self.done.insert(piece);
        if new {
            self.done_count += 1;
            self.uncommitted.insert(piece);
        }
        new
    }
    /// Key of the outcomes of a chunk of tasks.
    pub fn chunk_key(&self, chunk: u32) -> String {
        format!("{}{}/{chunk}", keys::DONE, self.id)
    }
}

/// A machine.
#[derive(Debug)]
pub struct Loom {
    /// Name.
    pub id: Id,
    /// Type.
    pub frame: String,
    /// Zone.
    pub hall: String,
    /// Spot.
    pub borrowed: bool,
    /// Owned: never returned for idleness.
    pub owned: bool,
    /// Address, empty until known.
    pub endpoint: String,
    /// Session.
    pub shift: u64,
    /// When it was hired, time of day.
    pub hired: u64,
    /// All its room.
    pub room: Room,
    /// Room taken by placements.
    pub used: Room,
    /// Placements.
    pub places: Vec<Placement>,
    /// Images, most recently used last.
    pub images: Vec<(String, f64)>,
    /// Version of its record, 0 if there is none.
    pub stamp: u64,
    /// Its record is to be written.
    pub dirty: bool,
    /// Its record names something that has been released.
    pub released: bool,
    /// A write of its record is under way.
    pub writing: bool,
    /// Last report received by this leader.
    pub heard: Option<u64>,
    /// Whether a report under this leader's token has come.
    pub ours: bool,
    /// Order of the last report.
    pub last: (u64, u64),
    /// Added to the epoch's token when a command's fate is unknown.
    pub bump: u64,
    /// The answer to the last check-in held a `run`, and no later check-in has come.
    pub answer_open: bool,
    /// Direct call under way.
    pub call: Option<u64>,
    /// No direct call before this time.
    pub call_after: u64,
    /// Something is to be told at once.
    pub push: bool,
    /// Taken away at this time (steady clock).
    pub warned: Option<u64>,
    /// Ended tasks and unknown tasks of the last report.
    pub strangers: Vec<(String, u64, Option<Cause>)>,
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
    /// Times that it was found sick since a success.
    pub sick_times: u32,
    /// Its room was last counted on for work waiting or expected.
    pub needed_at: u64,
    /// Without placements since.
    pub idle_since: u64,
    /// Running tasks go this many times slower than they should (smoothed).
    pub slowness: f64,
}

impl Loom {
    /// Its record, with or without what is only planned.
    pub fn record(&self, plans: bool) -> Value {
        json!(LoomRecord {
            f: self.frame.clone(),
            z: self.hall.clone(),
            b: self.borrowed,
            o: self.owned,
            e: self.endpoint.clone(),
            s: self.shift,
            t: self.hired,
            p: self
                .places
                .iter()
                .filter(|p| plans || p.stage != Stage::Planned)
                .map(|p| (p.job.to_string(), p.piece, p.attempt))
                .collect(),
            i: self.images.clone(),
        })
    }
    /// Whether it answers and may get tasks.
    pub fn usable(&self, now: u64, set: &Settings) -> bool {
        self.answers(now, set) && !self.leaving && self.warned.is_none() && now >= self.sick_until
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
    pub fn touch_image(&mut self, bundle: &str, gb: f64, local_gb: f64) {
        self.images.retain(|(b, _)| b != bundle);
        self.images.push((bundle.to_string(), gb));
        while self.images.len() > 1 && self.images.iter().map(|(_, g)| g).sum::<f64>() > local_gb {
            self.images.remove(0);
        }
    }
    /// Whether it holds an image.
    pub fn has_image(&self, bundle: &str) -> bool {
        self.images.iter().any(|(b, _)| b == bundle)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn bits_survive_their_text_in_chunks() {
        let mut all = Bits::new(100_000);
        for i in (0..100_000).filter(|i| i % 7 == 0 || i % 11 == 3) {
            all.insert(i);
        }
        let mut back = Bits::new(100_000);
        for from in (0..100_000).step_by(32_768) {
            let text = all.encode(from, 32_768);
            assert!(serde_json::to_string(&text).unwrap().len() < 6000);
            back.decode(from, &text);
        }
        assert_eq!(all, back);
        assert_eq!(all.count(), back.count());
    }
}
