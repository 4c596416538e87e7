//! Command-line arguments of the load test.

use clap::Parser;
use std::path::PathBuf;

/// Runs three real controllers on this machine under the load of simulated machines and users.
#[derive(Parser)]
pub struct Arguments {
    /// Path of the controller program to measure.
    #[arg(long, default_value = "target/release/shaleshunt")]
    pub program: PathBuf,
    /// Folder for the controllers' settings files and logs; created if it does not exist.
    #[arg(long, default_value = "target/loopback")]
    pub folder: PathBuf,
    /// Number of simulated machines, all of them owned and spread over three zones.
    #[arg(long, default_value_t = 1170)]
    pub machines: u32,
    /// Mean heartbeat interval of a machine, in seconds.
    #[arg(long = "report-s", default_value_t = 5.0, value_parser = parse_positive)]
    pub heartbeat_interval_s: f64,
    /// Duration of a machine lease, in seconds.
    #[arg(long, default_value_t = 27.0, value_parser = parse_positive)]
    pub lease_s: f64,
    /// Jobs submitted per second, of forty tasks each.
    #[arg(long, default_value_t = 2.5, value_parser = parse_positive)]
    pub jobs_per_s: f64,
    /// Mean run time of a task, in seconds.
    #[arg(long, default_value_t = 30.0, value_parser = parse_positive)]
    pub task_s: f64,
    /// Duration of the run, in seconds.
    #[arg(long, default_value_t = 60.0, value_parser = parse_positive)]
    pub seconds: f64,
    /// Most sockets that a controller may have open.
    #[arg(long, default_value_t = 4000)]
    pub sockets: usize,
    /// Most memory that a controller may use, in MiB.
    #[arg(long, default_value_t = 85.0, value_parser = parse_positive)]
    pub mem_mb: f64,
    /// Times at which the busiest controller, normally the leader, is killed and restarted, in seconds since the start
    /// of the run, separated by commas; never by default.
    #[arg(long, value_delimiter = ',', value_parser = parse_positive)]
    pub end_leader_at: Vec<f64>,
    /// Times at which all controllers are killed and restarted, in seconds since the start of the run, separated by
    /// commas; never by default.
    #[arg(long, value_delimiter = ',', value_parser = parse_positive)]
    pub end_all_at: Vec<f64>,
}

/// Reason for which the value of an argument is rejected; the parser adds the argument and the value.
#[derive(Debug, thiserror::Error)]
pub enum InvalidNumber {
    /// The value is not a number.
    #[error("expected a number")]
    NotANumber,
    /// The number is infinite, zero or negative.
    #[error("expected a finite number above 0")]
    OutOfRange,
}

/// Parses a finite number above 0.
fn parse_positive(text: &str) -> Result<f64, InvalidNumber> {
    let number: f64 = text.parse().map_err(|_| InvalidNumber::NotANumber)?;
    if number.is_finite() && number > 0.0 { Ok(number) } else { Err(InvalidNumber::OutOfRange) }
}

#[cfg(test)]
mod tests;
