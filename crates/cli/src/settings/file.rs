//! Format of the platform's settings file. The field names of the file are mapped to those of the code here and nowhere
//! else. Unknown fields are ignored.

use serde::Deserialize;

/// The settings file.
#[derive(Debug, Deserialize)]
pub struct SettingsFile {
    /// Name of this node; must not be empty.
    #[serde(rename = "label")]
    pub name: String,
    /// Zone of this node.
    #[serde(rename = "location")]
    pub zone: String,
    /// Listening address for users, agents and health checks: an IPv4 address with a port.
    #[serde(rename = "front")]
    pub client_address: String,
    /// Listening address for the other controllers: an IPv4 address with a port.
    #[serde(rename = "back")]
    pub peer_address: String,
    /// The other controllers; none by default.
    #[serde(default, rename = "seeds")]
    pub peers: Vec<Peer>,
    /// Addresses of other services.
    pub endpoints: Endpoints,
    /// Parameters of the deployment.
    pub params: Parameters,
}

/// Another controller.
#[derive(Debug, Deserialize)]
pub struct Peer {
    /// Name of its node.
    #[serde(rename = "label")]
    pub name: String,
    /// Zone of its node; empty by default.
    #[serde(default, rename = "location")]
    pub zone: String,
    /// Its listening address for peers.
    pub address: String,
}

/// Addresses of other services, each an IPv4 address with a port.
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
    /// Names of all zones; none by default.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Quotas of teams; none by default.
    #[serde(default)]
    pub teams: Vec<TeamEntry>,
    /// Service-level objectives; none by default.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Timings of the agents.
    #[serde(rename = "workers")]
    pub agents: AgentTimings,
    /// Limits of the key-value store.
    #[serde(rename = "state")]
    pub kv: KvLimits,
    /// Limits of the cloud.
    pub cloud: CloudLimits,
    /// Resources that this process may use.
    pub resources: Resources,
}

/// Quota of a team. Each amount is zero by default; zero stands for no guarantee or for no limit.
#[derive(Debug, Deserialize)]
pub struct TeamEntry {
    /// Name of the team; unique in the file.
    pub name: String,
    /// CPUs that the team gets before other teams exceed their guarantees.
    #[serde(default, rename = "cpus")]
    pub guaranteed_cpus: f64,
    /// Most CPUs that the team may use.
    #[serde(default, rename = "cpus_max")]
    pub max_cpus: f64,
    /// Accelerators that the team gets before other teams exceed their guarantees.
    #[serde(default, rename = "gpus")]
    pub guaranteed_gpus: f64,
    /// Most accelerators that the team may use.
    #[serde(default, rename = "gpus_max")]
    pub max_gpus: f64,
}

/// A service-level objective.
#[derive(Debug, Deserialize)]
pub struct Objective {
    /// What is measured.
    pub kind: ObjectiveKind,
    /// The class of jobs. An objective without a class is ignored.
    #[serde(default)]
    pub class: Option<String>,
    /// Time limit in seconds, for the kinds `wait` and `finished`. Without it such an objective is ignored.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// Multiple of the deadline, for the kind `deadline`; 1 by default.
    #[serde(default, rename = "times")]
    pub deadline_multiple: Option<f64>,
}

/// What an objective measures.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(from = "String")]
pub enum ObjectiveKind {
    /// Time until a task starts (`wait`).
    Start,
    /// Time until a job completes (`finished`).
    Finish,
    /// Completion of a job within a multiple of its deadline (`deadline`).
    Deadline,
    /// Any kind that this version does not know. Such objectives are ignored.
    Unknown,
}

impl From<String> for ObjectiveKind {
    fn from(kind: String) -> ObjectiveKind {
        match kind.as_str() {
            "wait" => ObjectiveKind::Start,
            "finished" => ObjectiveKind::Finish,
            "deadline" => ObjectiveKind::Deadline,
            _ => ObjectiveKind::Unknown,
        }
    }
}

/// Timings of the agents.
#[derive(Debug, Deserialize)]
pub struct AgentTimings {
    /// Interval between an agent's heartbeats, in seconds.
    #[serde(rename = "report_s")]
    pub heartbeat_interval_s: f64,
    /// Duration of a machine lease, in seconds; longer than the heartbeat interval.
    pub lease_s: f64,
    /// Time within which a cancelled job must have stopped everywhere, in seconds; longer than a machine lease.
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
    /// Limits that come into force at a time that is not announced; `None` if no change is announced.
    #[serde(default)]
    pub next: Option<NextKvLimits>,
}

/// Announced limits of the key-value store. A limit that is absent stays as it is.
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
pub struct CloudLimits {
    /// Requests per second.
    #[serde(rename = "rps")]
    pub requests_per_s: f64,
    /// Longest time by which the cloud's list of machines lags behind, in seconds.
    #[serde(rename = "list_lag_s")]
    pub max_list_age_s: f64,
}

/// Resources that this process may use.
#[derive(Debug, Deserialize)]
pub struct Resources {
    /// Processor cores, as a decimal number; 1 by default.
    #[serde(default = "one_core", rename = "core_share")]
    pub cores: f64,
    /// Memory in MiB.
    #[serde(rename = "mem_mb")]
    pub memory_mib: f64,
    /// Limit of open files, which include sockets.
    #[serde(rename = "fd_limit")]
    pub max_open_files: usize,
}

fn one_core() -> f64 {
    1.0
}
