//! The cloud's interface: types, hires, lists and returns.

use crate::Resources;
use serde::{Deserialize, Serialize};

/// A machine type.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct MachineType {
    /// Name.
    pub name: String,
    /// CPUs.
    pub cores: f64,
    /// Cards.
    #[serde(rename = "cards", default)]
    pub accelerators: f64,
    /// Memory.
    #[serde(rename = "ramGb")]
    pub memory_gb: f64,
    /// Space for images.
    #[serde(default)]
    pub local_gb: f64,
    /// Image fetch rate.
    #[serde(default)]
    pub fetch_gb_per_s: f64,
    /// Price per hour.
    #[serde(default)]
    pub price: f64,
    /// Price per hour when it may be taken back.
    #[serde(rename = "marketPrice", default)]
    pub spot_price: f64,
    /// Usual boot time.
    #[serde(default)]
    pub boot_s: f64,
    /// Zones that have it.
    #[serde(rename = "halls", default)]
    pub zones: Vec<String>,
}

impl MachineType {
    /// Room of an empty machine, rounded down so that nothing is promised that is not there.
    pub fn resources(&self) -> Resources {
        let floor = |x: f64| (x * 1000.0 + 1e-6).floor().clamp(0.0, 9e15) as i64;
        Resources { cores: floor(self.cores), accelerators: floor(self.accelerators), memory: floor(self.memory_gb) }
    }
}

/// Answer of the catalogue.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Default)]
pub struct Catalog {
    /// Machine types.
    #[serde(rename = "frames")]
    pub machine_types: Vec<MachineType>,
}

impl Catalog {
    /// The type with this name.
    pub fn machine_type(&self, name: &str) -> Option<&MachineType> {
        self.machine_types.iter().find(|f| f.name == name)
    }
}

/// A request for machines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScaleOutRequest {
    /// Name of the request, never used twice.
    #[serde(rename = "hire")]
    pub request: String,
    /// Type.
    #[serde(rename = "frame")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "hall")]
    pub zone: String,
    /// Spot.
    #[serde(rename = "borrowed")]
    pub spot: bool,
    /// How many.
    pub count: u32,
}

/// Machine names: a hire's answer and a return's body.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineNames {
    /// Names.
    #[serde(rename = "looms")]
    pub machines: Vec<String>,
}

/// State of a listed machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedMachineStatus {
    /// Not up yet.
    Booting,
    /// Up.
    Running,
    /// Stopped on its own.
    Failed,
    /// A state that this version does not know.
    #[serde(other)]
    Unknown,
}

/// A machine in the cloud's list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ListedMachine {
    /// Name.
    #[serde(rename = "ref")]
    pub id: String,
    /// Address.
    #[serde(default)]
    pub endpoint: String,
    /// Type.
    #[serde(rename = "frame")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "hall")]
    pub zone: String,
    /// Spot.
    #[serde(rename = "borrowed")]
    pub spot: bool,
    /// State.
    pub status: ListedMachineStatus,
    /// Age since the hire.
    #[serde(default)]
    pub age_s: f64,
}

/// A page of the cloud's list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListPage {
    /// Machines in order of their names.
    #[serde(rename = "looms")]
    pub machines: Vec<ListedMachine>,
    /// Whether there is more.
    #[serde(default)]
    pub truncated: bool,
}
