//! The state service, as PROTOCOL describes it, with a listener for each controller so that troubles can concern one.

use crate::http::{Req, Resp};
use crate::world::World;
use serde_json::{Value, json};
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Condvar, Mutex};
use std::time::Duration;

/// What a controller meets on its way to the state service.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Way {
    Open,
    /// Each request gets 503; open watches wait.
    Refused,
    /// Nothing is answered, and nothing is executed.
    Cut,
    /// Requests are held and executed when the cut ends; nobody gets an answer.
    Held,
}

struct Entry {
    value: Value,
    stamp: u64,
    pass: Option<u64>,
}

pub struct Limits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
}

struct Bucket {
    tokens: f64,
    at: f64,
}

impl Bucket {
    fn take(&mut self, now: f64, rate: f64, amount: f64) -> bool {
        self.tokens = (self.tokens + (now - self.at) * rate).min(rate);
        self.at = now;
        let granted = self.tokens >= amount;
        if granted {
            self.tokens -= amount;
        }
        granted
    }
}

struct State {
    entries: BTreeMap<String, Entry>,
    ledger: u64,
    holds: BTreeMap<u64, (f64, f64)>,
    next_hold: u64,
    changes: VecDeque<(u64, String, Option<Value>)>,
    requests: Bucket,
    writes: Bucket,
    limits: Limits,
    down: bool,
    ways: Vec<Way>,
    rejected: Vec<String>,
    /// Shares of the transactions that are executed without an answer, executed late without an answer, and executed
    /// once more later.
    pub lossy: (f64, f64, f64),
    rng: crate::world::Rng,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    pub fn new(nodes: usize, limits: Limits) -> Store {
        let state = State {
            entries: BTreeMap::new(),
            ledger: 1,
            holds: BTreeMap::new(),
            next_hold: 1,
            changes: VecDeque::new(),
            requests: Bucket { tokens: limits.rps, at: 0.0 },
            writes: Bucket { tokens: limits.write_rps, at: 0.0 },
            limits,
            down: false,
            ways: vec![Way::Open; nodes],
            rejected: Vec::new(),
            lossy: (0.0, 0.0, 0.0),
            rng: crate::world::Rng(0x1234_5678_9ABC_DEF1),
        };
        Store { state: Mutex::new(state), changed: Condvar::new() }
    }

    pub fn set_way(&self, node: usize, way: Way) {
        self.state.lock().unwrap().ways[node] = way;
        self.changed.notify_all();
    }

    pub fn set_down(&self, now: f64, down: bool) {
        let mut s = self.state.lock().unwrap();
        if s.down && !down {
            for hold in s.holds.values_mut() {
                hold.1 = now + hold.0;
            }
        }
        s.down = down;
        drop(s);
        self.changed.notify_all();
    }

    pub fn set_lossy(&self, lost: f64, late: f64, copied: f64) {
        self.state.lock().unwrap().lossy = (lost, late, copied);
    }

    /// Bodies of requests that got 400.
    pub fn rejected(&self) -> Vec<String> {
        self.state.lock().unwrap().rejected.clone()
    }

    pub fn value(&self, key: &str) -> Option<Value> {
        self.state.lock().unwrap().entries.get(key).map(|e| e.value.clone())
    }

    /// Removes the keys of holds that have ended.
    pub fn expire(&self, now: f64) {
        let mut s = self.state.lock().unwrap();
        if s.down {
            return;
        }
        let ended: Vec<u64> = s.holds.iter().filter(|(_, h)| now > h.1 + 0.01).map(|(id, _)| *id).collect();
        for id in ended {
            s.end_hold(id);
            self.changed.notify_all();
        }
    }

    pub fn handle(&self, world: &World, node: usize, req: Req) -> Resp {
        let way = self.state.lock().unwrap().ways[node];
        match way {
            Way::Open => {}
            Way::Refused => return Resp::new(503, json!({"error":"refused"})),
            Way::Cut => {
                std::thread::sleep(Duration::from_secs(8));
                return Resp::none();
            }
            Way::Held => {
                while self.state.lock().unwrap().ways[node] == Way::Held {
                    std::thread::sleep(Duration::from_millis(20));
                }
                if req.path != "/watch" {
                    self.execute(world, &req);
                }
                return Resp::none();
            }
        }
        std::thread::sleep(Duration::from_millis(1));
        if req.path == "/txn" {
            let (luck, delay) = {
                let mut s = self.state.lock().unwrap();
                let (lost, late, copied) = s.lossy;
                let x = s.rng.unit();
                let kind = if x < lost { 1 } else if x < lost + late { 2 } else if x < lost + late + copied { 3 } else { 0 };
                (kind, s.rng.range(1.0, 20.0))
            };
            match luck {
                1 => {
                    self.execute(world, &req);
                    std::thread::sleep(Duration::from_secs(3));
                    return Resp::none();
                }
                2 => {
                    std::thread::sleep(Duration::from_secs_f64(delay.clamp(2.0, 12.0)));
                    self.execute(world, &req);
                    return Resp::none();
                }
                3 => {
                    let reply = self.execute(world, &req);
                    let copy = Req { method: req.method.clone(), path: req.path.clone(), query: String::new(), body: req.body.clone() };
                    let world = world.me.get().and_then(|w| w.upgrade());
                    if let Some(world) = world.filter(|_| reply.status == 200) {
                        std::thread::spawn(move || {
                            std::thread::sleep(Duration::from_secs_f64(delay * 2.0));
                            world.store.execute(&world, &copy);
                        });
                    }
                    return reply;
                }
                _ => {}
            }
        }
        if req.path == "/watch" { self.watch(world, node, &req) } else { self.execute(world, &req) }
    }

    pub fn execute(&self, world: &World, req: &Req) -> Resp {
        let now = world.now();
        let mut s = self.state.lock().unwrap();
        if s.down {
            return Resp::new(503, json!({"error":"down"}));
        }
        let rps = s.limits.rps;
        if !s.requests.take(now, rps, 1.0) {
            return Resp::new(429, json!({"error":"too many requests"}));
        }
        let path = req.path.as_str();
        if path == "/kv" {
            return s.scan(req);
        }
        if let Some(key) = path.strip_prefix("/kv/") {
            return match s.entries.get(key) {
                Some(e) => Resp::new(200, pair(key, e)),
                None => Resp::new(404, json!({"ledger": s.ledger})),
            };
        }
        if path == "/txn" {
            let reply = s.transact(now, req);
            if reply.status == 400 {
                let text = String::from_utf8_lossy(&req.body).into_owned();
                s.rejected.push(format!("{} {}", reply.body, text.chars().take(300).collect::<String>()));
            }
            drop(s);
            self.changed.notify_all();
            return reply;
        }
        if path == "/holds" {
            let life = req.json()["lifeMs"].as_f64().unwrap_or(0.0);
            if !(100.0..=600_000.0).contains(&life) {
                return Resp::new(400, json!({"error":"lifeMs"}));
            }
            let id = s.next_hold;
            s.next_hold += 1;
            s.holds.insert(id, (life / 1000.0, now + life / 1000.0));
            return Resp::new(200, json!({"pass": id}));
        }
        if let Some(rest) = path.strip_prefix("/holds/") {
            let id: u64 = rest.split('/').next().and_then(|t| t.parse().ok()).unwrap_or(0);
            if req.method == "DELETE" {
                let known = s.holds.contains_key(&id);
                s.end_hold(id);
                drop(s);
                self.changed.notify_all();
                return Resp::new(if known { 200 } else { 404 }, json!({}));
            }
            return match s.holds.get_mut(&id) {
                Some(hold) => {
                    hold.1 = now + hold.0;
                    Resp::new(200, json!({}))
                }
                None => Resp::new(404, json!({})),
            };
        }
        Resp::new(400, json!({"error":"malformed"}))
    }

    fn watch(&self, world: &World, node: usize, req: &Req) -> Resp {
        let start = world.now();
        let prefix = req.arg("prefix").unwrap_or_default();
        let after: u64 = req.arg("after").and_then(|t| t.parse().ok()).unwrap_or(0);
        let hold = req.arg("holdMs").and_then(|t| t.parse::<f64>().ok()).unwrap_or(0.0) / 1000.0;
        let mut s = self.state.lock().unwrap();
        if s.down {
            return Resp::new(503, json!({"error":"down"}));
        }
        let rps = s.limits.rps;
        if !s.requests.take(start, rps, 1.0) {
            return Resp::new(429, json!({"error":"too many requests"}));
        }
        loop {
            let blocked = s.down || s.ways[node] != Way::Open;
            if !blocked {
                if s.changes.front().is_some_and(|c| c.0 > after + 1) && s.changes.len() >= 10_000 {
                    return Resp::new(410, json!({}));
                }
                let news: Vec<Value> = s
                    .changes
                    .iter()
                    .filter(|c| c.0 > after && c.1.starts_with(&prefix))
                    .map(|c| match &c.2 {
                        Some(v) => json!({"set": c.1, "v": v, "stamp": c.0}),
                        None => json!({"drop": c.1, "stamp": c.0}),
                    })
                    .collect();
                if !news.is_empty() || world.now() - start >= hold {
                    return Resp::new(200, json!({"ledger": s.ledger, "news": news}));
                }
            }
            if world.now() - start > 60.0 {
                return Resp::none();
            }
            s = self.changed.wait_timeout(s, Duration::from_millis(20)).unwrap().0;
        }
    }
}

fn pair(key: &str, e: &Entry) -> Value {
    let mut value = json!({"path": key, "v": e.value, "stamp": e.stamp});
    if let Some(pass) = e.pass {
        value["pass"] = json!(pass);
    }
    value
}

impl State {
    fn change(&mut self, key: &str, value: Option<Value>) {
        self.changes.push_back((self.ledger, key.to_string(), value));
        while self.changes.len() > 10_000 {
            self.changes.pop_front();
        }
    }

    fn end_hold(&mut self, id: u64) {
        if self.holds.remove(&id).is_none() {
            return;
        }
        let keys: Vec<String> = self.entries.iter().filter(|(_, e)| e.pass == Some(id)).map(|(k, _)| k.clone()).collect();
        for key in keys {
            self.entries.remove(&key);
            self.ledger += 1;
            self.change(&key, None);
        }
    }

    fn scan(&self, req: &Req) -> Resp {
        let prefix = req.arg("prefix").unwrap_or_default();
        let after = req.arg("after").unwrap_or_default();
        let most = req.arg("most").and_then(|t| t.parse::<usize>().ok()).unwrap_or(1000).min(1000);
        let mut pairs = Vec::new();
        let (mut bytes, mut truncated) = (0, false);
        for (key, e) in self.entries.range(prefix.clone()..).take_while(|(k, _)| k.starts_with(&prefix)) {
            if !after.is_empty() && *key <= after {
                continue;
            }
            let item = pair(key, e);
            let size = item.to_string().len();
            if pairs.len() >= most || bytes + size > 512 * 1024 {
                truncated = true;
                break;
            }
            bytes += size;
            pairs.push(item);
        }
        Resp::new(200, json!({"pairs": pairs, "truncated": truncated, "ledger": self.ledger}))
    }

    fn transact(&mut self, now: f64, req: &Req) -> Resp {
        let bad = |why: &str| Resp::new(400, json!({"error": why}));
        let body = req.json();
        let empty = Vec::new();
        let conditions = body["if"].as_array().unwrap_or(&empty).clone();
        let writes = body["writes"].as_array().unwrap_or(&empty).clone();
        if body.is_null() || req.body.len() > 64 * 1024 {
            return bad("malformed or larger than 64 KiB");
        }
        if writes.len() > self.limits.txn_ops || conditions.len() > self.limits.txn_ops * 4 {
            return bad("too many writes or conditions");
        }
        for write in &writes {
            let key = write["set"].as_str().or(write["drop"].as_str()).unwrap_or("");
            if key.is_empty() || key.len() > 200 || key.contains(' ') {
                return bad("key");
            }
            if write["set"].is_string() && write["v"].to_string().len() as f64 > self.limits.value_kb * 1024.0 {
                return bad("value too large");
            }
        }
        let rate = self.limits.write_rps;
        if !self.writes.take(now, rate, writes.len() as f64) {
            return Resp::new(429, json!({"error":"too many writes"}));
        }
        let failed: Vec<&str> = conditions
            .iter()
            .filter(|c| {
                let stamp = self.entries.get(c["path"].as_str().unwrap_or("")).map_or(0, |e| e.stamp);
                Some(stamp) != c["stamp"].as_u64()
            })
            .filter_map(|c| c["path"].as_str())
            .collect();
        for write in &writes {
            if let Some(pass) = write["pass"].as_u64()
                && !self.holds.contains_key(&pass)
            {
                return bad("no such lease");
            }
        }
        if !failed.is_empty() {
            return Resp::new(409, json!({"failed": failed, "ledger": self.ledger}));
        }
        if writes.is_empty() {
            return Resp::new(200, json!({"ledger": self.ledger}));
        }
        self.ledger += 1;
        for write in &writes {
            if let Some(key) = write["set"].as_str() {
                let entry = Entry { value: write["v"].clone(), stamp: self.ledger, pass: write["pass"].as_u64() };
                self.entries.insert(key.to_string(), entry);
                self.change(key, Some(write["v"].clone()));
            } else if let Some(key) = write["drop"].as_str()
                && self.entries.remove(key).is_some()
            {
                self.change(key, None);
            }
        }
        Resp::new(200, json!({"ledger": self.ledger}))
    }
}
