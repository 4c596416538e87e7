//! The language of scenarios: each line is a setting, something that exists or happens, or an expectation.

mod expectation;
mod fault;
mod job;

use super::error::{ScenarioError, SyntaxError};
use super::model::{Capacity, ExpectedLine, OwnedMachines, Scenario, StoredValue, TimedFault};
use super::production_store;
use super::words::Words;
use crate::simulation::Version;
use shaleshunt_core::settings::{ComputeAmount, StoreQuota, TeamQuota};
use shaleshunt_wire::cloud::MachineType;
use shaleshunt_wire::to_milli;

impl Scenario {
    /// Reads a scenario; `file` is named in errors.
    ///
    /// # Errors
    ///
    /// If a line is not understood: the first such line, with the word found and what was expected.
    pub fn parse(file: &str, text: &str) -> Result<Scenario, ScenarioError> {
        let mut scenario = Scenario::default();
        for (index, text) in text.lines().enumerate() {
            let line = index + 1;
            let mut words = Words::of_line(text);
            if !words.is_empty() {
                let read = scenario.read_line(line, &mut words).and_then(|()| words.end());
                read.map_err(|problem| ScenarioError { file: file.into(), line, problem })?;
            }
        }
        Ok(scenario)
    }

    fn read_line(&mut self, line: usize, words: &mut Words) -> Result<(), SyntaxError> {
        match words.next("the kind of line")? {
            "seeds" => self.seeds = words.number("seeds")?,
            "jitter" => self.jitter_ms = words.seconds_as_ms("jitter")?,
            "until" => self.until = words.seconds_as_ms("the end")?,
            "machine-type" => self.machines.types.push(machine_type(words, &self.site.zones)?),
            "capacity" => self.machines.capacity.push(capacity(words)?),
            "machines" => self.machines.owned.push(owned_machines(words)?),
            "job" => self.jobs.extend(job::read(words)?),
            "production-store" => production_store::load(&mut self.initial, &mut self.jobs),
            "completed" => self.initial.completed.push(words.text("a task")?),
            "store" => self.initial.store_entries.push(stored_value(words)?),
            "at" => {
                let at = words.seconds_as_ms("the time of a fault")?;
                self.faults.push(TimedFault { at, fault: fault::read(words)? });
            }
            "expect" => self.expectations.push(ExpectedLine { line, expectation: expectation::read(words)? }),
            setting => self.read_setting(setting, words)?,
        }
        Ok(())
    }

    fn read_setting(&mut self, setting: &str, words: &mut Words) -> Result<(), SyntaxError> {
        let site = &mut self.site;
        match setting {
            "controllers" => site.controllers = words.number("controllers")?,
            "zones" => site.zones = words.rest(),
            "heartbeat-interval" => site.heartbeat_interval_s = words.number("the heartbeat interval")?,
            "lease" => site.lease_s = words.number("the lease")?,
            "cancel-within" => site.cancel_s = words.number("the time for cancellations")?,
            "store-writes-per-s" => site.store.writes_per_s = words.number("writes a second")?,
            "store-requests-per-s" => site.store.requests_per_s = words.number("requests a second")?,
            "transaction-writes" => site.store.transaction_writes = words.number("writes in a transaction")?,
            "announced-store-limits" => site.store.announced_limits = Some(store_limits(words)?),
            "team" => {
                let name = words.text("a team")?;
                site.teams.insert(name, team(words)?);
            }
            "objective" => {
                let objective = site.objectives.entry(words.text("a class")?).or_default();
                match words.next("`start` or `finish`")? {
                    "start" => objective.start_s.push(words.number("seconds")?),
                    "finish" => objective.finish_s.push(words.number("seconds")?),
                    other => return Err(SyntaxError::unexpected("`start` or `finish`", other)),
                }
            }
            "previous-version" => site.version = Version::Previous,
            other => return Err(SyntaxError::unexpected("a kind of line", other)),
        }
        Ok(())
    }
}

/// `limit CPUS guarantee CPUS`
fn team(words: &mut Words) -> Result<TeamQuota, SyntaxError> {
    words.keyword("limit")?;
    let limit: f64 = words.number("the limit")?;
    words.keyword("guarantee")?;
    let guarantee: f64 = words.number("the guarantee")?;
    let cores = |cpus| ComputeAmount { cores: to_milli(cpus), accelerators: 0 };
    Ok(TeamQuota { guarantee: cores(guarantee), limit: cores(limit) })
}

/// `VALUE-KIB TRANSACTION-WRITES WRITES-PER-S`
fn store_limits(words: &mut Words) -> Result<StoreQuota, SyntaxError> {
    Ok(StoreQuota {
        value_kb: words.number("the longest value in KiB")?,
        txn_ops: words.number("writes in a transaction")?,
        write_rps: words.number("writes a second")?,
    })
}

fn machine_type(words: &mut Words, zones: &[String]) -> Result<MachineType, SyntaxError> {
    let mut machine_type = MachineType {
        name: words.text("a machine type")?,
        cores: 16.0,
        accelerators: 0.0,
        memory_gb: 64.0,
        local_gb: 50.0,
        fetch_gb_per_s: 0.5,
        price: 2.0,
        spot_price: 0.5,
        boot_s: 20.0,
        zones: zones.to_vec(),
    };
    while !words.is_empty() {
        match words.next("a property of a machine type")? {
            "cores" => machine_type.cores = words.number("cores")?,
            "memory" => machine_type.memory_gb = words.number("GB of memory")?,
            "boot" => machine_type.boot_s = words.number("seconds to boot")?,
            "fetch" => machine_type.fetch_gb_per_s = words.number("GB a second")?,
            other => return Err(SyntaxError::unexpected("a property of a machine type", other)),
        }
    }
    Ok(machine_type)
}

/// `TYPE ZONE on-demand N spot N`
fn capacity(words: &mut Words) -> Result<Capacity, SyntaxError> {
    let machine_type = words.text("a machine type")?;
    let zone = words.text("a zone")?;
    words.keyword("on-demand")?;
    let on_demand = words.number("machines on demand")?;
    words.keyword("spot")?;
    let spot = words.number("spot instances")?;
    Ok(Capacity { machine_type, zone, on_demand, spot })
}

/// `TYPE ZONE N`
fn owned_machines(words: &mut Words) -> Result<OwnedMachines, SyntaxError> {
    Ok(OwnedMachines {
        machine_type: words.text("a machine type")?,
        zone: words.text("a zone")?,
        count: words.number("machines")?,
    })
}

/// `KEY JSON`
fn stored_value(words: &mut Words) -> Result<StoredValue, SyntaxError> {
    let key = words.text("a key")?;
    let text = words.rest().join(" ");
    match serde_json::from_str(&text) {
        Ok(value) => Ok(StoredValue { key, value }),
        Err(source) => Err(SyntaxError::InvalidJson { key, source }),
    }
}
