use super::*;
use crate::leader::scheduler::fixture::{Fixture, set_tasks};

/// One machine with four slots for a class with objectives on starts.
fn fixture(start_s: &[f64]) -> Fixture {
    let mut fixture = Fixture::new();
    let objective = ServiceObjective { start_s: start_s.to_vec(), ..ServiceObjective::default() };
    fixture.settings.objectives.insert("class".into(), objective);
    fixture.add_machine("machine", |_| {});
    fixture
}

fn levels(fixture: &Fixture) -> Vec<(String, u8)> {
    yield_levels(&fixture.view()).into_iter().map(|(id, level)| (id.to_string(), level)).collect()
}

#[test]
fn with_room_for_all_nothing_yields() {
    let mut fixture = fixture(&[120.0]);
    for id in ["a", "b"] {
        fixture.add_job(id, |j| j.spec.tasks = 4);
    }
    assert!(levels(&fixture).is_empty());
}

#[test]
fn under_overload_the_job_with_the_most_work_yields() {
    let mut fixture = fixture(&[120.0]);
    for (id, tasks) in [("large", 40), ("middle", 5), ("small", 4)] {
        fixture.add_job(id, |j| j.spec.tasks = tasks);
    }
    assert_eq!(levels(&fixture), [("large".to_string(), 1)]);
    // 180 s are left for the last task's end, and half an estimate of them for its start.
    set_tasks(fixture.jobs.get_mut("middle").expect("job"), 8);
    assert_eq!(levels(&fixture), [("large".to_string(), 1), ("middle".to_string(), 1)]);
}

#[test]
fn what_yields_counts_with_the_next_objective() {
    let mut fixture = fixture(&[60.0, 6_000.0]);
    for (id, tasks) in [("large", 40), ("small", 4)] {
        fixture.add_job(id, |j| j.spec.tasks = tasks);
    }
    assert_eq!(levels(&fixture), [("large".to_string(), 1)]);
}

#[test]
fn classes_without_a_useful_objective_and_jobs_with_deadlines_never_yield() {
    let cases: [(&str, &[f64], Option<f64>); 3] = [
        ("no objective", &[], None),
        ("shorter than three heartbeats", &[9.0], None),
        ("deadline", &[60.0], Some(1.0)),
    ];
    for (name, start_s, deadline_s) in cases {
        let mut fixture = fixture(start_s);
        fixture.add_job("job", |j| (j.spec.tasks, j.spec.deadline_s) = (400, deadline_s));
        assert!(levels(&fixture).is_empty(), "{name}");
    }
}
