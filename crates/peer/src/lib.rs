//! The binary format that controllers speak among themselves.
//!
//! A frame is `length: u32 | version: u8 | kind: u8 | payload`, integers big-endian, `length`
//! counting all that follows it. Texts are `u16` length and UTF-8. Every length is checked against
//! what is there and against [`MAX_FRAME`]; a frame of another version or kind is an error, and so
//! are bytes left over.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use shaleshunt_wire::{Epoch, Revision};

/// Version of the format.
pub const VERSION: u8 = 3;
/// Largest frame taken, in bytes after the length: twice what a page of the state service may have,
/// since such pages are passed on.
pub const MAX_FRAME: usize = 1024 * 1024;

/// What one controller tells another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Frame {
    /// First on every connection: who speaks.
    Hello {
        /// The speaker.
        node: String,
    },
    /// Sent a few times a second.
    Heartbeat {
        /// Highest epoch that the speaker knows.
        epoch: Epoch,
        /// Leader of that epoch, empty if not known.
        leader: String,
        /// Whether the speaker leads.
        leads: bool,
        /// Time since the state service last answered the speaker, in ms.
        state_age_ms: u32,
        /// A number that no other process has: tells the speaker's lives apart.
        born: u64,
        /// The speaker's steady clock.
        at: u64,
        /// `born` and `at` of the last pulse that the speaker had from the listener, 0 for none.
        echo: (u64, u64),
        /// Time since the speaker last kept a machine's lease in place of a leader that it did not
        /// hear, or since its process began, in ms.
        kept_ms: u32,
        /// Acceptances that wait at the speaker for the state service.
        waiting: u32,
    },
    /// From the leader: counts of running and done tasks per job, for display only, and the version
    /// of the job's record, by which polls are compared.
    JobProgress {
        /// The leader's epoch.
        epoch: Epoch,
        /// Job, version of its record, done, running.
        jobs: Vec<(String, Revision, u32, u32)>,
    },
    /// Asks a peer to pass a request to the state service, which refuses the speaker alone.
    Relay {
        /// Number of the request.
        id: u64,
        /// Request, in the state service's own form.
        body: Bytes,
    },
    /// Answer to a relayed request.
    Relayed {
        /// Number of the request.
        id: u64,
        /// HTTP status, 0 if no answer came and the request may have been carried out.
        status: u16,
        /// Body of the answer.
        body: Bytes,
    },
}

/// What is wrong with a frame.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum FrameError {
    /// Longer than allowed.
    #[error("frame of {0} bytes is too long")]
    TooLong(usize),
    /// Ends before its content does.
    #[error("frame ends early")]
    Short,
    /// Bytes are left over.
    #[error("frame has bytes left over")]
    Long,
    /// Another version.
    #[error("frame of version {0}")]
    Version(u8),
    /// Unknown kind.
    #[error("frame of kind {0}")]
    Kind(u8),
    /// A text that is not UTF-8.
    #[error("text is not UTF-8")]
    Text,
}

fn put_text(buf: &mut BytesMut, text: &str) {
    let cut = text.len().min(u16::MAX as usize);
    buf.put_u16(cut as u16);
    buf.put_slice(&text.as_bytes()[..cut]);
}

fn put_blob(buf: &mut BytesMut, blob: &Bytes) {
    buf.put_u32(blob.len() as u32);
    buf.put_slice(blob);
}

struct Reader(Bytes);

impl Reader {
    fn need(&self, n: usize) -> Result<(), FrameError> {
        if self.0.remaining() < n { Err(FrameError::Short) } else { Ok(()) }
    }
    fn u8(&mut self) -> Result<u8, FrameError> {
        self.need(1)?;
        Ok(self.0.get_u8())
    }
    fn u16(&mut self) -> Result<u16, FrameError> {
        self.need(2)?;
        Ok(self.0.get_u16())
    }
    fn u32(&mut self) -> Result<u32, FrameError> {
        self.need(4)?;
        Ok(self.0.get_u32())
    }
    fn u64(&mut self) -> Result<u64, FrameError> {
        self.need(8)?;
        Ok(self.0.get_u64())
    }
    fn bytes(&mut self, n: usize) -> Result<Bytes, FrameError> {
        self.need(n)?;
        Ok(self.0.split_to(n))
    }
    fn text(&mut self) -> Result<String, FrameError> {
        let n = self.u16()? as usize;
        String::from_utf8(self.bytes(n)?.to_vec()).map_err(|_| FrameError::Text)
    }
    fn blob(&mut self) -> Result<Bytes, FrameError> {
        let n = self.u32()? as usize;
        self.bytes(n)
    }
}

impl Frame {
    /// Appends the frame, length included.
    pub fn encode(&self, out: &mut BytesMut) {
        let mut b = BytesMut::new();
        b.put_u8(VERSION);
        match self {
            Frame::Hello { node } => {
                b.put_u8(1);
                put_text(&mut b, node);
            }
            Frame::Heartbeat { epoch, leader, leads, state_age_ms, born, at, echo, kept_ms, waiting } => {
                b.put_u8(2);
                b.put_u64(epoch.0);
                put_text(&mut b, leader);
                b.put_u8(u8::from(*leads));
                b.put_u32(*state_age_ms);
                b.put_u64(*born);
                b.put_u64(*at);
                b.put_u64(echo.0);
                b.put_u64(echo.1);
                b.put_u32(*kept_ms);
                b.put_u32(*waiting);
            }
            Frame::JobProgress { epoch, jobs } => {
                b.put_u8(3);
                b.put_u64(epoch.0);
                b.put_u32(jobs.len() as u32);
                for (job, version, done, running) in jobs {
                    put_text(&mut b, job);
                    b.put_u64(version.0);
                    b.put_u32(*done);
                    b.put_u32(*running);
                }
            }
            Frame::Relay { id, body } => {
                b.put_u8(4);
                b.put_u64(*id);
                put_blob(&mut b, body);
            }
            Frame::Relayed { id, status, body } => {
                b.put_u8(5);
                b.put_u64(*id);
                b.put_u16(*status);
                put_blob(&mut b, body);
            }
        }
        out.put_u32(b.len() as u32);
        out.extend_from_slice(&b);
    }

    /// Takes one frame from the front of `buf`; `None` if it is not all there yet.
    pub fn decode(buf: &mut BytesMut) -> Result<Option<Frame>, FrameError> {
        if buf.len() < 4 {
            return Ok(None);
        }
        let len = u32::from_be_bytes([buf[0], buf[1], buf[2], buf[3]]) as usize;
        if len > MAX_FRAME {
            return Err(FrameError::TooLong(len));
        }
        if buf.len() < 4 + len {
            return Ok(None);
        }
        buf.advance(4);
        let mut r = Reader(buf.split_to(len).freeze());
        let version = r.u8()?;
        if version != VERSION {
            return Err(FrameError::Version(version));
        }
        let frame = match r.u8()? {
            1 => Frame::Hello { node: r.text()? },
            2 => Frame::Heartbeat {
                epoch: Epoch(r.u64()?),
                leader: r.text()?,
                leads: r.u8()? != 0,
                state_age_ms: r.u32()?,
                born: r.u64()?,
                at: r.u64()?,
                echo: (r.u64()?, r.u64()?),
                kept_ms: r.u32()?,
                waiting: r.u32()?,
            },
            3 => {
                let epoch = Epoch(r.u64()?);
                let n = r.u32()? as usize;
                let mut jobs = Vec::new();
                for _ in 0..n {
                    jobs.push((r.text()?, Revision(r.u64()?), r.u32()?, r.u32()?));
                }
                Frame::JobProgress { epoch, jobs }
            }
            4 => Frame::Relay { id: r.u64()?, body: r.blob()? },
            5 => Frame::Relayed { id: r.u64()?, status: r.u16()?, body: r.blob()? },
            kind => return Err(FrameError::Kind(kind)),
        };
        if r.0.has_remaining() { Err(FrameError::Long) } else { Ok(Some(frame)) }
    }
}

#[cfg(test)]
mod tests;
