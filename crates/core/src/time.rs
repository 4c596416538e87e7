//! The time that a controller is told with each batch; it reads no clock itself.

/// The time of a batch of commands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timestamp {
    /// Steady clock, in milliseconds.
    pub monotonic_ms: u64,
    /// Time of day, in milliseconds since the Unix epoch; only for deadlines, never for safety.
    pub wall_ms: u64,
}
