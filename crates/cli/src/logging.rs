//! Structured logging to standard error.

use tracing::Level;

/// Environment variable with the least severe level that is logged: `error`, `info` or `debug`.
const LEVEL_VARIABLE: &str = "LOG_LEVEL";

/// Starts logging for the whole process. Times are left to whoever collects the log.
pub fn init() {
    tracing_subscriber::fmt()
        .with_max_level(level())
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .without_time()
        .with_target(false)
        .init();
}

fn level() -> Level {
    match std::env::var(LEVEL_VARIABLE).as_deref() {
        Ok("debug") => Level::DEBUG,
        Ok("error") => Level::ERROR,
        _ => Level::INFO,
    }
}
