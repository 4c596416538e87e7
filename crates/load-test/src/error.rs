//! Errors that prevent a run from starting or continuing.

use std::io;
use std::path::PathBuf;

/// An error that ends the run, with the argument to change where there is one.
#[derive(Debug, thiserror::Error)]
pub enum LoadTestError {
    /// The process of a controller could not be started.
    #[error("--program: cannot start {}: {source}", program.display())]
    Start {
        /// Path of the controller program.
        program: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A settings file, a log file or their folder could not be written.
    #[error("--folder: cannot write {}: {source}", path.display())]
    Write {
        /// Path of the file or folder.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A listener could not be bound: the free ports or the process's open files are exhausted.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// Address on which to listen.
        address: &'static str,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The asynchronous runtime could not be started.
    #[error("cannot start the runtime: {source}")]
    Runtime {
        /// Error of the operating system.
        source: io::Error,
    },
}
