//! The site that is simulated around the controllers: their addresses, the services, the machines.

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

/// Controllers of the site, each in a zone of its own.
pub const CONTROLLERS: usize = 3;
/// Requests a second that the key-value store takes.
pub const STORE_REQUESTS_PER_S: f64 = 200.0;
/// Keys on a page of the key-value store.
const STORE_PAGE: usize = 1000;
/// Any free port of the loopback interface.
const LOOPBACK: &str = "127.0.0.1:0";

/// Label, zone and addresses of a controller.
pub struct ControllerSite {
    /// Label.
    pub node_name: String,
    /// Zone.
    pub zone: String,
    /// Address for users and agents.
    pub front: String,
    /// Address for the other controllers.
    pub back: String,
}

/// A site whose services answer and whose machines report.
pub struct Site {
    /// The controllers.
    pub controllers: Vec<ControllerSite>,
    /// Address of the key-value store.
    pub store_address: String,
    /// Address of the cloud.
    pub cloud_address: String,
    /// The machines.
    pub fleet: Rc<Fleet>,
}

impl Site {
    /// Starts the services and the machines; the controllers' addresses are free from then on.
    pub async fn start(arguments: &Arguments) -> Result<Site, LoadTestError> {
        let began = Instant::now();
        let cloud = Rc::new(RefCell::new(cloud()));
        let store_server = listen().await?;
        let cloud_server = listen().await?;
        store_server::serve(store_server.listener, store(), began);
        cloud_server::serve(cloud_server.listener, cloud.clone(), began);
        // Kept until all machines have their addresses, so that none gets a controller's.
        let reserved = reserve_addresses().await?;
        let controllers = reserved.controllers;
        let addresses = controllers.iter().map(|controller| ControllerAddress {
            node_name: controller.node_name.clone(),
            address: controller.front.clone(),
        });
        let heartbeat_interval = Duration::from_secs_f64(arguments.heartbeat_interval_s);
        let fleet = Rc::new(Fleet::new(addresses.collect(), heartbeat_interval, began));
        start_machines(&fleet, &cloud, arguments).await?;
        let (store_address, cloud_address) = (store_server.address, cloud_server.address);
        Ok(Site { controllers, store_address, cloud_address, fleet })
    }
}

/// A listener with its address.
struct Listening {
    address: String,
    listener: TcpListener,
}

async fn listen() -> Result<Listening, LoadTestError> {
    let failed = |source| LoadTestError::Listen { address: LOOPBACK, source };
    let listener = TcpListener::bind(LOOPBACK).await.map_err(failed)?;
    let address = listener.local_addr().map_err(failed)?.to_string();
    Ok(Listening { address, listener })
}

/// Addresses for the controllers, which bind them when they start. The listeners keep them until then.
struct Reserved {
    controllers: Vec<ControllerSite>,
    _listeners: Vec<TcpListener>,
}

async fn reserve_addresses() -> Result<Reserved, LoadTestError> {
    let mut controllers = Vec::new();
    let mut listeners = Vec::new();
    for index in 0..CONTROLLERS {
        let front = listen().await?;
        let back = listen().await?;
        listeners.extend([front.listener, back.listener]);
        controllers.push(ControllerSite {
            node_name: format!("node-{index}"),
            zone: zone(index),
            front: front.address,
            back: back.address,
        });
    }
    Ok(Reserved { controllers, _listeners: listeners })
}

/// The zone of a controller.
pub fn zone(index: usize) -> String {
    format!("zone-{index}")
}

/// The only machine type.
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
        zones: (0..CONTROLLERS).map(zone).collect(),
    }
}

/// A cloud that has the fleet's type and nothing more to rent.
fn cloud() -> Cloud {
    let mut cloud = Cloud::default();
    cloud.catalog = Catalog { machine_types: vec![machine_type()] };
    cloud
}

/// What the key-value store takes, for itself and for the controllers' settings.
pub fn store_limits() -> StoreQuota {
    StoreQuota { value_kb: 16.0, txn_ops: 24, write_rps: 80.0 }
}

fn store() -> KeyValueStore {
    let mut store = KeyValueStore::default();
    store.limits = store_limits();
    store.requests_per_s = STORE_REQUESTS_PER_S;
    store.page_size = STORE_PAGE;
    store
}

/// Starts the owned machines, spread over the zones.
async fn start_machines(
    fleet: &Rc<Fleet>,
    cloud: &Rc<RefCell<Cloud>>,
    arguments: &Arguments,
) -> Result<(), LoadTestError> {
    let machine_type = machine_type();
    let lease_ms = (arguments.lease_s * 1000.0) as u64;
    for number in 0..arguments.machines as usize {
        let zone = zone(number % CONTROLLERS);
        let id = cloud.borrow_mut().create(0, Offer::on_demand(&machine_type.name, &zone), Some(0));
        let machine = Machine {
            id,
            machine_type: machine_type.name.clone(),
            zone,
            spot: false,
            capacity: machine_type.resources(),
            fetch_gb_per_s: machine_type.fetch_gb_per_s,
        };
        let listening = listen().await?;
        agents::start(fleet.clone(), Agent::new(machine, lease_ms, 0), listening.address, listening.listener);
    }
    Ok(())
}
