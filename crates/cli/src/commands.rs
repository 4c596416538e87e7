//! What the program does for each subcommand.

use crate::arguments::SettingsFiles;
use crate::logging;
use crate::settings::{self, Loaded, SettingsErrors};
use shaleshunt_core::capacity;
use shaleshunt_net::RunError;
use std::convert::Infallible;
use tokio::task::{JoinError, LocalSet};

/// Why a subcommand failed. The text is printed for the operator.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// The settings that were checked are not valid: one line for each problem.
    #[error("{}", .0.lines())]
    InvalidSettings(SettingsErrors),
    /// A controller cannot run with its settings.
    #[error("shaleshunt: settings: {}", .0.one_line())]
    UnusableSettings(SettingsErrors),
    /// The runtime cannot be started.
    #[error("shaleshunt: cannot start: {0}")]
    Runtime(std::io::Error),
    /// The controller cannot run.
    #[error("shaleshunt: {0}")]
    Run(#[from] RunError),
    /// The controller's task ended by itself.
    #[error("shaleshunt: the event loop stopped: {0}")]
    Stopped(#[from] JoinError),
}

/// Checks the settings and prints warnings, also of settings that are too small for so many machines.
///
/// # Errors
///
/// [`CommandError::InvalidSettings`] with all that is wrong.
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

/// Runs a controller until the process is stopped.
///
/// # Errors
///
/// The settings are not valid, or the runtime or the controller cannot be started; see [`CommandError`].
pub fn serve(files: &SettingsFiles) -> Result<(), CommandError> {
    let loaded = load(files).map_err(CommandError::UnusableSettings)?;
    logging::init();
    for warning in &loaded.warnings {
        tracing::info!(node = %loaded.settings.node_name, event = %"setting_warning", warning = ?warning);
    }
    let never = run(loaded)?;
    match never {}
}

fn load(files: &SettingsFiles) -> Result<Loaded, SettingsErrors> {
    settings::load(&files.config, files.properties.as_deref())
}

fn run(loaded: Loaded) -> Result<Infallible, CommandError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(CommandError::Runtime)?;
    // The event loop is one task among those of the connections: what they bring is taken in the same turn
    // of the runtime. As the outermost future it would be polled only after another look for input, a
    // system call for each request.
    LocalSet::new().block_on(&runtime, async {
        let controller = shaleshunt_net::run(loaded.settings, loaded.tuning, loaded.network);
        Ok(tokio::task::spawn_local(controller).await??)
    })
}
