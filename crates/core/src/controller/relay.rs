//! Relays requests to the key-value store through a peer while this process cannot reach the store and the peer can.
//!
//! The relay is active from [`Relay::start`] to [`Relay::stop`]. While it is active, the direct route is probed
//! periodically and used again as soon as a probe is answered.

use super::peer_views::PeerViews;
use crate::settings::Settings;

/// The relay timeout is a heartbeat interval divided by this number. A relay peer without a heartbeat for longer is
/// abandoned. For as long after the start of a relay, failures may still be of requests sent on the direct route.
const RELAY_TIMEOUT_DIVISOR: u64 = 2;

/// The active relay, if any.
#[derive(Debug, Default)]
pub(crate) struct Relay(Option<ActiveRelay>);

/// A relay in use. Times are on the monotonic clock.
#[derive(Debug)]
struct ActiveRelay {
    /// Node name of the relay peer.
    peer: String,
    started_at_ms: u64,
    /// Time of the next probe of the direct route.
    next_probe_at_ms: u64,
}

/// Change to the relay that the controller makes.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum RelayDecision {
    /// Keeps the current route.
    Keep,
    /// Starts relaying through a peer.
    Start {
        /// Node name of the peer.
        peer: String,
    },
    /// Returns to the direct route because the relay does not work.
    Abandon,
    /// Sends one request on the direct route.
    Probe,
}

/// Inputs of the relay decision.
#[derive(Debug, Clone, Copy)]
pub(super) struct RelayInputs<'a> {
    /// Current time on the monotonic clock.
    pub now_ms: u64,
    /// Settings of the deployment.
    pub settings: &'a Settings,
    /// Whether the store is unavailable on the current route.
    pub kv_unavailable: bool,
    /// Time of the store's last answer on the current route, on the monotonic clock.
    pub kv_last_answer_at_ms: u64,
}

impl Relay {
    /// Returns the node name of the relay peer, if a relay is active.
    pub fn peer(&self) -> Option<&str> {
        self.0.as_ref().map(|relay| relay.peer.as_str())
    }

    /// Returns whether requests are relayed.
    pub fn is_active(&self) -> bool {
        self.0.is_some()
    }

    /// Starts relaying through a peer.
    pub fn start(&mut self, peer: String, now_ms: u64, heartbeat_interval_ms: u64) {
        self.0 = Some(ActiveRelay { peer, started_at_ms: now_ms, next_probe_at_ms: now_ms + heartbeat_interval_ms });
    }

    /// Stops relaying: requests take the direct route again.
    pub fn stop(&mut self) {
        self.0 = None;
    }

    /// Schedules the next probe of the direct route, one heartbeat interval after `now_ms`.
    pub fn schedule_next_probe(&mut self, now_ms: u64, heartbeat_interval_ms: u64) {
        if let Some(relay) = &mut self.0 {
            relay.next_probe_at_ms = now_ms + heartbeat_interval_ms;
        }
    }

    /// Decides whether to start or abandon a relay, or to probe the direct route.
    pub(super) fn decide(&self, inputs: RelayInputs<'_>, peers: &PeerViews) -> RelayDecision {
        match &self.0 {
            None if inputs.kv_unavailable => {
                let candidate = peers.relay_candidate(inputs.now_ms, inputs.settings, inputs.kv_last_answer_at_ms);
                candidate.map_or(RelayDecision::Keep, |peer| RelayDecision::Start { peer })
            }
            None => RelayDecision::Keep,
            Some(relay) => relay.decide(inputs, peers),
        }
    }
}

impl ActiveRelay {
    fn decide(&self, inputs: RelayInputs<'_>, peers: &PeerViews) -> RelayDecision {
        let timeout_ms = inputs.settings.heartbeat_interval_ms() / RELAY_TIMEOUT_DIVISOR;
        let peer_heartbeat_at_ms = peers.last_heartbeat_at_ms(&self.peer).unwrap_or(0);
        let peer_unreachable = inputs.now_ms.saturating_sub(peer_heartbeat_at_ms) > timeout_ms;
        // Until then, failures may be of requests that were sent on the direct route.
        let direct_requests_timed_out = inputs.now_ms.saturating_sub(self.started_at_ms) > timeout_ms;
        if peer_unreachable || direct_requests_timed_out && inputs.kv_unavailable {
            RelayDecision::Abandon
        } else if inputs.now_ms >= self.next_probe_at_ms {
            RelayDecision::Probe
        } else {
            RelayDecision::Keep
        }
    }
}

#[cfg(test)]
mod tests;
