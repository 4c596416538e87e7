//! Prints the trace digests of `scenarios/*.txt`: a line `NAME SEED DIGEST` for each scenario and seed.

use clap::Parser;
use shaleshunt_testkit::scenario::Scenario;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Mutex;

/// Prints a digest of all commands and effects for each scenario and seed.
#[derive(Parser)]
struct Arguments {
    /// Only this scenario (its file's name without `.txt`).
    #[arg(long)]
    scenario: Option<String>,
    /// So many seeds of each scenario in place of what its file says.
    #[arg(long)]
    seeds: Option<u64>,
}

type Lines = Vec<(String, u64, String)>;

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    match files(arguments.scenario.as_deref()).and_then(|files| all_digests(files, arguments.seeds)) {
        Ok(lines) => {
            for (name, seed, digest) in lines {
                println!("{name} {seed} {digest}");
            }
            ExitCode::SUCCESS
        }
        Err(what) => {
            eprintln!("{what}");
            ExitCode::FAILURE
        }
    }
}

/// The scenarios' files, or the one wanted.
fn files(only: Option<&str>) -> Result<Vec<PathBuf>, String> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios");
    let mut files = Vec::new();
    for entry in std::fs::read_dir(&folder).map_err(|e| format!("{}: {e}", folder.display()))? {
        let path = entry.map_err(|e| format!("{}: {e}", folder.display()))?.path();
        let wanted = only.is_none_or(|name| path.file_stem().is_some_and(|s| s == name));
        if wanted && path.extension().is_some_and(|e| e == "txt") {
            files.push(path);
        }
    }
    if files.is_empty() { Err("no scenario found".into()) } else { Ok(files) }
}

/// Plays the files, as many at once as there are processors; the lines sorted by name and seed.
fn all_digests(files: Vec<PathBuf>, seeds: Option<u64>) -> Result<Lines, String> {
    let at_once = std::thread::available_parallelism().map_or(1, usize::from).min(files.len());
    let files = Mutex::new(files);
    let next = || files.lock().ok().and_then(|mut files| files.pop());
    let play_files = || {
        let mut lines = Lines::new();
        while let Some(path) = next() {
            lines.extend(digests(&path, seeds)?);
        }
        Ok::<Lines, String>(lines)
    };
    let mut all = Lines::new();
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..at_once).map(|_| scope.spawn(play_files)).collect();
        for thread in threads {
            all.extend(thread.join().map_err(|_| "a scenario panicked")??);
        }
        Ok::<(), String>(())
    })?;
    all.sort();
    Ok(all)
}

/// One file's lines.
fn digests(path: &Path, seeds: Option<u64>) -> Result<Lines, String> {
    let name = path.file_stem().unwrap_or_default().to_string_lossy().into_owned();
    let text = std::fs::read_to_string(path).map_err(|e| format!("{name}: {e}"))?;
    let scenario = Scenario::parse(&text).map_err(|e| format!("{name}: {e}"))?;
    let line = |(seed, digest)| (name.clone(), seed, digest);
    Ok(scenario.trace_digests(seeds).into_iter().map(line).collect())
}
