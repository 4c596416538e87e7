//! A node that the state service refuses alone passes its requests through a peer. A process that is back at
//! once must not take a late answer to its predecessor's request for one to its own: the first version
//! numbered them from 1 in each process.

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

/// The numbers of the first requests that one process passes through the peer.
async fn relayed(state: &str, peer: &TcpListener, back: &str) -> BTreeSet<u64> {
    let config = NetworkConfig {
        client_address: "127.0.0.1:0".into(),
        peer_address: back.into(),
        peers: vec![PeerAddress { name: "n1".into(), address: peer.local_addr().unwrap().to_string() }],
        kv_address: state.into(),
        cloud_address: state.into(),
        max_sockets: 1000,
    };
    let node = tokio::task::spawn_local(run(settings(), Tuning::default(), config));
    // The peer says again and again that it is served.
    let address = back.to_string();
    let talk = tokio::task::spawn_local(async move {
        let mut stream = loop {
            match TcpStream::connect(&address).await {
                Ok(stream) => break stream,
                Err(_) => tokio::time::sleep(std::time::Duration::from_millis(10)).await,
            }
        };
        let mut buf = BytesMut::new();
        Frame::Hello { node: "n1".into() }.encode(&mut buf);
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
                pending_submissions: 0,
            })
            .encode(&mut buf);
            if stream.write_all(&buf).await.is_err() {
                return;
            }
            buf.clear();
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
    });
    let (mut stream, _) = peer.accept().await.unwrap();
    let (mut buf, mut found) = (BytesMut::new(), BTreeSet::new());
    while found.len() < 3 {
        while let Ok(Some(frame)) = Frame::decode(&mut buf) {
            if let Frame::ForwardedRequest { id, .. } = frame {
                found.insert(id);
            }
        }
        assert!(stream.read_buf(&mut buf).await.unwrap() > 0, "the node has closed its link");
    }
    node.abort();
    talk.abort();
    found
}

#[test]
fn no_two_processes_give_their_requests_the_same_numbers() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        // Nobody listens where the state service should be.
        let free = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let state = free.local_addr().unwrap().to_string();
        drop(free);
        let peer = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut back = Vec::new();
        for _ in 0..2 {
            let l = TcpListener::bind("127.0.0.1:0").await.unwrap();
            back.push(l.local_addr().unwrap().to_string());
        }
        let first = relayed(&state, &peer, &back[0]).await;
        let second = relayed(&state, &peer, &back[1]).await;
        assert!(first.is_disjoint(&second), "{first:?} and {second:?}");
    });
}
