//! Users, and the load balancer in front of the controllers.

use crate::http::{Answer, Client};
use crate::world::{Job, W};
use serde_json::{Value, json};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// A user's connection through the load balancer.
#[derive(Default)]
pub struct Line {
    client: Option<(usize, Client)>,
}

static TURN: AtomicU64 = AtomicU64::new(0);

impl Line {
    /// A connection that the load balancer has assigned to this node.
    pub fn at(world: &W, node: usize) -> Line {
        Line { client: Client::connect(world.controllers().nodes[node].front, 0.5).map(|c| (node, c)) }
    }

    /// Sends a request; `None` without an answer. Returns the node that answered too.
    pub fn call(&mut self, world: &W, method: &str, path: &str, body: &str, timeout: f64) -> Option<(usize, Answer)> {
        let controllers = world.controllers();
        if let Some((node, _)) = &self.client {
            let h = controllers.nodes[*node].health.lock().unwrap().clone();
            if !h.healthy && world.now() - h.since >= 5.0 {
                self.client = None;
            }
        }
        if self.client.is_none() {
            let healthy: Vec<usize> =
                (0..controllers.nodes.len()).filter(|n| controllers.nodes[*n].health.lock().unwrap().healthy).collect();
            if healthy.is_empty() {
                return None;
            }
            let first = TURN.fetch_add(1, Ordering::Relaxed) as usize;
            for k in 0..healthy.len().min(3) {
                let node = healthy[(first + k) % healthy.len()];
                if controllers.users_cut.lock().unwrap().get(&node).copied().unwrap_or(false) {
                    continue;
                }
                if let Some(c) = Client::connect(controllers.nodes[node].front, 0.5) {
                    self.client = Some((node, c));
                    break;
                }
            }
        }
        let (node, client) = self.client.as_mut()?;
        let node = *node;
        if controllers.users_cut.lock().unwrap().get(&node).copied().unwrap_or(false) {
            std::thread::sleep(Duration::from_secs_f64(timeout));
            self.client = None;
            return None;
        }
        world.note(format!("user sends {method} {path} to node {node} {body}"));
        let answer = client.call(method, path, body, timeout);
        if answer.is_none() || client.closing {
            self.client = None;
        }
        Some((node, answer?))
    }
}

pub struct Plan {
    pub submit_at: f64,
    pub cancel_at: Option<f64>,
    /// Whether the submission is sent again at this time.
    pub again_at: Option<f64>,
}

pub fn job(id: &str, crew: &str, daemon: bool, pieces: u32, cores: f64, ram: f64, run_s: f64) -> Job {
    let spec = json!({"ref": id, "jobline": if daemon {"balcao-pedidos"} else {"lote-torra"}, "crew": crew,
        "shape": if daemon {"daemon"} else {"array"}, "urgency": if daemon {"prod"} else {"normal"},
        "pieces": pieces, "cores": cores, "cards": 0.0, "ramGb": ram, "bundle": "img-01", "imageGb": 0.8,
        "frames": null, "hall": null, "oneZone": false, "scatter": false, "borrowed": !daemon,
        "expectS": if daemon {0.0} else {run_s}, "markEveryS": 0.0, "markTakesS": 0.0, "dueS": null});
    Job {
        id: id.into(),
        spec,
        crew: crew.into(),
        daemon,
        pieces,
        cores,
        ram,
        bundle: "img-01".into(),
        image_gb: 0.8,
        run_s,
        awaits: Vec::new(),
        broken: false,
    }
}

pub fn with(mut job: Job, key: &str, value: Value) -> Job {
    if key == "bundle" {
        job.bundle = value.as_str().unwrap_or("").into();
    }
    if key == "imageGb" {
        job.image_gb = value.as_f64().unwrap_or(0.0);
    }
    if key == "awaits" {
        job.awaits = value.as_array().into_iter().flatten().filter_map(|v| v.as_str().map(str::to_string)).collect();
    }
    job.spec[key] = value;
    job
}

fn sleep_until(world: &W, at: f64) {
    while world.now() < at && !world.is_over() {
        std::thread::sleep(Duration::from_secs_f64((at - world.now()).clamp(0.001, 0.1)));
    }
}

/// Submits a job; returns whether it was accepted.
pub fn submit(world: &W, line: &mut Line, id: &str, limit_s: f64) -> bool {
    let Some(job) = world.job(id) else { return false };
    let first = world.now();
    let known = {
        let mut c = world.check.lock().unwrap();
        let t = c.told.entry(id.to_string()).or_default();
        t.submitted.get_or_insert(first);
        t.accepted.is_some()
    };
    while world.now() - first < limit_s && !world.is_over() {
        let asked = world.now();
        let reply = line.call(world, "POST", "/submissions", &job.spec.to_string(), 5.0);
        let mut pause = 1.0f64;
        if let Some((node, a)) = &reply {
            match a.status {
                200 | 201 => {
                    let status = a.body["status"].as_str().unwrap_or("?").to_string();
                    if a.body["ref"] != id {
                        let mut c = world.check.lock().unwrap();
                        world.broken(&mut c, "foreign", id, format!("{id} got an answer about {}", a.body["ref"]));
                    }
                    world.told(id, asked, *node, &status);
                    return true;
                }
                400 | 422 => {
                    world.note(format!("submission of {id} gets {} from node {node}", a.status));
                    let mut c = world.check.lock().unwrap();
                    if known {
                        let text = format!("a repeated submission of {id} gets {}", a.status);
                        world.broken(&mut c, "forgotten", id, text);
                    }
                    c.told.entry(id.to_string()).or_default().refused = Some(a.status);
                    return false;
                }
                _ => pause = pause.max(a.retry_after.min(30.0)),
            }
        }
        std::thread::sleep(Duration::from_secs_f64(pause));
    }
    false
}

/// Asks once for the state of a job. Returns the status word, or `None` without an answer.
pub fn poll(world: &W, line: &mut Line, id: &str) -> Option<String> {
    let status = ask(world, line, id);
    let now = world.now();
    world.check.lock().unwrap().recent.push((now, id.to_string(), status.is_some()));
    status
}

fn ask(world: &W, line: &mut Line, id: &str) -> Option<String> {
    let asked = world.now();
    {
        let mut c = world.check.lock().unwrap();
        c.polls += 1;
        c.told.entry(id.to_string()).or_default().polls += 1;
    }
    let (node, a) = line.call(world, "GET", &format!("/submissions/{id}"), "", 2.0)?;
    match a.status {
        200 => {
            let status = a.body["status"].as_str().unwrap_or("?").to_string();
            if a.body["ref"] != id {
                let mut c = world.check.lock().unwrap();
                world.broken(&mut c, "foreign", id, format!("{id} got an answer about {}", a.body["ref"]));
            }
            {
                let mut c = world.check.lock().unwrap();
                c.polls_answered += 1;
                c.told.entry(id.to_string()).or_default().polls_answered += 1;
            }
            world.told(id, asked, node, &status);
            Some(status)
        }
        404 => {
            let mut c = world.check.lock().unwrap();
            c.polls_answered += 1;
            if c.told.get(id).and_then(|t| t.accepted).is_some_and(|at| at < asked) {
                world.broken(&mut c, "forgotten", id, format!("{id} was accepted and gets 404 from node {node}"));
            }
            Some("404".into())
        }
        status => {
            world.note(format!("poll for {id} gets {status} from node {node}: {}", a.body["error"]));
            None
        }
    }
}

pub fn cancel(world: &W, line: &mut Line, id: &str) -> bool {
    let first = world.now();
    world.check.lock().unwrap().told.entry(id.to_string()).or_default().cancel_asked = Some(first);
    world.note(format!("user of {id} asks to cancel"));
    while !world.is_over() {
        let asked = world.now();
        if let Some((node, a)) = line.call(world, "POST", &format!("/submissions/{id}/withdraw"), "", 5.0) {
            if a.status == 200 {
                let status = a.body["status"].as_str().unwrap_or("?").to_string();
                world.told(id, asked, node, &status);
                return true;
            }
            if a.status == 404 {
                let mut c = world.check.lock().unwrap();
                if c.told.get(id).and_then(|t| t.accepted).is_some_and(|at| at < asked) {
                    world.broken(&mut c, "forgotten", id, format!("the withdrawal of {id}, accepted, gets 404"));
                }
                return false;
            }
        }
        std::thread::sleep(Duration::from_secs(1));
    }
    false
}

/// The life of one user: submits, polls, and perhaps cancels or submits again.
pub fn live(world: W, job: Job, plan: Plan) {
    let id = job.id.clone();
    world.jobs.lock().unwrap().insert(id.clone(), job);
    let _ = std::thread::Builder::new().stack_size(256 * 1024).spawn(move || {
        sleep_until(&world, plan.submit_at);
        let mut line = Line::default();
        if !submit(&world, &mut line, &id, 60.0) {
            world.note(format!("user of {id} gives up"));
            return;
        }
        let mut again = plan.again_at;
        world.check.lock().unwrap().told.entry(id.clone()).or_default().polling = true;
        let mut next = world.now() + 5.0;
        while !world.is_over() {
            if let Some(at) = plan.cancel_at
                && world.now() >= at
            {
                cancel(&world, &mut line, &id);
                break;
            }
            if again.is_some_and(|at| world.now() >= at) {
                again = None;
                submit(&world, &mut line, &id, 60.0);
            }
            if world.now() >= next {
                next = world.now() + 5.0;
                let status = poll(&world, &mut line, &id);
                if matches!(status.as_deref(), Some("done" | "aborted")) {
                    break;
                }
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        world.check.lock().unwrap().told.entry(id.clone()).or_default().polling = false;
        // The final state is asked for once more, later.
        let mut late = world.now() + 12.0;
        while !world.is_over() {
            if world.now() >= late {
                late = world.now() + 17.0;
                poll(&world, &mut line, &id);
            }
            std::thread::sleep(Duration::from_millis(200));
        }
    });
}
