//! Errors of the frame codec.

use crate::frame::{MAX_FRAME_BYTES, PROTOCOL_VERSION};

/// Errors of decoding a frame.
///
/// The connection cannot be used after an error, because the start of the next frame is unknown.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum FrameError {
    /// The length is greater than [`MAX_FRAME_BYTES`].
    #[error("frame of {length} bytes is too long: the limit is {MAX_FRAME_BYTES}")]
    TooLong {
        /// Length field of the frame, in bytes.
        length: usize,
    },
    /// The frame ends within a field.
    #[error("frame is truncated: a field needs {needed} bytes, {available} are left")]
    Truncated {
        /// Size of the field in bytes.
        needed: usize,
        /// Number of bytes left in the frame.
        available: usize,
    },
    /// Bytes follow the last field.
    #[error("frame has {count} bytes after its last field")]
    TrailingBytes {
        /// Number of bytes.
        count: usize,
    },
    /// The frame has another version of the protocol.
    #[error("frame has version {found}; only version {PROTOCOL_VERSION} is supported")]
    UnsupportedVersion {
        /// Version field of the frame.
        found: u8,
    },
    /// The kind of the frame is unknown.
    #[error("frame has unknown kind {found}")]
    UnknownKind {
        /// Kind field of the frame.
        found: u8,
    },
    /// A text is not UTF-8.
    #[error("text in a frame is not UTF-8")]
    InvalidUtf8,
}
