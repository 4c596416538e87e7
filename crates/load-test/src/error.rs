//! Why a run could not begin or go on.

use std::io;
use std::path::PathBuf;

/// What failed, on what.
#[derive(Debug, thiserror::Error)]
pub enum LoadTestError {
    /// A controller could not be started.
    #[error("--program: cannot start {}: {source}", program.display())]
    Start {
        /// The program.
        program: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// A file of settings or a log could not be written.
    #[error("--folder: cannot write {}: {source}", path.display())]
    Write {
        /// The file or folder.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// No address was left to listen on, or too few files may be open.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: &'static str,
        /// Why.
        source: io::Error,
    },
    /// The asynchronous runtime could not be started.
    #[error("cannot start the runtime: {source}")]
    Runtime {
        /// Why.
        source: io::Error,
    },
}
