use super::*;
use crate::leader::scheduler::fixture::{Fixture, names};

/// One owned and one rented machine of four slots each, for jobs of one-minute tasks.
fn fixture() -> Fixture {
    let mut fixture = Fixture::new();
    fixture.add_machine("owned", |_| {});
    fixture.add_machine("rented", |m| m.owned = false);
    fixture
}

#[test]
fn jobs_that_owned_slots_finish_in_time_are_not_offloaded() {
    let mut fixture = fixture();
    fixture.add_job("plain", |j| j.spec.tasks = 1_000);
    fixture.add_job("due", |j| (j.spec.deadline_s, j.spec.tasks) = (Some(600.0), 8));
    assert!(plan_offloading(&fixture.view()).is_empty());
}

#[test]
fn the_longest_jobs_are_offloaded_until_the_rest_fits_before_the_latest_deadline() {
    let mut fixture = fixture();
    for (id, estimate_s) in [("short", 60.0), ("middle", 90.0), ("long", 120.0)] {
        fixture.add_job(id, |j| {
            (j.spec.deadline_s, j.spec.tasks, j.spec.estimated_run_s) = (Some(1_000.0), 20, estimate_s);
        });
    }
    // The jobs have 5,400 s of work and the slots 4,000 s, so the longest job with its 2,400 s is offloaded.
    assert_eq!(names(&plan_offloading(&fixture.view())), ["long"]);
}

#[test]
fn a_job_with_less_slack_than_a_boot_takes_is_offloaded() {
    let planned = |deadline_s: f64, jobs_ahead: u32| {
        let mut fixture = fixture();
        fixture.add_job("ahead", |j| (j.spec.deadline_s, j.spec.tasks) = (Some(9_000.0), jobs_ahead));
        fixture.add_job("job", |j| (j.spec.deadline_s, j.spec.estimated_run_s) = (Some(deadline_s), 61.0));
        names(&plan_offloading(&fixture.view())).contains(&"job")
    };
    // The task runs for 61 s and a boot takes 60 s.
    assert!(planned(120.0, 1));
    assert!(planned(135.0, 1), "the task before it takes 15 s of the slots");
    assert!(!planned(136.0, 1));
    assert!(planned(136.0, 2));
}

#[test]
fn dependents_of_an_offloaded_job_are_offloaded() {
    let mut fixture = fixture();
    fixture.add_job("first", |j| j.spec.deadline_s = Some(10.0));
    fixture.add_job("second", |j| j.open_dependencies = ["first".into()].into());
    fixture.add_job("third", |j| j.open_dependencies = ["second".into()].into());
    fixture.scheduler.dependencies.add("first".into(), "second".into());
    fixture.scheduler.dependencies.add("second".into(), "third".into());
    let mut planned = plan_offloading(&fixture.view());
    planned.dedup();
    assert_eq!(names(&planned), ["first", "second", "third", "second", "third"]);
    fixture.jobs.get_mut("second").expect("job").scheduling.offloaded = true;
    let mut planned = plan_offloading(&fixture.view());
    planned.dedup();
    assert_eq!(names(&planned), ["first"], "dependents of an offloaded job are not visited");
}
