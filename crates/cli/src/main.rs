//! The command line of the `shaleshunt` controller.

#![warn(clippy::wildcard_imports, clippy::missing_errors_doc, clippy::unwrap_used, clippy::too_many_lines)]

mod arguments;
mod commands;
mod logging;
mod settings;

use arguments::{Arguments, Subcommand};
use clap::Parser;
use std::process::ExitCode;

/// Each request allocates and frees several buffers. The system's allocator was slower at this and held more memory.
#[global_allocator]
static ALLOCATOR: tikv_jemallocator::Jemalloc = tikv_jemallocator::Jemalloc;

fn main() -> ExitCode {
    let result = match Arguments::parse().command {
        Subcommand::Serve(files) => commands::serve(&files),
        Subcommand::Check { files, machines } => commands::check(&files, machines),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
