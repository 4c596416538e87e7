//! Prints the trace digests of all scenarios: a line `NAME SEED DIGEST` for each scenario and seed.

use clap::Parser;
use shaleshunt_simulation::scenario::{LoadError, ScenarioFile, SeedDigest};
use std::path::Path;
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

/// Why there are no digests.
#[derive(Debug, thiserror::Error)]
enum DigestError {
    #[error(transparent)]
    Load(#[from] LoadError),
    #[error("--scenario: no scenario {name} found")]
    NotFound { name: String },
    #[error("a scenario panicked")]
    Panicked,
}

/// A line of output.
struct Line {
    scenario: String,
    found: SeedDigest,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    match chosen_files(&arguments).and_then(|files| all_digests(files, arguments.seeds)) {
        Ok(lines) => {
            for Line { scenario, found } in lines {
                println!("{scenario} {} {}", found.seed, found.digest);
            }
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

/// All scenarios, or the one wanted.
fn chosen_files(arguments: &Arguments) -> Result<Vec<ScenarioFile>, DigestError> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios");
    let mut files = ScenarioFile::all_in(&folder)?;
    if let Some(name) = &arguments.scenario {
        files.retain(|file| file.name == *name);
        if files.is_empty() {
            return Err(DigestError::NotFound { name: name.clone() });
        }
    }
    Ok(files)
}

/// Plays the files, as many at once as there are processors; the lines sorted by name and seed.
fn all_digests(files: Vec<ScenarioFile>, seeds: Option<u64>) -> Result<Vec<Line>, DigestError> {
    let at_once = std::thread::available_parallelism().map_or(1, usize::from).min(files.len());
    let files = Mutex::new(files);
    let next = || files.lock().ok().and_then(|mut files| files.pop());
    let play_files = || {
        let mut lines = Vec::new();
        while let Some(file) = next() {
            lines.extend(digests(&file, seeds)?);
        }
        Ok::<Vec<Line>, DigestError>(lines)
    };
    let mut lines = Vec::new();
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..at_once).map(|_| scope.spawn(play_files)).collect();
        for thread in threads {
            lines.extend(thread.join().map_err(|_| DigestError::Panicked)??);
        }
        Ok::<(), DigestError>(())
    })?;
    lines.sort_by(|left, right| (&left.scenario, left.found.seed).cmp(&(&right.scenario, right.found.seed)));
    Ok(lines)
}

/// One file's lines.
fn digests(file: &ScenarioFile, seeds: Option<u64>) -> Result<Vec<Line>, DigestError> {
    let found = file.load()?.trace_digests(seeds);
    Ok(found.into_iter().map(|found| Line { scenario: file.name.clone(), found }).collect())
}
