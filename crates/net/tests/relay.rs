//! Identifiers of relayed requests. A controller that alone cannot reach the key-value store relays its requests
//! through a peer. After a quick restart, a late response to the previous process must not be taken for a response to
//! the new one, which was possible when each process numbered its requests from 1.

use bytes::BytesMut;
use shaleshunt_core::{Settings, Tuning};
use shaleshunt_net::{NetworkConfig, PeerAddress, run};
use shaleshunt_peer::{Frame, HeartbeatEcho, PeerHeartbeat};
use shaleshunt_wire::Epoch;
use std::collections::BTreeSet;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

fn settings() -> Settings {
    Settings {
        node_name: "n0".into(),
        zone: "a".into(),
        peers: vec![("n1".into(), "b".into())],
        zones: vec!["a".into(), "b".into()],
        heartbeat_interval_s: 0.5,
        lease_s: 5.0,
        cancel_s: 10.0,
        kv_rps: 200.0,
        cloud_rps: 5.0,
        machine_list_lag_s: 1.0,
        mem_mb: 128.0,
        ..Settings::default()
    }
}

/// Runs one controller and returns the identifiers of the first requests that it relays through the peer.
async fn relayed_request_ids(kv_address: &str, peer: &TcpListener, peer_address: &str) -> BTreeSet<u64> {
    let config = NetworkConfig {
        client_address: "127.0.0.1:0".into(),
        peer_address: peer_address.into(),
        peers: vec![PeerAddress { name: "n1".into(), address: peer.local_addr().unwrap().to_string() }],
        kv_address: kv_address.into(),
        cloud_address: kv_address.into(),
        max_sockets: 1000,
    };
    let controller = tokio::task::spawn_local(run(settings(), Tuning::default(), config));
    // The peer keeps reporting that the store answers it.
    let address = peer_address.to_string();
    let heartbeats = tokio::task::spawn_local(async move {
        let mut stream = loop {
            match TcpStream::connect(&address).await {
                Ok(stream) => break stream,
                Err(_) => tokio::time::sleep(std::time::Duration::from_millis(10)).await,
            }
        };
        let mut buffer = BytesMut::new();
        Frame::Hello { node: "n1".into() }.encode(&mut buffer);
        loop {
            Frame::Heartbeat(PeerHeartbeat {
                epoch: Epoch(0),
                leader: String::new(),
                is_leader: false,
                store_contact_age_ms: 0,
                process_id: 9,
                sent_at_ms: 1,
                echo: HeartbeatEcho::default(),
                lease_extension_age_ms: 0,
                pending_user_writes: 0,
            })
            .encode(&mut buffer);
            if stream.write_all(&buffer).await.is_err() {
                return;
            }
            buffer.clear();
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
    });
    let (mut stream, _) = peer.accept().await.unwrap();
    let (mut buffer, mut ids) = (BytesMut::new(), BTreeSet::new());
    while ids.len() < 3 {
        while let Ok(Some(frame)) = Frame::decode(&mut buffer) {
            if let Frame::ForwardedRequest { id, .. } = frame {
                ids.insert(id);
            }
        }
        assert!(stream.read_buf(&mut buffer).await.unwrap() > 0, "the controller closed its link");
    }
    controller.abort();
    heartbeats.abort();
    ids
}

#[test]
fn relayed_requests_of_two_processes_have_different_identifiers() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        // Nothing listens on the address of the key-value store.
        let unused = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let kv_address = unused.local_addr().unwrap().to_string();
        drop(unused);
        let peer = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut peer_addresses = Vec::new();
        for _ in 0..2 {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            peer_addresses.push(listener.local_addr().unwrap().to_string());
        }
        let first = relayed_request_ids(&kv_address, &peer, &peer_addresses[0]).await;
        let second = relayed_request_ids(&kv_address, &peer, &peer_addresses[1]).await;
        assert!(first.is_disjoint(&second), "{first:?} and {second:?}");
    });
}
