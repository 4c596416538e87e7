//! Parser of the scenario language. Each line is a setting of the site, an entity (such as a machine type or a job), a
//! fault or an expectation.

mod expectation;
mod fault;
mod job;

use super::error::{ScenarioError, SyntaxError};
use super::model::{Capacity, ExpectationLine, OwnedMachines, Scenario, StoredValue, TimedFault};
use super::production_store;
use super::words::Words;
use crate::simulation::ProgramVersion;
use shaleshunt_core::settings::{ComputeAmount, StoreQuota, TeamQuota};
use shaleshunt_wire::cloud::MachineType;
use shaleshunt_wire::to_milli;

impl Scenario {
    /// Parses the text of a scenario; errors name `file` as its source.
    ///
    /// # Errors
    ///
    /// If a line is invalid: the first such line, with the word found and the words expected.
    pub fn parse(file: &str, text: &str) -> Result<Scenario, ScenarioError> {
        let mut scenario = Scenario::default();
        for (index, text) in text.lines().enumerate() {
            let line = index + 1;
            let mut words = Words::from_line(text);
            if !words.is_empty() {
                let parsed = scenario.parse_line(line, &mut words).and_then(|()| words.expect_end());
                parsed.map_err(|problem| ScenarioError { file: file.into(), line, problem })?;
            }
        }
        Ok(scenario)
    }

    fn parse_line(&mut self, line: usize, words: &mut Words) -> Result<(), SyntaxError> {
        match words.next("a kind of line")? {
            "seeds" => self.seeds = words.number("the number of seeds")?,
            "jitter" => self.jitter_ms = words.seconds_as_ms("the jitter in seconds")?,
            "until" => self.end_ms = words.seconds_as_ms("the end of the simulation in seconds")?,
            "machine-type" => self.machines.types.push(machine_type(words, &self.site.zones)?),
            "capacity" => self.machines.capacity.push(capacity(words)?),
            "machines" => self.machines.owned.push(owned_machines(words)?),
            "job" => self.jobs.extend(job::parse(words)?),
            "production-store" => production_store::load(&mut self.initial, &mut self.jobs),
            "completed" => self.initial.completed.push(words.text("a task")?),
            "store" => self.initial.store_entries.push(stored_value(words)?),
            "at" => {
                let at_ms = words.seconds_as_ms("the time of the fault in seconds")?;
                self.faults.push(TimedFault { at_ms, fault: fault::parse(words)? });
            }
            "expect" => self.expectations.push(ExpectationLine { line, expectation: expectation::parse(words)? }),
            setting => self.parse_setting(setting, words)?,
        }
        Ok(())
    }

    fn parse_setting(&mut self, setting: &str, words: &mut Words) -> Result<(), SyntaxError> {
        let site = &mut self.site;
        match setting {
            "controllers" => site.controllers = words.number("the number of controllers")?,
            "zones" => site.zones = words.take_rest(),
            "heartbeat-interval" => site.heartbeat_interval_s = words.number("the heartbeat interval in seconds")?,
            "lease" => site.lease_s = words.number("the lease duration in seconds")?,
            "cancel-within" => site.cancel_s = words.number("the time limit of cancellations in seconds")?,
            "store-writes-per-s" => site.store.writes_per_s = words.number("the number of writes per second")?,
            "store-requests-per-s" => site.store.requests_per_s = words.number("the number of requests per second")?,
            "transaction-writes" => {
                site.store.transaction_writes = words.number("the number of writes per transaction")?
            }
            "announced-store-limits" => site.store.announced_limits = Some(store_limits(words)?),
            "team" => {
                let name = words.text("a team")?;
                site.teams.insert(name, team(words)?);
            }
            "objective" => {
                let objective = site.objectives.entry(words.text("a class")?).or_default();
                match words.next("`start` or `finish`")? {
                    "start" => objective.start_s.push(words.number("the start objective in seconds")?),
                    "finish" => objective.finish_s.push(words.number("the finish objective in seconds")?),
                    other => return Err(SyntaxError::unexpected("`start` or `finish`", other)),
                }
            }
            "reuse-addresses" => self.machines.reuse_addresses = true,
            "previous-version" => site.version = ProgramVersion::Previous,
            other => return Err(SyntaxError::unexpected("a kind of line", other)),
        }
        Ok(())
    }
}

/// Parses `limit CPUS guarantee CPUS`.
fn team(words: &mut Words) -> Result<TeamQuota, SyntaxError> {
    words.expect_keyword("limit")?;
    let limit: f64 = words.number("the team's limit in CPUs")?;
    words.expect_keyword("guarantee")?;
    let guarantee: f64 = words.number("the team's guarantee in CPUs")?;
    let cores = |cpus| ComputeAmount { cores: to_milli(cpus), accelerators: 0 };
    Ok(TeamQuota { guarantee: cores(guarantee), limit: cores(limit) })
}

/// Parses `VALUE-KIB TRANSACTION-WRITES WRITES-PER-S`.
fn store_limits(words: &mut Words) -> Result<StoreQuota, SyntaxError> {
    Ok(StoreQuota {
        value_kb: words.number("the maximum size of a value in KiB")?,
        txn_ops: words.number("the number of writes per transaction")?,
        write_rps: words.number("the number of writes per second")?,
    })
}

/// Parses `NAME` and optional properties; those that are not given get the defaults below.
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
            "cores" => machine_type.cores = words.number("the number of cores")?,
            "memory" => machine_type.memory_gb = words.number("the memory in GB")?,
            "boot" => machine_type.boot_s = words.number("the boot time in seconds")?,
            "fetch" => machine_type.fetch_gb_per_s = words.number("the fetch rate in GB per second")?,
            other => return Err(SyntaxError::unexpected("a property of a machine type", other)),
        }
    }
    Ok(machine_type)
}

/// Parses `TYPE ZONE on-demand N spot N`.
fn capacity(words: &mut Words) -> Result<Capacity, SyntaxError> {
    let machine_type = words.text("a machine type")?;
    let zone = words.text("a zone")?;
    words.expect_keyword("on-demand")?;
    let on_demand = words.number("the number of on-demand machines")?;
    words.expect_keyword("spot")?;
    let spot = words.number("the number of spot machines")?;
    Ok(Capacity { machine_type, zone, on_demand, spot })
}

/// Parses `TYPE ZONE N`.
fn owned_machines(words: &mut Words) -> Result<OwnedMachines, SyntaxError> {
    Ok(OwnedMachines {
        machine_type: words.text("a machine type")?,
        zone: words.text("a zone")?,
        count: words.number("the number of machines")?,
    })
}

/// Parses `KEY JSON`; the value may contain spaces.
fn stored_value(words: &mut Words) -> Result<StoredValue, SyntaxError> {
    let key = words.text("a key")?;
    let text = words.take_rest().join(" ");
    match serde_json::from_str(&text) {
        Ok(value) => Ok(StoredValue { key, value }),
        Err(source) => Err(SyntaxError::InvalidJson { key, source }),
    }
}
