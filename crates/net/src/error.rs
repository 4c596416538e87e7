//! Errors that prevent a controller from starting.

use std::fmt;

/// Why a controller could not start.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// A listening socket could not be opened.
    #[error("cannot listen for {listener} on {address}: {source}")]
    Bind {
        /// What the socket was to accept.
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
    /// Accepts users, agents and health checks.
    Clients,
    /// Accepts the other controllers.
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
