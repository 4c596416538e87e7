//! Structured logs on standard error.

use tracing::Level;

/// Environment variable with the least severe level that is logged: `error`, `info` (the default) or `debug`. Any other
/// value counts as `info`.
const LEVEL_VARIABLE: &str = "LOG_LEVEL";

/// Initializes logging for the whole process. Lines have no timestamps, which the log collector adds.
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
