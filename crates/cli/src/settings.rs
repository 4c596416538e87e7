//! Reads and checks the platform's settings and the operators' properties.

use serde::Deserialize;
use shaleshunt_core::settings::{
    ComputeAmount, Limits, ServiceObjective, Settings, TeamQuota, Tuning, newer_names, renamed_key,
};
use shaleshunt_net::Wiring;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::path::Path;

/// Everything that a controller is started with.
#[derive(Debug)]
pub struct Loaded {
    /// The platform's settings.
    pub settings: Settings,
    /// The operators' settings.
    pub tuning: Tuning,
    /// Addresses.
    pub wiring: Wiring,
    /// What an operator should change, though it works.
    pub warnings: Vec<String>,
}

/// Operators' properties as they were read.
#[derive(Debug, Default)]
pub struct Properties {
    /// The values.
    pub tuning: Tuning,
    /// What is wrong, one line a key.
    pub problems: Vec<String>,
    /// What an operator should change, though it works.
    pub warnings: Vec<String>,
}

#[derive(Deserialize)]
struct File {
    label: String,
    location: String,
    front: String,
    back: String,
    #[serde(default)]
    seeds: Vec<Seed>,
    endpoints: Endpoints,
    params: Params,
}

#[derive(Deserialize)]
struct Seed {
    label: String,
    #[serde(default)]
    location: String,
    address: String,
}

#[derive(Deserialize)]
struct Endpoints {
    cloud: String,
    state: String,
}

#[derive(Deserialize)]
struct Params {
    #[serde(default)]
    zones: Vec<String>,
    #[serde(default)]
    teams: Vec<TeamEntry>,
    #[serde(default)]
    objectives: Vec<Objective>,
    workers: Workers,
    state: State,
    cloud: Cloud,
    resources: Resources,
}

#[derive(Deserialize)]
struct TeamEntry {
    name: String,
    #[serde(default)]
    cpus: f64,
    #[serde(default)]
    cpus_max: f64,
    #[serde(default)]
    gpus: f64,
    #[serde(default)]
    gpus_max: f64,
}

#[derive(Deserialize)]
struct Objective {
    kind: String,
    #[serde(default)]
    class: Option<String>,
    #[serde(default)]
    within_s: Option<f64>,
    #[serde(default)]
    times: Option<f64>,
}

#[derive(Deserialize)]
struct Workers {
    report_s: f64,
    lease_s: f64,
    cancel_s: f64,
}

#[derive(Deserialize)]
struct State {
    rps: f64,
    write_rps: f64,
    value_kb: f64,
    txn_ops: usize,
    #[serde(default)]
    next: Option<StateNext>,
}

/// What is to come; what is not named stays.
#[derive(Deserialize)]
struct StateNext {
    write_rps: Option<f64>,
    value_kb: Option<f64>,
    txn_ops: Option<usize>,
}

#[derive(Deserialize)]
struct Cloud {
    rps: f64,
    list_lag_s: f64,
}

#[derive(Deserialize)]
struct Resources {
    #[serde(default = "whole_core")]
    core_share: f64,
    mem_mb: f64,
    fd_limit: usize,
}

fn whole_core() -> f64 {
    1.0
}

/// Longest time that a setting may name, in seconds, and other upper bounds.
const MOST_SECONDS: f64 = 86_400.0;
const MOST_PER_SECOND: f64 = 1e6;
const MOST_VALUE_KB: f64 = 65_536.0;
const MOST_TXN_OPS: usize = 100_000;
const MOST_MEM_MB: f64 = 1e6;
const MOST_SOCKETS: usize = 10_000_000;

/// Reads both files; all that is wrong, one line a field.
pub fn load(config: &Path, properties: Option<&Path>) -> Result<Loaded, Vec<String>> {
    let text = std::fs::read_to_string(config).map_err(|e| vec![format!("{}: {e}", config.display())])?;
    let Properties { tuning, mut problems, warnings } = match properties {
        None => Properties::default(),
        Some(path) => match std::fs::read(path) {
            Err(e) => Properties { problems: vec![format!("{}: {e}", path.display())], ..Properties::default() },
            Ok(bytes) => parse_properties(&bytes),
        },
    };
    match parse(&text) {
        Ok((settings, wiring)) if problems.is_empty() => Ok(Loaded { settings, tuning, wiring, warnings }),
        Ok(_) => Err(problems),
        Err(more) => {
            problems.extend(more);
            Err(problems)
        }
    }
}

/// Reads operators' properties.
pub fn parse_properties(bytes: &[u8]) -> Properties {
    let mut read = Properties::default();
    let map = match java_properties::read(bytes) {
        Ok(map) => map,
        Err(e) => {
            read.problems.push(format!("properties: {e}"));
            return read;
        }
    };
    let sorted: BTreeMap<String, String> = map.into_iter().collect();
    for (key, value) in &sorted {
        if let Some(new) = renamed_key(key) {
            if let Some(newer) = newer_names(key).find(|newer| sorted.contains_key(*newer)) {
                read.problems.push(given_twice(key, new, newer));
                continue;
            }
            read.warnings.push(format!("{key}: is called {new} now"));
        }
        if let Err(problem) = read.tuning.set(key, value) {
            read.problems.push(problem.to_string());
        }
    }
    read
}

/// The problem of a property that is given by an earlier name and by a newer one.
fn given_twice(earlier: &str, current: &str, newer: &str) -> String {
    if newer == current {
        return format!("{earlier}: is called {current} now, which is given too");
    }
    format!("{earlier}: is called {current} now, which is given too, as {newer}")
}

fn compute_amount(cpus: f64, gpus: f64) -> ComputeAmount {
    ComputeAmount { cores: shaleshunt_wire::to_milli(cpus), accelerators: shaleshunt_wire::to_milli(gpus) }
}

/// Reads the platform's settings.
pub fn parse(text: &str) -> Result<(Settings, Wiring), Vec<String>> {
    let file: File = toml::from_str(text).map_err(|e| {
        let line = e.span().map_or(0, |s| text[..s.start.min(text.len())].lines().count());
        vec![format!("line {line}: {}", e.message())]
    })?;
    let mut problems = Vec::new();
    let mut check = |ok: bool, field: &str, what: &str| {
        if !ok {
            problems.push(format!("{field}: {what}"));
        }
    };
    let address = |a: &str| a.parse::<SocketAddrV4>().is_ok();
    let p = &file.params;
    check(!file.label.is_empty(), "label", "must not be empty");
    check(address(&file.front), "front", "must be an IPv4 address with a port");
    check(address(&file.back), "back", "must be an IPv4 address with a port");
    check(address(&file.endpoints.cloud), "endpoints.cloud", "must be an IPv4 address with a port");
    check(address(&file.endpoints.state), "endpoints.state", "must be an IPv4 address with a port");
    for seed in &file.seeds {
        check(address(&seed.address), &format!("seeds.{}.address", seed.label), "must be an IPv4 address with a port");
        check(seed.label != file.label, "seeds", "must not name this node");
    }
    let positive = |x: f64| x.is_finite() && x > 0.0;
    for (x, most, field) in [
        (p.workers.report_s, MOST_SECONDS, "params.workers.report_s"),
        (p.workers.lease_s, MOST_SECONDS, "params.workers.lease_s"),
        (p.workers.cancel_s, MOST_SECONDS, "params.workers.cancel_s"),
        (p.state.rps, MOST_PER_SECOND, "params.state.rps"),
        (p.state.write_rps, MOST_PER_SECOND, "params.state.write_rps"),
        (p.state.value_kb, MOST_VALUE_KB, "params.state.value_kb"),
        (p.cloud.rps, MOST_PER_SECOND, "params.cloud.rps"),
        (p.resources.mem_mb, MOST_MEM_MB, "params.resources.mem_mb"),
        (p.resources.core_share, 1024.0, "params.resources.core_share"),
    ] {
        check(positive(x), field, "must be a positive number");
        check(!positive(x) || x <= most, field, &format!("must be at most {most}"));
    }
    check(p.workers.lease_s > p.workers.report_s, "params.workers.lease_s", "must be longer than report_s");
    check(p.workers.cancel_s > p.workers.lease_s, "params.workers.cancel_s", "must be longer than lease_s");
    // The leader's ends take three writes; a job's record without long lists takes less than 1 KiB.
    let ops = 3..=MOST_TXN_OPS;
    check(ops.contains(&p.state.txn_ops), "params.state.txn_ops", &format!("must be from 3 to {MOST_TXN_OPS}"));
    check(p.state.value_kb >= 1.0, "params.state.value_kb", "must be at least 1");
    if let Some(n) = &p.state.next {
        let rate = n.write_rps.is_none_or(|x| positive(x) && x <= MOST_PER_SECOND);
        check(rate, "params.state.next.write_rps", &format!("must be a positive number up to {MOST_PER_SECOND}"));
        let value = n.value_kb.is_none_or(|x| (1.0..=MOST_VALUE_KB).contains(&x));
        check(value, "params.state.next.value_kb", &format!("must be from 1 to {MOST_VALUE_KB}"));
        let most = format!("must be from 3 to {MOST_TXN_OPS}");
        check(n.txn_ops.is_none_or(|n| ops.contains(&n)), "params.state.next.txn_ops", &most);
    }
    let lag = (0.0..=MOST_SECONDS).contains(&p.cloud.list_lag_s);
    check(lag, "params.cloud.list_lag_s", &format!("must be from 0 to {MOST_SECONDS}"));
    let sockets = (64..=MOST_SOCKETS).contains(&p.resources.fd_limit);
    check(sockets, "params.resources.fd_limit", &format!("must be from 64 to {MOST_SOCKETS}"));
    let mut teams = BTreeMap::new();
    for t in &p.teams {
        let fine = [t.cpus, t.cpus_max, t.gpus, t.gpus_max].iter().all(|x| x.is_finite() && (0.0..1e9).contains(x));
        check(fine, &format!("params.teams.{}", t.name), "amounts must be numbers from 0");
        let team =
            TeamQuota { guarantee: compute_amount(t.cpus, t.gpus), limit: compute_amount(t.cpus_max, t.gpus_max) };
        check(teams.insert(t.name.clone(), team).is_none(), &format!("params.teams.{}", t.name), "named twice");
    }
    if !problems.is_empty() {
        return Err(problems);
    }
    let mut objectives: BTreeMap<String, ServiceObjective> = BTreeMap::new();
    for o in &p.objectives {
        let Some(class) = &o.class else { continue };
        let aim = objectives.entry(class.clone()).or_default();
        match o.kind.as_str() {
            "wait" => aim.start_s.extend(o.within_s),
            "finished" => aim.finish_s.extend(o.within_s),
            "deadline" => aim.deadline_multiples.push(o.times.unwrap_or(1.0)),
            _ => {}
        }
    }
    let settings = Settings {
        node_name: file.label,
        location: file.location,
        peers: file.seeds.iter().map(|s| (s.label.clone(), s.location.clone())).collect(),
        zones: p.zones.clone(),
        teams,
        objectives,
        heartbeat_interval_s: p.workers.report_s,
        lease_s: p.workers.lease_s,
        cancel_s: p.workers.cancel_s,
        kv_rps: p.state.rps,
        state_next: p.state.next.as_ref().map(|n| Limits {
            value_kb: n.value_kb.unwrap_or(p.state.value_kb),
            txn_ops: n.txn_ops.unwrap_or(p.state.txn_ops),
            write_rps: n.write_rps.unwrap_or(p.state.write_rps),
        }),
        state: Limits { value_kb: p.state.value_kb, txn_ops: p.state.txn_ops, write_rps: p.state.write_rps },
        cloud_rps: p.cloud.rps,
        machine_list_lag_s: p.cloud.list_lag_s,
        mem_mb: p.resources.mem_mb,
        core_share: p.resources.core_share,
        sockets: p.resources.fd_limit,
    };
    let wiring = Wiring {
        front: file.front,
        back: file.back,
        peers: file.seeds.into_iter().map(|s| (s.label, s.address)).collect(),
        state: file.endpoints.state,
        cloud: file.endpoints.cloud,
        sockets: p.resources.fd_limit,
    };
    Ok((settings, wiring))
}

#[cfg(test)]
mod tests;
