//! Tests that each kind of expectation is met by a matching simulation and reported as unmet by another one.

use shaleshunt_simulation::scenario::{RunOptions, Scenario};

/// An array, a service, a job that is cancelled and a job that is refused, on two machines.
const SITE: &str = "
machine-type f cores 16
machines f a 1
machines f b 1
job wk-a at 3 array tasks 2 runtime 4
job wk-s at 3 service tasks 1
job wk-x at 3 array tasks 1 runtime 90 cancel 12
job wk-w at 3 array tasks 1 after wk-w
until 40
";

/// Pairs of an expectation that is met and one that is not.
const EXPECTATIONS: [[&str; 2]; 24] = [
    ["done wk-a", "done wk-s"],
    ["done wk-a by 30", "done wk-a by 2"],
    ["tasks-complete wk-a by 15", "tasks-complete wk-a by 4"],
    ["started wk-a by 15", "started wk-a by 2"],
    ["half served", "all served"],
    ["cancelled wk-x", "cancelled wk-a"],
    ["not-over wk-s", "not-over wk-x"],
    ["running wk-s 1", "running wk-s 2"],
    ["running wk-a 0", "running wk-a 1"],
    ["starts 4", "starts 5"],
    ["starts at-most 4", "starts at-most 3"],
    ["answered wk-s within 8", "answered wk-s within 1"],
    ["refused wk-w 422", "refused wk-a 422"],
    ["store-rejections at-most 0", "store-rejections at-least 1"],
    ["cancellations at-least 1", "cancellations at-least 2"],
    ["epoch at-least 1", "epoch at-most 0"],
    ["leaders 1", "leaders 0"],
    ["isolated-zones 0", "isolated-zones 1"],
    ["stored j/ at-least 1", "stored j/ 0"],
    ["machines 2", "machines at-least 3"],
    ["direct-calls at-least 0", "direct-calls at-most 0"],
    ["late-starts within 0", "late-starts within -1"],
    ["half served", "all over"],
    ["largest started within 30", "largest started within 0"],
];

/// Runs the site with these expectations and returns those that are not met.
fn problems(expectations: &[&str]) -> Vec<String> {
    let lines: Vec<String> = expectations.iter().map(|line| format!("expect {line}\n")).collect();
    let scenario = Scenario::parse("expectations.txt", &format!("{SITE}{}", lines.concat())).unwrap();
    scenario.run(&RunOptions::default())
}

#[test]
fn met_expectations_are_not_reported() {
    let [met, _]: [Vec<&str>; 2] = [0, 1].map(|side| EXPECTATIONS.iter().map(|pair| pair[side]).collect());
    assert_eq!(problems(&met), Vec::<String>::new());
}

#[test]
fn unmet_expectations_are_reported_with_their_line() {
    let unmet: Vec<&str> = EXPECTATIONS.iter().map(|pair| pair[1]).collect();
    let problems = problems(&unmet);
    let first_line = SITE.lines().count() + 1;
    for (index, expectation) in unmet.iter().enumerate() {
        let place = format!("seed 1, line {}:", first_line + index);
        assert!(problems.iter().any(|problem| problem.starts_with(&place)), "{expectation}: {problems:#?}");
    }
}
