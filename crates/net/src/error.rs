//! Errors that keep a controller from running.

use std::fmt;

/// Why a controller could not start.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// A listening socket could not be opened.
    #[error("cannot listen for {listener} on {address}: {source}")]
    Bind {
        /// Whom the socket is for.
        listener: Listener,
        /// The address that was tried.
        address: String,
        /// The operating system's error.
        source: std::io::Error,
    },
}

/// A listening socket of a controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Listener {
    /// For users, workers and health checks.
    Clients,
    /// For the other controllers.
    Peers,
}

impl fmt::Display for Listener {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Listener::Clients => "clients",
            Listener::Peers => "peers",
        })
    }
}
