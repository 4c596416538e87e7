//! Messages between controllers.

use bytes::Bytes;
use shaleshunt_wire::{Epoch, Revision};

/// Version of the protocol, contained in every frame.
pub const PROTOCOL_VERSION: u8 = 3;

/// Largest accepted frame, in bytes after the length: twice a page of the key-value store, because relayed responses
/// contain such pages.
pub const MAX_FRAME_BYTES: usize = 1024 * 1024;

/// Message from one controller to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Frame {
    /// Identifies the sender; first frame on every connection.
    Hello {
        /// Node name of the sender.
        node: String,
    },
    /// Shows that the sender is alive and contains its state; sent several times per second.
    Heartbeat(PeerHeartbeat),
    /// Progress of the jobs, sent by the leader so that every controller can answer status queries.
    JobProgress {
        /// Leader epoch of the sender.
        epoch: Epoch,
        /// Progress of each job.
        jobs: Vec<JobProgress>,
    },
    /// Request to the key-value store that the receiver relays because the sender cannot reach the store.
    ForwardedRequest {
        /// Identifier that the response repeats.
        id: u64,
        /// Request as JSON.
        body: Bytes,
    },
    /// Response of the key-value store to a relayed request.
    ForwardedResponse {
        /// Identifier of the request.
        id: u64,
        /// HTTP status; 0 if there was no response, in which case the request may have been executed.
        status: u16,
        /// Body of the HTTP response.
        body: Bytes,
    },
}

/// State that a controller sends to its peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerHeartbeat {
    /// Highest leader epoch known to the sender.
    pub epoch: Epoch,
    /// Node name of the leader of that epoch; empty if unknown.
    pub leader: String,
    /// Whether the sender is the leader.
    pub is_leader: bool,
    /// Time since the key-value store last responded to the sender, in milliseconds.
    pub store_contact_age_ms: u32,
    /// Random identifier of the sender's process, which changes with each restart.
    pub process_id: u64,
    /// Time of sending on the sender's monotonic clock, in milliseconds.
    pub sent_at_ms: u64,
    /// Last heartbeat that the sender has received from the receiver.
    pub echo: HeartbeatEcho,
    /// Time since the sender last renewed a machine lease in place of an unreachable leader, or since its process started
    /// if it has renewed none, in milliseconds.
    pub lease_extension_age_ms: u32,
    /// Number of writes for users, such as acceptances, that wait at the sender to be committed to the key-value store.
    pub pending_user_writes: u32,
}

/// Acknowledgement of a received heartbeat. All fields are zero if none has been received.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HeartbeatEcho {
    /// [`PeerHeartbeat::process_id`] of the received heartbeat.
    pub process_id: u64,
    /// [`PeerHeartbeat::sent_at_ms`] of the received heartbeat.
    pub sent_at_ms: u64,
}

impl HeartbeatEcho {
    /// Time at which this process sent the acknowledged heartbeat, in milliseconds on its monotonic clock; `None` if
    /// another process sent it or the time is later than `now_ms`. The sender of the acknowledgement was alive after this time.
    pub fn acknowledged_send_ms(self, process_id: u64, now_ms: u64) -> Option<u64> {
        (self.process_id == process_id && self.sent_at_ms <= now_ms).then_some(self.sent_at_ms)
    }
}

/// Progress of a job. The task counts are for display only.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobProgress {
    /// Identifier of the job.
    pub job: String,
    /// Version of the job's stored record, by which the answers to status queries are compared.
    pub record_version: Revision,
    /// Number of tasks that are done.
    pub done: u32,
    /// Number of running tasks.
    pub running: u32,
}
