//! Records of machines: blocks, and single machines in the format of version 0.1.

use serde::{Deserialize, Serialize};
use shaleshunt_wire::{AgentEpoch, Attempt};
use std::collections::BTreeMap;

/// A machine in a block's record.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineRecord {
    /// Machine type.
    #[serde(rename = "f")]
    pub machine_type: String,
    /// Whether the machine is a spot instance.
    #[serde(rename = "b")]
    pub spot: bool,
    /// Whether the machine is owned, in which case it is never returned for idleness.
    #[serde(rename = "o")]
    pub owned: bool,
    /// Address of the agent. Empty if unknown.
    #[serde(rename = "e")]
    pub endpoint: String,
    /// Agent epoch when the record was written.
    #[serde(rename = "s")]
    pub agent_epoch: AgentEpoch,
    /// Time when the machine was rented (ms, wall clock).
    #[serde(rename = "t")]
    pub rented_at_ms: u64,
    /// Images cached on the machine, as indexes into the block's list of images. Empty if not recorded.
    #[serde(rename = "i", default)]
    pub images: Vec<u32>,
}

/// An image, stored as an array of name and size.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(from = "(String, f64)", into = "(String, f64)")]
pub struct ImageRecord {
    /// Name of the image.
    pub name: String,
    /// Size in GB.
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

/// Record of a machine block: machines of one zone that are either all owned or all rented. With blocks, a new leader
/// reads a few dozen keys, and renting fifty machines costs one write or two.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct BlockRecord {
    /// Zone of the machines.
    #[serde(rename = "z")]
    pub zone: String,
    /// Images cached on the machines. Empty if not recorded.
    #[serde(rename = "i", default)]
    pub images: Vec<ImageRecord>,
    /// Machines by name.
    #[serde(rename = "m")]
    pub machines: BTreeMap<String, MachineRecord>,
}

/// Record of a machine and its placements in the format of version 0.1.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct V01MachineRecord {
    /// Machine type.
    #[serde(rename = "f")]
    pub machine_type: String,
    /// Zone of the machine.
    #[serde(rename = "z")]
    pub zone: String,
    /// Whether the machine is a spot instance.
    #[serde(rename = "b")]
    pub spot: bool,
    /// Whether the machine is owned.
    #[serde(rename = "o")]
    pub owned: bool,
    /// Address of the agent. Empty if unknown.
    #[serde(rename = "e")]
    pub endpoint: String,
    /// Agent epoch that the placements are valid in.
    #[serde(rename = "s")]
    pub agent_epoch: AgentEpoch,
    /// Time when the machine was rented (ms, wall clock).
    #[serde(rename = "t")]
    pub rented_at_ms: u64,
    /// Placements of tasks on the machine.
    #[serde(rename = "p")]
    pub placements: Vec<V01PlacementRecord>,
}

/// A placement in the format of version 0.1, stored as an array of job, task and attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(String, u32, Attempt)", into = "(String, u32, Attempt)")]
pub struct V01PlacementRecord {
    /// ID of the job.
    pub job: String,
    /// Number of the task.
    pub task: u32,
    /// Attempt to run the task.
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
