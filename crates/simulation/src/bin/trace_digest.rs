//! Prints the trace digests of scenarios: a line `NAME SEED DIGEST` for each scenario and seed.

use clap::Parser;
use shaleshunt_simulation::scenario::{LoadError, ScenarioFile, SeedDigest};
use std::path::Path;
use std::process::ExitCode;
use std::sync::Mutex;

/// Prints a digest of all commands and effects of the controllers for each scenario and seed.
#[derive(Parser)]
struct Arguments {
    /// Name of the only scenario to run: its file name without `.txt`. All scenarios by default.
    #[arg(long)]
    scenario: Option<String>,
    /// Number of seeds to run for each scenario, in place of the number in its file.
    #[arg(long)]
    seeds: Option<u64>,
}

/// Why the digests could not be computed.
#[derive(Debug, thiserror::Error)]
enum DigestError {
    #[error(transparent)]
    Load(#[from] LoadError),
    #[error("--scenario: no scenario {name} found")]
    NotFound { name: String },
    #[error("a scenario panicked")]
    Panicked,
}

/// A line of output: the digest of one scenario and seed.
struct DigestLine {
    scenario: String,
    digest: SeedDigest,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    match selected_files(&arguments).and_then(|files| compute_digests(files, arguments.seeds)) {
        Ok(lines) => {
            for DigestLine { scenario, digest } in lines {
                println!("{scenario} {} {}", digest.seed, digest.digest);
            }
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

/// The files of all scenarios, or the file of the scenario named on the command line.
fn selected_files(arguments: &Arguments) -> Result<Vec<ScenarioFile>, DigestError> {
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

/// Runs the scenarios in parallel, up to one per processor; returns the lines sorted by name and seed.
fn compute_digests(files: Vec<ScenarioFile>, seeds: Option<u64>) -> Result<Vec<DigestLine>, DigestError> {
    let thread_count = std::thread::available_parallelism().map_or(1, usize::from).min(files.len());
    let files = Mutex::new(files);
    let next_file = || files.lock().ok().and_then(|mut files| files.pop());
    let run_files = || {
        let mut lines = Vec::new();
        while let Some(file) = next_file() {
            lines.extend(scenario_digests(&file, seeds)?);
        }
        Ok::<Vec<DigestLine>, DigestError>(lines)
    };
    let mut lines = Vec::new();
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..thread_count).map(|_| scope.spawn(run_files)).collect();
        for thread in threads {
            lines.extend(thread.join().map_err(|_| DigestError::Panicked)??);
        }
        Ok::<(), DigestError>(())
    })?;
    lines.sort_by(|left, right| (&left.scenario, left.digest.seed).cmp(&(&right.scenario, right.digest.seed)));
    Ok(lines)
}

/// Runs one scenario and returns a line for each seed.
fn scenario_digests(file: &ScenarioFile, seeds: Option<u64>) -> Result<Vec<DigestLine>, DigestError> {
    let digests = file.load()?.trace_digests(seeds);
    Ok(digests.into_iter().map(|digest| DigestLine { scenario: file.name.clone(), digest }).collect())
}
