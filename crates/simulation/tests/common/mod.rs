//! A site with one controller, one zone and one machine type, for tests of a single controller.

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
}

impl Site {
    /// Creates a site whose controller has just started with `mem_mb` as its memory setting.
    pub fn new(mem_mb: f64) -> Site {
        let mut store = KeyValueStore::default();
        store.limits = limits();
        let started = Timestamp { monotonic_ms: 1, wall_ms: WALL_CLOCK_START_MS };
        let controller = Controller::new(settings(mem_mb), Tuning::default(), started, 7);
        Site { controller, cloud: cloud(), now: 1, store }
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
                let key = RequestKey { process: ProcessId { controller: 0, incarnation: 1 }, id };
                self.store.handle(self.now, key, request).map(|result| Command::Kv(id, result))
            }
            Effect::Cloud(id, request) => Some(Command::Cloud(id, self.cloud.handle(self.now, request).reply)),
            _ => None,
        }
    }

    /// Advances the time and returns the replies to watches that are due by then.
    pub fn advance(&mut self, ms: u64) -> Vec<Command> {
        self.now += ms;
        let answers = self.store.advance(self.now).into_iter();
        answers.map(|answer| Command::Kv(answer.request.id, Ok(answer.reply))).collect()
    }

    /// Adds an owned machine that runs from the beginning, and returns its name.
    #[allow(dead_code, reason = "only some of the tests that include this module use machines")]
    pub fn add_machine(&mut self) -> String {
        self.cloud.create(0, Offer::on_demand("f", "a"), Some(0))
    }
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
