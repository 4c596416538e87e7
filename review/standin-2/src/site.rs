//! What all cases share: the site, its start and its end.

use crate::cloud::Cloud;
use crate::controllers::Controllers;
use crate::http;
use crate::store::{Limits, Store};
use crate::world::{Check, Frame, Site, Team, W, World};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

pub fn small_site() -> Site {
    let team = |name: &str, cpus: f64, cpus_max: f64| Team { name: name.into(), cpus, cpus_max };
    Site {
        zones: ["agamenon", "anexo-caruaru", "boa-vista"].map(String::from).to_vec(),
        frames: vec![Frame { name: "forno", cores: 32.0, ram: 64.0, fetch: 1.0, boot: 10.0 }],
        teams: vec![
            team("torrefacao", 208.0, 616.0),
            team("assinaturas", 616.0, 1432.0),
            team("entregas", 248.0, 1024.0),
            team("plataforma", 248.0, 736.0),
        ],
        report_s: 3.0,
        lease_s: 27.0,
        cancel_s: 52.0,
        rps: 200.0,
        write_rps: 80.0,
        value_kb: 16.0,
        txn_ops: 24,
        next: None,
        list_lag_s: 3.0,
        cloud_rps: 5.0,
        fd_limit: 3000,
        mem_mb: 136.0,
    }
}

/// Starts the stand-ins and, once they listen, the controllers.
pub fn start(site: Site, machines: &[usize], folder: &Path, record: &Path) -> W {
    let count = 3;
    let limits = || Limits { rps: site.rps, write_rps: site.write_rps, value_kb: site.value_kb, txn_ops: site.txn_ops };
    let world: W = Arc::new(World {
        t0: Instant::now(),
        site: site.clone(),
        record: Mutex::new(std::fs::File::create(record).expect("record")),
        jobs: Mutex::default(),
        check: Mutex::new(Check::default()),
        store: Store::new(count, limits()),
        cloud: Cloud::default(),
        controllers: OnceLock::new(),
        over: false.into(),
        me: OnceLock::new(),
        verbose: std::env::var("VERBOSE").is_ok(),
    });
    let _ = world.me.set(Arc::downgrade(&world));
    let mut state: Vec<SocketAddr> = Vec::new();
    for node in 0..count {
        let (listener, address) = http::listen();
        let w = world.clone();
        http::serve(listener, Arc::new(move |req| w.store.handle(&w, node, req)));
        state.push(address);
    }
    let mut clouds: Vec<SocketAddr> = Vec::new();
    for node in 0..count {
        let (listener, address) = http::listen();
        let w = world.clone();
        http::serve(listener, Arc::new(move |req| w.cloud.handle(&w, node, req)));
        clouds.push(address);
    }
    let root = std::env::current_dir().expect("current folder");
    let _ = world.controllers.set(Controllers::prepare(&root, folder, &site, &state, &clouds));
    for (zone, n) in machines.iter().enumerate() {
        for _ in 0..*n {
            world.cloud.add_running(&world, 0, &site.zones[zone], false);
        }
    }
    for node in 0..count {
        world.controllers().start(&world, node);
    }
    let w = world.clone();
    std::thread::spawn(move || {
        while !w.is_over() {
            w.cloud.tick(&w);
            w.store.expire(w.now());
            for worker in w.cloud.workers() {
                worker.advance();
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    });
    let w = world.clone();
    std::thread::spawn(move || {
        while !w.is_over() {
            w.controllers().probe(&w);
            std::thread::sleep(Duration::from_millis(900));
        }
    });
    let w = world.clone();
    std::thread::spawn(move || {
        while !w.is_over() {
            w.check_time();
            w.controllers().watch(&w);
            std::thread::sleep(Duration::from_millis(200));
        }
    });
    world
}

pub fn wait(world: &W, until: f64) {
    while world.now() < until {
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Waits for a condition; returns whether it came true in time.
pub fn wait_for(world: &W, until: f64, mut is_true: impl FnMut() -> bool) -> bool {
    while world.now() < until {
        if is_true() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    is_true()
}

/// Ends the site. Returns 1 if this rule was broken, or any rule if none is named, and 0 otherwise.
pub fn finish(world: &W, rule: &str) -> i32 {
    world.over.store(true, Ordering::SeqCst);
    world.controllers().kill_all(world);
    let check = world.check.lock().unwrap();
    let accepted = check.told.values().filter(|t| t.accepted.is_some()).count();
    let done = check.told.values().filter(|t| t.done.is_some()).count();
    let aborted = check.told.values().filter(|t| t.aborted.is_some()).count();
    let open: Vec<&String> = check
        .told
        .iter()
        .filter(|(_, t)| t.accepted.is_some() && t.done.is_none() && t.aborted.is_none())
        .map(|(id, _)| id)
        .collect();
    world.note(format!("jobs: {} submitted, {accepted} accepted, {done} done, {aborted} cancelled; open {open:?}", check.told.len()));
    let restarts: Vec<&String> = check.starts.iter().filter(|(_, n)| **n > 1).map(|(p, _)| p).collect();
    world.note(format!("tasks started more than once: {}", restarts.len()));
    let rejected = world.store.rejected();
    world.note(format!("state service answered 400 to {}: {:?}", rejected.len(), rejected.first()));
    world.note(format!("polls: {} of {} answered", check.polls_answered, check.polls));
    for line in &check.violations {
        println!("BROKEN {line}");
    }
    println!(
        "jobs {} accepted {accepted} done {done} cancelled {aborted} open {}; restarted tasks {}; 400s {}; polls {}/{}",
        check.told.len(),
        open.len(),
        restarts.len(),
        rejected.len(),
        check.polls_answered,
        check.polls
    );
    let broken = |line: &&String| line.split(' ').nth(1).is_some_and(|word| rule.is_empty() || word.trim_end_matches(':') == rule);
    i32::from(check.violations.iter().filter(broken).count() > 0)
}

pub fn leader(world: &W) -> usize {
    let mut found = None;
    wait_for(world, world.now() + 10.0, || {
        found = world.controllers().leader(world);
        found.is_some()
    });
    found.unwrap_or(0)
}

/// The deployment of the mill, at its first size.
pub fn mill() -> Site {
    let mut site = small_site();
    site.zones = ["beichang-jifang", "nanchang-jifang", "zhubei-beiyuan"].map(String::from).to_vec();
    site.frames = vec![Frame { name: "zhiji", cores: 16.0, ram: 128.0, fetch: 1.0, boot: 50.0 }];
    site.teams = vec![Team { name: "renshi-xitong".into(), cpus: 160.0, cpus_max: 480.0 }];
    site.lease_s = 26.0;
    site.cancel_s = 51.0;
    (site.rps, site.write_rps, site.cloud_rps, site.list_lag_s) = (150.0, 30.0, 8.0, 6.0);
    (site.fd_limit, site.mem_mb) = (2000, 104.0);
    site
}
