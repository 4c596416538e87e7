use super::{PeerActivity, PeerViews};
use crate::settings::Settings;
use shaleshunt_peer::{HeartbeatEcho, PeerHeartbeat};
use shaleshunt_wire::Epoch;

/// Peers are live for half of this.
const INTERVAL_S: f64 = 4.0;

fn settings() -> Settings {
    let peer = |name: &str| (name.to_string(), "z1".to_string());
    Settings { peers: vec![peer("b"), peer("c")], heartbeat_interval_s: INTERVAL_S, ..Settings::default() }
}

fn heartbeat(store_contact_age_ms: u32, pending_submissions: u32) -> PeerHeartbeat {
    PeerHeartbeat {
        epoch: Epoch(1),
        leader: String::new(),
        is_leader: false,
        store_contact_age_ms,
        process_id: 7,
        sent_at_ms: 70,
        echo: HeartbeatEcho::default(),
        lease_extension_age_ms: 0,
        pending_submissions,
    }
}

#[test]
fn only_configured_peers_are_recorded() {
    let mut peers = PeerViews::new(&settings());
    peers.record("x", 100, &heartbeat(0, 0));
    assert!(!peers.contains("x"));
    assert_eq!(peers.last_heard("x"), None);
}

#[test]
fn a_peer_is_live_for_half_an_interval_after_a_heartbeat() {
    let settings = settings();
    let mut peers = PeerViews::new(&settings);
    peers.record("b", 1000, &heartbeat(0, 3));
    let live = PeerActivity { live_peers: 1, submissions_waiting: true };
    assert_eq!(peers.activity(2999, &settings, 0), live);
    assert_eq!(peers.activity(3000, &settings, 0), PeerActivity::default());
    assert!(peers.activity(3000, &settings, 1).submissions_waiting);
}

#[test]
fn a_peer_whose_connection_broke_is_not_live_until_its_next_heartbeat() {
    let settings = settings();
    let mut peers = PeerViews::new(&settings);
    peers.record("b", 1000, &heartbeat(0, 0));
    peers.record_disconnect("b");
    assert_eq!(peers.activity(1001, &settings, 0).live_peers, 0);
    peers.record("b", 1002, &heartbeat(0, 0));
    assert_eq!(peers.activity(1003, &settings, 0).live_peers, 1);
}

#[test]
fn the_last_heartbeat_of_a_peer_is_echoed() {
    let mut peers = PeerViews::new(&settings());
    peers.record("c", 1000, &heartbeat(0, 0));
    let echoes: Vec<(&str, HeartbeatEcho)> =
        peers.last_heartbeats().map(|(name, echo)| (name.as_str(), echo)).collect();
    assert_eq!(echoes, [("b", HeartbeatEcho::default()), ("c", HeartbeatEcho { process_id: 7, sent_at_ms: 70 })]);
}

#[test]
fn an_echo_proves_something_only_of_this_process_and_of_the_past() {
    let echo = HeartbeatEcho { process_id: 7, sent_at_ms: 70 };
    assert_eq!(echo.acknowledged_send_ms(7, 70), Some(70));
    assert_eq!(echo.acknowledged_send_ms(8, 70), None);
    assert_eq!(echo.acknowledged_send_ms(7, 69), None);
}

/// The store answered this process last at 1000; it is 5000 now, and the peers were heard at 4900.
#[test]
fn which_peer_may_relay() {
    let settings = settings();
    // Ages of the last contact of b and c, and the expected relay.
    let cases = [
        (Some(100), Some(50), Some("c")),
        (Some(50), Some(50), Some("b")),
        (Some(999), None, Some("b")),
        (Some(1000), None, None),
        (Some(u32::MAX), Some(500), Some("c")),
        (None, None, None),
    ];
    for (b, c, expected) in cases {
        let mut peers = PeerViews::new(&settings);
        for (name, age) in [("b", b), ("c", c)] {
            if let Some(age) = age {
                peers.record(name, 4900, &heartbeat(age, 0));
            }
        }
        assert_eq!(peers.relay_candidate(5000, &settings, 1000).as_deref(), expected, "{b:?} {c:?}");
    }
}

#[test]
fn nobody_relays_while_the_last_answer_is_recent_or_the_peer_is_not_live() {
    let settings = settings();
    let mut peers = PeerViews::new(&settings);
    peers.record("b", 4900, &heartbeat(100, 0));
    assert_eq!(peers.relay_candidate(5000, &settings, 3000), None);
    assert!(peers.relay_candidate(5000, &settings, 2999).is_some());
    assert_eq!(peers.relay_candidate(6900, &settings, 1000), None);
}

#[test]
fn a_peer_that_lost_the_store_when_we_did_does_not_relay() {
    let settings = settings();
    let mut peers = PeerViews::new(&settings);
    // Heard at 3500, 600 ms after its last contact at 2900: as late as ours.
    peers.record("b", 3500, &heartbeat(600, 0));
    assert_eq!(peers.relay_candidate(5000, &settings, 2900), None);
    assert!(peers.relay_candidate(5000, &settings, 2899).is_some());
}
