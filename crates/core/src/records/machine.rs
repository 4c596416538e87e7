//! Records of machines: blocks, and single machines as version 0.1 kept them.

use serde::{Deserialize, Serialize};
use shaleshunt_wire::{AgentEpoch, Attempt};
use std::collections::BTreeMap;

/// A machine in a block's record.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineRecord {
    /// Its type.
    #[serde(rename = "f")]
    pub machine_type: String,
    /// Whether it is a spot instance.
    #[serde(rename = "b")]
    pub spot: bool,
    /// Whether it is owned: never returned for idleness.
    #[serde(rename = "o")]
    pub owned: bool,
    /// Address.
    #[serde(rename = "e")]
    pub endpoint: String,
    /// Epoch of its agent when the record was written.
    #[serde(rename = "s")]
    pub agent_epoch: AgentEpoch,
    /// When it was rented, time of day in milliseconds.
    #[serde(rename = "t")]
    pub rented_at_ms: u64,
    /// Images held, by their place in the block's list.
    #[serde(rename = "i", default)]
    pub images: Vec<u32>,
}

/// An image and its size; an array of the two in the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(from = "(String, f64)", into = "(String, f64)")]
pub struct ImageRecord {
    /// Name.
    pub name: String,
    /// Size.
    pub gb: f64,
}

impl From<(String, f64)> for ImageRecord {
    fn from((name, gb): (String, f64)) -> ImageRecord {
        ImageRecord { name, gb }
    }
}

impl From<ImageRecord> for (String, f64) {
    fn from(image: ImageRecord) -> (String, f64) {
        (image.name, image.gb)
    }
}

/// Record of a block: machines of one zone, all owned or all rented, so that a new leader reads
/// some dozens of keys and renting fifty machines costs a write or two.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct BlockRecord {
    /// Zone.
    #[serde(rename = "z")]
    pub zone: String,
    /// Images that its machines hold.
    #[serde(rename = "i", default)]
    pub images: Vec<ImageRecord>,
    /// The machines by name.
    #[serde(rename = "m")]
    pub machines: BTreeMap<String, MachineRecord>,
}

/// Record of a machine as version 0.1 kept it, with its placements.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct V01MachineRecord {
    /// Its type.
    #[serde(rename = "f")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "z")]
    pub zone: String,
    /// Whether it is a spot instance.
    #[serde(rename = "b")]
    pub spot: bool,
    /// Whether it is owned.
    #[serde(rename = "o")]
    pub owned: bool,
    /// Address.
    #[serde(rename = "e")]
    pub endpoint: String,
    /// Epoch of the agent that the placements are for.
    #[serde(rename = "s")]
    pub agent_epoch: AgentEpoch,
    /// When it was rented, time of day in milliseconds.
    #[serde(rename = "t")]
    pub rented_at_ms: u64,
    /// Its placements.
    #[serde(rename = "p")]
    pub placements: Vec<V01PlacementRecord>,
}

/// A placement in a record of version 0.1; an array of the three in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(String, u32, Attempt)", into = "(String, u32, Attempt)")]
pub struct V01PlacementRecord {
    /// Job.
    pub job: String,
    /// Number of the task.
    pub task: u32,
    /// Attempt.
    pub attempt: Attempt,
}

impl From<(String, u32, Attempt)> for V01PlacementRecord {
    fn from((job, task, attempt): (String, u32, Attempt)) -> V01PlacementRecord {
        V01PlacementRecord { job, task, attempt }
    }
}

impl From<V01PlacementRecord> for (String, u32, Attempt) {
    fn from(placement: V01PlacementRecord) -> (String, u32, Attempt) {
        (placement.job, placement.task, placement.attempt)
    }
}
