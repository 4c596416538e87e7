//! Runs all scenarios below `scenarios/`. The environment variable `SCENARIO` selects a single one by its file name
//! without the extension; the other variables are those of [`RunOptions::from_environment`].

use shaleshunt_simulation::scenario::{RunOptions, ScenarioFile};
use shaleshunt_simulation::simulation::{RepeatedKind, Repetition};
use std::path::Path;
use std::thread;

/// Share of the requests that arrive once more in the short run, in percent.
const REPEATED_PERCENT: u32 = 50;
/// Time after which they arrive in the short run, in ms: up to more than a machine lease.
const REPEATED_AFTER_MS: std::ops::RangeInclusive<u64> = 500..=60_000;

/// Runs a scenario and returns its violations, unmet expectations or the error that prevents loading it.
fn problems(file: &ScenarioFile, options: &RunOptions) -> Vec<String> {
    match file.load() {
        Ok(scenario) => scenario.run(options),
        Err(error) => vec![error.to_string()],
    }
}

/// Runs the selected scenarios and prints the problems of each; fails if there are any.
fn assert_scenarios_hold(options: &RunOptions) {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios");
    let selected = std::env::var("SCENARIO").ok();
    let mut files = ScenarioFile::all_in(&folder).unwrap();
    files.retain(|file| selected.as_ref().is_none_or(|name| file.name == *name));
    assert!(!files.is_empty(), "no scenario found");
    let start = |file: ScenarioFile| {
        let options = options.clone();
        (file.name.clone(), thread::spawn(move || problems(&file, &options)))
    };
    let runs: Vec<_> = files.into_iter().map(start).collect();
    let mut failed = 0;
    for (name, run) in runs {
        let problems = run.join().unwrap();
        println!("{} {name}", if problems.is_empty() { "ok  " } else { "FAIL" });
        for problem in &problems {
            println!("       {problem}");
        }
        failed += u32::from(!problems.is_empty());
    }
    assert_eq!(failed, 0, "scenarios failed");
}

#[test]
fn scenarios_hold() {
    assert_scenarios_hold(&RunOptions::from_environment().unwrap());
}

#[test]
fn scenarios_hold_if_answered_requests_arrive_once_more() {
    let repeated = |kind| Repetition { kind, percent: REPEATED_PERCENT, delay_ms: REPEATED_AFTER_MS };
    let repetitions = RepeatedKind::ALL.map(repeated).into();
    assert_scenarios_hold(&RunOptions { seed_count: Some(1), logged_seed: None, repetitions });
}

/// The variable `SCENARIO` and the trace digests name scenarios without their folder, so equal names would be
/// ambiguous.
#[test]
fn scenario_names_are_unique() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios");
    let mut names: Vec<String> = ScenarioFile::all_in(&folder).unwrap().into_iter().map(|file| file.name).collect();
    names.sort();
    assert!(names.windows(2).all(|pair| pair[0] != pair[1]), "{names:?}");
}
