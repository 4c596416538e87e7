//! What each of the other controllers last reported.
//!
//! Only configured peers are recorded. A peer whose connection broke counts as not heard until its next heartbeat.

use crate::settings::Settings;
use shaleshunt_peer::{HeartbeatEcho, PeerHeartbeat};
use std::collections::BTreeMap;

/// A peer is live if it was heard within this fraction of a heartbeat interval of the agents.
const LIVE_FRACTION: u64 = 2;
/// Fraction of that time within which the store must have answered a peer that is to relay requests.
const RELAY_FRESHNESS_FRACTION: u64 = 2;

/// What a peer last reported.
#[derive(Debug, Clone, Default)]
struct PeerView {
    /// When its last heartbeat arrived; `None` if none has, or its connection broke since.
    last_heard: Option<u64>,
    store_contact_age_ms: u32,
    /// Names its last heartbeat, to be echoed.
    heartbeat: HeartbeatEcho,
    pending_submissions: u32,
}

/// What the peers do, as far as other subsystems need it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct PeerActivity {
    /// Peers heard recently.
    pub live_peers: u32,
    /// Whether submissions wait for the key-value store, here or at a live peer.
    pub submissions_waiting: bool,
}

/// What each configured peer last reported, by name.
#[derive(Debug)]
pub(super) struct PeerViews(BTreeMap<String, PeerView>);

impl PeerViews {
    /// The configured peers, of which nothing has been heard.
    pub fn new(settings: &Settings) -> PeerViews {
        PeerViews(settings.peers.iter().map(|(name, _)| (name.clone(), PeerView::default())).collect())
    }

    /// Each peer's name with its last heartbeat, to be echoed.
    pub fn last_heartbeats(&self) -> impl Iterator<Item = (&String, HeartbeatEcho)> {
        self.0.iter().map(|(name, view)| (name, view.heartbeat))
    }

    /// Whether a peer of this name is configured.
    pub fn contains(&self, peer: &str) -> bool {
        self.0.contains_key(peer)
    }

    /// Records a heartbeat.
    pub fn record(&mut self, peer: &str, now: u64, heartbeat: &PeerHeartbeat) {
        let Some(view) = self.0.get_mut(peer) else { return };
        *view = PeerView {
            last_heard: Some(now),
            store_contact_age_ms: heartbeat.store_contact_age_ms,
            heartbeat: HeartbeatEcho { process_id: heartbeat.process_id, sent_at_ms: heartbeat.sent_at_ms },
            pending_submissions: heartbeat.pending_submissions,
        };
    }

    /// Records that the connection to a peer broke.
    pub fn record_disconnect(&mut self, peer: &str) {
        if let Some(view) = self.0.get_mut(peer) {
            view.last_heard = None;
        }
    }

    /// When a peer was last heard.
    pub fn last_heard(&self, peer: &str) -> Option<u64> {
        self.0.get(peer).and_then(|view| view.last_heard)
    }

    /// The activity of live peers and of this process, where so many submissions wait.
    pub fn activity(&self, now: u64, settings: &Settings, waiting_here: u32) -> PeerActivity {
        let live: Vec<&PeerView> = self.0.values().filter(|view| view.is_live(now, settings)).collect();
        PeerActivity {
            live_peers: live.len() as u32,
            submissions_waiting: waiting_here > 0 || live.iter().any(|view| view.pending_submissions > 0),
        }
    }

    /// The live peer that the key-value store answered most recently, among those that it answered after its last
    /// answer to this process; `None` also while the store's last answer to this process is recent.
    pub fn relay_candidate(&self, now: u64, settings: &Settings, kv_answered_at: u64) -> Option<String> {
        let freshness_ms = live_ms(settings);
        if now.saturating_sub(kv_answered_at) <= freshness_ms {
            return None;
        }
        let usable = |view: &PeerView| {
            view.is_live(now, settings)
                && u64::from(view.store_contact_age_ms) < freshness_ms / RELAY_FRESHNESS_FRACTION
                && view.store_answered_after(kv_answered_at)
        };
        let candidates = self.0.iter().filter(|(_, view)| usable(view));
        candidates.min_by_key(|(_, view)| view.store_contact_age_ms).map(|(name, _)| name.clone())
    }
}

impl PeerView {
    fn is_live(&self, now: u64, settings: &Settings) -> bool {
        self.last_heard.is_some_and(|at| now.saturating_sub(at) < live_ms(settings))
    }

    /// Whether the store answered this peer later than `kv_answered_at`, as of the peer's last heartbeat.
    fn store_answered_after(&self, kv_answered_at: u64) -> bool {
        let heard_at = self.last_heard.unwrap_or(0);
        u64::from(self.store_contact_age_ms) + kv_answered_at.min(heard_at) < heard_at
    }
}

/// How long a peer counts as live after a heartbeat, in milliseconds.
fn live_ms(settings: &Settings) -> u64 {
    settings.heartbeat_interval_ms() / LIVE_FRACTION
}

#[cfg(test)]
mod tests;
