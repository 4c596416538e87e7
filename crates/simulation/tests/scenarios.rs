//! Runs all scenarios below `scenarios/`. The environment variable `SCENARIO` selects a single one by its file name
//! without the extension.

use shaleshunt_simulation::scenario::ScenarioFile;
use std::path::Path;
use std::thread;

/// Runs a scenario and returns its violations, unmet expectations or the error that prevents loading it.
fn problems(file: &ScenarioFile) -> Vec<String> {
    match file.load() {
        Ok(scenario) => scenario.run(),
        Err(error) => vec![error.to_string()],
    }
}

#[test]
fn scenarios_hold() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios");
    let selected = std::env::var("SCENARIO").ok();
    let mut files = ScenarioFile::all_in(&folder).unwrap();
    files.retain(|file| selected.as_ref().is_none_or(|name| file.name == *name));
    assert!(!files.is_empty(), "no scenario found");
    let runs: Vec<_> =
        files.into_iter().map(|file| (file.name.clone(), thread::spawn(move || problems(&file)))).collect();
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

/// The variable `SCENARIO` and the trace digests name scenarios without their folder, so equal names would be
/// ambiguous.
#[test]
fn scenario_names_are_unique() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios");
    let mut names: Vec<String> = ScenarioFile::all_in(&folder).unwrap().into_iter().map(|file| file.name).collect();
    names.sort();
    assert!(names.windows(2).all(|pair| pair[0] != pair[1]), "{names:?}");
}
