use super::{Relay, RelayDecision, RelayInputs};
use crate::controller::peer_views::PeerViews;
use crate::settings::Settings;
use shaleshunt_peer::{HeartbeatEcho, PeerHeartbeat};
use shaleshunt_wire::Epoch;

const INTERVAL_MS: u64 = 4000;

fn settings() -> Settings {
    Settings { peers: vec![("b".into(), "z1".into())], heartbeat_interval_s: 4.0, ..Settings::default() }
}

/// Peer `b`, whose heartbeat arrived at a time, 10 ms after the store answered the peer.
fn peers(settings: &Settings, heartbeat_at_ms: u64) -> PeerViews {
    let heartbeat = PeerHeartbeat {
        epoch: Epoch(1),
        leader: String::new(),
        is_leader: false,
        store_contact_age_ms: 10,
        process_id: 7,
        sent_at_ms: 70,
        echo: HeartbeatEcho::default(),
        lease_extension_age_ms: 0,
        pending_user_writes: 0,
    };
    let mut peers = PeerViews::new(settings);
    peers.record("b", heartbeat_at_ms, &heartbeat);
    peers
}

fn decide(relay: &Relay, now_ms: u64, heartbeat_at_ms: u64, kv_unavailable: bool) -> RelayDecision {
    let settings = settings();
    let inputs = RelayInputs { now_ms, settings: &settings, kv_unavailable, kv_last_answer_at_ms: 1000 };
    relay.decide(inputs, &peers(&settings, heartbeat_at_ms))
}

#[test]
fn relay_starts_if_the_store_is_unavailable_and_a_peer_reaches_it() {
    let relay = Relay::default();
    assert_eq!(decide(&relay, 10_000, 9900, true), RelayDecision::Start { peer: "b".into() });
    assert_eq!(decide(&relay, 10_000, 9900, false), RelayDecision::Keep);
    assert_eq!(decide(&relay, 10_000, 5000, true), RelayDecision::Keep);
}

#[test]
fn active_relay_is_abandoned_if_it_fails_and_probed_once_per_interval() {
    let mut relay = Relay::default();
    relay.start("b".into(), 10_000, INTERVAL_MS);
    assert_eq!(relay.peer(), Some("b"));
    // Current time, arrival of the peer's last heartbeat, whether the store is unavailable, and the decision.
    let cases = [
        (11_000, 10_900, true, RelayDecision::Keep),
        (12_000, 11_900, true, RelayDecision::Keep),
        (12_001, 11_900, true, RelayDecision::Abandon),
        (12_001, 11_900, false, RelayDecision::Keep),
        (13_000, 10_999, false, RelayDecision::Abandon),
        (13_999, 13_900, false, RelayDecision::Keep),
        (14_000, 13_900, false, RelayDecision::Probe),
    ];
    for (now_ms, heartbeat_at_ms, kv_unavailable, expected) in cases {
        assert_eq!(decide(&relay, now_ms, heartbeat_at_ms, kv_unavailable), expected, "at {now_ms}");
    }
    relay.schedule_next_probe(14_000, INTERVAL_MS);
    assert_eq!(decide(&relay, 14_000, 13_900, false), RelayDecision::Keep);
    relay.stop();
    assert!(!relay.is_active());
}
