//! A worker: the agent on one machine, with its tasks, its lease and its reports, as PROTOCOL describes it.

use crate::http::{self, Client, Req, Resp};
use crate::world::{Rng, W};
use serde_json::{Value, json};
use std::collections::HashSet;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock, Weak};
use std::time::Duration;

/// Largest body of a request.
const MAX_BODY: usize = 64 * 1024;

struct Task {
    piece: String,
    attempt: u64,
    status: &'static str,
    cause: &'static str,
    stored: bool,
    cores: f64,
    ram: f64,
    bundle: String,
    ready_at: f64,
    ends_at: f64,
    flush_until: f64,
    fails: bool,
}

#[derive(Default)]
pub struct Trouble {
    pub hung_until: f64,
    pub sick_until: f64,
    pub slow_until: f64,
    /// Reports arrive, but answers and commands do not reach the machine.
    pub deaf_until: f64,
    /// Copies of direct calls that were carried out arrive once more within this many seconds, while positive.
    pub copy_calls: f64,
    /// Direct calls do not reach the machine.
    pub no_calls_until: f64,
    /// Copies of reports are sent once more after this many seconds, while positive.
    pub copy_after: (f64, f64),
    pub warn_at: Option<f64>,
}

struct State {
    shift: u64,
    tick: u64,
    baton: u64,
    tasks: Vec<Task>,
    images: HashSet<String>,
    lease_from: f64,
    changed: bool,
    token_change_at: f64,
    last_sent: f64,
    next_due: f64,
    node: usize,
    hung: bool,
    /// Size of the last report.
    report_bytes: usize,
    /// The last answer that renewed the lease: when, from which node, and its token.
    renewed: Option<(f64, usize, u64)>,
}

pub struct Worker {
    pub name: String,
    pub endpoint: String,
    pub frame: usize,
    pub hall: String,
    pub spot: bool,
    pub trouble: Mutex<Trouble>,
    state: Mutex<State>,
    ended: AtomicBool,
    world: W,
    rng: Mutex<Rng>,
    me: OnceLock<Weak<Worker>>,
}

static SEED: AtomicU64 = AtomicU64::new(88172645463325252);

impl Worker {
    pub fn start(world: &W, name: &str, frame: usize, hall: &str, spot: bool) -> Arc<Worker> {
        let (listener, address) = http::listen();
        let now = world.now();
        let nodes = world.controllers().nodes.len();
        let seed = SEED.fetch_add(0x9E3779B97F4A7C15, Ordering::Relaxed) | 1;
        let mut rng = Rng(seed);
        rng.next();
        let node = rng.below(nodes);
        let state = State {
            shift: 1,
            tick: 0,
            baton: 0,
            tasks: Vec::new(),
            images: HashSet::new(),
            lease_from: now,
            changed: false,
            token_change_at: -1e9,
            last_sent: -1e9,
            next_due: now,
            node,
            hung: false,
            report_bytes: 0,
            renewed: None,
        };
        let worker = Arc::new(Worker {
            name: name.into(),
            endpoint: address.to_string(),
            frame,
            hall: hall.into(),
            spot,
            trouble: Mutex::default(),
            state: Mutex::new(state),
            ended: AtomicBool::new(false),
            world: world.clone(),
            rng: Mutex::new(rng),
            me: OnceLock::new(),
        });
        let _ = worker.me.set(Arc::downgrade(&worker));
        world.note(format!("{name} is up in {hall} at {address}, spot {spot}"));
        let server = worker.clone();
        http::serve(listener, Arc::new(move |req| server.request(req)));
        let reporter = worker.clone();
        std::thread::spawn(move || reporter.report_loop());
        worker
    }

    /// The machine is gone with all that is on it.
    pub fn end(&self, why: &str) {
        if self.ended.swap(true, Ordering::SeqCst) {
            return;
        }
        self.world.note(format!("{} is gone: {why}", self.name));
        let mut s = self.state.lock().unwrap();
        self.kill_all(&mut s, why);
    }

    pub fn has_ended(&self) -> bool {
        self.ended.load(Ordering::SeqCst)
    }

    /// The last answer that renewed the lease (when, from which node, its token), and the tasks that run.
    pub fn holder(&self) -> (Option<(f64, usize, u64)>, Vec<String>) {
        let s = self.state.lock().unwrap();
        (s.renewed, s.tasks.iter().filter(|t| t.status == "running").map(|t| t.piece.clone()).collect())
    }

    fn kill_all(&self, s: &mut State, why: &str) {
        for t in std::mem::take(&mut s.tasks) {
            if t.status == "running" || t.status == "flushing" {
                self.world.task_gone(&self.name, &t.piece, t.attempt, false, why);
            }
        }
    }

    fn is_hung(&self, now: f64) -> bool {
        now < self.trouble.lock().unwrap().hung_until
    }

    /// Lets time pass on the machine.
    pub fn advance(&self) {
        let now = self.world.now();
        if self.has_ended() {
            return;
        }
        let mut s = self.state.lock().unwrap();
        // A hanging machine may go on within its lease only: at its end the tasks count as killed.
        s.hung = self.is_hung(now);
        if s.hung {
            if now - s.lease_from > self.world.site.lease_s {
                self.kill_all(&mut s, "lease ended while the machine hangs");
            }
            return;
        }
        if now - s.lease_from > self.world.site.lease_s {
            self.world.note(format!("{} lease of shift {} ends", self.name, s.shift));
            let running = s.tasks.iter().filter(|t| t.status == "running").count();
            if s.report_bytes > MAX_BODY && running > 0 {
                let text = format!(
                    "{} reaches all controllers, but its reports have {} bytes: its lease ends, {running} running tasks are killed",
                    self.name, s.report_bytes
                );
                let object = format!("{} shift {}", self.name, s.shift);
                self.world.broken(&mut self.world.check.lock().unwrap(), "body_limit", &object, text);
            }
            self.kill_all(&mut s, "lease ended");
            s.shift += 1;
            s.tick = 0;
            s.lease_from = now;
            s.changed = true;
        }
        let (sick, slow) = {
            let t = self.trouble.lock().unwrap();
            (now < t.sick_until, now < t.slow_until)
        };
        let s = &mut *s;
        for t in &mut s.tasks {
            if t.status == "fetching" && now >= t.ready_at {
                s.images.insert(t.bundle.clone());
                t.status = "running";
                s.changed = true;
                let id = t.piece.rsplit_once('/').map_or("", |p| p.0);
                let job = self.world.job(id);
                let run = job.as_ref().map_or(1.0, |j| j.run_s) * if slow { 3.0 } else { 1.0 };
                let done_before = self.world.is_completed(&t.piece);
                t.fails = sick || job.as_ref().is_some_and(|j| j.broken);
                t.ends_at = if t.fails {
                    now + 0.2
                } else if job.as_ref().is_some_and(|j| j.daemon) {
                    f64::INFINITY
                } else if done_before {
                    now
                } else {
                    now + run
                };
                let frame = self.world.site.frames[self.frame].name;
                self.world.task_started(&self.name, frame, &self.hall, self.spot, &t.piece, t.attempt);
            }
            if t.status == "running" && now >= t.ends_at {
                t.status = "exited";
                t.cause = if t.fails { "error" } else { "done" };
                s.changed = true;
                self.world.task_gone(&self.name, &t.piece, t.attempt, !t.fails, t.cause);
            }
            if t.status == "flushing" && now >= t.flush_until {
                t.status = "exited";
                t.cause = "stopped";
                t.stored = true;
                s.changed = true;
                self.world.task_gone(&self.name, &t.piece, t.attempt, false, "saved and stopped");
            }
        }
    }

    fn report(&self, s: &mut State) -> Value {
        s.tick += 1;
        let pieces: Vec<Value> = s
            .tasks
            .iter()
            .map(|t| {
                let mut v = json!({"piece": t.piece, "try": t.attempt, "status": t.status});
                if t.status == "exited" {
                    v["cause"] = json!(t.cause);
                    if t.stored {
                        v["stored"] = json!(true);
                    }
                }
                v
            })
            .collect();
        let warn = self.trouble.lock().unwrap().warn_at.map(|at| (at - self.world.now()).max(0.0));
        json!({"loom": self.name, "endpoint": self.endpoint, "frame": self.world.site.frames[self.frame].name,
            "hall": self.hall, "borrowed": self.spot, "shift": s.shift, "tick": s.tick, "baton": s.baton,
            "warnS": warn, "pieces": pieces})
    }

    fn see_token(&self, s: &mut State, baton: u64) {
        if baton > s.baton {
            s.baton = baton;
            let now = self.world.now();
            if now - s.token_change_at >= self.world.site.lease_s / 2.0 {
                s.token_change_at = now;
                s.changed = true;
            }
        }
    }

    fn execute(&self, s: &mut State, orders: &Value, way: &str) {
        let now = self.world.now();
        for order in orders.as_array().into_iter().flatten() {
            let verb = order["verb"].as_str().unwrap_or("");
            let piece = order["piece"].as_str().unwrap_or("").to_string();
            let attempt = order["try"].as_u64().unwrap_or(0);
            self.world.note(format!("{} {way}: {verb} {piece} try {attempt}", self.name));
            match verb {
                "run" => self.run(s, now, piece, attempt),
                "halt" => {
                    let wind = order["windDownS"].as_f64().unwrap_or(0.0);
                    let spec = self.world.job(piece.rsplit_once('/').map_or("", |p| p.0)).map(|j| j.spec);
                    let every = spec.as_ref().and_then(|s| s["markEveryS"].as_f64()).unwrap_or(0.0);
                    let takes = spec.as_ref().and_then(|s| s["markTakesS"].as_f64()).unwrap_or(0.0);
                    if let Some(t) = s.tasks.iter_mut().find(|t| t.piece == piece && t.attempt == attempt) {
                        let was = t.status;
                        match was {
                            "running" if every > 0.0 && wind >= takes => {
                                t.status = "flushing";
                                t.flush_until = now + takes;
                                s.changed = true;
                            }
                            "exited" => {}
                            "flushing" if wind > 0.0 => {}
                            _ => {
                                t.status = "exited";
                                t.cause = "stopped";
                                s.changed = true;
                                if was != "fetching" {
                                    self.world.task_gone(&self.name, &piece, attempt, false, "stopped");
                                }
                            }
                        }
                    }
                }
                "forget" => s.tasks.retain(|t| t.piece != piece || t.attempt != attempt || t.status != "exited"),
                _ => {}
            }
        }
    }

    fn run(&self, s: &mut State, now: f64, piece: String, attempt: u64) {
        if s.tasks.iter().any(|t| t.piece == piece && t.attempt == attempt) {
            return;
        }
        s.changed = true;
        let (id, number) = piece.rsplit_once('/').map_or(("", u32::MAX), |p| (p.0, p.1.parse().unwrap_or(u32::MAX)));
        let submitted = self.world.check.lock().unwrap().told.get(id).is_some_and(|t| t.submitted.is_some());
        let job = self.world.job(id).filter(|j| number < j.pieces && submitted);
        let frame = &self.world.site.frames[self.frame];
        let used: (f64, f64) =
            s.tasks.iter().filter(|t| t.status != "exited").fold((0.0, 0.0), |a, t| (a.0 + t.cores, a.1 + t.ram));
        let (cores, ram) = job.as_ref().map_or((0.0, 0.0), |j| (j.cores, j.ram));
        let cause = if job.is_none() {
            "no_such"
        } else if s.tasks.iter().any(|t| t.piece == piece && t.status != "exited") {
            "in_use"
        } else if used.0 + cores > frame.cores + 1e-6 || used.1 + ram > frame.ram + 1e-6 {
            "no_room"
        } else {
            ""
        };
        let bundle = job.as_ref().map_or(String::new(), |j| j.bundle.clone());
        let fetch = if s.images.contains(&bundle) { 0.0 } else { job.as_ref().map_or(0.0, |j| j.image_gb) / frame.fetch };
        s.tasks.push(Task {
            piece,
            attempt,
            status: if cause.is_empty() { "fetching" } else { "exited" },
            cause,
            stored: false,
            cores,
            ram,
            bundle,
            ready_at: now + fetch,
            ends_at: f64::INFINITY,
            flush_until: 0.0,
            fails: false,
        });
    }

    fn request(&self, req: Req) -> Resp {
        // A hanging machine answers when it goes on; a machine that is gone never does.
        let mut waited = 0.0;
        while self.has_ended() || self.is_hung(self.world.now()) {
            if self.has_ended() || waited > 40.0 {
                std::thread::sleep(Duration::from_secs(5));
                return Resp::none();
            }
            std::thread::sleep(Duration::from_millis(50));
            waited += 0.05;
        }
        let cut = {
            let t = self.trouble.lock().unwrap();
            t.deaf_until.max(t.no_calls_until)
        };
        if self.world.now() < cut {
            std::thread::sleep(Duration::from_secs(5));
            return Resp::none();
        }
        let mut s = self.state.lock().unwrap();
        if req.path == "/status" {
            let report = self.report(&mut s);
            return Resp::new(200, report);
        }
        let body = req.json();
        let (Some(baton), Some(shift)) = (body["baton"].as_u64(), body["shift"].as_u64()) else {
            return Resp::new(400, json!({"error":"baton or shift is missing"}));
        };
        if req.body.len() > MAX_BODY {
            return Resp::new(400, json!({"error":"body too large"}));
        }
        if baton < s.baton || shift != s.shift {
            self.world.note(format!("{} refuses orders with baton {baton} shift {shift}: has {} and {}", self.name, s.baton, s.shift));
            let report = self.report(&mut s);
            return Resp::new(409, report);
        }
        self.see_token(&mut s, baton);
        let within = self.trouble.lock().unwrap().copy_calls;
        let has_orders = body["orders"].as_array().is_some_and(|o| !o.is_empty());
        if has_orders && within > 0.0 && !req.query.contains("copy") && self.rng.lock().unwrap().unit() < 0.5 {
            let after = self.rng.lock().unwrap().range(0.3, within);
            let copy = Req { method: req.method.clone(), path: req.path.clone(), query: "copy=1".into(), body: req.body.clone() };
            if let Some(me) = self.me.get().and_then(|w| w.upgrade()) {
                std::thread::spawn(move || {
                    std::thread::sleep(Duration::from_secs_f64(after));
                    me.request(copy);
                });
            }
        }
        self.execute(&mut s, &body["orders"], if req.query.is_empty() { "orders" } else { "copied orders" });
        let report = self.report(&mut s);
        Resp::new(200, report)
    }

    fn report_loop(&self) {
        let mut client: Option<Client> = None;
        loop {
            std::thread::sleep(Duration::from_millis(20));
            if self.has_ended() || self.world.is_over() {
                return;
            }
            let now = self.world.now();
            if self.is_hung(now) {
                continue;
            }
            let (body, node, shift) = {
                let mut s = self.state.lock().unwrap();
                let due = now >= s.next_due || (s.changed && now - s.last_sent >= 0.5);
                if !due || s.hung {
                    continue;
                }
                s.changed = false;
                s.last_sent = now;
                let factor = self.rng.lock().unwrap().range(0.75, 1.25);
                s.next_due = now + self.world.site.report_s * factor;
                (self.report(&mut s).to_string(), s.node, s.shift)
            };
            self.state.lock().unwrap().report_bytes = body.len();
            if body.len() > MAX_BODY {
                self.world.note(format!("{} report has {} bytes", self.name, body.len()));
            }
            self.copy_later(&body);
            let nodes = self.world.controllers().nodes.len();
            let answer = self.send(&mut client, node, &body);
            // An answer that arrives while the machine hangs or is deaf is not seen.
            while self.is_hung(self.world.now()) && !self.has_ended() {
                std::thread::sleep(Duration::from_millis(50));
            }
            if self.has_ended() {
                return;
            }
            let late = self.world.now() - now > 4.0 || self.world.now() < self.trouble.lock().unwrap().deaf_until;
            let answer = answer.filter(|_| !late);
            let mut s = self.state.lock().unwrap();
            let next = (node + 1) % nodes;
            match answer {
                Some(a) if a.status == 200 => {
                    let baton = a.body["baton"].as_u64().unwrap_or(0);
                    if s.shift == shift && a.body["baton"].is_u64() && baton >= s.baton {
                        self.see_token(&mut s, baton);
                        s.lease_from = now;
                        s.renewed = Some((self.world.now(), node, baton));
                        self.execute(&mut s, &a.body["orders"], "reply");
                    }
                    if a.body.to_string().len() > 64 * 1024 {
                        self.world.note(format!("{} got a reply line of over 64 KiB", self.name));
                    }
                }
                Some(a) if a.status == 421 => {
                    client = None;
                    let named = a.body["foreman"].as_str().and_then(|l| self.world.controllers().index(l));
                    match named.filter(|n| *n != node) {
                        Some(named) => {
                            s.node = named;
                            s.next_due = self.world.now() + self.rng.lock().unwrap().range(0.0, 0.5);
                        }
                        None => {
                            s.node = next;
                            s.next_due = self.world.now() + 1.0;
                        }
                    }
                }
                _ => {
                    client = None;
                    s.node = next;
                    s.next_due = self.world.now() + 1.0;
                }
            }
        }
    }

    fn send(&self, client: &mut Option<Client>, node: usize, body: &str) -> Option<http::Answer> {
        let address = self.world.controllers().front(node)?;
        if self.world.controllers().workers_cut(node, &self.hall) {
            std::thread::sleep(Duration::from_secs(4));
            return None;
        }
        if client.is_none() {
            *client = Client::connect(address, 4.0);
        }
        let c = client.as_mut()?;
        let answer = c.call("POST", "/checkin", body, 4.0);
        if answer.is_none() || c.closing {
            *client = None;
        }
        answer
    }

    /// Sends a copy of a report to all nodes later, whose answers nobody reads.
    fn copy_later(&self, body: &str) {
        let (until, after) = self.trouble.lock().unwrap().copy_after;
        if self.world.now() >= until {
            return;
        }
        let (world, body) = (self.world.clone(), body.to_string());
        let after = self.rng.lock().unwrap().range(after * 0.3, after);
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_secs_f64(after));
            for node in 0..world.controllers().nodes.len() {
                if let Some(mut c) = world.controllers().front(node).and_then(|a| Client::connect(a, 1.0)) {
                    c.call("POST", "/checkin", &body, 1.0);
                }
            }
        });
    }
}
