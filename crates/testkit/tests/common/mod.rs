//! A site of one zone and one machine type, for tests that play a single controller.

use shaleshunt_core::Settings;
use shaleshunt_core::settings::{Limits, Team};
use shaleshunt_testkit::cloud::Cloud;
use shaleshunt_testkit::process::ProcessId;
use shaleshunt_testkit::store::{KeyValueStore, RequestKey};
use std::collections::BTreeMap;

/// Settings of its controller.
pub fn settings(mem_mb: f64) -> Settings {
    Settings {
        label: "n0".into(),
        location: "a".into(),
        zones: vec!["a".into()],
        teams: BTreeMap::from([("t".to_string(), Team::default())]),
        report_s: 5.0,
        lease_s: 27.0,
        cancel_s: 52.0,
        state_rps: 250.0,
        state: limits(),
        cloud_rps: 6.0,
        list_lag_s: 3.0,
        mem_mb,
        ..Settings::default()
    }
}

/// Its key-value store.
pub fn store() -> KeyValueStore {
    let mut store = KeyValueStore::default();
    store.limits = limits();
    store
}

/// A request of its only controller to the store.
pub fn request(id: u64) -> RequestKey {
    RequestKey { process: ProcessId { controller: 0, incarnation: 1 }, id }
}

fn limits() -> Limits {
    Limits { value_kb: 16.0, txn_ops: 24, write_rps: 90.0 }
}

/// Its cloud, which has given out nothing yet.
pub fn cloud() -> Cloud {
    let mut cloud = Cloud::default();
    cloud.catalog.frames = serde_json::from_str(
        r#"[{"name":"f","cores":16.0,"cards":0.0,"ramGb":64.0,"localGb":50.0,"fetchGbPerS":0.5,"price":2.0,
        "marketPrice":0.5,"bootS":20.0,"halls":["a"]}]"#,
    )
    .unwrap();
    cloud
}
