//! Command-line arguments.

use std::path::PathBuf;

/// A cluster scheduler that runs the shortest deadline jobs first, on owned machines and, for jobs that would be late,
/// on rented ones.
#[derive(clap::Parser)]
#[command(name = "shaleshunt", version)]
pub struct Arguments {
    /// The command to run.
    #[command(subcommand)]
    pub command: Subcommand,
}

/// Commands of the program.
#[derive(clap::Subcommand)]
pub enum Subcommand {
    /// Run a controller until it is stopped.
    Serve(SettingsFiles),
    /// Check the settings and print one line for each problem.
    Check {
        /// The files to check.
        #[command(flatten)]
        files: SettingsFiles,
        /// Also print a warning for each setting that is too small for this number of machines.
        #[arg(long, value_name = "NUMBER")]
        machines: Option<u32>,
    },
}

/// Paths of the settings files.
#[derive(clap::Args)]
pub struct SettingsFiles {
    /// The platform's settings file (TOML).
    #[arg(long, value_name = "FILE")]
    pub config: PathBuf,
    /// The operators' settings file (Java properties); defaults apply without it.
    #[arg(long, value_name = "FILE")]
    pub properties: Option<PathBuf>,
}
