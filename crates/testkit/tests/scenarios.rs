//! Plays all scenarios under `scenarios/`; the variable `SCENARIO` names a single one by its file.

use shaleshunt_testkit::scenario::Scenario;
use std::path::{Path, PathBuf};
use std::thread;

/// The scenarios in a folder and the folders in it.
fn scenario_files(folder: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            files.extend(scenario_files(&path));
        } else if path.extension().is_some_and(|extension| extension == "txt") {
            files.push(path);
        }
    }
    files.sort();
    files
}

fn name(path: &Path) -> String {
    path.file_stem().unwrap().to_string_lossy().into_owned()
}

/// What went wrong in a scenario.
fn play(path: &Path) -> Vec<String> {
    let text = std::fs::read_to_string(path).unwrap();
    match Scenario::parse(&path.display().to_string(), &text) {
        Ok(scenario) => scenario.play(),
        Err(error) => vec![error.to_string()],
    }
}

#[test]
fn scenarios_hold() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios");
    let wanted = std::env::var("SCENARIO").ok();
    let mut files = scenario_files(&folder);
    files.retain(|path| wanted.as_ref().is_none_or(|wanted| name(path) == *wanted));
    assert!(!files.is_empty(), "no scenario found");
    let plays: Vec<_> = files.into_iter().map(|path| (name(&path), thread::spawn(move || play(&path)))).collect();
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
