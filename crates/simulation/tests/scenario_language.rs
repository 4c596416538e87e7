//! Tests of the scenario parser: the values read from lines, and the texts of errors.

use shaleshunt_simulation::scenario::{Scenario, SyntaxError};
use shaleshunt_simulation::simulation::{PlannedJob, SubmitWhen};
use shaleshunt_wire::user::{JobKind, Priority};

/// Parses a text whose last line is invalid, and returns the error about that line.
fn error_in_last_line(text: &str) -> String {
    let error = Scenario::parse("night.txt", text).err().unwrap();
    assert_eq!((error.file.as_str(), error.line), ("night.txt", text.lines().count()));
    error.to_string()
}

fn jobs(text: &str) -> Vec<PlannedJob> {
    let scenario = Scenario::parse("night.txt", text).unwrap();
    scenario.build_simulation(1).users().values().map(|user| user.job.clone()).collect()
}

#[test]
fn errors_name_file_line_expected_and_found_words() {
    let cases = [
        ("seeds 2\nmachine std a 1", "night.txt, line 2: expected a kind of line, found `machine`"),
        (
            "lease soon",
            "night.txt, line 1: expected the lease duration in seconds, found `soon`, which is not a valid number",
        ),
        ("machines std a", "night.txt, line 1: expected the number of machines, found the end of the line"),
        ("until 5 6 7", "night.txt, line 1: expected the end of the line, found `6 7`"),
        ("at 5 explode", "night.txt, line 1: expected a fault, found `explode`"),
        ("at 5 hang vm-000001 20", "night.txt, line 1: expected `for`, found `20`"),
        (
            "at 5 lose every:0",
            "night.txt, line 1: expected a step of at least 1 after `every:`, found `0`, which is not a valid number",
        ),
        (
            "at 5 cut leader from moon for 3",
            "expected `store`, `agents`, `store-and-peers` or `everything`, found `moon`",
        ),
        ("at 5 lose floor:a", "expected a machine, `zone:NAME`, `first:N` or `every:N`, found `floor:a`"),
        ("job wk-1 at 5 wide", "night.txt, line 1: expected a property of a job, found `wide`"),
        ("job wk-1 at 5 priority top", "expected `production`, `high` or `low`, found `top`"),
        (
            "expect leaders few",
            "night.txt, line 1: expected a count, `at-least` or `at-most`, found `few`, which is not a valid number",
        ),
        ("expect all well", "night.txt, line 1: expected `served` or `over`, found `well`"),
        (
            "at 5 repeat-requests heartbeats 50 for 9 by 1 to 2",
            "expected `direct-calls`, `store-writes`, `cloud-changes` or `user-changes`, found `heartbeats`",
        ),
        ("at 5 repeat-requests direct-calls 50 for 9 by 1", "expected to, found the end of the line"),
        ("at 5 restart first:2 for 1", "night.txt, line 1: expected `after`, found `for`"),
        ("store j/wk-1 {", "night.txt, line 1: expected a JSON value for the key `j/wk-1`"),
    ];
    for (text, expected) in cases {
        let found = error_in_last_line(text);
        assert!(found.contains(expected), "{text}: {found}");
    }
}

#[test]
fn missing_word_gives_unexpected_end_error() {
    let problem = Scenario::parse("night.txt", "seeds").err().unwrap().problem;
    assert!(matches!(problem, SyntaxError::UnexpectedEnd { expected: "the number of seeds" }), "{problem:?}");
}

#[test]
fn comments_and_empty_lines_are_ignored() {
    let jobs = jobs("# a comment\n\njob wk-1 at 5 # and another\n");
    assert_eq!(jobs.len(), 1);
}

#[test]
fn job_properties_are_parsed() {
    let text = "job wk-1 at 1.5 gang tasks 4 cores 3 memory 8 runtime 20 deadline 90 priority high spot \
                zone b machine-types f,g single-zone cancel 30";
    let job = jobs(text).remove(0);
    assert_eq!((job.submit_at_ms, job.cancel_at_ms), (1_500, Some(30_000)));
    assert_eq!((job.spec.kind, job.spec.priority, job.spec.tasks), (JobKind::Gang, Priority::High, 4));
    assert_eq!((job.spec.cores, job.spec.memory_gb, job.spec.estimated_run_s), (3.0, 8.0, 20.0));
    assert_eq!((job.spec.deadline_s, job.spec.zone.as_deref()), (Some(90.0), Some("b")));
    assert_eq!(job.spec.machine_types, Some(vec!["f".into(), "g".into()]));
    assert!(job.spec.spot && job.spec.single_zone && !job.spec.spread_zones);
}

#[test]
fn copies_depend_on_copies_with_the_same_number() {
    let jobs = jobs("job wk-a at 1\njob wk-b at 2 copies 2 every 0.5 after =wk-a,wk-c submit-late");
    let found: Vec<(&str, u64, &[String])> = jobs
        .iter()
        .skip(1)
        .map(|job| (job.spec.id.as_str(), job.submit_at_ms, job.spec.dependencies.as_slice()))
        .collect();
    let first = ["wk-a".to_string(), "wk-c-1".to_string()];
    let second = ["wk-a".to_string(), "wk-c-2".to_string()];
    assert_eq!(found, [("wk-b-1", 2_000, first.as_slice()), ("wk-b-2", 2_500, second.as_slice())]);
    assert_eq!(jobs[1].submit_when, SubmitWhen::DependenciesFinished);
}

#[test]
fn after_all_depends_on_every_copy() {
    let jobs = jobs("job wk-z at 1 after-all wk-a 3");
    assert_eq!(jobs[0].spec.dependencies, ["wk-a-1", "wk-a-2", "wk-a-3"]);
}

#[test]
fn all_copies_depend_on_every_copy_of_the_other_job() {
    let jobs = jobs("job wk-z at 1 after-all wk-a 2 copies 2 every 1");
    assert_eq!(jobs[1].spec.id, "wk-z-2");
    assert!(jobs.iter().all(|job| job.spec.dependencies == ["wk-a-1", "wk-a-2"]));
}
