//! The checker of the protocol's rules: it sees what users are told and what machines do, and
//! nothing of the service's insides.

use crate::worker::Event;
use shaleshunt_wire::to_milli;
use shaleshunt_wire::user::{JobStatus, Shape, Submission};
use shaleshunt_wire::worker::split_piece;
use std::collections::{BTreeMap, BTreeSet};

/// A job about which no question is answered for so long counts as forgotten.
const FORGOTTEN_MS: u64 = 75_000;

/// A machine as far as the rules care.
#[derive(Debug, Clone)]
pub struct Place {
    /// Type.
    pub frame: String,
    /// Zone.
    pub hall: String,
    /// Spot.
    pub borrowed: bool,
}

/// What has been seen so far.
#[derive(Default)]
pub struct Checker {
    /// Jobs whose users have tried to submit them.
    pub jobs: BTreeMap<String, Submission>,
    /// Teams' limits in CPUs; 0 for none.
    pub limits: BTreeMap<String, f64>,
    /// Time in which a cancelled job must be gone.
    pub cancel_ms: u64,
    on: BTreeMap<String, Vec<(String, u64, Place)>>,
    /// Tasks completed.
    pub completed: BTreeSet<String>,
    /// Jobs accepted.
    pub accepted: BTreeSet<String>,
    asked_cancel: BTreeSet<String>,
    cancelled: BTreeMap<String, u64>,
    done: BTreeSet<String>,
    /// When the first task of a job started.
    pub begun: BTreeMap<String, u64>,
    /// When a question about a job was last answered.
    pub answered: BTreeMap<String, u64>,
    /// Submissions that were refused, with the status.
    pub refused: BTreeMap<String, u16>,
    /// The longest time between two answers about a job.
    pub longest: BTreeMap<String, u64>,
    /// Rules broken: which, when and what.
    pub broken: Vec<String>,
    /// Starts seen.
    pub starts: u32,
}

impl Checker {
    /// A checker for a site where cancelled jobs must be gone within this time.
    pub fn new(cancel_ms: u64) -> Checker {
        Checker { cancel_ms, ..Checker::default() }
    }

    fn break_rule(&mut self, now: u64, rule: &str, what: &str) {
        self.broken.push(format!("{rule} at {:.1} s: {what}", now as f64 / 1000.0));
    }

    /// A machine did something.
    pub fn machine(&mut self, now: u64, loom: &str, place: &Place, event: &Event) {
        match event {
            Event::On(piece, attempt) => self.started(now, loom, place, piece, *attempt),
            Event::Off(piece, attempt) => {
                if let Some(list) = self.on.get_mut(piece) {
                    list.retain(|(l, a, _)| l != loom || a != attempt);
                }
            }
            Event::Completed(piece) => {
                self.completed.insert(piece.clone());
            }
        }
    }

    fn started(&mut self, now: u64, loom: &str, place: &Place, piece: &str, attempt: u64) {
        self.starts += 1;
        let Some((job, _)) = split_piece(piece) else { return };
        self.begun.entry(job.into()).or_insert(now);
        let Some(spec) = self.jobs.get(job).cloned() else {
            self.break_rule(now, "invented", &format!("{piece} runs, but nobody submitted it"));
            return;
        };
        if let Some((other, ..)) = self.on.get(piece).and_then(|l| l.first()).cloned() {
            self.break_rule(now, "ran_twice", &format!("{piece} starts on {loom} while on {other}"));
        }
        if self.cancelled.get(job).is_some_and(|t| now > t + self.cancel_ms) {
            self.break_rule(now, "ran_cancelled", &format!("{piece} starts on {loom}"));
        }
        for need in &spec.awaits {
            if !self.jobs.get(need).is_some_and(|s| self.all_done(s)) {
                self.break_rule(now, "too_early", &format!("{piece} starts before {need} is done"));
            }
        }
        let mates: Vec<Place> = self
            .on
            .iter()
            .filter(|(p, _)| split_piece(p).is_some_and(|(j, _)| j == job))
            .flat_map(|(_, l)| l.iter().map(|(_, _, p)| p.clone()))
            .collect();
        let same_zone = mates.iter().filter(|m| m.hall == place.hall).count() as u32 + 1;
        let wrong = spec.frames.as_ref().is_some_and(|f| !f.contains(&place.frame))
            || spec.hall.as_ref().is_some_and(|h| *h != place.hall)
            || place.borrowed && !spec.borrowed
            || spec.one_zone && mates.iter().any(|m| m.hall != place.hall)
            || spec.scatter && same_zone > spec.pieces.div_ceil(2);
        if wrong {
            self.break_rule(now, "wrong_place", &format!("{piece} starts on {loom}"));
        }
        self.on.entry(piece.into()).or_default().push((loom.into(), attempt, place.clone()));
        let limit = self.limits.get(&spec.crew).copied().unwrap_or(0.0);
        let used: i64 = self
            .on
            .iter()
            .filter_map(|(p, l)| split_piece(p).and_then(|(j, _)| self.jobs.get(j)).map(|s| (s, l.len() as i64)))
            .filter(|(s, _)| s.crew == spec.crew)
            .map(|(s, n)| to_milli(s.cores) * n)
            .sum();
        if limit > 0.0 && used > to_milli(limit) {
            self.break_rule(now, "quota", &format!("{} uses {} of {limit}", spec.crew, used as f64 / 1000.0));
        }
    }

    /// A user asks to cancel a job.
    pub fn asks_cancel(&mut self, job: &str) {
        self.asked_cancel.insert(job.into());
    }

    /// A user was told something about a job: HTTP status and the state, if any.
    pub fn told(&mut self, now: u64, job: &str, status: u16, state: Option<JobStatus>) {
        match (status, state) {
            (404, _) if self.accepted.contains(job) => self.break_rule(now, "forgotten", &format!("404 for {job}")),
            (400 | 422, _) if !self.accepted.contains(job) => {
                self.refused.insert(job.into(), status);
            }
            (400 | 422, _) if self.accepted.contains(job) => {
                self.break_rule(now, "forgotten", &format!("{status} for {job}"));
            }
            (200 | 201, Some(state)) => {
                let Some(spec) = self.jobs.get(job).cloned() else {
                    self.break_rule(now, "invented", &format!("{job} is {state:?}"));
                    return;
                };
                self.accepted.insert(job.into());
                let last = self.answered.insert(job.into(), now).unwrap_or(now);
                let longest = self.longest.entry(job.into()).or_default();
                *longest = now.saturating_sub(last).max(*longest);
                let before = self.before(job);
                let explained = |j: &str| self.asked_cancel.contains(j);
                if self.done.contains(job) && state != JobStatus::Done
                    || self.cancelled.contains_key(job) && state != JobStatus::Aborted
                    || state == JobStatus::Aborted && !explained(job) && !before.iter().any(|j| explained(j))
                {
                    self.break_rule(now, "went_back", &format!("{job} is {state:?}"));
                }
                let late = |j: &String| self.cancelled.get(j).is_some_and(|t| now > t + self.cancel_ms);
                if matches!(state, JobStatus::Queued | JobStatus::Running) && before.iter().any(late) {
                    self.break_rule(now, "orphaned", &format!("{job} is {state:?}"));
                }
                let all = self.all_done(&spec) && spec.shape != Shape::Daemon;
                if state == JobStatus::Done && self.done.insert(job.into()) && !all {
                    self.break_rule(now, "not_done", job);
                }
                if spec.awaits.iter().any(|need| !self.jobs.contains_key(need)) {
                    self.break_rule(now, "invented", &format!("{job} needs a job that nobody has submitted"));
                }
                if state == JobStatus::Aborted {
                    self.cancelled.entry(job.into()).or_insert(now);
                }
            }
            _ => {}
        }
    }

    fn all_done(&self, spec: &Submission) -> bool {
        (0..spec.pieces).all(|n| self.completed.contains(&format!("{}/{n}", spec.id)))
    }

    /// All that a job awaits, directly or through others.
    fn before(&self, job: &str) -> BTreeSet<String> {
        let mut found = BTreeSet::new();
        let mut list = vec![job.to_string()];
        while let Some(j) = list.pop() {
            for need in self.jobs.get(&j).into_iter().flat_map(|s| &s.awaits) {
                if found.insert(need.clone()) {
                    list.push(need.clone());
                }
            }
        }
        found
    }

    /// Looks for cancelled jobs that are still on a machine.
    pub fn turn(&mut self, now: u64) {
        let late: Vec<String> = self
            .on
            .iter()
            .filter(|(_, l)| !l.is_empty())
            .map(|(p, _)| p.clone())
            .filter(|p| {
                let job = split_piece(p).map_or("", |(j, _)| j);
                self.cancelled.get(job).is_some_and(|t| now > t + self.cancel_ms && now < t + self.cancel_ms + 1000)
            })
            .collect();
        for p in late {
            self.break_rule(now, "ran_cancelled", &format!("{p} is still on a machine"));
        }
    }

    /// Looks for an accepted job about which no question was answered for long, though its user asks
    /// all the time and all troubles have been over since `calm`.
    pub fn silence(&mut self, now: u64, calm: u64, job: &str) {
        let since = self.answered.get(job).copied().unwrap_or(0).max(calm);
        if self.accepted.contains(job) && now > since + FORGOTTEN_MS {
            self.break_rule(now, "forgotten", &format!("no question about {job} answered since {since}"));
            // Said once.
            self.answered.insert(job.into(), u64::MAX / 2);
        }
    }

    /// How many of a job's tasks are on machines now.
    pub fn running(&self, job: &str) -> usize {
        self.on.iter().filter(|(p, _)| split_piece(p).is_some_and(|(j, _)| j == job)).map(|(_, l)| l.len()).sum()
    }

    /// Whether a user was told that a job is done.
    pub fn is_done(&self, job: &str) -> bool {
        self.done.contains(job)
    }

    /// Whether a user was told that a job is cancelled.
    pub fn is_cancelled(&self, job: &str) -> bool {
        self.cancelled.contains_key(job)
    }
}
