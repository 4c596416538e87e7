//! Reader of the fields of a frame. Each read is checked against the remaining bytes.

use crate::error::FrameError;
use bytes::{Buf, Bytes};

/// Unread bytes of a frame.
pub(super) struct FieldReader {
    remaining: Bytes,
}

impl FieldReader {
    pub(super) fn new(frame: Bytes) -> FieldReader {
        FieldReader { remaining: frame }
    }

    pub(super) fn u8(&mut self) -> Result<u8, FrameError> {
        self.require(size_of::<u8>())?;
        Ok(self.remaining.get_u8())
    }

    pub(super) fn u16(&mut self) -> Result<u16, FrameError> {
        self.require(size_of::<u16>())?;
        Ok(self.remaining.get_u16())
    }

    pub(super) fn u32(&mut self) -> Result<u32, FrameError> {
        self.require(size_of::<u32>())?;
        Ok(self.remaining.get_u32())
    }

    pub(super) fn u64(&mut self) -> Result<u64, FrameError> {
        self.require(size_of::<u64>())?;
        Ok(self.remaining.get_u64())
    }

    /// Reads a text with a `u16` length.
    pub(super) fn text(&mut self) -> Result<String, FrameError> {
        let length = usize::from(self.u16()?);
        let bytes = self.bytes(length)?;
        String::from_utf8(bytes.to_vec()).map_err(|_| FrameError::InvalidUtf8)
    }

    /// Reads bytes with a `u32` length. The result shares the frame's memory.
    pub(super) fn blob(&mut self) -> Result<Bytes, FrameError> {
        let length = self.u32()? as usize;
        self.bytes(length)
    }

    /// Checks that all bytes have been read.
    pub(super) fn finish(self) -> Result<(), FrameError> {
        match self.remaining.len() {
            0 => Ok(()),
            count => Err(FrameError::TrailingBytes { count }),
        }
    }

    fn bytes(&mut self, length: usize) -> Result<Bytes, FrameError> {
        self.require(length)?;
        Ok(self.remaining.split_to(length))
    }

    fn require(&self, needed: usize) -> Result<(), FrameError> {
        let available = self.remaining.len();
        if available < needed { Err(FrameError::Truncated { needed, available }) } else { Ok(()) }
    }
}
