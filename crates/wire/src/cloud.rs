//! The cloud's interface: types, hires, lists and returns.

use crate::Room;
use serde::{Deserialize, Serialize};

/// A machine type.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Frame {
    /// Name.
    pub name: String,
    /// CPUs.
    pub cores: f64,
    /// Cards.
    #[serde(default)]
    pub cards: f64,
    /// Memory.
    pub ram_gb: f64,
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
    #[serde(default)]
    pub market_price: f64,
    /// Usual boot time.
    #[serde(default)]
    pub boot_s: f64,
    /// Zones that have it.
    #[serde(rename = "halls", default)]
    pub zones: Vec<String>,
}

impl Frame {
    /// Room of an empty machine, rounded down so that nothing is promised that is not there.
    pub fn room(&self) -> Room {
        let floor = |x: f64| (x * 1000.0 + 1e-6).floor().clamp(0.0, 9e15) as i64;
        Room { cores: floor(self.cores), cards: floor(self.cards), ram: floor(self.ram_gb) }
    }
}

/// Answer of the catalogue.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Default)]
pub struct Catalog {
    /// Machine types.
    pub frames: Vec<Frame>,
}

impl Catalog {
    /// The type with this name.
    pub fn frame(&self, name: &str) -> Option<&Frame> {
        self.frames.iter().find(|f| f.name == name)
    }
}

/// A request for machines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hire {
    /// Name of the request, never used twice.
    pub hire: String,
    /// Type.
    pub frame: String,
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
pub enum ListedStatus {
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
pub struct Listed {
    /// Name.
    #[serde(rename = "ref")]
    pub id: String,
    /// Address.
    #[serde(default)]
    pub endpoint: String,
    /// Type.
    pub frame: String,
    /// Zone.
    #[serde(rename = "hall")]
    pub zone: String,
    /// Spot.
    #[serde(rename = "borrowed")]
    pub spot: bool,
    /// State.
    pub status: ListedStatus,
    /// Age since the hire.
    #[serde(default)]
    pub age_s: f64,
}

/// A page of the cloud's list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListPage {
    /// Machines in order of their names.
    #[serde(rename = "looms")]
    pub machines: Vec<Listed>,
    /// Whether there is more.
    #[serde(default)]
    pub truncated: bool,
}
