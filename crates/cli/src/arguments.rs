//! The arguments of the command line.

use std::path::PathBuf;

/// A cluster scheduler: deadline jobs run shortest first on owned machines, and on rented ones when
/// they would be late.
#[derive(clap::Parser)]
#[command(name = "shaleshunt", version)]
pub struct Arguments {
    /// What to do.
    #[command(subcommand)]
    pub command: Subcommand,
}

/// What the program can do.
#[derive(clap::Subcommand)]
pub enum Subcommand {
    /// Run a controller until it is stopped.
    Serve(SettingsFiles),
    /// Check the settings and print what is wrong, field by field.
    Check {
        /// The files to check.
        #[command(flatten)]
        files: SettingsFiles,
        /// Warn of settings that are too small for so many machines.
        #[arg(long, value_name = "NUMBER")]
        machines: Option<u32>,
    },
}

/// Files with settings.
#[derive(clap::Args)]
pub struct SettingsFiles {
    /// The platform's settings (TOML).
    #[arg(long, value_name = "FILE")]
    pub config: PathBuf,
    /// The operators' own settings (Java-style properties).
    #[arg(long, value_name = "FILE")]
    pub properties: Option<PathBuf>,
}
