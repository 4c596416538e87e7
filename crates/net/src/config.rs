//! Configuration of a controller's network interfaces.

/// Addresses and the socket limit of a controller. Addresses are `host:port`.
#[derive(Debug, Clone)]
pub struct NetworkConfig {
    /// Listening address for users, agents and health checks.
    pub client_address: String,
    /// Listening address for the other controllers.
    pub peer_address: String,
    /// The other controllers.
    pub peers: Vec<PeerAddress>,
    /// Address of the key-value store.
    pub kv_address: String,
    /// Address of the cloud.
    pub cloud_address: String,
    /// Most sockets that the process may have open at the same time.
    pub max_sockets: usize,
}

/// Another controller and its listening address for peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerAddress {
    /// Node name, by which the core addresses this peer.
    pub name: String,
    /// The peer's own `peer_address`.
    pub address: String,
}
