//! Validates the fields of the settings file. All fields are checked, so that all problems are reported at once.

use super::file::{AgentTimings, Endpoints, KvLimits, NextKvLimits, Parameters, Peer, SettingsFile, TeamEntry};
use super::problem::{Allowed, Problem, Value};
use std::collections::BTreeSet;
use std::net::SocketAddrV4;

/// Upper limit of durations, one day.
const MAX_DURATION_S: f64 = 86_400.0;
/// Upper limit of rates, in requests or writes per second.
const MAX_RATE_PER_SECOND: f64 = 1e6;
/// A job's record without long lists takes less than this.
const MIN_VALUE_KIB: f64 = 1.0;
const MAX_VALUE_KIB: f64 = 65_536.0;
/// The end of a job takes three writes in one transaction.
const MIN_TRANSACTION_WRITES: usize = 3;
const MAX_TRANSACTION_WRITES: usize = 100_000;
const MAX_MEMORY_MIB: f64 = 1e6;
const MAX_CORES: f64 = 1024.0;
const MIN_OPEN_FILES: usize = 64;
const MAX_OPEN_FILES: usize = 10_000_000;
/// Exclusive upper bound of a team's CPUs and accelerators; the message of [`Allowed::Amounts`] names it.
const QUOTA_UPPER_BOUND: f64 = 1e9;

/// Returns the problems of a file in the order of the checks; none if the file can be used.
pub fn check(file: &SettingsFile) -> Vec<Problem> {
    let mut checker = Checker::default();
    checker.check_node(file);
    checker.check_endpoints(&file.endpoints);
    for peer in &file.peers {
        checker.check_peer(peer, &file.name);
    }
    checker.check_positive_numbers(&file.params);
    checker.check_agent_timings(&file.params.agents);
    checker.check_kv_limits(&file.params.kv);
    if let Some(next) = &file.params.kv.next {
        checker.check_next_kv_limits(next);
    }
    checker.check_list_age(file.params.cloud.max_list_age_s);
    checker.check_open_files(file.params.resources.max_open_files);
    checker.check_teams(&file.params.teams);
    checker.problems
}

#[derive(Default)]
struct Checker {
    problems: Vec<Problem>,
}

impl Checker {
    /// Records a problem unless `is_allowed`.
    fn require(&mut self, is_allowed: bool, field: &str, found: Value, allowed: Allowed) {
        if !is_allowed {
            self.problems.push(Problem { field: field.to_string(), found, allowed });
        }
    }

    fn check_node(&mut self, file: &SettingsFile) {
        self.require(!file.name.is_empty(), "label", Value::Text(file.name.clone()), Allowed::NotEmpty);
        self.check_address("front", &file.client_address);
        self.check_address("back", &file.peer_address);
    }

    fn check_endpoints(&mut self, endpoints: &Endpoints) {
        self.check_address("endpoints.cloud", &endpoints.cloud);
        self.check_address("endpoints.state", &endpoints.kv);
    }

    fn check_peer(&mut self, peer: &Peer, own_name: &str) {
        self.check_address(&format!("seeds.{}.address", peer.name), &peer.address);
        self.require(peer.name != own_name, "seeds", Value::Text(peer.name.clone()), Allowed::AnotherNode);
    }

    fn check_address(&mut self, field: &str, address: &str) {
        let is_address = address.parse::<SocketAddrV4>().is_ok();
        self.require(is_address, field, Value::Text(address.to_string()), Allowed::SocketAddress);
    }

    fn check_positive_numbers(&mut self, parameters: &Parameters) {
        let Parameters { agents, kv, cloud, resources, .. } = parameters;
        self.check_positive("params.workers.report_s", agents.heartbeat_interval_s, MAX_DURATION_S);
        self.check_positive("params.workers.lease_s", agents.lease_s, MAX_DURATION_S);
        self.check_positive("params.workers.cancel_s", agents.cancel_s, MAX_DURATION_S);
        self.check_positive("params.state.rps", kv.requests_per_s, MAX_RATE_PER_SECOND);
        self.check_positive("params.state.write_rps", kv.writes_per_s, MAX_RATE_PER_SECOND);
        self.check_positive("params.state.value_kb", kv.value_kib, MAX_VALUE_KIB);
        self.check_positive("params.cloud.rps", cloud.requests_per_s, MAX_RATE_PER_SECOND);
        self.check_positive("params.resources.mem_mb", resources.memory_mib, MAX_MEMORY_MIB);
        self.check_positive("params.resources.core_share", resources.cores, MAX_CORES);
    }

    fn check_positive(&mut self, field: &str, number: f64, max: f64) {
        let found = Value::Number(number);
        if is_positive(number) {
            self.require(number <= max, field, found, Allowed::AtMost(max));
        } else {
            self.require(false, field, found, Allowed::Positive);
        }
    }

    fn check_agent_timings(&mut self, timings: &AgentTimings) {
        let AgentTimings { heartbeat_interval_s, lease_s, cancel_s } = *timings;
        let outlasts_heartbeat = lease_s > heartbeat_interval_s;
        let allowed = Allowed::LongerThan("report_s");
        self.require(outlasts_heartbeat, "params.workers.lease_s", Value::Number(lease_s), allowed);
        let allowed = Allowed::LongerThan("lease_s");
        self.require(cancel_s > lease_s, "params.workers.cancel_s", Value::Number(cancel_s), allowed);
    }

    fn check_kv_limits(&mut self, limits: &KvLimits) {
        self.check_transaction_writes("params.state.txn_ops", limits.transaction_writes);
        let found = Value::Number(limits.value_kib);
        let is_large_enough = limits.value_kib >= MIN_VALUE_KIB;
        self.require(is_large_enough, "params.state.value_kb", found, Allowed::AtLeast(MIN_VALUE_KIB));
    }

    fn check_next_kv_limits(&mut self, next: &NextKvLimits) {
        if let Some(rate) = next.writes_per_s {
            let is_allowed = is_positive(rate) && rate <= MAX_RATE_PER_SECOND;
            let allowed = Allowed::PositiveUpTo(MAX_RATE_PER_SECOND);
            self.require(is_allowed, "params.state.next.write_rps", Value::Number(rate), allowed);
        }
        if let Some(kib) = next.value_kib {
            let is_allowed = (MIN_VALUE_KIB..=MAX_VALUE_KIB).contains(&kib);
            let allowed = Allowed::Range { from: MIN_VALUE_KIB, to: MAX_VALUE_KIB };
            self.require(is_allowed, "params.state.next.value_kb", Value::Number(kib), allowed);
        }
        if let Some(writes) = next.transaction_writes {
            self.check_transaction_writes("params.state.next.txn_ops", writes);
        }
    }

    fn check_transaction_writes(&mut self, field: &str, writes: usize) {
        let is_allowed = (MIN_TRANSACTION_WRITES..=MAX_TRANSACTION_WRITES).contains(&writes);
        let allowed = Allowed::IntegerRange { from: MIN_TRANSACTION_WRITES, to: MAX_TRANSACTION_WRITES };
        self.require(is_allowed, field, Value::Integer(writes), allowed);
    }

    fn check_list_age(&mut self, seconds: f64) {
        let is_allowed = (0.0..=MAX_DURATION_S).contains(&seconds);
        let allowed = Allowed::Range { from: 0.0, to: MAX_DURATION_S };
        self.require(is_allowed, "params.cloud.list_lag_s", Value::Number(seconds), allowed);
    }

    fn check_open_files(&mut self, files: usize) {
        let is_allowed = (MIN_OPEN_FILES..=MAX_OPEN_FILES).contains(&files);
        let allowed = Allowed::IntegerRange { from: MIN_OPEN_FILES, to: MAX_OPEN_FILES };
        self.require(is_allowed, "params.resources.fd_limit", Value::Integer(files), allowed);
    }

    fn check_teams(&mut self, teams: &[TeamEntry]) {
        let mut names = BTreeSet::new();
        for team in teams {
            let field = format!("params.teams.{}", team.name);
            let amounts = [team.guaranteed_cpus, team.max_cpus, team.guaranteed_gpus, team.max_gpus];
            let out_of_bounds = amounts.into_iter().find(|amount| !(0.0..QUOTA_UPPER_BOUND).contains(amount));
            if let Some(out_of_bounds) = out_of_bounds {
                self.require(false, &field, Value::Number(out_of_bounds), Allowed::Amounts);
            }
            let is_new = names.insert(team.name.as_str());
            self.require(is_new, &field, Value::Text(team.name.clone()), Allowed::UniqueName);
        }
    }
}

fn is_positive(number: f64) -> bool {
    number.is_finite() && number > 0.0
}
