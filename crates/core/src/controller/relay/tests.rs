use super::{Relay, RelayDecision, RelayInputs};
use crate::controller::peer_views::PeerViews;
use crate::settings::Settings;
use shaleshunt_peer::{HeartbeatEcho, PeerHeartbeat};
use shaleshunt_wire::Epoch;

const INTERVAL_MS: u64 = 4000;

fn settings() -> Settings {
    Settings { peers: vec![("b".into(), "z1".into())], heartbeat_interval_s: 4.0, ..Settings::default() }
}

/// Peer `b`, heard at a time just after the store answered it.
fn peers(settings: &Settings, heard_at: u64) -> PeerViews {
    let heartbeat = PeerHeartbeat {
        epoch: Epoch(1),
        leader: String::new(),
        is_leader: false,
        store_contact_age_ms: 10,
        process_id: 7,
        sent_at_ms: 70,
        echo: HeartbeatEcho::default(),
        lease_extension_age_ms: 0,
        pending_submissions: 0,
    };
    let mut peers = PeerViews::new(settings);
    peers.record("b", heard_at, &heartbeat);
    peers
}

fn decide(relay: &Relay, now: u64, heard_at: u64, kv_unavailable: bool) -> RelayDecision {
    let settings = settings();
    let inputs = RelayInputs { now, settings: &settings, kv_unavailable, kv_answered_at: 1000 };
    relay.decide(inputs, &peers(&settings, heard_at))
}

#[test]
fn a_relay_starts_when_the_store_fails_and_a_peer_reaches_it() {
    let relay = Relay::default();
    assert_eq!(decide(&relay, 10_000, 9900, true), RelayDecision::Start { peer: "b".into() });
    assert_eq!(decide(&relay, 10_000, 9900, false), RelayDecision::Keep);
    assert_eq!(decide(&relay, 10_000, 5000, true), RelayDecision::Keep);
}

#[test]
fn a_relay_is_kept_probed_and_abandoned() {
    let mut relay = Relay::default();
    relay.start("b".into(), 10_000, INTERVAL_MS);
    assert_eq!(relay.peer(), Some("b"));
    // Now, when the peer was heard, whether the store fails, and the decision.
    let cases = [
        (11_000, 10_900, true, RelayDecision::Keep),
        (12_000, 11_900, true, RelayDecision::Keep),
        (12_001, 11_900, true, RelayDecision::Abandon),
        (12_001, 11_900, false, RelayDecision::Keep),
        (13_000, 10_999, false, RelayDecision::Abandon),
        (13_999, 13_900, false, RelayDecision::Keep),
        (14_000, 13_900, false, RelayDecision::Probe),
    ];
    for (now, heard_at, kv_unavailable, expected) in cases {
        assert_eq!(decide(&relay, now, heard_at, kv_unavailable), expected, "at {now}");
    }
    relay.schedule_next_probe(14_000, INTERVAL_MS);
    assert_eq!(decide(&relay, 14_000, 13_900, false), RelayDecision::Keep);
    relay.stop();
    assert!(!relay.is_active());
}
