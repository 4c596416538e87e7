//! Encoding and decoding of frames.

mod reader;
mod writer;

use crate::error::FrameError;
use crate::frame::{Frame, HeartbeatEcho, JobProgress, MAX_FRAME_BYTES, PROTOCOL_VERSION, PeerHeartbeat};
use bytes::{Buf, BufMut, BytesMut};
use reader::FieldReader;
use shaleshunt_wire::{Epoch, Revision};
use writer::FieldWriter;

/// Size of the length field before each frame.
const LENGTH_BYTES: usize = size_of::<u32>();

/// Kinds of frames on the wire.
mod kind {
    pub(super) const HELLO: u8 = 1;
    pub(super) const HEARTBEAT: u8 = 2;
    pub(super) const JOB_PROGRESS: u8 = 3;
    pub(super) const FORWARDED_REQUEST: u8 = 4;
    pub(super) const FORWARDED_RESPONSE: u8 = 5;
}

impl Frame {
    /// Appends the frame to `out`, including its length.
    ///
    /// Texts longer than 65,535 bytes are truncated to that length.
    pub fn encode(&self, out: &mut BytesMut) {
        let start = out.len();
        // Placeholder for the length, which is known only after the fields are written.
        out.put_u32(0);
        let mut writer = FieldWriter::new(out);
        writer.put_u8(PROTOCOL_VERSION);
        self.write_fields(&mut writer);
        let length = out.len() - start - LENGTH_BYTES;
        out[start..start + LENGTH_BYTES].copy_from_slice(&(length as u32).to_be_bytes());
    }

    /// Removes one frame from the start of `buffer`. Returns `None` if the frame is incomplete.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a frame of this version; see [`FrameError`]. The connection cannot be used after that.
    pub fn decode(buffer: &mut BytesMut) -> Result<Option<Frame>, FrameError> {
        let Some((length_bytes, _)) = buffer.split_first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
        let length = u32::from_be_bytes(*length_bytes) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(FrameError::TooLong { length });
        }
        if buffer.len() < LENGTH_BYTES + length {
            return Ok(None);
        }
        buffer.advance(LENGTH_BYTES);
        let mut reader = FieldReader::new(buffer.split_to(length).freeze());
        let found = reader.u8()?;
        if found != PROTOCOL_VERSION {
            return Err(FrameError::UnsupportedVersion { found });
        }
        let frame = Frame::read_fields(&mut reader)?;
        reader.finish()?;
        Ok(Some(frame))
    }

    fn write_fields(&self, writer: &mut FieldWriter) {
        match self {
            Frame::Hello { node } => {
                writer.put_u8(kind::HELLO);
                writer.put_text(node);
            }
            Frame::Heartbeat(heartbeat) => {
                writer.put_u8(kind::HEARTBEAT);
                write_heartbeat(heartbeat, writer);
            }
            Frame::JobProgress { epoch, jobs } => {
                writer.put_u8(kind::JOB_PROGRESS);
                writer.put_u64(epoch.0);
                writer.put_u32(jobs.len() as u32);
                for job in jobs {
                    write_job_progress(job, writer);
                }
            }
            Frame::ForwardedRequest { id, body } => {
                writer.put_u8(kind::FORWARDED_REQUEST);
                writer.put_u64(*id);
                writer.put_blob(body);
            }
            Frame::ForwardedResponse { id, status, body } => {
                writer.put_u8(kind::FORWARDED_RESPONSE);
                writer.put_u64(*id);
                writer.put_u16(*status);
                writer.put_blob(body);
            }
        }
    }

    fn read_fields(reader: &mut FieldReader) -> Result<Frame, FrameError> {
        let frame = match reader.u8()? {
            kind::HELLO => Frame::Hello { node: reader.text()? },
            kind::HEARTBEAT => Frame::Heartbeat(read_heartbeat(reader)?),
            kind::JOB_PROGRESS => Frame::JobProgress { epoch: Epoch(reader.u64()?), jobs: read_all_progress(reader)? },
            kind::FORWARDED_REQUEST => Frame::ForwardedRequest { id: reader.u64()?, body: reader.blob()? },
            kind::FORWARDED_RESPONSE => {
                Frame::ForwardedResponse { id: reader.u64()?, status: reader.u16()?, body: reader.blob()? }
            }
            found => return Err(FrameError::UnknownKind { found }),
        };
        Ok(frame)
    }
}

fn write_heartbeat(heartbeat: &PeerHeartbeat, writer: &mut FieldWriter) {
    writer.put_u64(heartbeat.epoch.0);
    writer.put_text(&heartbeat.leader);
    writer.put_u8(u8::from(heartbeat.is_leader));
    writer.put_u32(heartbeat.store_contact_age_ms);
    writer.put_u64(heartbeat.process_id);
    writer.put_u64(heartbeat.sent_at_ms);
    writer.put_u64(heartbeat.echo.process_id);
    writer.put_u64(heartbeat.echo.sent_at_ms);
    writer.put_u32(heartbeat.lease_extension_age_ms);
    writer.put_u32(heartbeat.pending_user_writes);
}

/// Fields of a struct expression are evaluated in the order written, which is the order on the wire.
fn read_heartbeat(reader: &mut FieldReader) -> Result<PeerHeartbeat, FrameError> {
    Ok(PeerHeartbeat {
        epoch: Epoch(reader.u64()?),
        leader: reader.text()?,
        is_leader: reader.u8()? != 0,
        store_contact_age_ms: reader.u32()?,
        process_id: reader.u64()?,
        sent_at_ms: reader.u64()?,
        echo: HeartbeatEcho { process_id: reader.u64()?, sent_at_ms: reader.u64()? },
        lease_extension_age_ms: reader.u32()?,
        pending_user_writes: reader.u32()?,
    })
}

fn write_job_progress(progress: &JobProgress, writer: &mut FieldWriter) {
    writer.put_text(&progress.job);
    writer.put_u64(progress.record_version.0);
    writer.put_u32(progress.done);
    writer.put_u32(progress.running);
}

fn read_all_progress(reader: &mut FieldReader) -> Result<Vec<JobProgress>, FrameError> {
    let count = reader.u32()?;
    // The count is not trusted for an allocation; reading stops with an error at the end of the received bytes.
    let mut jobs = Vec::new();
    for _ in 0..count {
        jobs.push(JobProgress {
            job: reader.text()?,
            record_version: Revision(reader.u64()?),
            done: reader.u32()?,
            running: reader.u32()?,
        });
    }
    Ok(jobs)
}
