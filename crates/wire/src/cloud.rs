//! Interface of the cloud: the catalog of machine types, scale-out, scale-in and the list of machines.

use crate::Resources;
use serde::{Deserialize, Serialize};

/// Machine type that the cloud offers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct MachineType {
    /// Name, unique within the catalog.
    pub name: String,
    /// CPUs.
    pub cores: f64,
    /// Accelerator cards; 0 if absent.
    #[serde(rename = "cards", default)]
    pub accelerators: f64,
    /// Memory in GB.
    #[serde(rename = "ramGb")]
    pub memory_gb: f64,
    /// Local disk space for images, in GB; 0 if absent.
    #[serde(default)]
    pub local_gb: f64,
    /// Rate at which a machine fetches images, in GB per second; 0 if absent.
    #[serde(default)]
    pub fetch_gb_per_s: f64,
    /// Price of an on-demand machine per hour; 0 if absent.
    #[serde(default)]
    pub price: f64,
    /// Price of a spot machine per hour; 0 if absent.
    #[serde(rename = "marketPrice", default)]
    pub spot_price: f64,
    /// Usual boot time in seconds; 0 if absent.
    #[serde(default)]
    pub boot_s: f64,
    /// Zones in which the type is offered; empty if absent.
    #[serde(rename = "halls", default)]
    pub zones: Vec<String>,
}

impl MachineType {
    /// Capacity of a machine of this type, rounded down so that capacity that does not exist is never allocated.
    pub fn resources(&self) -> Resources {
        let floor = |x: f64| (x * 1000.0 + 1e-6).floor().clamp(0.0, 9e15) as i64;
        Resources { cores: floor(self.cores), accelerators: floor(self.accelerators), memory: floor(self.memory_gb) }
    }
}

/// Response with the catalog of machine types.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Default)]
pub struct Catalog {
    /// Machine types in the order of the response.
    #[serde(rename = "frames")]
    pub machine_types: Vec<MachineType>,
}

impl Catalog {
    /// Machine type with this name; `None` if the catalog has none.
    pub fn machine_type(&self, name: &str) -> Option<&MachineType> {
        self.machine_types.iter().find(|machine_type| machine_type.name == name)
    }
}

/// Request for machines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScaleOutRequest {
    /// Name of the request, never reused, which makes retries idempotent.
    #[serde(rename = "hire")]
    pub request: String,
    /// Name of the machine type.
    #[serde(rename = "frame")]
    pub machine_type: String,
    /// Zone in which the machines are to run.
    #[serde(rename = "hall")]
    pub zone: String,
    /// Whether spot machines are requested; on-demand machines otherwise.
    #[serde(rename = "borrowed")]
    pub spot: bool,
    /// Number of machines, from 1 to [`MAX_MACHINES_PER_SCALE_OUT`](crate::MAX_MACHINES_PER_SCALE_OUT).
    pub count: u32,
}

/// Names of machines: the response to a scale-out and the body of a scale-in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineNames {
    /// Names of the machines.
    #[serde(rename = "looms")]
    pub machines: Vec<String>,
}

/// Status of a machine in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedMachineStatus {
    /// The machine is starting.
    Booting,
    /// The machine is up.
    Running,
    /// The machine has stopped on its own.
    Failed,
    /// Status that this version does not know.
    #[serde(other)]
    Unknown,
}

/// Machine in the list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ListedMachine {
    /// Name of the machine.
    #[serde(rename = "ref")]
    pub id: String,
    /// Address of its agent; empty if absent.
    #[serde(default)]
    pub endpoint: String,
    /// Name of its machine type.
    #[serde(rename = "frame")]
    pub machine_type: String,
    /// Zone in which it runs.
    #[serde(rename = "hall")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "borrowed")]
    pub spot: bool,
    /// Status as the cloud knows it.
    pub status: ListedMachineStatus,
    /// Time since the scale-out, in seconds; 0 if absent.
    #[serde(default)]
    pub age_s: f64,
}

/// Page of the list of machines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListPage {
    /// Machines, ordered by name.
    #[serde(rename = "looms")]
    pub machines: Vec<ListedMachine>,
    /// Whether further pages follow; false if absent.
    #[serde(default)]
    pub truncated: bool,
}
