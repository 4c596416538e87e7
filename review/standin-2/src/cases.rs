//! The cases: what the users of a site do, and the trouble that they meet.

use crate::search;
use crate::site::{finish, leader, mill, small_site, start, wait, wait_for};
use crate::users::{self, Plan, job, with};
use crate::world::W;
use serde_json::json;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

pub fn run(case: &str, folder: &Path, record: &Path, trouble: bool) -> i32 {
    match case {
        "stale-leader" => stale_leader(folder, record, trouble),
        "older-answer" => older_answer(folder, record, trouble),
        "deep-pipeline" => deep_pipeline(folder, record, trouble),
        "full-report" => full_report(folder, record, trouble),
        "chaos" => search::chaos(folder, record, trouble),
        "big" => search::big(folder, record),
        "polls" => search::polls(folder, record, trouble),
        _ => 2,
    }
}

/// Waits until the load balancer takes all controllers for healthy.
fn wait_until_healthy(world: &W) -> bool {
    let healthy = || world.controllers().nodes.iter().all(|n| n.health.lock().unwrap().healthy);
    let is_up = wait_for(world, 20.0, healthy);
    wait(world, 6.0);
    is_up
}

fn accepted(world: &W, id: &str) -> bool {
    world.check.lock().unwrap().told.get(id).is_some_and(|t| t.accepted.is_some())
}

/// The leader stands still, another one takes over, and the first one goes on.
fn stale_leader(folder: &Path, record: &Path, trouble: bool) -> i32 {
    let site = small_site();
    let world = start(site.clone(), &[2, 2, 2], folder, record);
    for zone in &site.zones {
        world.cloud.set_capacity(0, zone, false, 3);
        world.cloud.set_capacity(0, zone, true, 4);
    }
    if !wait_until_healthy(&world) {
        return 2;
    }
    // More work than the owned machines hold, with a deadline that lets some of it go to rented machines at once.
    for n in 0..12 {
        let id = format!("wk-{:06}", 100 + n);
        let j = with(job(&id, "assinaturas", false, 8, 4.0, 4.0, 200.0), "dueS", json!(230.0));
        users::live(world.clone(), j, Plan { submit_at: 6.5, cancel_at: None, again_at: None });
    }
    let rented_at_work = || {
        let workers = world.cloud.workers();
        workers.iter().filter(|w| w.name.as_str() > "vm-000006" && !w.holder().1.is_empty()).count()
    };
    if !wait_for(&world, 50.0, || rented_at_work() >= 2) {
        return 2;
    }
    let begin = world.now() + 8.0;
    wait(&world, begin);
    let leads = leader(&world);
    world.note(format!("node {leads} leads, {} rented machines run tasks", rented_at_work()));
    if trouble {
        world.controllers().signal(&world, leads, "STOP");
    }
    std::thread::sleep(Duration::from_secs(15));
    let next = world.controllers().leader(&world);
    world.note(format!("node {next:?} leads, {} rented machines run tasks", rented_at_work()));
    if trouble {
        world.controllers().signal(&world, leads, "CONT");
    }
    std::thread::sleep(Duration::from_secs(3));
    world.note(format!("{} rented machines run tasks", rented_at_work()));
    let now = world.now();
    wait(&world, now + 3.0);
    finish(&world, "stale_leader")
}

/// Jobs that need many others, and a cancellation of one of these while the leader stands still.
fn older_answer(folder: &Path, record: &Path, trouble: bool) -> i32 {
    const PAIRS: usize = 3;
    let site = small_site();
    let crew = site.teams[1].name.clone();
    let world = start(site, &[3, 3, 4], folder, record);
    if !wait_until_healthy(&world) {
        return 2;
    }
    let name = |n: usize| format!("wk-{n:06}");
    let small = |id: &str| job(id, &crew, false, 1, 0.25, 0.25, 400.0);
    let (cancelled, side, below) = ((100..100 + PAIRS), (200..270), (300..500));
    let all: Vec<usize> = cancelled.clone().chain(side.clone()).chain(below.clone()).collect();
    for n in &all {
        let at = world.now() + 0.015 * (*n % 100) as f64;
        users::live(world.clone(), small(&name(*n)), Plan { submit_at: at, cancel_at: None, again_at: None });
    }
    if !wait_for(&world, 40.0, || all.iter().all(|n| accepted(&world, &name(*n)))) {
        return 2;
    }
    let middle = "wk-000600".to_string();
    let j = with(small(&middle), "awaits", json!(below.clone().map(name).collect::<Vec<_>>()));
    users::live(world.clone(), j, Plan { submit_at: 0.0, cancel_at: None, again_at: None });
    if !wait_for(&world, 60.0, || accepted(&world, &middle)) {
        return 2;
    }
    for k in 0..PAIRS {
        let mut awaits = vec![name(100 + k)];
        awaits.extend(side.clone().map(name));
        awaits.push(middle.clone());
        let j = with(small(&name(700 + k)), "awaits", json!(awaits));
        users::live(world.clone(), j, Plan { submit_at: 0.0, cancel_at: None, again_at: None });
    }
    if !wait_for(&world, 70.0, || (0..PAIRS).all(|k| accepted(&world, &name(700 + k)))) {
        return 2;
    }
    // The last jobs are looked at through every node, every 5 s.
    let watch = Arc::new(Mutex::new(vec![true; PAIRS]));
    for node in 0..3 {
        for k in 0..PAIRS {
            let (world, watch) = (world.clone(), watch.clone());
            std::thread::spawn(move || {
                let mut line = users::Line::at(&world, node);
                while !world.is_over() && watch.lock().unwrap()[k] {
                    users::poll(&world, &mut line, &format!("wk-{:06}", 700 + k));
                    std::thread::sleep(Duration::from_secs_f64(4.8));
                }
            });
        }
    }
    let at = world.now() + 36.0;
    wait(&world, at);
    *watch.lock().unwrap() = vec![false; PAIRS];
    wait(&world, at + 5.0);
    let leads = leader(&world);
    let others: Vec<usize> = (0..3).filter(|n| *n != leads).collect();
    let (one, other) = (others[0], others[1]);
    if trouble {
        world.controllers().signal(&world, leads, "STOP");
    }
    let pair = &|k: usize| {
        let last = name(700 + k);
        let mut owner = users::Line::at(&world, one);
        let mut lines = (users::Line::at(&world, one), users::Line::at(&world, other));
        users::cancel(&world, &mut owner, &name(100 + k));
        std::thread::sleep(Duration::from_millis(300));
        // A question that gets no answer is asked again.
        let (mut first, mut second) = (None, None);
        for _ in 0..4 {
            first = first.or_else(|| users::poll(&world, &mut lines.0, &last));
        }
        for _ in 0..4 {
            second = second.or_else(|| users::poll(&world, &mut lines.1, &last));
        }
        world.note(format!("{last}: node {one} says {first:?}, then node {other} says {second:?}"));
    };
    std::thread::scope(|scope| {
        for k in 0..PAIRS {
            scope.spawn(move || pair(k));
        }
    });
    wait(&world, at + 13.0);
    if trouble {
        world.controllers().signal(&world, leads, "CONT");
    }
    wait(&world, at + 20.0);
    finish(&world, "went_back")
}

/// A pipeline of many jobs in a row, whose first one was submitted with a mistake.
fn deep_pipeline(folder: &Path, record: &Path, trouble: bool) -> i32 {
    const JOBS: usize = 56;
    let site = mill();
    let crew = site.teams[0].name.clone();
    let world = start(site, &[3, 3, 4], folder, record);
    if !wait_until_healthy(&world) {
        return 2;
    }
    for n in 0..20 {
        let j = job(&format!("wk-{:06}", 100 + n), &crew, true, 1, 2.0, 3.3, 0.0);
        users::live(world.clone(), j, Plan { submit_at: 0.0, cancel_at: None, again_at: None });
    }
    let name = |n: usize| format!("wk-{:06}", 500 + n);
    for n in 0..JOBS {
        let mut j = job(&name(n), &crew, false, 1, 1.0, 1.6, 1.0);
        j.broken = trouble && n == 0;
        if n > 0 {
            j = with(j, "awaits", json!([name(n - 1)]));
        }
        users::live(world.clone(), j, Plan { submit_at: 0.0, cancel_at: None, again_at: None });
        if !wait_for(&world, 30.0, || accepted(&world, &name(n))) {
            return 2;
        }
    }
    wait(&world, 114.0);
    let code = finish(&world, "forgotten");
    let check = world.check.lock().unwrap();
    for n in 0..JOBS {
        if let Some(told) = check.told.get(&name(n)) {
            world.note(format!("{}: {} of {} polls answered", name(n), told.polls_answered, told.polls));
        }
    }
    code
}

/// Many short, small tasks: a class of jobs that comes three times as often for 80 s.
fn full_report(folder: &Path, record: &Path, trouble: bool) -> i32 {
    let site = mill();
    let crew = site.teams[0].name.clone();
    let world = start(site, &[3, 3, 4], folder, record);
    if !wait_until_healthy(&world) {
        return 2;
    }
    // A job of one task on each machine, which takes longer than a lease.
    let long = with(job("wk-000100", &crew, false, 10, 2.0, 2.0, 70.0), "urgency", json!("high"));
    let long = with(long, "scatter", json!(true));
    users::live(world.clone(), long, Plan { submit_at: 8.0, cancel_at: None, again_at: None });
    // The burst is eight waves, from 20 s to 100 s.
    for wave in 0..9usize {
        let jobs = if trouble && wave > 0 { 12 } else { 4 };
        for n in 0..jobs {
            let id = format!("wk-{:06}", 1000 + wave * 20 + n);
            let j = with(job(&id, &crew, false, 500, 0.02, 0.05, 2.0), "jobline", json!("jiaban-buwei"));
            let submit_at = 10.0 + 10.0 * wave as f64 + 0.05 * n as f64;
            users::live(world.clone(), j, Plan { submit_at, cancel_at: None, again_at: None });
        }
    }
    wait(&world, 106.0);
    let done = world.check.lock().unwrap().told.get("wk-000100").and_then(|t| t.done);
    world.note(format!("wk-000100, ten tasks of 70 s submitted at 8 s, is done at {done:?}"));
    finish(&world, "body_limit")
}
