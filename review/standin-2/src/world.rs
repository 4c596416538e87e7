//! The site: what all parties share, and the checker of the rules.

use crate::cloud::Cloud;
use crate::controllers::Controllers;
use crate::store::Store;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Instant;

#[derive(Clone)]
pub struct Frame {
    pub name: &'static str,
    pub cores: f64,
    pub ram: f64,
    pub fetch: f64,
    pub boot: f64,
}

#[derive(Clone)]
pub struct Team {
    pub name: String,
    pub cpus: f64,
    pub cpus_max: f64,
}

/// Figures of the deployment, as they stand in the settings.
#[derive(Clone)]
pub struct Site {
    pub zones: Vec<String>,
    pub frames: Vec<Frame>,
    pub teams: Vec<Team>,
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
    pub next: Option<(f64, f64, usize)>,
    pub list_lag_s: f64,
    pub cloud_rps: f64,
    pub fd_limit: usize,
    pub mem_mb: f64,
}

#[derive(Clone)]
pub struct Job {
    pub id: String,
    pub spec: Value,
    pub crew: String,
    pub daemon: bool,
    pub pieces: u32,
    pub cores: f64,
    pub ram: f64,
    pub bundle: String,
    pub image_gb: f64,
    pub run_s: f64,
    pub awaits: Vec<String>,
    /// Its tasks fail until its user cancels it.
    pub broken: bool,
}

#[derive(Default)]
pub struct Told {
    /// Time of the first attempt to submit.
    pub submitted: Option<f64>,
    pub accepted: Option<f64>,
    pub refused: Option<u16>,
    pub done: Option<f64>,
    pub aborted: Option<f64>,
    pub cancel_asked: Option<f64>,
    pub last_answer: f64,
    pub polling: bool,
    pub polls: u32,
    pub polls_answered: u32,
}

#[derive(Default)]
pub struct Check {
    pub violations: Vec<String>,
    /// Machines on which each task is, with the attempt.
    pub on: BTreeMap<String, Vec<(String, u64)>>,
    pub completed: BTreeSet<String>,
    pub starts: BTreeMap<String, u32>,
    pub told: BTreeMap<String, Told>,
    pub polls: u64,
    pub polls_answered: u64,
    /// Polls of the last while: when, about which job, and whether there was an answer.
    pub recent: Vec<(f64, String, bool)>,
    reported: BTreeSet<String>,
}

pub struct World {
    pub t0: Instant,
    pub site: Site,
    pub record: Mutex<std::fs::File>,
    pub jobs: Mutex<BTreeMap<String, Job>>,
    pub check: Mutex<Check>,
    pub store: Store,
    pub cloud: Cloud,
    pub controllers: OnceLock<Controllers>,
    pub over: AtomicBool,
    /// This value itself, for work that goes on in other threads.
    pub me: OnceLock<std::sync::Weak<World>>,
    pub verbose: bool,
}

pub type W = Arc<World>;

impl World {
    pub fn now(&self) -> f64 {
        self.t0.elapsed().as_secs_f64()
    }

    pub fn is_over(&self) -> bool {
        self.over.load(Ordering::Relaxed)
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}\n", self.now(), text.as_ref());
        let _ = self.record.lock().unwrap().write_all(line.as_bytes());
        if self.verbose {
            print!("{line}");
        }
    }

    pub fn controllers(&self) -> &Controllers {
        self.controllers.get().expect("controllers")
    }

    pub fn job(&self, id: &str) -> Option<Job> {
        self.jobs.lock().unwrap().get(id).cloned()
    }

    /// Records that a rule was broken; each kind and object once.
    pub fn broken(&self, check: &mut Check, rule: &str, object: &str, text: String) {
        if check.reported.insert(format!("{rule} {object}")) {
            let line = format!("{:.3} {rule}: {text}", self.now());
            check.violations.push(line.clone());
            self.note(format!("BROKEN {line}"));
        }
    }

    pub fn task_started(&self, machine: &str, frame: &str, hall: &str, spot: bool, piece: &str, attempt: u64) {
        let now = self.now();
        self.note(format!("{machine} task {piece} try {attempt} starts"));
        let id = piece.rsplit_once('/').map_or("", |p| p.0);
        let Some(job) = self.job(id) else { return };
        let jobs = self.jobs.lock().unwrap().clone();
        let mut c = self.check.lock().unwrap();
        *c.starts.entry(piece.to_string()).or_default() += 1;
        let others = c.on.get(piece).cloned().unwrap_or_default();
        c.on.entry(piece.to_string()).or_default().push((machine.to_string(), attempt));
        if let Some(other) = others.first() {
            let text = format!("{piece} starts on {machine} (try {attempt}) while on {} (try {})", other.0, other.1);
            self.broken(&mut c, "ran_twice", piece, text);
        }
        let mut used = 0.0;
        for (p, list) in &c.on {
            if let Some(j) = p.rsplit_once('/').and_then(|x| jobs.get(x.0))
                && j.crew == job.crew
            {
                used += j.cores * list.len() as f64;
            }
        }
        if let Some(team) = self.site.teams.iter().find(|t| t.name == job.crew)
            && used > team.cpus_max + 1e-6
        {
            let text = format!("{} uses {used} CPUs of at most {} at the start of {piece}", team.name, team.cpus_max);
            self.broken(&mut c, "quota", &job.crew, text);
        }
        let spec = &job.spec;
        let frame_ok = spec["frames"].as_array().is_none_or(|f| f.iter().any(|x| x == frame));
        let hall_ok = spec["hall"].as_str().is_none_or(|h| h == hall);
        let spot_ok = !spot || spec["borrowed"] == true;
        let zone_of = |m: &str| self.cloud.hall_of(m);
        let mut mates: Vec<String> = Vec::new();
        for n in 0..job.pieces.min(2000) {
            let p = format!("{id}/{n}");
            if p != piece {
                mates.extend(c.on.get(&p).into_iter().flatten().map(|x| zone_of(&x.0)));
            }
        }
        let one_ok = spec["oneZone"] != true || mates.iter().all(|z| z == hall);
        let here = mates.iter().filter(|z| *z == hall).count() as u32 + 1;
        let scatter_ok = spec["scatter"] != true || here <= job.pieces.div_ceil(2);
        if !(frame_ok && hall_ok && spot_ok && one_ok && scatter_ok) {
            let text = format!("{piece} on {machine} ({frame}, {hall}, spot {spot}); others in {mates:?}");
            self.broken(&mut c, "wrong_place", piece, text);
        }
        for need in &job.awaits {
            let pieces = jobs.get(need).map_or(0, |j| j.pieces);
            if (0..pieces).any(|n| !c.completed.contains(&format!("{need}/{n}"))) {
                self.broken(&mut c, "too_early", piece, format!("{piece} starts before {need} is done"));
            }
        }
        if let Some(at) = c.told.get(id).and_then(|t| t.aborted)
            && now > at + self.site.cancel_s
        {
            self.broken(&mut c, "ran_cancelled", piece, format!("{piece} starts {:.1} s after its cancellation", now - at));
        }
    }

    pub fn task_gone(&self, machine: &str, piece: &str, attempt: u64, completed: bool, why: &str) {
        self.note(format!("{machine} task {piece} try {attempt} ends: {why}"));
        let mut c = self.check.lock().unwrap();
        if let Some(list) = c.on.get_mut(piece) {
            if let Some(at) = list.iter().position(|x| x.0 == machine && x.1 == attempt) {
                list.remove(at);
            }
            if list.is_empty() {
                c.on.remove(piece);
            }
        }
        if completed {
            c.completed.insert(piece.to_string());
        }
    }

    pub fn is_completed(&self, piece: &str) -> bool {
        self.check.lock().unwrap().completed.contains(piece)
    }

    /// Checks what depends on time alone: tasks of cancelled jobs, and jobs of which nothing is answered.
    pub fn check_time(&self) {
        let now = self.now();
        let jobs = self.jobs.lock().unwrap().clone();
        let mut c = self.check.lock().unwrap();
        let cancelled: Vec<(String, f64)> =
            c.told.iter().filter_map(|(id, t)| t.aborted.map(|at| (id.clone(), at))).collect();
        for (id, at) in cancelled {
            if now <= at + self.site.cancel_s {
                continue;
            }
            let left: Vec<String> = c.on.keys().filter(|p| p.rsplit_once('/').is_some_and(|x| x.0 == id)).cloned().collect();
            if let Some(piece) = left.first() {
                let text = format!("{piece} is on a machine {:.1} s after the cancellation of {id}", now - at);
                self.broken(&mut c, "ran_cancelled", &id, text);
            }
            for job in jobs.values().filter(|j| j.awaits.contains(&id)) {
                let told = c.told.get(&job.id).map(|t| (t.aborted, t.accepted, t.last_answer));
                if let Some((None, Some(_), last)) = told
                    && last > at + self.site.cancel_s + 1.0
                {
                    let text = format!("{} is still called unfinished {:.1} s after the cancellation of {id}", job.id, last - at);
                    self.broken(&mut c, "orphaned", &job.id, text);
                }
            }
        }
        let silent: Vec<(String, f64)> = c
            .told
            .iter()
            .filter(|(_, t)| t.polling && t.accepted.is_some() && now - t.last_answer > 90.0)
            .map(|(id, t)| (id.clone(), now - t.last_answer))
            .collect();
        c.recent.retain(|p| now - p.0 < 90.0);
        for (id, age) in &silent {
            // The rule holds only where most others are answered.
            let others = c.recent.iter().filter(|p| silent.iter().all(|s| s.0 != p.1));
            let (all, answered) = others.fold((0, 0), |n, p| (n.0 + 1, n.1 + u32::from(p.2)));
            if answered * 2 <= all {
                continue;
            }
            let text = format!("no poll for {id} was answered for {age:.0} s; of the {all} polls for others {answered} were");
            self.broken(&mut c, "forgotten", id, text);
        }
    }

    /// Records an answer with a status word about a job. `asked` is when the question was sent.
    pub fn told(&self, id: &str, asked: f64, node: usize, status: &str) {
        let now = self.now();
        self.note(format!("user of {id} is told {status} by node {node}"));
        let pieces = self.job(id).map(|j| j.pieces);
        let mut c = self.check.lock().unwrap();
        let Some(pieces) = pieces else {
            self.broken(&mut c, "invented", id, format!("{id} was never submitted and is called {status}"));
            return;
        };
        let left = (0..pieces).find(|n| !c.completed.contains(&format!("{id}/{n}")));
        let t = c.told.entry(id.to_string()).or_default();
        t.last_answer = now;
        let before = (t.done, t.aborted, t.cancel_asked);
        t.accepted.get_or_insert(now);
        match status {
            "done" => {
                t.done.get_or_insert(now);
                if before.1.is_some_and(|at| at < asked) {
                    self.broken(&mut c, "went_back", id, format!("{id} was cancelled and is called done"));
                }
                if let Some(n) = left {
                    self.broken(&mut c, "not_done", id, format!("{id} is called done, but {id}/{n} has not completed"));
                }
            }
            "aborted" => {
                t.aborted.get_or_insert(now);
                if before.0.is_some_and(|at| at < asked) {
                    self.broken(&mut c, "went_back", id, format!("{id} was done and is called cancelled"));
                }
            }
            _ => {
                if before.0.is_some_and(|at| at < asked) || before.1.is_some_and(|at| at < asked) {
                    self.broken(&mut c, "went_back", id, format!("{id} was over and is called {status} by node {node}"));
                }
            }
        }
    }
}

/// A small generator of pseudo-random numbers.
pub struct Rng(pub u64);

impl Rng {
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }
    pub fn unit(&mut self) -> f64 {
        (self.next() % 1_000_000) as f64 / 1e6
    }
    pub fn range(&mut self, from: f64, to: f64) -> f64 {
        from + (to - from) * self.unit()
    }
    pub fn below(&mut self, n: usize) -> usize {
        (self.next() % n as u64) as usize
    }
}
