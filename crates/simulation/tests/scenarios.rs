//! Plays all scenarios under `scenarios/`; the variable `SCENARIO` names a single one by its file.

use shaleshunt_simulation::scenario::ScenarioFile;
use std::path::Path;
use std::thread;

/// What went wrong in a scenario.
fn play(file: &ScenarioFile) -> Vec<String> {
    match file.load() {
        Ok(scenario) => scenario.play(),
        Err(error) => vec![error.to_string()],
    }
}

#[test]
fn scenarios_hold() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios");
    let wanted = std::env::var("SCENARIO").ok();
    let mut files = ScenarioFile::all_in(&folder).unwrap();
    files.retain(|file| wanted.as_ref().is_none_or(|wanted| file.name == *wanted));
    assert!(!files.is_empty(), "no scenario found");
    let plays: Vec<_> = files.into_iter().map(|file| (file.name.clone(), thread::spawn(move || play(&file)))).collect();
    let mut failed = 0;
    for (name, played) in plays {
        let problems = played.join().unwrap();
        println!("{} {name}", if problems.is_empty() { "ok  " } else { "FAIL" });
        for problem in &problems {
            println!("       {problem}");
        }
        failed += u32::from(!problems.is_empty());
    }
    assert_eq!(failed, 0, "scenarios failed");
}

/// `SCENARIO` and the trace digest name scenarios without their folder.
#[test]
fn names_of_scenarios_are_unique() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios");
    let mut names: Vec<String> = ScenarioFile::all_in(&folder).unwrap().into_iter().map(|file| file.name).collect();
    names.sort();
    assert!(names.windows(2).all(|pair| pair[0] != pair[1]), "{names:?}");
}
