use super::*;
use crate::settings::{ComputeAmount, TeamQuota};
use std::collections::BTreeMap;

fn settings(core_share: f64, mem_mb: f64, sockets: usize) -> Settings {
    Settings { heartbeat_interval_s: 5.0, core_share, mem_mb, sockets, ..Settings::default() }
}

#[test]
fn insufficient_settings_are_reported_with_the_required_values() {
    assert!(insufficient_settings(&settings(0.2, 136.0, 2500), 4000).is_empty());
    let insufficient = insufficient_settings(&settings(0.06, 85.0, 1000), 4000);
    let fields: Vec<&str> = insufficient.iter().map(|s| s.setting).collect();
    assert_eq!(fields, ["params.resources.core_share", "params.resources.mem_mb", "params.resources.fd_limit"]);
    assert_eq!(insufficient[2].required, 1064.0);
    assert_eq!(
        insufficient[0].to_string(),
        "params.resources.core_share: 0.06 is too small for 4000 machines, which need at least 0.128"
    );
    assert!(insufficient_settings(&settings(0.06, 85.0, 3000), 1170).is_empty(), "a smaller fleet needs less");
}

#[test]
fn max_machines_follows_from_team_limits_and_the_smallest_type() {
    let text = r#"{"frames":[{"name":"f","cores":32.0,"cards":0.0,"ramGb":64.0,"localGb":1.0,"fetchGbPerS":1.0,
        "price":1.0,"marketPrice":1.0,"bootS":1.0,"halls":[]}]}"#;
    let catalog: Catalog = serde_json::from_str(text).unwrap();
    let team = |cores: i64| TeamQuota {
        limit: ComputeAmount { cores: cores * 1000, accelerators: 0 },
        ..TeamQuota::default()
    };
    let mut settings = settings(1.0, 1.0, 1);
    settings.teams = BTreeMap::from([("a".to_string(), team(64_000)), ("b".to_string(), team(64_010))]);
    assert_eq!(max_machines(&settings, &catalog), Some(4001));
    settings.teams.insert("c".into(), team(0));
    assert_eq!(max_machines(&settings, &catalog), None);
}
