//! Errors of the frame codec.

use crate::frame::{MAX_FRAME_BYTES, PROTOCOL_VERSION};

/// Why bytes from a peer are not a frame of this protocol.
///
/// None of these can be recovered from on the same connection: where the next frame begins is unknown.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum FrameError {
    /// The stated length is greater than [`MAX_FRAME_BYTES`].
    #[error("frame of {length} bytes is too long: at most {MAX_FRAME_BYTES} are accepted")]
    TooLong {
        /// Length that the frame states, in bytes.
        length: usize,
    },
    /// The frame ends within a field.
    #[error("frame ends early: a field needs {needed} bytes, {available} are left")]
    Truncated {
        /// Bytes that the field takes.
        needed: usize,
        /// Bytes that are left of the frame.
        available: usize,
    },
    /// Bytes follow the last field.
    #[error("frame has {count} bytes left over")]
    TrailingBytes {
        /// How many.
        count: usize,
    },
    /// The frame is of another version of the protocol.
    #[error("frame of version {found}: only version {PROTOCOL_VERSION} is understood")]
    UnsupportedVersion {
        /// The version that the frame states.
        found: u8,
    },
    /// No such kind of frame.
    #[error("frame of unknown kind {found}")]
    UnknownKind {
        /// The kind that the frame states.
        found: u8,
    },
    /// A text is not UTF-8.
    #[error("text in a frame is not UTF-8")]
    InvalidUtf8,
}
