//! Binary protocol between controllers.
//!
//! A frame on the wire is `length: u32 | version: u8 | kind: u8 | payload`. Integers are big-endian, `length` counts the
//! bytes after itself, and texts are a `u16` length followed by UTF-8. The decoder checks every length against the bytes
//! received, and the frame's length against [`MAX_FRAME_BYTES`]. A frame of another version, a frame of an unknown kind
//! and bytes after the last field are errors.
//!
//! - [`Frame`] and the types in it are the messages between controllers.
//! - [`Frame::encode`] and [`Frame::decode`] convert frames to bytes and back.
//! - [`FrameError`] is the error of decoding.

#![warn(clippy::wildcard_imports, clippy::missing_errors_doc, clippy::unwrap_used, clippy::too_many_lines)]

mod codec;
mod error;
mod frame;

pub use error::FrameError;
pub use frame::{Frame, HeartbeatEcho, JobProgress, MAX_FRAME_BYTES, PROTOCOL_VERSION, PeerHeartbeat};
