//! The simulated site around the controllers: addresses of the controllers, store, cloud and machines.

use crate::arguments::Arguments;
use crate::error::LoadTestError;
use crate::fleet::{ControllerAddress, Fleet};
use crate::{agents, cloud_server, store_server};
use shaleshunt_core::settings::StoreQuota;
use shaleshunt_simulation::agent::{Agent, Machine};
use shaleshunt_simulation::cloud::{Cloud, Offer};
use shaleshunt_simulation::store::KeyValueStore;
use shaleshunt_wire::cloud::{Catalog, MachineType};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::Instant;

/// Number of controllers, each in a zone of its own.
pub const CONTROLLER_COUNT: usize = 3;
/// Most requests per second that the key-value store accepts.
pub const STORE_REQUESTS_PER_S: f64 = 200.0;
/// Most keys on a page of a scan of the key-value store.
const STORE_PAGE_KEYS: usize = 1000;
/// Loopback address with port 0, for which the operating system chooses a free port.
const LOOPBACK_ANY_PORT: &str = "127.0.0.1:0";

/// Name, zone and addresses of a controller.
pub struct ControllerNode {
    /// Node name, the `label` of the settings file.
    pub node_name: String,
    /// Zone, the `location` of the settings file.
    pub zone: String,
    /// Address for users and agents, the `front` of the settings file.
    pub client_address: String,
    /// Address for the other controllers, the `back` of the settings file.
    pub peer_address: String,
}

/// A site whose store, cloud and agents are running.
pub struct Site {
    /// Controllers to start, one in each zone.
    pub controllers: Vec<ControllerNode>,
    /// Address of the key-value store.
    pub store_address: String,
    /// Address of the cloud.
    pub cloud_address: String,
    /// State that all agents and users share.
    pub fleet: Rc<Fleet>,
}

impl Site {
    /// Starts the store, the cloud and the agents. The controllers' addresses are free to bind from then on.
    pub async fn start(arguments: &Arguments) -> Result<Site, LoadTestError> {
        let started_at = Instant::now();
        let cloud = Rc::new(RefCell::new(new_cloud()));
        let store_server = listen().await?;
        let cloud_server = listen().await?;
        store_server::serve(store_server.listener, new_store(), started_at);
        cloud_server::serve(cloud_server.listener, cloud.clone(), started_at);
        // The listeners are held until every agent is bound, so that no agent gets the address of a controller.
        let reserved = reserve_addresses().await?;
        let controllers = reserved.controllers;
        let addresses = controllers.iter().map(|controller| ControllerAddress {
            node_name: controller.node_name.clone(),
            address: controller.client_address.clone(),
        });
        let heartbeat_interval = Duration::from_secs_f64(arguments.heartbeat_interval_s);
        let fleet = Rc::new(Fleet::new(addresses.collect(), heartbeat_interval, started_at));
        start_machines(&fleet, &cloud, arguments).await?;
        let (store_address, cloud_address) = (store_server.address, cloud_server.address);
        Ok(Site { controllers, store_address, cloud_address, fleet })
    }
}

/// A bound listener and its address.
struct BoundListener {
    address: String,
    listener: TcpListener,
}

async fn listen() -> Result<BoundListener, LoadTestError> {
    let failed = |source| LoadTestError::Listen { address: LOOPBACK_ANY_PORT, source };
    let listener = TcpListener::bind(LOOPBACK_ANY_PORT).await.map_err(failed)?;
    let address = listener.local_addr().map_err(failed)?.to_string();
    Ok(BoundListener { address, listener })
}

/// Addresses for the controllers to bind. The listeners reserve them until this value is dropped.
struct ReservedAddresses {
    controllers: Vec<ControllerNode>,
    _listeners: Vec<TcpListener>,
}

async fn reserve_addresses() -> Result<ReservedAddresses, LoadTestError> {
    let mut controllers = Vec::new();
    let mut listeners = Vec::new();
    for index in 0..CONTROLLER_COUNT {
        let for_clients = listen().await?;
        let for_peers = listen().await?;
        listeners.extend([for_clients.listener, for_peers.listener]);
        controllers.push(ControllerNode {
            node_name: format!("node-{index}"),
            zone: zone_name(index),
            client_address: for_clients.address,
            peer_address: for_peers.address,
        });
    }
    Ok(ReservedAddresses { controllers, _listeners: listeners })
}

/// Name of the zone of a controller.
pub fn zone_name(index: usize) -> String {
    format!("zone-{index}")
}

/// The machine type of the whole fleet.
pub fn machine_type() -> MachineType {
    MachineType {
        name: "type".into(),
        cores: 32.0,
        accelerators: 0.0,
        memory_gb: 64.0,
        local_gb: 80.0,
        fetch_gb_per_s: 0.5,
        price: 2.0,
        spot_price: 0.5,
        boot_s: 25.0,
        zones: (0..CONTROLLER_COUNT).map(zone_name).collect(),
    }
}

/// Creates a cloud whose catalog holds the fleet's machine type and that has no machines to rent.
fn new_cloud() -> Cloud {
    let mut cloud = Cloud::default();
    cloud.catalog = Catalog { machine_types: vec![machine_type()] };
    cloud
}

/// Limits of the key-value store, which the store enforces and the controllers' settings announce.
pub fn store_limits() -> StoreQuota {
    StoreQuota { value_kb: 16.0, txn_ops: 24, write_rps: 80.0 }
}

fn new_store() -> KeyValueStore {
    let mut store = KeyValueStore::default();
    store.limits = store_limits();
    store.requests_per_s = STORE_REQUESTS_PER_S;
    store.page_size = STORE_PAGE_KEYS;
    store
}

/// Starts the agents of the owned machines, which are spread evenly over the zones.
async fn start_machines(
    fleet: &Rc<Fleet>,
    cloud: &Rc<RefCell<Cloud>>,
    arguments: &Arguments,
) -> Result<(), LoadTestError> {
    let machine_type = machine_type();
    let lease_ms = (arguments.lease_s * 1000.0) as u64;
    for number in 0..arguments.machines as usize {
        let zone = zone_name(number % CONTROLLER_COUNT);
        let id = cloud.borrow_mut().create(0, Offer::on_demand(&machine_type.name, &zone), Some(0));
        let machine = Machine {
            address: id.clone(),
            id,
            machine_type: machine_type.name.clone(),
            zone,
            spot: false,
            capacity: machine_type.resources(),
            fetch_gb_per_s: machine_type.fetch_gb_per_s,
        };
        let bound = listen().await?;
        agents::start(fleet.clone(), Agent::new(machine, lease_ms, 0), bound.address, bound.listener);
    }
    Ok(())
}
