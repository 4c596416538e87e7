//! The command line.

use clap::Parser;
use std::path::PathBuf;

/// Loads three real controllers with stand-in machines and users on this machine.
#[derive(Parser)]
pub struct Arguments {
    /// The program to measure.
    #[arg(long, default_value = "target/release/shaleshunt")]
    pub program: PathBuf,
    /// Folder for settings and logs.
    #[arg(long, default_value = "target/loopback")]
    pub folder: PathBuf,
    /// Number of machines.
    #[arg(long, default_value_t = 1170)]
    pub machines: u32,
    /// Heartbeat interval of a machine, in seconds.
    #[arg(long = "report-s", default_value_t = 5.0, value_parser = positive)]
    pub heartbeat_interval_s: f64,
    /// Lease of a machine, in seconds.
    #[arg(long, default_value_t = 27.0, value_parser = positive)]
    pub lease_s: f64,
    /// Jobs of forty tasks submitted a second.
    #[arg(long, default_value_t = 2.5, value_parser = positive)]
    pub jobs_per_s: f64,
    /// Mean run time of a task, in seconds.
    #[arg(long, default_value_t = 30.0, value_parser = positive)]
    pub task_s: f64,
    /// Length of the run, in seconds.
    #[arg(long, default_value_t = 60.0, value_parser = positive)]
    pub seconds: f64,
    /// Sockets that a controller may have open.
    #[arg(long, default_value_t = 4000)]
    pub sockets: usize,
    /// Memory that a controller may hold, in MiB.
    #[arg(long, default_value_t = 85.0, value_parser = positive)]
    pub mem_mb: f64,
    /// Times at which the controller that uses most is ended and started again, in seconds.
    #[arg(long, value_delimiter = ',', value_parser = positive)]
    pub end_leader_at: Vec<f64>,
    /// Times at which all controllers are ended and started again, in seconds.
    #[arg(long, value_delimiter = ',', value_parser = positive)]
    pub end_all_at: Vec<f64>,
}

/// Why a value of an argument is not taken; the parser adds which argument it is.
#[derive(Debug, thiserror::Error)]
pub enum InvalidNumber {
    /// No number.
    #[error("a number expected")]
    NotANumber,
    /// A number that is too small or too large.
    #[error("a finite number above 0 expected")]
    OutOfRange,
}

/// A finite number above 0.
fn positive(text: &str) -> Result<f64, InvalidNumber> {
    let number: f64 = text.parse().map_err(|_| InvalidNumber::NotANumber)?;
    if number.is_finite() && number > 0.0 { Ok(number) } else { Err(InvalidNumber::OutOfRange) }
}

#[cfg(test)]
mod tests;
