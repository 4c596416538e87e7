//! The controllers' processes, started with the command of the deploy file, and the ways between them.

use crate::http::{self, Client};
use crate::world::{Site, W};
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// What a connection from one controller to another meets.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Link {
    Open,
    /// Connections are closed at once.
    Refused,
    /// Bytes wait until the link is open again.
    Held,
}

/// Workers that do not reach a controller.
#[derive(Clone)]
pub enum Cut {
    All,
    AllBut(String),
    Hall(String),
}

pub struct Node {
    pub label: String,
    pub zone: String,
    pub front: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
    /// Whether the process is expected to run.
    wanted: Mutex<bool>,
    pub stopped: Mutex<bool>,
    /// Health as the load balancer sees it: recent results, healthy, time of the last change, ever healthy.
    pub health: Mutex<Health>,
}

#[derive(Default, Clone)]
pub struct Health {
    pub recent: Vec<bool>,
    pub healthy: bool,
    pub since: f64,
    pub ever: bool,
    pub removals: Vec<f64>,
}

pub struct Controllers {
    pub nodes: Vec<Node>,
    program: Vec<String>,
    root: PathBuf,
    pids: PathBuf,
    links: Arc<Mutex<HashMap<(usize, usize), Link>>>,
    /// Nodes that some workers do not reach.
    cut: Mutex<HashMap<usize, Cut>>,
    /// Nodes that users do not reach.
    pub users_cut: Mutex<HashMap<usize, bool>>,
}

impl Controllers {
    pub fn prepare(root: &Path, folder: &Path, site: &Site, state: &[SocketAddr], clouds: &[SocketAddr]) -> Controllers {
        let deploy = std::fs::read_to_string(root.join("deploy/service.toml")).expect("the deploy file");
        let run = deploy.lines().find_map(|l| l.strip_prefix("run = \"")).expect("run").trim_end_matches('"');
        let program: Vec<String> = run.split_whitespace().map(str::to_string).collect();
        let count = state.len();
        let held: Vec<(SocketAddr, SocketAddr)> = (0..count).map(|_| (http::fixed_port(), http::fixed_port())).collect();
        let links: Arc<Mutex<HashMap<(usize, usize), Link>>> = Arc::default();
        let mut nodes = Vec::new();
        for i in 0..count {
            let (label, zone) = (format!("loom-{i}"), site.zones[i % site.zones.len()].clone());
            let mut text = format!(
                "label = \"{label}\"\nlocation = \"{zone}\"\nfront = \"{}\"\nback = \"{}\"\n",
                held[i].0, held[i].1
            );
            for j in (0..count).filter(|j| *j != i) {
                let (listener, way) = http::listen();
                proxy(listener, held[j].1, (i, j), links.clone());
                let zone = &site.zones[j % site.zones.len()];
                text += &format!("\n[[seeds]]\nlabel = \"loom-{j}\"\nlocation = \"{zone}\"\naddress = \"{way}\"\n");
            }
            text += &format!("\n[endpoints]\ncloud = \"{}\"\nstate = \"{}\"\n", clouds[i], state[i]);
            text += &params(site, count);
            let settings = folder.join(format!("{label}.toml"));
            std::fs::write(&settings, text).expect("settings");
            nodes.push(Node {
                label: label.clone(),
                zone,
                front: held[i].0,
                settings,
                log: folder.join(format!("{label}.log")),
                child: Mutex::new(None),
                wanted: Mutex::new(false),
                stopped: Mutex::new(false),
                health: Mutex::default(),
            });
        }
        Controllers {
            nodes,
            program,
            root: root.to_path_buf(),
            pids: folder.join("pids"),
            links,
            cut: Mutex::default(),
            users_cut: Mutex::default(),
        }
    }

    pub fn index(&self, label: &str) -> Option<usize> {
        self.nodes.iter().position(|n| n.label == label)
    }

    pub fn front(&self, node: usize) -> Option<SocketAddr> {
        self.nodes.get(node).map(|n| n.front)
    }

    pub fn start(&self, world: &W, node: usize) {
        let n = &self.nodes[node];
        let log = std::fs::File::options().create(true).append(true).open(&n.log).expect("log");
        let mut command = Command::new(self.root.join(&self.program[0]));
        command.args(&self.program[1..]).arg(&n.settings).current_dir(&self.root);
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        let child = command.spawn().expect("the program of the deploy file");
        // The script ends what is left if this program cannot.
        if let Ok(mut list) = std::fs::File::options().create(true).append(true).open(&self.pids) {
            let _ = writeln!(list, "{}", child.id());
        }
        *n.child.lock().unwrap() = Some(child);
        *n.wanted.lock().unwrap() = true;
        world.note(format!("{} starts", n.label));
    }

    pub fn kill(&self, world: &W, node: usize) {
        let n = &self.nodes[node];
        *n.wanted.lock().unwrap() = false;
        if let Some(mut child) = n.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
            world.note(format!("{} is killed", n.label));
        }
        *n.stopped.lock().unwrap() = false;
    }

    pub fn kill_all(&self, world: &W) {
        for node in 0..self.nodes.len() {
            self.kill(world, node);
        }
    }

    pub fn signal(&self, world: &W, node: usize, name: &str) {
        let n = &self.nodes[node];
        let id = n.child.lock().unwrap().as_ref().map(Child::id);
        if let Some(id) = id {
            let _ = Command::new("kill").arg(format!("-{name}")).arg(id.to_string()).status();
            *n.stopped.lock().unwrap() = name == "STOP";
            world.note(format!("{} gets {name}", n.label));
        }
    }

    /// Restarts and records processes that ended by themselves.
    pub fn watch(&self, world: &W) {
        for (i, n) in self.nodes.iter().enumerate() {
            let mut child = n.child.lock().unwrap();
            let ended = child.as_mut().and_then(|c| c.try_wait().ok().flatten());
            if let Some(status) = ended
                && *n.wanted.lock().unwrap()
            {
                *child = None;
                drop(child);
                let mut check = world.check.lock().unwrap();
                let text = format!("{} ended by itself: {status}", n.label);
                world.broken(&mut check, "ended", &format!("{} {:.0}", n.label, world.now()), text);
                drop(check);
                std::thread::sleep(Duration::from_millis(500));
                self.start(world, i);
            }
        }
    }

    pub fn set_link(&self, from: usize, to: usize, link: Link) {
        self.links.lock().unwrap().insert((from, to), link);
    }

    pub fn set_links_of(&self, node: usize, link: Link) {
        for other in (0..self.nodes.len()).filter(|o| *o != node) {
            self.set_link(node, other, link);
            self.set_link(other, node, link);
        }
    }

    pub fn set_workers_cut(&self, node: usize, cut: Option<Cut>) {
        match cut {
            Some(cut) => self.cut.lock().unwrap().insert(node, cut),
            None => self.cut.lock().unwrap().remove(&node),
        };
    }

    pub fn workers_cut(&self, node: usize, hall: &str) -> bool {
        match self.cut.lock().unwrap().get(&node) {
            None => false,
            Some(Cut::All) => true,
            Some(Cut::AllBut(own)) => own != hall,
            Some(Cut::Hall(cut)) => cut == hall,
        }
    }

    /// Probes `/up` of all nodes as the load balancer does.
    pub fn probe(&self, world: &W) {
        std::thread::scope(|scope| {
            for (i, n) in self.nodes.iter().enumerate() {
                scope.spawn(move || {
                    let cut = self.users_cut.lock().unwrap().get(&i).copied().unwrap_or(false);
                    let ok = !cut
                        && Client::connect(n.front, 1.0)
                            .and_then(|mut c| c.call("GET", "/up", "", 1.0))
                            .is_some_and(|a| a.status == 200);
                    n.health.lock().unwrap().record(world.now(), ok);
                });
            }
        });
    }

    pub fn leader(&self, world: &W) -> Option<usize> {
        self.index(world.store.value("l/lead")?["node"].as_str().or(world.store.value("l/lead")?["n"].as_str())?)
    }
}

impl Health {
    fn record(&mut self, now: f64, ok: bool) {
        self.recent.push(ok);
        if self.recent.len() > 6 {
            self.recent.remove(0);
        }
        let last = |n: usize, want: bool| self.recent.len() >= n && self.recent.iter().rev().take(n).all(|r| *r == want);
        if self.healthy {
            if last(2, false) || self.recent.iter().filter(|r| !**r).count() >= 3 {
                self.healthy = false;
                self.since = now;
                self.removals.push(now);
            }
        } else {
            let removals = self.removals.iter().filter(|at| now - **at < 120.0).count() as i32;
            let pause = (3.0 * 2f64.powi((removals - 1).max(0))).min(60.0);
            if (!self.ever && ok) || (last(2, true) && now - self.since >= pause) {
                self.healthy = true;
                self.ever = true;
                self.since = now;
                self.recent.clear();
            }
        }
    }
}

fn params(site: &Site, count: usize) -> String {
    let mut text = format!("\n[params]\ninitial_size = {count}\nzones = {:?}\nskew_ms = 5.0\n", site.zones);
    for team in &site.teams {
        text += &format!(
            "\n[[params.teams]]\nname = \"{}\"\ncpus = {:?}\ncpus_max = {:?}\ngpus = 0.0\ngpus_max = 0.0\n",
            team.name, team.cpus, team.cpus_max
        );
    }
    text += &format!(
        "\n[params.workers]\nreport_s = {:?}\nlease_s = {:?}\ngang_wait_s = 35.0\ngang_peer_s = 6.0\ncancel_s = {:?}\n",
        site.report_s, site.lease_s, site.cancel_s
    );
    text += &format!(
        "\n[params.state]\nrps = {:?}\nwrite_rps = {:?}\nvalue_kb = {:?}\ntxn_ops = {}\n",
        site.rps, site.write_rps, site.value_kb, site.txn_ops
    );
    if let Some((write, kb, ops)) = site.next {
        text += &format!("\n[params.state.next]\nwrite_rps = {write:?}\nvalue_kb = {kb:?}\ntxn_ops = {ops}\n");
    }
    text += &format!("\n[params.cloud]\nrps = {:?}\nlist_lag_s = {:?}\n", site.cloud_rps, site.list_lag_s);
    text += &format!(
        "\n[params.resources]\ncore_share = 0.2\nmem_mb = {:?}\nfd_limit = {}\n",
        site.mem_mb, site.fd_limit
    );
    text
}

/// Passes bytes from one controller to another, as far as the link allows.
fn proxy(listener: TcpListener, to: SocketAddr, key: (usize, usize), links: Arc<Mutex<HashMap<(usize, usize), Link>>>) {
    let state = move |links: &Mutex<HashMap<(usize, usize), Link>>| links.lock().unwrap().get(&key).copied().unwrap_or(Link::Open);
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            if state(&links) == Link::Refused {
                continue;
            }
            let links = links.clone();
            std::thread::spawn(move || {
                while state(&links) == Link::Held {
                    std::thread::sleep(Duration::from_millis(20));
                }
                let Ok(target) = TcpStream::connect(to) else { return };
                let _ = target.set_nodelay(true);
                let back = (target.try_clone(), stream.try_clone());
                let (Ok(target_back), Ok(stream_back)) = back else { return };
                let links_back = links.clone();
                std::thread::spawn(move || pass(target_back, stream_back, move || state(&links_back)));
                pass(stream, target, move || state(&links));
            });
        }
    });
}

fn pass(mut from: TcpStream, mut to: TcpStream, link: impl Fn() -> Link) {
    let _ = from.set_read_timeout(Some(Duration::from_millis(50)));
    let mut chunk = [0u8; 65536];
    loop {
        match link() {
            Link::Refused => break,
            Link::Held => {
                std::thread::sleep(Duration::from_millis(20));
                continue;
            }
            Link::Open => {}
        }
        match from.read(&mut chunk) {
            Ok(0) => break,
            Ok(n) => {
                while link() == Link::Held {
                    std::thread::sleep(Duration::from_millis(20));
                }
                if to.write_all(&chunk[..n]).is_err() {
                    break;
                }
            }
            Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
            Err(_) => break,
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
