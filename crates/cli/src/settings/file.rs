//! The platform's settings file as it is written. The file's own names are mapped to the code's here and
//! nowhere else. Fields that are not listed are ignored.

use serde::Deserialize;

/// The whole file.
#[derive(Debug, Deserialize)]
pub struct SettingsFile {
    /// Name of this node.
    #[serde(rename = "label")]
    pub name: String,
    /// Zone of this node.
    #[serde(rename = "location")]
    pub zone: String,
    /// Where users, workers and health checks connect.
    #[serde(rename = "front")]
    pub client_address: String,
    /// Where the other nodes connect.
    #[serde(rename = "back")]
    pub peer_address: String,
    /// The other nodes.
    #[serde(default, rename = "seeds")]
    pub peers: Vec<Peer>,
    /// Other services.
    pub endpoints: Endpoints,
    /// The deployment's parameters.
    pub params: Parameters,
}

/// Another node.
#[derive(Debug, Deserialize)]
pub struct Peer {
    /// Its name.
    #[serde(rename = "label")]
    pub name: String,
    /// Its zone.
    #[serde(default, rename = "location")]
    pub zone: String,
    /// Where it listens for its peers.
    pub address: String,
}

/// Addresses of other services.
#[derive(Debug, Deserialize)]
pub struct Endpoints {
    /// The cloud.
    pub cloud: String,
    /// The key-value store.
    #[serde(rename = "state")]
    pub kv: String,
}

/// Parameters of the deployment.
#[derive(Debug, Deserialize)]
pub struct Parameters {
    /// All zones.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Quotas of teams.
    #[serde(default)]
    pub teams: Vec<TeamEntry>,
    /// Service-level objectives.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Times of workers.
    pub workers: Workers,
    /// Limits of the key-value store.
    #[serde(rename = "state")]
    pub kv: KvLimits,
    /// Limits of the cloud.
    pub cloud: Cloud,
    /// Resources of this process.
    pub resources: Resources,
}

/// Quota of a team. Zero, as for what is not given, means none.
#[derive(Debug, Deserialize)]
pub struct TeamEntry {
    /// Name of the team.
    pub name: String,
    /// Guaranteed CPUs.
    #[serde(default, rename = "cpus")]
    pub guaranteed_cpus: f64,
    /// Most CPUs.
    #[serde(default, rename = "cpus_max")]
    pub max_cpus: f64,
    /// Guaranteed accelerators.
    #[serde(default, rename = "gpus")]
    pub guaranteed_gpus: f64,
    /// Most accelerators.
    #[serde(default, rename = "gpus_max")]
    pub max_gpus: f64,
}

/// A service-level objective.
#[derive(Debug, Deserialize)]
pub struct Objective {
    /// What is measured.
    pub kind: ObjectiveKind,
    /// The class of jobs; without one the objective is not used.
    #[serde(default)]
    pub class: Option<String>,
    /// Longest time, in seconds.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// Multiple of the deadline.
    #[serde(default, rename = "times")]
    pub deadline_multiple: Option<f64>,
}

/// What an objective measures.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(from = "String")]
pub enum ObjectiveKind {
    /// Time until a task starts.
    Start,
    /// Time until a job is done.
    Finish,
    /// End of a job by its deadline.
    Deadline,
    /// One that this version does not know, and does not use.
    Unknown,
}

impl From<String> for ObjectiveKind {
    fn from(written: String) -> ObjectiveKind {
        match written.as_str() {
            "wait" => ObjectiveKind::Start,
            "finished" => ObjectiveKind::Finish,
            "deadline" => ObjectiveKind::Deadline,
            _ => ObjectiveKind::Unknown,
        }
    }
}

/// Times of workers.
#[derive(Debug, Deserialize)]
pub struct Workers {
    /// Interval between heartbeats, in seconds.
    #[serde(rename = "report_s")]
    pub heartbeat_interval_s: f64,
    /// Duration of a worker's lease, in seconds.
    pub lease_s: f64,
    /// Time in which a cancelled job must be gone, in seconds.
    pub cancel_s: f64,
}

/// Limits of the key-value store.
#[derive(Debug, Deserialize)]
pub struct KvLimits {
    /// Requests per second.
    #[serde(rename = "rps")]
    pub requests_per_s: f64,
    /// Writes per second.
    #[serde(rename = "write_rps")]
    pub writes_per_s: f64,
    /// KiB per value.
    #[serde(rename = "value_kb")]
    pub value_kib: f64,
    /// Writes per transaction.
    #[serde(rename = "txn_ops")]
    pub transaction_writes: usize,
    /// Limits from some moment on, of which nobody tells.
    #[serde(default)]
    pub next: Option<NextKvLimits>,
}

/// Limits that are to come; what is not named stays.
#[derive(Debug, Deserialize)]
pub struct NextKvLimits {
    /// Writes per second.
    #[serde(rename = "write_rps")]
    pub writes_per_s: Option<f64>,
    /// KiB per value.
    #[serde(rename = "value_kb")]
    pub value_kib: Option<f64>,
    /// Writes per transaction.
    #[serde(rename = "txn_ops")]
    pub transaction_writes: Option<usize>,
}

/// Limits of the cloud.
#[derive(Debug, Deserialize)]
pub struct Cloud {
    /// Requests per second.
    #[serde(rename = "rps")]
    pub requests_per_s: f64,
    /// How old the list of machines may be, in seconds.
    #[serde(rename = "list_lag_s")]
    pub max_list_age_s: f64,
}

/// Resources of this process.
#[derive(Debug, Deserialize)]
pub struct Resources {
    /// Processor cores, or a share of one.
    #[serde(default = "one_core", rename = "core_share")]
    pub cores: f64,
    /// Memory in MiB.
    #[serde(rename = "mem_mb")]
    pub memory_mib: f64,
    /// Open files, and so sockets.
    #[serde(rename = "fd_limit")]
    pub max_open_files: usize,
}

fn one_core() -> f64 {
    1.0
}
