//! Searches without a case of their own: troubles at random, and the largest jobs.

use crate::controllers::{Cut, Link};
use crate::site::{finish, leader, mill, small_site, start, wait};
use crate::store::Way;
use crate::users::{self, Plan, job, with};
use crate::world::Rng;
use serde_json::json;
use std::path::Path;
use std::time::Duration;

/// Troubles at random, for a search.
pub fn chaos(folder: &Path, record: &Path, trouble: bool) -> i32 {
    let seed: u64 = std::env::var("SEED").ok().and_then(|s| s.parse().ok()).unwrap_or(1);
    let until: f64 = std::env::var("UNTIL").ok().and_then(|s| s.parse().ok()).unwrap_or(150.0);
    let mut rng = Rng(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1);
    for _ in 0..5 {
        rng.next();
    }
    let mut site = small_site();
    if seed % 3 == 0 {
        site.next = Some((60.0, 2.0, 8));
    }
    let world = start(site.clone(), &[3, 3, 4], folder, record);
    for zone in &site.zones {
        world.cloud.set_capacity(0, zone, false, 5);
        world.cloud.set_capacity(0, zone, true, 8);
    }
    let teams = ["torrefacao", "assinaturas", "entregas", "plataforma"];
    let jobs = 60;
    let mut arrays: Vec<(String, f64)> = Vec::new();
    for n in 0..jobs {
        let id = format!("wk-{:06}", (n * 7919 + 13) % 1_000_000);
        let daemon = rng.unit() < 0.25;
        let pieces = if daemon { 1 + rng.below(4) } else { 1 + rng.below(24) } as u32;
        let cores = [1.0, 2.0, 4.0][rng.below(3)];
        let crew = teams[rng.below(4)];
        let run = rng.range(1.0, 25.0);
        let mut j = job(&id, crew, daemon, pieces, cores, cores, run);
        j = with(j, "bundle", json!(format!("img-{:02}", rng.below(4))));
        if rng.unit() < 0.2 {
            j = with(j, "scatter", json!(true));
        } else if rng.unit() < 0.2 {
            j = with(j, "oneZone", json!(true));
        } else if rng.unit() < 0.2 {
            j = with(j, "hall", json!(site.zones[rng.below(3)]));
        }
        if rng.unit() < 0.3 {
            j = with(j, "urgency", json!(["high", "best_effort"][rng.below(2)]));
        }
        if !daemon && rng.unit() < 0.3 {
            j = with(j, "dueS", json!(run * 3.0 + 20.0));
        }
        let at = 6.0 + rng.unit() * rng.unit() * (until - 50.0);
        if !daemon && !arrays.is_empty() && rng.unit() < 0.2 {
            let earlier: Vec<String> =
                arrays.iter().filter(|a| a.1 + 8.0 < at).map(|a| a.0.clone()).take(3).collect();
            if !earlier.is_empty() {
                j = with(j, "awaits", json!(earlier));
            }
        }
        if !daemon && rng.unit() < 0.1 {
            j = with(j, "markEveryS", json!(3.0));
            j = with(j, "markTakesS", json!(2.0));
        }
        let cancel_at = (daemon && rng.unit() < 0.6 || rng.unit() < 0.15).then(|| at + rng.range(0.2, 40.0));
        let again_at = (rng.unit() < 0.3).then(|| at + rng.range(1.0, 60.0));
        if !daemon {
            arrays.push((id, at));
        }
        users::live(world.clone(), j, Plan { submit_at: at, cancel_at, again_at });
    }
    wait(&world, 12.0);
    let lossy = std::env::var("LOSSY").is_ok();
    if lossy {
        for worker in world.cloud.workers() {
            worker.trouble.lock().unwrap().copy_calls = 40.0;
        }
    }
    let calm = until - 40.0;
    while trouble && world.now() < calm {
        let node = if rng.unit() < 0.6 { leader(&world) } else { rng.below(3) };
        let kind = rng.below(if lossy { 20 } else { 16 });
        let length = rng.range(2.0, 35.0).min(calm - world.now() + 1.0);
        let all = rng.unit() < 0.3;
        world.note(format!("TROUBLE {kind} node {node} for {length:.1}"));
        let c = world.controllers();
        let w = world.clone();
        match kind {
            0 | 1 => {
                let nodes: Vec<usize> = if all { vec![0, 1, 2] } else { vec![node] };
                let back = rng.range(0.1, 5.0);
                for n in &nodes {
                    c.kill(&world, *n);
                }
                std::thread::sleep(Duration::from_secs_f64(back));
                for n in nodes {
                    c.start(&world, n);
                }
            }
            2 | 3 => {
                c.signal(&world, node, "STOP");
                let t = if all { length } else { length.min(9.0) };
                std::thread::sleep(Duration::from_secs_f64(t));
                c.signal(&world, node, "CONT");
            }
            4 => {
                let way = [Way::Refused, Way::Cut, Way::Held][rng.below(3)];
                world.store.set_way(node, way);
                std::thread::sleep(Duration::from_secs_f64(length));
                world.store.set_way(node, Way::Open);
            }
            5 => {
                let (way, link) = if all { (Way::Held, Link::Held) } else { (Way::Cut, Link::Refused) };
                world.store.set_way(node, way);
                c.set_links_of(node, link);
                std::thread::sleep(Duration::from_secs_f64(length));
                world.store.set_way(node, Way::Open);
                c.set_links_of(node, Link::Open);
            }
            6 => {
                world.store.set_down(world.now(), true);
                std::thread::sleep(Duration::from_secs_f64(length.min(28.0)));
                world.store.set_down(world.now(), false);
            }
            7 => {
                for n in 0..3 {
                    c.set_links_of(n, if all { Link::Held } else { Link::Refused });
                }
                std::thread::sleep(Duration::from_secs_f64(length));
                for n in 0..3 {
                    c.set_links_of(n, Link::Open);
                }
            }
            8 => {
                c.set_workers_cut(node, Some(Cut::All));
                for worker in w.cloud.workers() {
                    worker.trouble.lock().unwrap().no_calls_until = w.now() + length;
                }
                std::thread::sleep(Duration::from_secs_f64(length));
                c.set_workers_cut(node, None);
            }
            9 => {
                // A zone is cut off: its controller reaches only its own workers.
                let zone = c.nodes[node].zone.clone();
                world.store.set_way(node, Way::Cut);
                c.set_links_of(node, if all { Link::Held } else { Link::Refused });
                c.users_cut.lock().unwrap().insert(node, true);
                c.set_workers_cut(node, Some(Cut::AllBut(zone.clone())));
                for other in (0..3).filter(|o| *o != node) {
                    c.set_workers_cut(other, Some(Cut::Hall(zone.clone())));
                }
                for worker in w.cloud.workers().iter().filter(|x| x.hall == zone) {
                    worker.trouble.lock().unwrap().no_calls_until = w.now() + length;
                }
                std::thread::sleep(Duration::from_secs_f64(length));
                world.store.set_way(node, Way::Open);
                c.set_links_of(node, Link::Open);
                c.users_cut.lock().unwrap().remove(&node);
                for n in 0..3 {
                    c.set_workers_cut(n, None);
                }
            }
            10 => {
                for worker in w.cloud.workers() {
                    if rng.unit() < 0.4 {
                        worker.trouble.lock().unwrap().hung_until = w.now() + length;
                    }
                }
            }
            11 => {
                for worker in w.cloud.workers() {
                    if rng.unit() < 0.3 {
                        worker.trouble.lock().unwrap().deaf_until = w.now() + length;
                    }
                }
            }
            12 => {
                for worker in w.cloud.workers() {
                    worker.trouble.lock().unwrap().copy_after = (w.now() + 10.0, 45.0);
                }
            }
            13 => {
                for name in w.cloud.spot_names() {
                    if rng.unit() < 0.5 {
                        w.cloud.take(&name);
                    }
                }
            }
            14 => {
                for worker in w.cloud.workers() {
                    let mut t = worker.trouble.lock().unwrap();
                    if rng.unit() < 0.2 {
                        t.sick_until = w.now() + length;
                    } else if rng.unit() < 0.2 {
                        t.slow_until = w.now() + length;
                    }
                }
            }
            16..=18 => {
                world.store.set_lossy(rng.range(0.0, 0.3), rng.range(0.0, 0.2), rng.range(0.0, 0.5));
                std::thread::sleep(Duration::from_secs_f64(length));
                world.store.set_lossy(0.0, 0.0, 0.0);
            }
            19 => {
                world.store.set_lossy(0.1, 0.1, 0.3);
                c.kill(&world, node);
                std::thread::sleep(Duration::from_secs_f64(rng.range(0.05, 0.5)));
                c.start(&world, node);
                std::thread::sleep(Duration::from_secs_f64(3.0));
                world.store.set_lossy(0.0, 0.0, 0.0);
            }
            _ => {
                world.cloud.set_down(true);
                std::thread::sleep(Duration::from_secs_f64(length));
                world.cloud.set_down(false);
            }
        }
        std::thread::sleep(Duration::from_secs_f64(rng.range(0.0, 8.0)));
    }
    wait(&world, until);
    finish(&world, "")
}

/// Jobs of the largest size, for a search.
pub fn big(folder: &Path, record: &Path) -> i32 {
    let site = small_site();
    let world = start(site.clone(), &[3, 3, 4], folder, record);
    for zone in &site.zones {
        world.cloud.set_capacity(0, zone, false, 5);
        world.cloud.set_capacity(0, zone, true, 8);
    }
    let n: u32 = std::env::var("PIECES").ok().and_then(|s| s.parse().ok()).unwrap_or(100_000);
    let count: u32 = std::env::var("JOBS").ok().and_then(|s| s.parse().ok()).unwrap_or(20);
    let cores: f64 = std::env::var("CORES").ok().and_then(|s| s.parse().ok()).unwrap_or(0.02);
    let run: f64 = std::env::var("RUN").ok().and_then(|s| s.parse().ok()).unwrap_or(0.2);
    for k in 0..count {
        let j = job(&format!("wk-{:06}", 100 + k), "torrefacao", false, n, cores, cores, run);
        users::live(world.clone(), j, Plan { submit_at: 8.0 + 0.2 * f64::from(k), cancel_at: None, again_at: None });
    }
    wait(&world, std::env::var("UNTIL").ok().and_then(|s| s.parse().ok()).unwrap_or(90.0));
    finish(&world, "")
}

/// Many users who poll, an outage of the state service, an end of all controllers, and repeated writes.
pub fn polls(folder: &Path, record: &Path, trouble: bool) -> i32 {
    let mut site = mill();
    site.rps = std::env::var("RPS").ok().and_then(|s| s.parse().ok()).unwrap_or(site.rps);
    let world = start(site, &[3, 3, 4], folder, record);
    wait(&world, 6.0);
    if trouble {
        world.store.set_lossy(0.0, 0.0, 0.5);
    }
    for n in 0..400 {
        let j = job(&format!("wk-{:06}", 100 + n), "renshi-xitong", false, 1, 0.25, 0.25, 400.0);
        let submit_at = 6.0 + 0.035 * f64::from(n);
        users::live(world.clone(), j, Plan { submit_at, cancel_at: None, again_at: None });
    }
    wait(&world, 22.0);
    if trouble {
        world.store.set_down(world.now(), true);
        wait(&world, 36.0);
        world.controllers().kill_all(&world);
        wait(&world, 40.0);
        world.store.set_down(world.now(), false);
        wait(&world, 41.0);
        (0..3).for_each(|n| world.controllers().start(&world, n));
    }
    wait(&world, 118.0);
    finish(&world, "forgotten")
}
