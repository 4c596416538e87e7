//! Implementation of the subcommands.

use crate::arguments::SettingsFiles;
use crate::logging;
use crate::settings::{self, LoadedSettings, SettingsErrors};
use shaleshunt_core::capacity;
use shaleshunt_net::RunError;
use std::convert::Infallible;
use tokio::task::{JoinError, LocalSet};

/// Why a subcommand failed. The text is printed to standard error for the operator.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// `check` found the settings invalid. The text has one line for each problem.
    #[error("{}", .0.lines())]
    InvalidSettings(SettingsErrors),
    /// A controller cannot start because its settings are invalid. The text is one line.
    #[error("shaleshunt: cannot start with invalid settings: {}", .0.one_line())]
    UnusableSettings(SettingsErrors),
    /// The async runtime cannot be created.
    #[error("shaleshunt: cannot create the async runtime: {0}")]
    Runtime(std::io::Error),
    /// The controller cannot start.
    #[error("shaleshunt: {0}")]
    Run(#[from] RunError),
    /// The task of the event loop panicked or was cancelled.
    #[error("shaleshunt: the event loop ended unexpectedly: {0}")]
    Stopped(#[from] JoinError),
}

/// Checks the settings and prints warnings. If `machines` is given, also warns of settings that are too small for that
/// number of machines.
///
/// # Errors
///
/// [`CommandError::InvalidSettings`] with all problems of both files.
pub fn check(files: &SettingsFiles, machines: Option<u32>) -> Result<(), CommandError> {
    let loaded = load(files).map_err(CommandError::InvalidSettings)?;
    for warning in &loaded.warnings {
        println!("warning: {warning}");
    }
    if let Some(machines) = machines {
        for warning in capacity::insufficient_settings(&loaded.settings, machines) {
            println!("warning: {warning}");
        }
    }
    println!("settings are fine: node {}, {} peers", loaded.settings.node_name, loaded.network.peers.len());
    Ok(())
}

/// Runs a controller until the process is terminated.
///
/// # Errors
///
/// The settings are invalid, the runtime or the controller cannot be started, or the event loop ended; see
/// [`CommandError`].
pub fn serve(files: &SettingsFiles) -> Result<(), CommandError> {
    let loaded = load(files).map_err(CommandError::UnusableSettings)?;
    logging::init();
    for warning in &loaded.warnings {
        tracing::info!(node = %loaded.settings.node_name, event = %"setting_warning", warning = ?warning);
    }
    let never = run(loaded)?;
    match never {}
}

fn load(files: &SettingsFiles) -> Result<LoadedSettings, SettingsErrors> {
    settings::load(&files.config, files.properties.as_deref())
}

fn run(loaded: LoadedSettings) -> Result<Infallible, CommandError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(CommandError::Runtime)?;
    // The event loop runs as a task like those of the connections, so that it takes their requests in the same turn of
    // the runtime. As the outermost future it would be polled only after the runtime has polled for I/O again, which is
    // a system call for each request.
    LocalSet::new().block_on(&runtime, async {
        let controller = shaleshunt_net::run(loaded.settings, loaded.tuning, loaded.network);
        Ok(tokio::task::spawn_local(controller).await??)
    })
}
