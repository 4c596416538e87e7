//! The rules' checker shows what it is there for: each rule, broken on purpose, is found.

use shaleshunt_testkit::check::{Checker, Place};
use shaleshunt_testkit::worker::Event;
use shaleshunt_wire::Attempt;
use shaleshunt_wire::user::{JobStatus, Submission};

fn spec(id: &str, spread_zones: bool) -> Submission {
    let text = format!(
        r#"{{"ref":"{id}","jobline":"x","crew":"t","shape":"array","urgency":"high","pieces":2,"cores":2.0,
        "cards":0.0,"ramGb":1.0,"bundle":"i","imageGb":1.0,"oneZone":false,"scatter":{spread_zones},"borrowed":false,
        "expectS":1.0,"markEveryS":0.0,"markTakesS":0.0}}"#
    );
    Submission::parse(text.as_bytes()).unwrap()
}

fn checker() -> (Checker, Place) {
    let mut c = Checker::new(50_000);
    c.jobs.insert("wk-1".into(), spec("wk-1", true));
    c.limits.insert("t".into(), 4.0);
    (c, Place { machine_type: "f".into(), zone: "a".into(), spot: false })
}

fn found(c: &Checker, rule: &str) -> bool {
    c.broken.iter().any(|b| b.starts_with(rule))
}

#[test]
fn every_rule_is_found_when_broken() {
    let on = |p: &str, a| Event::On(p.into(), Attempt(a));
    let (mut c, place) = checker();
    c.machine(1, "vm-1", &place, &on("wk-1/0", 1));
    assert!(c.broken.is_empty());
    c.machine(2, "vm-2", &place, &on("wk-1/0", 2));
    assert!(found(&c, "ran_twice"));

    let (mut c, place) = checker();
    c.machine(1, "vm-1", &place, &on("wk-1/0", 1));
    c.machine(1, "vm-1", &place, &on("wk-1/1", 1));
    assert!(found(&c, "wrong_place"), "two of two in one zone");

    let (mut c, place) = checker();
    c.machine(1, "vm-1", &Place { spot: true, ..place.clone() }, &on("wk-1/0", 1));
    assert!(found(&c, "wrong_place"), "spot");

    let (mut c, place) = checker();
    c.limits.insert("t".into(), 3.0);
    c.machine(1, "vm-1", &place, &on("wk-1/0", 1));
    c.machine(1, "vm-1", &Place { zone: "b".into(), ..place.clone() }, &on("wk-1/1", 1));
    assert!(found(&c, "quota"));

    let (mut c, _) = checker();
    c.told(1, 1, "wk-1", 201, Some(JobStatus::Queued));
    c.told(2, 2, "wk-1", 404, None);
    assert!(found(&c, "forgotten"));
    c.told(3, 3, "wk-1", 200, Some(JobStatus::Done));
    assert!(found(&c, "not_done"));
    c.told(4, 4, "wk-1", 200, Some(JobStatus::Running));
    assert!(found(&c, "went_back"));
    c.told(4, 4, "wk-9", 200, Some(JobStatus::Running));
    assert!(found(&c, "invented"));

    let (mut c, _) = checker();
    c.asks_cancel("wk-1");
    c.told(1, 1, "wk-1", 200, Some(JobStatus::Cancelled));
    assert!(c.broken.is_empty());
    c.machine(50_002, "vm-1", &place, &on("wk-1/0", 1));
    assert!(found(&c, "ran_cancelled"));

    let (mut c, _) = checker();
    c.told(1, 1, "wk-1", 201, Some(JobStatus::Queued));
    c.silence(75_001, 0, "wk-1");
    c.silence(76_000, 2_000, "wk-1");
    assert!(c.broken.is_empty(), "not silent for long enough since all was calm");
    c.silence(77_001, 2_000, "wk-1");
    assert!(found(&c, "forgotten"), "no answer for 75 s");
}

/// Each of the later checks, broken on purpose, beside a history that only looks like it.
#[test]
fn answers_are_judged_by_when_their_questions_were_asked() {
    // Asked before another answer had been given: may be older than that.
    let (mut c, _) = checker();
    c.told(10, 5, "wk-1", 201, Some(JobStatus::Queued));
    c.told(12, 9, "wk-1", 404, None);
    assert!(c.broken.is_empty());
    c.told(14, 11, "wk-1", 404, None);
    assert!(found(&c, "forgotten"));

    let (mut c, _) = checker();
    c.asks_cancel("wk-1");
    c.told(10, 5, "wk-1", 200, Some(JobStatus::Cancelled));
    c.told(12, 9, "wk-1", 200, Some(JobStatus::Running));
    assert!(c.broken.is_empty());
    c.told(14, 11, "wk-1", 200, Some(JobStatus::Queued));
    assert!(found(&c, "went_back"));

    // Final states never differ, whoever asked first.
    let (mut c, _) = checker();
    c.asks_cancel("wk-1");
    c.told(10, 5, "wk-1", 200, Some(JobStatus::Cancelled));
    c.completed.extend(["wk-1/0".to_string(), "wk-1/1".to_string()]);
    c.told(10, 4, "wk-1", 200, Some(JobStatus::Done));
    assert!(found(&c, "went_back"));
}

#[test]
fn starts_after_a_cancellation_are_counted_and_waiting_jobs_found() {
    let (mut c, place) = checker();
    c.asks_cancel("wk-1");
    c.machine(5, "vm-1", &place, &Event::On("wk-1/0".into(), Attempt(1)));
    c.told(10, 5, "wk-1", 200, Some(JobStatus::Cancelled));
    assert_eq!(c.late_starts, (0, 0));
    c.machine(35, "vm-1", &Place { zone: "b".into(), ..place.clone() }, &Event::On("wk-1/1".into(), Attempt(1)));
    assert_eq!(c.late_starts, (1, 25));
    assert_eq!(c.used("t"), 4000);
    c.machine(36, "vm-1", &place, &Event::Off("wk-1/1".into(), Attempt(1)));
    assert_eq!((c.used("t"), c.running("wk-1")), (2000, 1));

    // Left waiting: without a break, and only from when all is calm.
    let (mut c, _) = checker();
    for t in 0..=90 {
        c.left_waiting(t * 1000, 0, "wk-1", t != 50);
    }
    assert!(c.broken.is_empty(), "there was no room in between");
    for t in 91..=145 {
        c.left_waiting(t * 1000, 60_000, "wk-1", true);
    }
    assert!(c.broken.is_empty(), "not for long enough");
    c.left_waiting(151_001, 60_000, "wk-1", true);
    assert!(found(&c, "left_waiting"));
}
