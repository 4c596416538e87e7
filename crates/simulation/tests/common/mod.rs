//! A site with one controller, one zone and one machine type, for tests of a single controller.

#[allow(dead_code, reason = "only some of the tests that include this module test a leader with a machine")]
pub mod leader;

use shaleshunt_core::settings::{StoreQuota, TeamQuota};
use shaleshunt_core::{Command, Controller, Effect, Settings, Timestamp, Tuning};
use shaleshunt_simulation::cloud::{Cloud, Offer};
use shaleshunt_simulation::process::ProcessId;
use shaleshunt_simulation::store::{KeyValueStore, RequestKey};
use std::collections::BTreeMap;

/// Wall-clock time at the start of the simulation, in ms since the Unix epoch.
const WALL_CLOCK_START_MS: u64 = 1_700_000_000_000;

/// A controller with its key-value store and cloud, in simulated time.
pub struct Site {
    /// Controller under test.
    pub controller: Controller,
    /// Simulated cloud; without machines until a test adds some or the controller requests some.
    pub cloud: Cloud,
    /// Time since the start of the simulation, in ms.
    pub now: u64,
    store: KeyValueStore,
    /// Number of the controller's process, counted from 1.
    incarnation: u32,
    mem_mb: f64,
}

impl Site {
    /// Creates a site whose controller has just started with `mem_mb` as its memory setting.
    pub fn new(mem_mb: f64) -> Site {
        let mut store = KeyValueStore::default();
        store.limits = limits();
        Site { controller: start(mem_mb, 1, 1), cloud: cloud(), now: 1, store, incarnation: 1, mem_mb }
    }

    /// Ends the controller and starts it again.
    #[allow(dead_code, reason = "only some of the tests that include this module restart the controller")]
    pub fn restart(&mut self) {
        self.incarnation += 1;
        self.controller = start(self.mem_mb, self.now, self.incarnation);
    }

    /// Writes a key to the store, as another controller does.
    #[allow(dead_code, reason = "only some of the tests that include this module write to the store")]
    pub fn put(&mut self, key: &str, value: serde_json::Value) {
        self.store.put(key, value);
    }

    /// Keys in the store that start with `prefix`.
    #[allow(dead_code, reason = "only some of the tests that include this module read the store")]
    pub fn stored(&self, prefix: &str) -> Vec<String> {
        self.store.entries_with_prefix(prefix).into_iter().map(|(key, _)| key).collect()
    }

    /// Passes a batch of commands to the controller and returns the effects that it requests.
    pub fn step(&mut self, commands: Vec<Command>) -> Vec<Effect> {
        let now = Timestamp { monotonic_ms: self.now, wall_ms: WALL_CLOCK_START_MS + self.now };
        self.controller.step(now, commands)
    }

    /// Executes an effect that is a request to the store or the cloud, and returns the reply. `None` if the effect is
    /// another one or the store has no reply yet.
    pub fn serve(&mut self, effect: Effect) -> Option<Command> {
        match effect {
            Effect::Kv(id, request, _) => {
                let key = RequestKey { process: self.process(), id };
                self.store.handle(self.now, key, request).map(|result| Command::Kv(id, result))
            }
            Effect::Cloud(id, request) => Some(Command::Cloud(id, self.cloud.handle(self.now, request).reply)),
            _ => None,
        }
    }

    /// Advances the time and returns the replies to watches that are due by then.
    pub fn advance(&mut self, ms: u64) -> Vec<Command> {
        self.now += ms;
        let process = self.process();
        let answers = self.store.advance(self.now).into_iter().filter(|answer| answer.request.process == process);
        answers.map(|answer| Command::Kv(answer.request.id, Ok(answer.reply))).collect()
    }

    fn process(&self) -> ProcessId {
        ProcessId { controller: 0, incarnation: self.incarnation }
    }

    /// Adds an owned machine that runs from the beginning, and returns its name.
    #[allow(dead_code, reason = "only some of the tests that include this module use machines")]
    pub fn add_machine(&mut self) -> String {
        self.cloud.create(0, Offer::on_demand("f", "a"), Some(0))
    }
}

fn start(mem_mb: f64, now: u64, incarnation: u32) -> Controller {
    let started = Timestamp { monotonic_ms: now, wall_ms: WALL_CLOCK_START_MS + now };
    Controller::new(settings(mem_mb), Tuning::default(), started, 6 + u64::from(incarnation))
}

fn settings(mem_mb: f64) -> Settings {
    Settings {
        node_name: "n0".into(),
        zone: "a".into(),
        zones: vec!["a".into()],
        teams: BTreeMap::from([("t".to_string(), TeamQuota::default())]),
        heartbeat_interval_s: 5.0,
        lease_s: 27.0,
        cancel_s: 52.0,
        kv_rps: 250.0,
        store_quota: limits(),
        cloud_rps: 6.0,
        machine_list_lag_s: 3.0,
        mem_mb,
        ..Settings::default()
    }
}

fn limits() -> StoreQuota {
    StoreQuota { value_kb: 16.0, txn_ops: 24, write_rps: 90.0 }
}

fn cloud() -> Cloud {
    let mut cloud = Cloud::default();
    cloud.catalog.machine_types = serde_json::from_str(
        r#"[{"name":"f","cores":16.0,"cards":0.0,"ramGb":64.0,"localGb":50.0,"fetchGbPerS":0.5,"price":2.0,
        "marketPrice":0.5,"bootS":20.0,"halls":["a"]}]"#,
    )
    .unwrap();
    cloud
}
