//! Reads the fields of one frame, each checked against the bytes that are left.

use crate::error::FrameError;
use bytes::{Buf, Bytes};

/// The bytes of a frame that have not been read yet.
pub(super) struct FieldReader {
    rest: Bytes,
}

impl FieldReader {
    pub(super) fn new(frame: Bytes) -> FieldReader {
        FieldReader { rest: frame }
    }

    pub(super) fn u8(&mut self) -> Result<u8, FrameError> {
        self.require(size_of::<u8>())?;
        Ok(self.rest.get_u8())
    }

    pub(super) fn u16(&mut self) -> Result<u16, FrameError> {
        self.require(size_of::<u16>())?;
        Ok(self.rest.get_u16())
    }

    pub(super) fn u32(&mut self) -> Result<u32, FrameError> {
        self.require(size_of::<u32>())?;
        Ok(self.rest.get_u32())
    }

    pub(super) fn u64(&mut self) -> Result<u64, FrameError> {
        self.require(size_of::<u64>())?;
        Ok(self.rest.get_u64())
    }

    /// A text with a `u16` length.
    pub(super) fn text(&mut self) -> Result<String, FrameError> {
        let length = usize::from(self.u16()?);
        let bytes = self.bytes(length)?;
        String::from_utf8(bytes.to_vec()).map_err(|_| FrameError::InvalidUtf8)
    }

    /// Bytes with a `u32` length; shares the frame's memory.
    pub(super) fn blob(&mut self) -> Result<Bytes, FrameError> {
        let length = self.u32()? as usize;
        self.bytes(length)
    }

    /// Checks that every byte has been read.
    pub(super) fn finish(self) -> Result<(), FrameError> {
        match self.rest.len() {
            0 => Ok(()),
            count => Err(FrameError::TrailingBytes { count }),
        }
    }

    fn bytes(&mut self, length: usize) -> Result<Bytes, FrameError> {
        self.require(length)?;
        Ok(self.rest.split_to(length))
    }

    fn require(&self, needed: usize) -> Result<(), FrameError> {
        let available = self.rest.len();
        if available < needed { Err(FrameError::Truncated { needed, available }) } else { Ok(()) }
    }
}
