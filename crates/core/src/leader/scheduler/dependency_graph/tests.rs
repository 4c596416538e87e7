use super::*;
use crate::leader::scheduler::fixture::{Fixture, NOW, names};
use shaleshunt_wire::user::Priority;

/// `b` and `c` depend on `a`, and `d` on both.
fn diamond() -> (Fixture, DependencyGraph) {
    let mut fixture = Fixture::new();
    let mut graph = DependencyGraph::default();
    for (id, dependencies) in [("a", vec![]), ("b", vec!["a"]), ("c", vec!["a"]), ("d", vec!["b", "c"])] {
        fixture.add_job(id, |j| j.open_dependencies = dependencies.iter().map(|id| Id::from(*id)).collect());
        for dependency in dependencies {
            graph.add(dependency.into(), id.into());
        }
    }
    (fixture, graph)
}

fn propagate(fixture: &mut Fixture, graph: &DependencyGraph) {
    let mut jobs = std::mem::take(&mut fixture.jobs);
    graph.propagate_deadlines(&mut jobs, &fixture.view().estimates);
    fixture.jobs = jobs;
}

#[test]
fn deadlines_propagate_back_along_the_critical_path() {
    let (mut fixture, graph) = diamond();
    for id in ["a", "b", "c", "d"] {
        fixture.jobs.get_mut(id).expect("job").spec.estimated_run_s = 100.0;
    }
    fixture.jobs.get_mut("c").expect("job").spec.estimated_run_s = 300.0;
    fixture.jobs.get_mut("d").expect("job").spec.deadline_s = Some(1_000.0);
    fixture.jobs.get_mut("d").expect("job").scheduling.priority = Priority::High;
    propagate(&mut fixture, &graph);
    let left_s = |id: &str| fixture.jobs[id].deadline().map(|due| (due - NOW.wall_ms) as f64 / 1000.0);
    // The end of a job is known a quarter of a heartbeat interval later.
    assert_eq!(left_s("b"), Some(1_000.0 - 100.75));
    assert_eq!(left_s("c"), Some(1_000.0 - 100.75));
    assert_eq!(left_s("a"), Some(1_000.0 - 100.75 - 300.75));
    assert!(fixture.jobs.values().all(|job| job.scheduling.priority == Priority::High));
}

#[test]
fn inherited_deadlines_are_cleared_when_the_dependent_is_removed() {
    let (mut fixture, mut graph) = diamond();
    fixture.jobs.get_mut("d").expect("job").spec.deadline_s = Some(1_000.0);
    propagate(&mut fixture, &graph);
    assert!(fixture.jobs["a"].deadline().is_some());
    fixture.jobs.remove("d");
    assert!(graph.remove(&"b".into(), &"d".into()));
    assert!(graph.remove(&"c".into(), &"d".into()));
    for id in ["b", "c"] {
        clear_inherited(fixture.jobs.get_mut(id).expect("job"));
    }
    propagate(&mut fixture, &graph);
    assert!(fixture.jobs.values().all(|job| job.deadline().is_none()));
}

#[test]
fn an_entry_exists_while_a_job_depends_on_it() {
    let (_, mut graph) = diamond();
    assert!(!graph.remove(&"a".into(), &"b".into()));
    assert!(graph.has_dependents(&"a".into()));
    assert!(graph.remove(&"a".into(), &"c".into()));
    assert!(!graph.has_dependents(&"a".into()));
    assert!(!graph.remove(&"a".into(), &"c".into()));
    assert_eq!(graph.take_dependents("b"), Some(["d".into()].into()));
    assert_eq!(graph.take_dependents("b"), None);
}

#[test]
fn final_records_are_read_when_due_up_to_the_limit() {
    let (fixture, _) = diamond();
    let mut graph = DependencyGraph::default();
    for number in 0..6 {
        let id: Id = format!("ended-{number}").as_str().into();
        graph.add(id.clone(), "d".into());
        graph.request_final_record(0, id);
    }
    graph.request_final_record(0, "not-depended-on".into());
    graph.request_final_record(0, "a".into());
    graph.add("later".into(), "d".into());
    graph.request_final_record(100, "later".into());
    let due = graph.take_due_reads(50, &fixture.jobs);
    assert_eq!(names(&due), ["ended-0", "ended-1", "ended-2", "ended-3"]);
    assert!(graph.take_due_reads(100, &fixture.jobs).is_empty());
    for _ in 0..4 {
        graph.read_answered();
    }
    assert_eq!(names(&graph.take_due_reads(99, &fixture.jobs)), ["ended-4", "ended-5"]);
    assert_eq!(names(&graph.take_due_reads(100, &fixture.jobs)), ["later"]);
}
