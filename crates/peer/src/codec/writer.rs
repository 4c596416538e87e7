//! Writer of the fields of a frame.

use bytes::{BufMut, Bytes, BytesMut};

/// Appends fields to a buffer.
pub(super) struct FieldWriter<'a> {
    out: &'a mut BytesMut,
}

impl FieldWriter<'_> {
    pub(super) fn new(out: &mut BytesMut) -> FieldWriter<'_> {
        FieldWriter { out }
    }

    pub(super) fn put_u8(&mut self, value: u8) {
        self.out.put_u8(value);
    }

    pub(super) fn put_u16(&mut self, value: u16) {
        self.out.put_u16(value);
    }

    pub(super) fn put_u32(&mut self, value: u32) {
        self.out.put_u32(value);
    }

    pub(super) fn put_u64(&mut self, value: u64) {
        self.out.put_u64(value);
    }

    /// Writes a text with a `u16` length, truncated to the largest length.
    pub(super) fn put_text(&mut self, text: &str) {
        let length = text.len().min(usize::from(u16::MAX));
        self.put_u16(length as u16);
        self.out.put_slice(&text.as_bytes()[..length]);
    }

    /// Writes bytes with a `u32` length.
    pub(super) fn put_blob(&mut self, blob: &Bytes) {
        self.put_u32(blob.len() as u32);
        self.out.put_slice(blob);
    }
}
