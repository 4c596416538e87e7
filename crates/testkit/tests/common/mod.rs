//! A site of one zone and one machine type, for tests that play a single controller.

use shaleshunt_core::Settings;
use shaleshunt_core::settings::{Limits, TeamQuota};
use shaleshunt_testkit::cloud::Cloud;
use shaleshunt_testkit::state::StateService;
use std::collections::BTreeMap;

/// Settings of its controller.
pub fn settings(mem_mb: f64) -> Settings {
    Settings {
        node_name: "n0".into(),
        location: "a".into(),
        zones: vec!["a".into()],
        teams: BTreeMap::from([("t".to_string(), TeamQuota::default())]),
        heartbeat_interval_s: 5.0,
        lease_s: 27.0,
        cancel_s: 52.0,
        kv_rps: 250.0,
        state: limits(),
        cloud_rps: 6.0,
        machine_list_lag_s: 3.0,
        mem_mb,
        ..Settings::default()
    }
}

/// Its state service.
pub fn state() -> StateService {
    let mut state = StateService::default();
    state.limits = limits();
    state
}

fn limits() -> Limits {
    Limits { value_kb: 16.0, txn_ops: 24, write_rps: 90.0 }
}

/// Its cloud, which has given out nothing yet.
pub fn cloud() -> Cloud {
    let mut cloud = Cloud::default();
    cloud.catalog.machine_types = serde_json::from_str(
        r#"[{"name":"f","cores":16.0,"cards":0.0,"ramGb":64.0,"localGb":50.0,"fetchGbPerS":0.5,"price":2.0,
        "marketPrice":0.5,"bootS":20.0,"halls":["a"]}]"#,
    )
    .unwrap();
    cloud
}
