//! Errors of a controller that cannot open its listening sockets.

use shaleshunt_core::{Settings, Tuning};
use shaleshunt_net::{Listener, NetworkConfig, RunError, run};
use tokio::net::TcpListener;

#[test]
fn an_address_in_use_is_named_in_the_error() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let occupied = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let occupied_address = occupied.local_addr().unwrap().to_string();
        let config = NetworkConfig {
            client_address: "127.0.0.1:0".into(),
            peer_address: occupied_address.clone(),
            peers: Vec::new(),
            kv_address: occupied_address.clone(),
            cloud_address: occupied_address.clone(),
            max_sockets: 100,
        };
        let RunError::Bind { listener, address, source } =
            run(Settings::default(), Tuning::default(), config).await.unwrap_err();
        assert_eq!((listener, address), (Listener::Peers, occupied_address));
        assert_eq!(source.kind(), std::io::ErrorKind::AddrInUse);
    });
}
