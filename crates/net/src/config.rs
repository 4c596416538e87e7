//! Addresses and limits of a controller.

/// What a controller's input and output are set up with. Addresses are `host:port`.
#[derive(Debug, Clone)]
pub struct NetworkConfig {
    /// Where users, workers and health checks connect.
    pub client_address: String,
    /// Where the other controllers connect.
    pub peer_address: String,
    /// The other controllers.
    pub peers: Vec<PeerAddress>,
    /// The key-value store.
    pub kv_address: String,
    /// The cloud.
    pub cloud_address: String,
    /// Most sockets that the process may have open.
    pub max_sockets: usize,
}

/// Another controller and where it listens for its peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerAddress {
    /// Its name, by which the core addresses it.
    pub name: String,
    /// Its peer address.
    pub address: String,
}
