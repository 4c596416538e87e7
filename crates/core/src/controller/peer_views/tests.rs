use super::{PeerActivity, PeerViews};
use crate::settings::Settings;
use shaleshunt_peer::{HeartbeatEcho, PeerHeartbeat};
use shaleshunt_wire::Epoch;

/// Heartbeat interval of the agents; a peer is live for half of it.
const INTERVAL_S: f64 = 4.0;

fn settings() -> Settings {
    let peer = |name: &str| (name.to_string(), "z1".to_string());
    Settings { peers: vec![peer("b"), peer("c")], heartbeat_interval_s: INTERVAL_S, ..Settings::default() }
}

fn heartbeat(store_contact_age_ms: u32, pending_user_writes: u32) -> PeerHeartbeat {
    PeerHeartbeat {
        epoch: Epoch(1),
        leader: String::new(),
        is_leader: false,
        store_contact_age_ms,
        process_id: 7,
        sent_at_ms: 70,
        echo: HeartbeatEcho::default(),
        lease_extension_age_ms: 0,
        pending_user_writes,
    }
}

#[test]
fn only_configured_peers_are_recorded() {
    let mut peers = PeerViews::new(&settings());
    peers.record("x", 100, &heartbeat(0, 0));
    assert!(!peers.contains("x"));
    assert_eq!(peers.last_heartbeat_at_ms("x"), None);
}

#[test]
fn peer_is_live_for_half_an_interval_after_a_heartbeat() {
    let settings = settings();
    let mut peers = PeerViews::new(&settings);
    peers.record("b", 1000, &heartbeat(0, 3));
    let live = PeerActivity { live_peers: 1, user_writes_waiting: true };
    assert_eq!(peers.activity(2999, &settings, 0), live);
    assert_eq!(peers.activity(3000, &settings, 0), PeerActivity::default());
    assert!(peers.activity(3000, &settings, 1).user_writes_waiting);
}

#[test]
fn disconnected_peer_is_not_live_until_its_next_heartbeat() {
    let settings = settings();
    let mut peers = PeerViews::new(&settings);
    peers.record("b", 1000, &heartbeat(0, 0));
    peers.record_disconnect("b");
    assert_eq!(peers.activity(1001, &settings, 0).live_peers, 0);
    peers.record("b", 1002, &heartbeat(0, 0));
    assert_eq!(peers.activity(1003, &settings, 0).live_peers, 1);
}

#[test]
fn last_heartbeat_of_each_peer_is_echoed() {
    let mut peers = PeerViews::new(&settings());
    peers.record("c", 1000, &heartbeat(0, 0));
    let echoes: Vec<(&str, HeartbeatEcho)> =
        peers.last_heartbeats().map(|(name, echo)| (name.as_str(), echo)).collect();
    assert_eq!(echoes, [("b", HeartbeatEcho::default()), ("c", HeartbeatEcho { process_id: 7, sent_at_ms: 70 })]);
}

#[test]
fn echo_of_another_process_or_of_the_future_is_ignored() {
    let echo = HeartbeatEcho { process_id: 7, sent_at_ms: 70 };
    assert_eq!(echo.acknowledged_send_ms(7, 70), Some(70));
    assert_eq!(echo.acknowledged_send_ms(8, 70), None);
    assert_eq!(echo.acknowledged_send_ms(7, 69), None);
}

/// The store last answered this process at 1000, the peers' heartbeats arrived at 4900, and the time is 5000.
#[test]
fn relay_candidate_is_the_peer_with_the_most_recent_store_contact() {
    let settings = settings();
    // Store contact ages of b and c, and the expected relay peer.
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
fn no_relay_candidate_while_the_last_answer_is_recent_or_the_peer_is_not_live() {
    let settings = settings();
    let mut peers = PeerViews::new(&settings);
    peers.record("b", 4900, &heartbeat(100, 0));
    assert_eq!(peers.relay_candidate(5000, &settings, 3000), None);
    assert!(peers.relay_candidate(5000, &settings, 2999).is_some());
    assert_eq!(peers.relay_candidate(6900, &settings, 1000), None);
}

#[test]
fn peer_that_lost_the_store_at_the_same_time_is_no_relay_candidate() {
    let settings = settings();
    let mut peers = PeerViews::new(&settings);
    // The heartbeat arrives at 3500, 600 ms after the peer's last store contact at 2900.
    peers.record("b", 3500, &heartbeat(600, 0));
    assert_eq!(peers.relay_candidate(5000, &settings, 2900), None);
    assert!(peers.relay_candidate(5000, &settings, 2899).is_some());
}
