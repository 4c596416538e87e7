//! Converts a valid settings file into the settings of the core and of the network.

use super::PlatformSettings;
use super::file::{KvLimits, Objective, ObjectiveKind, Peer, SettingsFile, TeamEntry};
use shaleshunt_core::settings::{ComputeAmount, ServiceObjective, Settings, StoreQuota, TeamQuota};
use shaleshunt_net::{NetworkConfig, PeerAddress};
use shaleshunt_wire::to_milli;
use std::collections::BTreeMap;

/// Applies to objectives without a multiple: the job has to complete by its deadline.
const DEFAULT_DEADLINE_MULTIPLE: f64 = 1.0;

/// Converts a file that `validation` has found valid.
pub fn convert(file: SettingsFile) -> PlatformSettings {
    let settings = settings(&file);
    PlatformSettings { settings, network: network(file) }
}

fn settings(file: &SettingsFile) -> Settings {
    let parameters = &file.params;
    Settings {
        node_name: file.name.clone(),
        zone: file.zone.clone(),
        peers: file.peers.iter().map(|peer| (peer.name.clone(), peer.zone.clone())).collect(),
        zones: parameters.zones.clone(),
        teams: parameters.teams.iter().map(|entry| (entry.name.clone(), team(entry))).collect(),
        objectives: objectives_by_class(&parameters.objectives),
        heartbeat_interval_s: parameters.agents.heartbeat_interval_s,
        lease_s: parameters.agents.lease_s,
        cancel_s: parameters.agents.cancel_s,
        kv_rps: parameters.kv.requests_per_s,
        store_quota: present_limits(&parameters.kv),
        next_store_quota: next_limits(&parameters.kv),
        cloud_rps: parameters.cloud.requests_per_s,
        machine_list_lag_s: parameters.cloud.max_list_age_s,
        mem_mb: parameters.resources.memory_mib,
        core_share: parameters.resources.cores,
        sockets: parameters.resources.max_open_files,
    }
}

fn network(file: SettingsFile) -> NetworkConfig {
    let address = |peer: Peer| PeerAddress { name: peer.name, address: peer.address };
    NetworkConfig {
        client_address: file.client_address,
        peer_address: file.peer_address,
        peers: file.peers.into_iter().map(address).collect(),
        kv_address: file.endpoints.kv,
        cloud_address: file.endpoints.cloud,
        max_sockets: file.params.resources.max_open_files,
    }
}

fn team(entry: &TeamEntry) -> TeamQuota {
    TeamQuota {
        guarantee: compute_amount(entry.guaranteed_cpus, entry.guaranteed_gpus),
        limit: compute_amount(entry.max_cpus, entry.max_gpus),
    }
}

fn compute_amount(cpus: f64, gpus: f64) -> ComputeAmount {
    ComputeAmount { cores: to_milli(cpus), accelerators: to_milli(gpus) }
}

/// Groups the objectives by class. Objectives without a class or of an unknown kind are ignored.
fn objectives_by_class(objectives: &[Objective]) -> BTreeMap<String, ServiceObjective> {
    let mut by_class: BTreeMap<String, ServiceObjective> = BTreeMap::new();
    for objective in objectives {
        let Some(class) = &objective.class else { continue };
        let class_objective = by_class.entry(class.clone()).or_default();
        match objective.kind {
            ObjectiveKind::Start => class_objective.start_s.extend(objective.within_s),
            ObjectiveKind::Finish => class_objective.finish_s.extend(objective.within_s),
            ObjectiveKind::Deadline => {
                class_objective
                    .deadline_multiples
                    .push(objective.deadline_multiple.unwrap_or(DEFAULT_DEADLINE_MULTIPLE));
            }
            ObjectiveKind::Unknown => {}
        }
    }
    by_class
}

/// The key-value store's present limits.
fn present_limits(kv: &KvLimits) -> StoreQuota {
    StoreQuota { value_kb: kv.value_kib, txn_ops: kv.transaction_writes, write_rps: kv.writes_per_s }
}

/// The key-value store's announced limits. A limit that is absent from `next` stays as it is; `None` without `next`.
fn next_limits(kv: &KvLimits) -> Option<StoreQuota> {
    let next = kv.next.as_ref()?;
    Some(StoreQuota {
        value_kb: next.value_kib.unwrap_or(kv.value_kib),
        txn_ops: next.transaction_writes.unwrap_or(kv.transaction_writes),
        write_rps: next.writes_per_s.unwrap_or(kv.writes_per_s),
    })
}
