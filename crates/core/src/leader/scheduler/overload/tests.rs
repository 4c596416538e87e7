use super::*;
use crate::leader::scheduler::fixture::{Fixture, set_tasks};

/// One machine with four slots, for a class with the given start objectives.
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
fn no_job_yields_when_all_fit() {
    let mut fixture = fixture(&[120.0]);
    for id in ["a", "b"] {
        fixture.add_job(id, |j| j.spec.tasks = 4);
    }
    assert!(levels(&fixture).is_empty());
}

#[test]
fn the_job_with_the_most_work_yields_under_overload() {
    let mut fixture = fixture(&[120.0]);
    for (id, tasks) in [("large", 40), ("middle", 5), ("small", 4)] {
        fixture.add_job(id, |j| j.spec.tasks = tasks);
    }
    assert_eq!(levels(&fixture), [("large".to_string(), 1)]);
    // The last task must end within 180 s, of which half of its estimate is reserved.
    set_tasks(fixture.jobs.get_mut("middle").expect("job"), 8);
    assert_eq!(levels(&fixture), [("large".to_string(), 1), ("middle".to_string(), 1)]);
}

#[test]
fn a_yielding_job_is_measured_by_the_next_objective() {
    let mut fixture = fixture(&[60.0, 6_000.0]);
    for (id, tasks) in [("large", 40), ("small", 4)] {
        fixture.add_job(id, |j| j.spec.tasks = tasks);
    }
    assert_eq!(levels(&fixture), [("large".to_string(), 1)]);
}

#[test]
fn jobs_with_deadlines_or_without_a_usable_objective_never_yield() {
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
