use super::*;
use crate::leader::scheduler::fixture::{ChangeJob, Fixture, NOW, names, place_in_zone, set_tasks};
use crate::settings::{ComputeAmount, TeamQuota};

/// One job is put before the other.
struct Case {
    name: &'static str,
    first: ChangeJob,
    second: ChangeJob,
}

fn aged(job: &mut Job, waited_s: u64) {
    job.scheduling.ready_at_ms = NOW.wall_ms - waited_s * 1000;
}

#[test]
fn jobs_are_ranked_by_the_first_rule_that_tells_them_apart() {
    let plain: ChangeJob = |_| {};
    let cases = [
        Case { name: "higher priority first", first: |j| j.scheduling.priority = Priority::High, second: plain },
        Case { name: "deadline before none", first: |j| j.spec.deadline_s = Some(900.0), second: plain },
        Case {
            name: "among deadlines the shorter estimate first, whenever it is due",
            first: |j| (j.spec.deadline_s, j.spec.estimated_run_s) = (Some(900.0), 10.0),
            second: |j| j.spec.deadline_s = Some(90.0),
        },
        Case { name: "without deadlines the older first", first: |j| aged(j, 9), second: plain },
        Case {
            name: "aged goes before a deadline of its priority",
            first: |j| aged(j, 130),
            second: |j| j.spec.deadline_s = Some(900.0),
        },
        Case {
            name: "aged does not go before a higher priority",
            first: |j| j.scheduling.priority = Priority::High,
            second: |j| aged(j, 130),
        },
        Case {
            name: "overdue goes before everything",
            first: |j| aged(j, 190),
            second: |j| j.scheduling.priority = Priority::Production,
        },
        Case {
            name: "overdue does not count once a task is placed",
            first: |j| j.scheduling.priority = Priority::High,
            second: |j| {
                aged(j, 190);
                set_tasks(j, 2);
                place_in_zone(j, "a");
            },
        },
        Case {
            name: "age does not count once a task has started",
            first: |j| aged(j, 1),
            second: |j| {
                aged(j, 0);
                j.tasks.mark_started();
            },
        },
    ];
    for case in cases {
        // Names are chosen against the order, so that it does not come from them.
        let mut fixture = Fixture::new();
        fixture.add_job("z-first", case.first);
        fixture.add_job("a-second", case.second);
        assert_eq!(names(&rank_jobs(&fixture.view())), ["z-first", "a-second"], "{}", case.name);
    }
}

#[test]
fn jobs_that_may_not_be_placed_are_not_ranked() {
    let cases: [(&str, ChangeJob); 5] = [
        ("cancelled", |j| j.cancelled = true),
        ("record to be read again", |j| j.record.stale = true),
        ("held back", |j| j.scheduling.not_before_ms = NOW.monotonic_ms + 1),
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
fn guaranteed_jobs_go_first_and_yielding_ones_last() {
    let mut fixture = Fixture::new();
    for id in ["a", "b", "c"] {
        fixture.add_job(id, |_| {});
    }
    fixture.scheduler.ranks.guaranteed.insert("c".into());
    fixture.scheduler.ranks.yield_levels.insert("a".into(), 1);
    assert_eq!(names(&rank_jobs(&fixture.view())), ["c", "b", "a"]);
}

#[test]
fn a_guarantee_is_filled_by_the_oldest_jobs_that_fit() {
    let mut fixture = Fixture::new();
    let quota = TeamQuota { guarantee: ComputeAmount { cores: 8_000, accelerators: 0 }, ..TeamQuota::default() };
    fixture.settings.teams.insert("team".into(), quota);
    fixture.add_job("newest", |_| {});
    fixture.add_job("older", |j| aged(j, 5));
    fixture.add_job("oldest", |j| aged(j, 9));
    fixture.add_job("blocked", |j| {
        aged(j, 20);
        j.open_dependencies = ["other".into()].into();
    });
    let guaranteed: Vec<Id> = guaranteed_jobs(&fixture.view()).into_iter().collect();
    assert_eq!(names(&guaranteed), ["older", "oldest"]);
}

#[test]
fn the_longest_spot_jobs_fill_machines_that_cannot_be_taken_back() {
    let mut fixture = Fixture::new();
    fixture.add_machine("on-demand", |_| {});
    fixture.add_machine("spot", |m| m.spot = true);
    fixture.add_job("bound", |j| (j.spec.tasks, j.spec.estimated_run_s) = (2, 500.0));
    for (id, estimate_s) in [("long", 300.0), ("middle", 200.0), ("short", 100.0)] {
        fixture.add_job(id, |j| (j.spec.spot, j.spec.estimated_run_s) = (true, estimate_s));
    }
    let cores = count_on_demand_cores(&fixture.view(), 1000);
    assert_eq!(cores.cores, 16_000);
    // Eight cores are bound, and four each go to the two longest.
    assert_eq!(spot_estimate_limit_s(&fixture.view(), cores), 100.0);
    fixture.scheduler.ranks.on_demand_cores = cores;
    fixture.add_machine("more", |_| {});
    assert_eq!(count_on_demand_cores(&fixture.view(), 1000).cores, 16_000, "counted again only after a while");
}

#[test]
fn inputs_are_refreshed_when_jobs_change_and_once_a_round() {
    let mut inputs = RankInputs::new();
    assert!(inputs.begin_refresh(1_000, 500));
    assert!(!inputs.begin_refresh(1_499, 500));
    inputs.invalidate();
    assert!(inputs.begin_refresh(1_499, 500));
    assert!(!inputs.begin_refresh(1_998, 500));
    assert!(inputs.begin_refresh(1_999, 500));
}
