//! Last reported state of each peer.
//!
//! Only configured peers are recorded. After its connection breaks, a peer is not live until its next heartbeat.

use crate::settings::Settings;
use shaleshunt_peer::{HeartbeatEcho, PeerHeartbeat};
use std::collections::BTreeMap;

/// A peer is live for an agent heartbeat interval divided by this number after its last heartbeat.
const LIVE_TIMEOUT_DIVISOR: u64 = 2;
/// A peer may relay requests only if the store answered it within the live timeout divided by this number.
const RELAY_CONTACT_AGE_DIVISOR: u64 = 2;

/// A peer's last reported state.
#[derive(Debug, Clone, Default)]
struct PeerView {
    /// Arrival of the last heartbeat on the monotonic clock; `None` if none has arrived or the connection broke since.
    last_heartbeat_at_ms: Option<u64>,
    /// Time since the store last answered the peer directly, as of the last heartbeat.
    store_contact_age_ms: u32,
    /// Identifies the last heartbeat, to be echoed to the peer.
    echo: HeartbeatEcho,
    /// Writes for users that wait at the peer.
    pending_user_writes: u32,
}

/// Summary of the peers' state for other subsystems.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct PeerActivity {
    /// Number of live peers.
    pub live_peers: u32,
    /// Whether writes for users wait to be committed to the key-value store, on this node or on a live peer.
    pub user_writes_waiting: bool,
}

/// Last reported state of each configured peer, by node name.
#[derive(Debug)]
pub(super) struct PeerViews(BTreeMap<String, PeerView>);

impl PeerViews {
    /// Creates the state of the configured peers before any heartbeat has arrived.
    pub fn new(settings: &Settings) -> PeerViews {
        PeerViews(settings.peers.iter().map(|(name, _)| (name.clone(), PeerView::default())).collect())
    }

    /// Iterates over the peers' names, each with the echo of the peer's last heartbeat.
    pub fn last_heartbeats(&self) -> impl Iterator<Item = (&String, HeartbeatEcho)> {
        self.0.iter().map(|(name, view)| (name, view.echo))
    }

    /// Returns whether a peer of this name is configured.
    pub fn contains(&self, peer: &str) -> bool {
        self.0.contains_key(peer)
    }

    /// Records a heartbeat of a peer; ignores peers that are not configured.
    pub fn record(&mut self, peer: &str, now_ms: u64, heartbeat: &PeerHeartbeat) {
        let Some(view) = self.0.get_mut(peer) else { return };
        *view = PeerView {
            last_heartbeat_at_ms: Some(now_ms),
            store_contact_age_ms: heartbeat.store_contact_age_ms,
            echo: HeartbeatEcho { process_id: heartbeat.process_id, sent_at_ms: heartbeat.sent_at_ms },
            pending_user_writes: heartbeat.pending_user_writes,
        };
    }

    /// Records that the connection to a peer broke: the peer is not live until its next heartbeat.
    pub fn record_disconnect(&mut self, peer: &str) {
        if let Some(view) = self.0.get_mut(peer) {
            view.last_heartbeat_at_ms = None;
        }
    }

    /// Returns when a peer's last heartbeat arrived; `None` if none has or its connection broke since.
    pub fn last_heartbeat_at_ms(&self, peer: &str) -> Option<u64> {
        self.0.get(peer).and_then(|view| view.last_heartbeat_at_ms)
    }

    /// Summarizes the state of the live peers and of this process, which has `own_pending_user_writes`.
    pub fn activity(&self, now_ms: u64, settings: &Settings, own_pending_user_writes: u32) -> PeerActivity {
        let live: Vec<&PeerView> = self.0.values().filter(|view| view.is_live(now_ms, settings)).collect();
        PeerActivity {
            live_peers: live.len() as u32,
            user_writes_waiting: own_pending_user_writes > 0 || live.iter().any(|view| view.pending_user_writes > 0),
        }
    }

    /// Returns the live peer that the key-value store answered most recently, among the peers that it answered after
    /// its last answer to this process. Returns `None` if there is no such peer or if the last answer to this process
    /// is recent.
    pub fn relay_candidate(&self, now_ms: u64, settings: &Settings, kv_last_answer_at_ms: u64) -> Option<String> {
        let timeout_ms = live_timeout_ms(settings);
        if now_ms.saturating_sub(kv_last_answer_at_ms) <= timeout_ms {
            return None;
        }
        let usable = |view: &PeerView| {
            view.is_live(now_ms, settings)
                && u64::from(view.store_contact_age_ms) < timeout_ms / RELAY_CONTACT_AGE_DIVISOR
                && view.store_answered_after(kv_last_answer_at_ms)
        };
        let candidates = self.0.iter().filter(|(_, view)| usable(view));
        candidates.min_by_key(|(_, view)| view.store_contact_age_ms).map(|(name, _)| name.clone())
    }
}

impl PeerView {
    fn is_live(&self, now_ms: u64, settings: &Settings) -> bool {
        self.last_heartbeat_at_ms.is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < live_timeout_ms(settings))
    }

    /// Returns whether the store answered this peer after `kv_last_answer_at_ms`, as of the peer's last heartbeat.
    fn store_answered_after(&self, kv_last_answer_at_ms: u64) -> bool {
        let heartbeat_at_ms = self.last_heartbeat_at_ms.unwrap_or(0);
        u64::from(self.store_contact_age_ms) + kv_last_answer_at_ms.min(heartbeat_at_ms) < heartbeat_at_ms
    }
}

/// Returns how long a peer is live after a heartbeat, in milliseconds.
fn live_timeout_ms(settings: &Settings) -> u64 {
    settings.heartbeat_interval_ms() / LIVE_TIMEOUT_DIVISOR
}

#[cfg(test)]
mod tests;
