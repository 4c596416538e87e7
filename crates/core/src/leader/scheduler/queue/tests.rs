use super::*;
use crate::leader::scheduler::fixture::{ChangeJob, Fixture, NOW, names, place_in_zone, set_tasks};
use crate::settings::{ComputeAmount, TeamQuota};

/// Two jobs, of which the first is ranked before the second.
struct Case {
    name: &'static str,
    first: ChangeJob,
    second: ChangeJob,
}

fn set_wait(job: &mut Job, waited_s: u64) {
    job.scheduling.ready_at_ms = NOW.wall_ms - waited_s * 1000;
}

#[test]
fn jobs_are_ranked_by_the_first_rule_that_distinguishes_them() {
    let plain: ChangeJob = |_| {};
    let cases = [
        Case { name: "a higher priority goes first", first: |j| j.scheduling.priority = Priority::High, second: plain },
        Case { name: "a deadline goes before none", first: |j| j.spec.deadline_s = Some(900.0), second: plain },
        Case {
            name: "among deadlines the shorter estimate goes first, whatever the deadlines",
            first: |j| (j.spec.deadline_s, j.spec.estimated_run_s) = (Some(900.0), 10.0),
            second: |j| j.spec.deadline_s = Some(90.0),
        },
        Case { name: "without deadlines the older job goes first", first: |j| set_wait(j, 9), second: plain },
        Case {
            name: "an aged job goes before a deadline of its priority",
            first: |j| set_wait(j, 130),
            second: |j| j.spec.deadline_s = Some(900.0),
        },
        Case {
            name: "an aged job does not go before a higher priority",
            first: |j| j.scheduling.priority = Priority::High,
            second: |j| set_wait(j, 130),
        },
        Case {
            name: "an overdue job goes before all others",
            first: |j| set_wait(j, 190),
            second: |j| j.scheduling.priority = Priority::Production,
        },
        Case {
            name: "a job is not overdue once a task is placed",
            first: |j| j.scheduling.priority = Priority::High,
            second: |j| {
                set_wait(j, 190);
                set_tasks(j, 2);
                place_in_zone(j, "a");
            },
        },
        Case {
            name: "the wait does not count once a task has started",
            first: |j| set_wait(j, 1),
            second: |j| {
                set_wait(j, 0);
                j.tasks.mark_started();
            },
        },
    ];
    for case in cases {
        // The IDs sort against the expected order, so that they can't produce it.
        let mut fixture = Fixture::new();
        fixture.add_job("z-first", case.first);
        fixture.add_job("a-second", case.second);
        assert_eq!(names(&rank_jobs(&fixture.view())), ["z-first", "a-second"], "{}", case.name);
    }
}

#[test]
fn jobs_that_cannot_be_placed_are_not_ranked() {
    let cases: [(&str, ChangeJob); 5] = [
        ("cancelled", |j| j.cancelled = true),
        ("stale record", |j| j.record.stale = true),
        ("backing off", |j| j.scheduling.not_before_ms = NOW.monotonic_ms + 1),
        ("all placed", |j| place_in_zone(j, "a")),
        ("blocked", |j| j.open_dependencies = ["other".into()].into()),
    ];
    for (name, change) in cases {
        let mut fixture = Fixture::new();
        fixture.add_job("job", change);
        assert!(rank_jobs(&fixture.view()).is_empty(), "{name}");
    }
}

#[test]
fn guaranteed_jobs_rank_first_and_yielding_jobs_last() {
    let mut fixture = Fixture::new();
    for id in ["a", "b", "c"] {
        fixture.add_job(id, |_| {});
    }
    fixture.scheduler.ranks.guaranteed.insert("c".into());
    fixture.scheduler.ranks.yield_levels.insert("a".into(), 1);
    assert_eq!(names(&rank_jobs(&fixture.view())), ["c", "b", "a"]);
}

#[test]
fn a_guarantee_covers_the_oldest_jobs_that_fit() {
    let mut fixture = Fixture::new();
    let quota = TeamQuota { guarantee: ComputeAmount { cores: 8_000, accelerators: 0 }, ..TeamQuota::default() };
    fixture.settings.teams.insert("team".into(), quota);
    fixture.add_job("newest", |_| {});
    fixture.add_job("older", |j| set_wait(j, 5));
    fixture.add_job("oldest", |j| set_wait(j, 9));
    fixture.add_job("blocked", |j| {
        set_wait(j, 20);
        j.open_dependencies = ["other".into()].into();
    });
    let guaranteed: Vec<Id> = guaranteed_jobs(&fixture.view()).into_iter().collect();
    assert_eq!(names(&guaranteed), ["older", "oldest"]);
}

#[test]
fn the_longest_spot_jobs_fill_on_demand_machines() {
    let mut fixture = Fixture::new();
    fixture.add_machine("on-demand", |_| {});
    fixture.add_machine("spot", |m| m.spot = true);
    fixture.add_job("on-demand-only", |j| (j.spec.tasks, j.spec.estimated_run_s) = (2, 500.0));
    for (id, estimate_s) in [("long", 300.0), ("middle", 200.0), ("short", 100.0)] {
        fixture.add_job(id, |j| (j.spec.spot, j.spec.estimated_run_s) = (true, estimate_s));
    }
    let cores = count_on_demand_cores(&fixture.view(), 1000);
    assert_eq!(cores.cores, 16_000);
    // Eight cores are taken by the job that must not use spot machines, four each by the two longest spot jobs.
    assert_eq!(spot_estimate_limit_s(&fixture.view(), cores), 100.0);
    fixture.scheduler.ranks.on_demand_cores = cores;
    fixture.add_machine("more", |_| {});
    assert_eq!(
        count_on_demand_cores(&fixture.view(), 1000).cores,
        16_000,
        "the count is kept until the interval has passed"
    );
}

#[test]
fn rank_inputs_are_refreshed_when_jobs_change_and_once_per_interval() {
    let mut inputs = RankInputs::new();
    assert!(inputs.begin_refresh(1_000, 500));
    assert!(!inputs.begin_refresh(1_499, 500));
    inputs.invalidate();
    assert!(inputs.begin_refresh(1_499, 500));
    assert!(!inputs.begin_refresh(1_998, 500));
    assert!(inputs.begin_refresh(1_999, 500));
}
