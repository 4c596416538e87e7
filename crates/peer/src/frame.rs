//! What controllers tell each other.

use bytes::Bytes;
use shaleshunt_wire::{Epoch, Revision};

/// Version of the protocol, stated by every frame.
pub const PROTOCOL_VERSION: u8 = 3;

/// Largest frame that is accepted, in bytes after the length: twice a page of the key-value store, since
/// such pages are forwarded.
pub const MAX_FRAME_BYTES: usize = 1024 * 1024;

/// One message between two controllers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Frame {
    /// Names the sender; the first frame on every connection.
    Hello {
        /// Label of the sender.
        node: String,
    },
    /// Tells that the sender is alive and what it knows; sent several times a second.
    Heartbeat(PeerHeartbeat),
    /// From the leader: how far the jobs have come, so that every controller can answer polls.
    JobProgress {
        /// Epoch of the leader.
        epoch: Epoch,
        /// One entry for each job.
        jobs: Vec<JobProgress>,
    },
    /// Asks the receiver to forward a request to the key-value store, which the sender cannot reach itself.
    ForwardedRequest {
        /// Number that the response repeats.
        id: u64,
        /// The request as JSON.
        body: Bytes,
    },
    /// The key-value store's response to a forwarded request.
    ForwardedResponse {
        /// Number of the request.
        id: u64,
        /// HTTP status; 0 if there was no response and the request may have been executed.
        status: u16,
        /// Body of the HTTP response.
        body: Bytes,
    },
}

/// State of a controller as it tells its peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerHeartbeat {
    /// Highest leader epoch that the sender knows.
    pub epoch: Epoch,
    /// Leader of that epoch, empty if not known.
    pub leader: String,
    /// Whether the sender is the leader.
    pub is_leader: bool,
    /// Time since the key-value store last answered the sender, in milliseconds.
    pub store_contact_age_ms: u32,
    /// Random number of the sender's process: changes with each restart.
    pub process_id: u64,
    /// The sender's monotonic clock at sending, in milliseconds.
    pub sent_at_ms: u64,
    /// The last heartbeat that the sender had received from the receiver.
    pub echo: HeartbeatEcho,
    /// Time since the sender last extended a worker's lease in place of an unreachable leader, or since
    /// its process began, in milliseconds.
    pub lease_extension_age_ms: u32,
    /// Submissions at the sender that wait to be committed to the key-value store.
    pub pending_submissions: u32,
}

/// Identifies a received heartbeat, as an acknowledgement. All zero if none has been received.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HeartbeatEcho {
    /// [`PeerHeartbeat::process_id`] of the received heartbeat.
    pub process_id: u64,
    /// [`PeerHeartbeat::sent_at_ms`] of the received heartbeat.
    pub sent_at_ms: u64,
}

impl HeartbeatEcho {
    /// When this process sent the acknowledged heartbeat, if it was this process: so the sender of the
    /// acknowledgement was alive after that time.
    pub fn acknowledged_send_ms(self, process_id: u64, now_ms: u64) -> Option<u64> {
        (self.process_id == process_id && self.sent_at_ms <= now_ms).then_some(self.sent_at_ms)
    }
}

/// How far a job has come. The task counts are for display only.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobProgress {
    /// Identifier of the job.
    pub job: String,
    /// Version of the job's stored record, by which answers to polls are compared.
    pub record_version: Revision,
    /// Tasks that are done.
    pub done: u32,
    /// Tasks that are running.
    pub running: u32,
}
