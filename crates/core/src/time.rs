//! Time of a batch of commands. The core reads no clock; each batch carries the time.

/// The time of a batch of commands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timestamp {
    /// Monotonic clock, in milliseconds.
    pub monotonic_ms: u64,
    /// Wall clock, in milliseconds since the Unix epoch. Only deadlines use it; leases and fencing must not depend on it.
    pub wall_ms: u64,
}
