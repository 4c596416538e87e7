//! The binary protocol that controllers speak among themselves.
//!
//! A frame on the wire is `length: u32 | version: u8 | kind: u8 | payload`. Integers are big-endian,
//! `length` counts all that follows it, and texts are a `u16` length and UTF-8. Every length is checked
//! against what has arrived and against [`MAX_FRAME_BYTES`]. A frame of another version or of an unknown kind
//! is an error, and so are bytes left over after its last field.
//!
//! - [`Frame`] and the types it holds say what controllers tell each other;
//! - [`Frame::encode`] and [`Frame::decode`] turn frames into bytes and back;
//! - [`FrameError`] says why bytes are no frame.

#![warn(clippy::wildcard_imports, clippy::missing_errors_doc, clippy::unwrap_used, clippy::too_many_lines)]

mod codec;
mod error;
mod frame;

pub use error::FrameError;
pub use frame::{Frame, HeartbeatEcho, JobProgress, MAX_FRAME_BYTES, PROTOCOL_VERSION, PeerHeartbeat};
