//! Heartbeats between controllers: their content, and the echo that proves that the other side was alive.

use shaleshunt_peer::Frame;
use shaleshunt_wire::Epoch;

/// A heartbeat between controllers.
#[derive(Debug, Clone)]
pub(super) struct PeerHeartbeat {
    /// Highest epoch that the sender knows.
    pub epoch: Epoch,
    /// Leader of that epoch; empty if unknown.
    pub leader: String,
    /// Whether the sender is the leader.
    pub is_leader: bool,
    /// Time since the key-value store last answered the sender directly, in milliseconds.
    pub store_contact_age_ms: u32,
    /// The sender's process.
    pub process_id: u64,
    /// The sender's steady clock, in milliseconds.
    pub sent_at_ms: u64,
    /// The last heartbeat that the sender received from the receiver.
    pub echo: HeartbeatEcho,
    /// Time since the sender last renewed a lease without the leader, in milliseconds.
    pub lease_extension_age_ms: u32,
    /// Submissions that wait at the sender for the key-value store.
    pub pending_submissions: u32,
}

/// Names a heartbeat by its sender's process and clock; zeros for none.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct HeartbeatEcho {
    /// The process that sent it.
    pub process_id: u64,
    /// When it sent it, on its own clock.
    pub sent_at_ms: u64,
}

impl HeartbeatEcho {
    /// When this process sent the echoed heartbeat, if it was this process: so the sender of the echo was alive
    /// after that time.
    pub fn sent_by(self, process_id: u64, now: u64) -> Option<u64> {
        (self.process_id == process_id && self.sent_at_ms <= now).then_some(self.sent_at_ms)
    }
}

impl PeerHeartbeat {
    /// The frame that carries it.
    pub fn into_frame(self) -> Frame {
        Frame::Heartbeat {
            epoch: self.epoch,
            leader: self.leader,
            leads: self.is_leader,
            state_age_ms: self.store_contact_age_ms,
            born: self.process_id,
            at: self.sent_at_ms,
            echo: (self.echo.process_id, self.echo.sent_at_ms),
            kept_ms: self.lease_extension_age_ms,
            waiting: self.pending_submissions,
        }
    }
}
