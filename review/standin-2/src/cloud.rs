//! The cloud and its machines.

use crate::http::{Req, Resp};
use crate::worker::Worker;
use crate::world::W;
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex};

pub struct Machine {
    pub frame: usize,
    pub hall: String,
    pub spot: bool,
    pub status: &'static str,
    pub rented: f64,
    pub up_at: f64,
    pub worker: Option<Arc<Worker>>,
}

#[derive(Default)]
struct State {
    machines: BTreeMap<String, Machine>,
    last: u64,
    hires: HashMap<String, Vec<String>>,
    /// Free machines by frame, hall and kind.
    capacity: HashMap<(usize, String, bool), u32>,
    lists: Vec<(f64, Vec<Value>)>,
    tokens: f64,
    at: f64,
    down: bool,
    gone: HashMap<String, String>,
}

#[derive(Default)]
pub struct Cloud {
    state: Mutex<State>,
}

impl Cloud {
    pub fn hall_of(&self, machine: &str) -> String {
        let s = self.state.lock().unwrap();
        s.machines.get(machine).map(|m| m.hall.clone()).or(s.gone.get(machine).cloned()).unwrap_or_default()
    }

    pub fn set_capacity(&self, frame: usize, hall: &str, spot: bool, count: u32) {
        self.state.lock().unwrap().capacity.insert((frame, hall.to_string(), spot), count);
    }

    pub fn set_down(&self, down: bool) {
        self.state.lock().unwrap().down = down;
    }

    pub fn workers(&self) -> Vec<Arc<Worker>> {
        self.state.lock().unwrap().machines.values().filter_map(|m| m.worker.clone()).collect()
    }

    /// Adds a machine that is up.
    pub fn add_running(&self, world: &W, frame: usize, hall: &str, spot: bool) -> String {
        let mut s = self.state.lock().unwrap();
        s.last += 1;
        let name = format!("vm-{:06}", s.last);
        let machine = Machine {
            frame,
            hall: hall.into(),
            spot,
            status: "booting",
            rented: world.now() - 600.0,
            up_at: world.now(),
            worker: None,
        };
        s.machines.insert(name.clone(), machine);
        name
    }

    /// Boots machines that are due and takes a picture of the list.
    pub fn tick(&self, world: &W) {
        let now = world.now();
        let mut s = self.state.lock().unwrap();
        let due: Vec<String> =
            s.machines.iter().filter(|(_, m)| m.status == "booting" && now >= m.up_at).map(|(n, _)| n.clone()).collect();
        for name in due {
            let Some(m) = s.machines.get_mut(&name) else { continue };
            m.status = "running";
            m.worker = Some(Worker::start(world, &name, m.frame, &m.hall, m.spot));
        }
        if s.lists.last().is_none_or(|l| now - l.0 > 0.5) {
            let list = s
                .machines
                .iter()
                .map(|(name, m)| {
                    json!({"ref": name, "endpoint": m.worker.as_ref().map_or(String::new(), |w| w.endpoint.clone()),
                        "frame": world.site.frames[m.frame].name, "hall": m.hall, "borrowed": m.spot,
                        "status": m.status, "ageS": now - m.rented})
                })
                .collect();
            s.lists.push((now, list));
            s.lists.retain(|l| now - l.0 < 30.0);
        }
    }

    /// Takes a machine away: all on it is gone. It is no longer listed.
    pub fn take(&self, name: &str) {
        let mut s = self.state.lock().unwrap();
        if let Some(m) = s.machines.remove(name) {
            s.gone.insert(name.to_string(), m.hall.clone());
            drop(s);
            if let Some(worker) = m.worker {
                worker.end("taken");
            }
        }
    }

    pub fn spot_names(&self) -> Vec<String> {
        let s = self.state.lock().unwrap();
        s.machines.iter().filter(|(_, m)| m.spot && m.status == "running").map(|(n, _)| n.clone()).collect()
    }

    /// A node that no longer leads must not return a machine: another one has renewed the machine's lease since, and
    /// has work running there.
    fn check_return(&self, world: &W, node: usize, name: &str) {
        let worker = self.state.lock().unwrap().machines.get(name).and_then(|m| m.worker.clone());
        let Some((Some((at, holder, token)), running)) = worker.map(|w| w.holder()) else { return };
        if holder != node && world.now() - at < world.site.lease_s && !running.is_empty() {
            let text = format!(
                "node {node} returns {name}, whose lease node {holder} renewed {:.1} s ago with token {token}; {} tasks run there",
                world.now() - at,
                running.len()
            );
            world.broken(&mut world.check.lock().unwrap(), "stale_leader", name, text);
        }
    }

    /// Answers a request of this node.
    pub fn handle(&self, world: &W, node: usize, req: Req) -> Resp {
        let now = world.now();
        let mut s = self.state.lock().unwrap();
        if s.down {
            return Resp::new(503, json!({"error":"trouble"}));
        }
        let rate = world.site.cloud_rps;
        s.tokens = (s.tokens + (now - s.at) * rate).min(rate * 2.0);
        s.at = now;
        if s.tokens < 1.0 {
            return Resp::new(429, json!({"error":"too many"}));
        }
        s.tokens -= 1.0;
        match (req.method.as_str(), req.path.as_str()) {
            ("GET", "/catalog") => {
                let frames: Vec<Value> = world
                    .site
                    .frames
                    .iter()
                    .map(|f| {
                        json!({"name": f.name, "cores": f.cores, "cards": 0.0, "ramGb": f.ram, "localGb": 80.0,
                            "fetchGbPerS": f.fetch, "price": 2.0, "marketPrice": 0.5, "bootS": f.boot,
                            "halls": world.site.zones})
                    })
                    .collect();
                Resp::new(200, json!({"frames": frames}))
            }
            ("POST", "/machines") => {
                let b = req.json();
                let hire = b["hire"].as_str().unwrap_or("").to_string();
                if let Some(names) = s.hires.get(&hire) {
                    return Resp::new(200, json!({"looms": names}));
                }
                let frame = world.site.frames.iter().position(|f| b["frame"] == f.name);
                let (Some(frame), Some(hall), Some(spot)) = (frame, b["hall"].as_str(), b["borrowed"].as_bool()) else {
                    return Resp::new(400, json!({"error":"malformed"}));
                };
                let count = b["count"].as_u64().unwrap_or(0).min(50) as u32;
                let free = s.capacity.entry((frame, hall.to_string(), spot)).or_insert(0);
                let granted = count.min(*free);
                if granted == 0 {
                    return Resp::new(503, json!({"error":"no capacity"}));
                }
                *free -= granted;
                let mut names = Vec::new();
                for n in 0..granted {
                    s.last += 1;
                    let name = format!("vm-{:06}", s.last);
                    let boot = world.site.frames[frame].boot * (0.7 + 0.1 * f64::from(n % 6));
                    let machine = Machine {
                        frame,
                        hall: hall.into(),
                        spot,
                        status: "booting",
                        rented: now,
                        up_at: now + boot,
                        worker: None,
                    };
                    s.machines.insert(name.clone(), machine);
                    names.push(name);
                }
                s.hires.insert(hire.clone(), names.clone());
                drop(s);
                world.note(format!("cloud: {hire} rents {names:?} in {hall}, spot {spot}"));
                Resp::new(200, json!({"looms": names}))
            }
            ("POST", "/machines/return") => {
                let names: Vec<String> = req.json()["looms"]
                    .as_array()
                    .map(|l| l.iter().filter_map(|n| n.as_str().map(str::to_string)).collect())
                    .unwrap_or_default();
                if names.len() > 100 {
                    return Resp::new(400, json!({"error":"too many names"}));
                }
                drop(s);
                world.note(format!("cloud: node {node} returns {names:?}"));
                for name in &names {
                    self.check_return(world, node, name);
                    let mut s = self.state.lock().unwrap();
                    if let Some(m) = s.machines.remove(name) {
                        s.gone.insert(name.clone(), m.hall.clone());
                        *s.capacity.entry((m.frame, m.hall.clone(), m.spot)).or_insert(0) += 1;
                        drop(s);
                        if let Some(worker) = m.worker {
                            worker.end("returned");
                        }
                    }
                }
                Resp::new(200, json!({}))
            }
            ("GET", "/machines") => {
                let after = req.arg("after").unwrap_or_default();
                let most = req.arg("most").and_then(|t| t.parse::<usize>().ok()).unwrap_or(500).min(500);
                let lag = world.site.list_lag_s;
                let list = s.lists.iter().rev().find(|l| now - l.0 >= lag).map(|l| l.1.clone()).unwrap_or_default();
                let rest: Vec<Value> =
                    list.into_iter().filter(|m| m["ref"].as_str().unwrap_or("") > after.as_str()).collect();
                let truncated = rest.len() > most;
                Resp::new(200, json!({"looms": rest.into_iter().take(most).collect::<Vec<_>>(), "truncated": truncated}))
            }
            _ => Resp::new(400, json!({"error":"malformed"})),
        }
    }
}
