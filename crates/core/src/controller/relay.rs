//! Relaying of requests to the key-value store through a peer, while the store fails this process alone.
//!
//! The relay is in use from [`Relay::start`] to [`Relay::stop`]. Meanwhile the direct route is probed from time to
//! time, and used again as soon as a probe is answered.

use super::peer_views::PeerViews;
use crate::settings::Settings;

/// A peer that is not heard for this fraction of a heartbeat interval no longer relays. As long, requests still
/// sent on the direct route may go on failing after the relay was started.
const RELAY_TIMEOUT_FRACTION: u64 = 2;

/// The relay peer, if requests go through one.
#[derive(Debug, Default)]
pub(crate) struct Relay(Option<ActiveRelay>);

#[derive(Debug)]
struct ActiveRelay {
    peer: String,
    started_at: u64,
    /// When to probe the direct route next.
    probe_at: u64,
}

/// What to do about the relay.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum RelayDecision {
    /// Nothing.
    Keep,
    /// Begin to relay through this peer.
    Start {
        /// The peer.
        peer: String,
    },
    /// The relay does not work: return to the direct route.
    Abandon,
    /// Try the direct route with one request.
    Probe,
}

/// Availability of the key-value store as the decision reads it.
#[derive(Debug, Clone, Copy)]
pub(super) struct RelayInputs<'a> {
    /// Current time on the steady clock, in milliseconds.
    pub now: u64,
    /// The platform's settings.
    pub settings: &'a Settings,
    /// Whether the store fails on the route in use.
    pub kv_unavailable: bool,
    /// When the store last answered on the route in use.
    pub kv_answered_at: u64,
}

impl Relay {
    /// The peer that relays requests.
    pub fn peer(&self) -> Option<&str> {
        self.0.as_ref().map(|relay| relay.peer.as_str())
    }

    /// Whether requests are relayed.
    pub fn is_active(&self) -> bool {
        self.0.is_some()
    }

    /// Begins to relay through a peer.
    pub fn start(&mut self, peer: String, now: u64, heartbeat_interval_ms: u64) {
        self.0 = Some(ActiveRelay { peer, started_at: now, probe_at: now + heartbeat_interval_ms });
    }

    /// Returns to the direct route.
    pub fn stop(&mut self) {
        self.0 = None;
    }

    /// The direct route is probed now: plans the next probe.
    pub fn schedule_next_probe(&mut self, now: u64, heartbeat_interval_ms: u64) {
        if let Some(relay) = &mut self.0 {
            relay.probe_at = now + heartbeat_interval_ms;
        }
    }

    /// Decides whether to start, probe or abandon the relay.
    pub(super) fn decide(&self, inputs: RelayInputs<'_>, peers: &PeerViews) -> RelayDecision {
        match &self.0 {
            None if inputs.kv_unavailable => {
                let candidate = peers.relay_candidate(inputs.now, inputs.settings, inputs.kv_answered_at);
                candidate.map_or(RelayDecision::Keep, |peer| RelayDecision::Start { peer })
            }
            None => RelayDecision::Keep,
            Some(relay) => relay.decide(inputs, peers),
        }
    }
}

impl ActiveRelay {
    fn decide(&self, inputs: RelayInputs<'_>, peers: &PeerViews) -> RelayDecision {
        let timeout_ms = inputs.settings.heartbeat_interval_ms() / RELAY_TIMEOUT_FRACTION;
        let peer_heard_at = peers.last_heard(&self.peer).unwrap_or(0);
        let peer_lost = inputs.now.saturating_sub(peer_heard_at) > timeout_ms;
        // Before that, failures may be of requests sent directly.
        let failures_are_of_relay = inputs.now.saturating_sub(self.started_at) > timeout_ms;
        if peer_lost || failures_are_of_relay && inputs.kv_unavailable {
            RelayDecision::Abandon
        } else if inputs.now >= self.probe_at {
            RelayDecision::Probe
        } else {
            RelayDecision::Keep
        }
    }
}

#[cfg(test)]
mod tests;
