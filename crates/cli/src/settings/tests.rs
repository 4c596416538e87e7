use super::error::SettingsErrors;
use super::file::SettingsFile;
use super::problem::{Allowed, Problem, Value};
use super::properties::{self, Properties};
use super::{PlatformSettings, parse, validation};
use shaleshunt_core::settings::{ServiceObjective, StoreQuota, Tuning};
use std::collections::BTreeSet;
use std::path::Path;

/// The errors as an operator sees them, one per line.
fn lines(errors: &SettingsErrors) -> Vec<String> {
    errors.lines().to_string().lines().map(String::from).collect()
}

fn problems_of(text: &str) -> Vec<String> {
    lines(&parse(text).unwrap_err())
}

fn example() -> String {
    std::fs::read_to_string(repository_path("examples/settings.toml")).unwrap()
}

fn repository_path(path: &str) -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..").join(path)
}

#[test]
fn the_sample_properties_file_sets_every_key_to_its_default() {
    let bytes = std::fs::read(repository_path("deploy/shaleshunt.properties")).unwrap();
    let Properties { tuning, errors, warnings } = properties::parse(&bytes);
    assert_eq!(tuning, Tuning::default());
    assert!(errors.is_empty() && warnings.is_empty(), "{errors:?} {warnings:?}");
    let keys: BTreeSet<String> = java_properties::read(&bytes[..]).unwrap().into_keys().collect();
    let known = Tuning::default().entries().into_iter().map(|e| e.key.to_string()).collect();
    assert_eq!(keys, known);
}

#[test]
fn invalid_properties_are_named_in_the_errors() {
    let text = b"rent.round-s=NaN\nno.such=1\nrent.idle-s=-3\nrent.plain-wait-s = 5\n";
    let problems = lines(&SettingsErrors::new(properties::parse(text).errors));
    assert_eq!(problems.len(), 3, "{problems:?}");
    assert!(problems.iter().any(|p| p.starts_with("no.such")));
}

#[test]
fn earlier_names_of_properties_are_accepted_with_a_warning() {
    let Properties { tuning, errors, warnings } = properties::parse(b"floor.sick-s=7\n");
    assert!(errors.is_empty(), "{errors:?}");
    assert_eq!(tuning, Tuning { quarantine_s: 7.0, ..Tuning::default() });
    assert_eq!(warnings, ["floor.sick-s: renamed to machine.quarantine-s; the earlier name still works"]);
    let texts =
        |bytes: &[u8]| -> Vec<String> { properties::parse(bytes).errors.iter().map(ToString::to_string).collect() };
    let both = texts(b"floor.sick-s=7\nmachine.quarantine-s=8\n");
    let expected = "floor.sick-s: renamed to machine.quarantine-s, which is set as well; remove floor.sick-s";
    assert_eq!(both, [expected]);
    let both = texts(b"floor.sick-s=7\nmachine.sick-s=8\n");
    assert_eq!(both.len(), 1, "{both:?}");
    assert!(both[0].starts_with("floor.sick-s:"), "{both:?}");
    let out_of_range = texts(b"floor.sick-s=0\n");
    assert!(out_of_range[0].starts_with("machine.quarantine-s: must be from"), "{out_of_range:?}");
}

#[test]
fn each_invalid_field_is_named_in_the_errors() {
    let valid = example();
    assert!(parse(&valid).is_ok());
    let invalid = valid.replace("lease_s = 30.0", "lease_s = 2.0").replace("127.0.0.1:8080", "nowhere");
    let problems = problems_of(&invalid);
    assert!(problems.iter().any(|p| p.starts_with("front")), "{problems:?}");
    assert!(problems.iter().any(|p| p.starts_with("params.workers.lease_s")), "{problems:?}");
    let PlatformSettings { settings, .. } = parse(&valid).unwrap();
    assert_eq!(settings.next_store_quota, Some(StoreQuota { value_kb: 2.0, txn_ops: 8, write_rps: 60.0 }));
    // Each field of the next limits is optional and defaults to the present limit.
    let PlatformSettings { settings, .. } =
        parse(&valid.replace("value_kb = 2.0\n", "").replace("txn_ops = 8\n", "")).unwrap();
    let rest = (settings.store_quota.value_kb, settings.store_quota.txn_ops);
    assert_eq!(settings.next_store_quota.map(|n| (n.value_kb, n.txn_ops)), Some(rest));
    let invalid = valid.replace("write_rps = 60.0", "write_rps = -1.0").replace("txn_ops = 8", "txn_ops = 1");
    let problems = problems_of(&invalid);
    assert!(problems.iter().any(|p| p.starts_with("params.state.next.write_rps")), "{problems:?}");
    assert!(problems.iter().any(|p| p.starts_with("params.state.next.txn_ops")), "{problems:?}");
    for (valid_line, out_of_range, field) in [
        ("report_s = 3.0", "report_s = 1e9", "params.workers.report_s"),
        ("core_share = 1.0", "core_share = 0.0", "params.resources.core_share"),
        ("mem_mb = 256.0", "mem_mb = 1e300", "params.resources.mem_mb"),
        ("fd_limit = 3000", "fd_limit = 90000000000", "params.resources.fd_limit"),
        ("txn_ops = 24", "txn_ops = 1000000000", "params.state.txn_ops"),
        ("list_lag_s = 3.0", "list_lag_s = -1.0", "params.cloud.list_lag_s"),
    ] {
        assert!(valid.contains(valid_line), "{valid_line}");
        let problems = problems_of(&valid.replace(valid_line, out_of_range));
        assert!(problems.iter().any(|p| p.starts_with(field)), "{problems:?}");
    }
    assert!(parse("label = ").is_err());
    assert!(problems_of(&valid.replace("report_s = 3.0", ""))[0].contains("report_s"));
}

/// The example settings with an invalid value in each field that is checked.
fn example_with_every_field_invalid() -> String {
    let mut text = example();
    for (valid, invalid) in [
        ("label = \"one\"", "label = \"\""),
        ("label = \"three\"", "label = \"\""),
        ("127.0.0.1:8080", "nowhere"),
        ("127.0.0.1:8081", "1:2:3"),
        ("127.0.0.1:8443", ""),
        ("127.0.0.1:2379", "[::1]:2"),
        ("127.0.0.1:8181", "x"),
        ("report_s = 3.0", "report_s = -1.0"),
        ("lease_s = 30.0", "lease_s = nan"),
        ("cancel_s = 60.0", "cancel_s = 1e9"),
        ("rps = 200.0", "rps = inf"),
        ("write_rps = 80.0", "write_rps = 2e6"),
        ("value_kb = 16.0", "value_kb = 0.5"),
        ("txn_ops = 24", "txn_ops = 2"),
        ("write_rps = 60.0", "write_rps = 0.0"),
        ("value_kb = 2.0", "value_kb = 1e6"),
        ("txn_ops = 8", "txn_ops = 1000000"),
        ("rps = 5.0", "rps = 0.0"),
        ("list_lag_s = 3.0", "list_lag_s = 1e6"),
        ("core_share = 1.0", "core_share = 2000.0"),
        ("mem_mb = 256.0", "mem_mb = 1e7"),
        ("fd_limit = 3000", "fd_limit = 3"),
        ("cpus = 64.0", "cpus = -1.0"),
        ("[params.workers]", "[[params.teams]]\nname = \"shop\"\ngpus = 1e9\n[params.workers]"),
    ] {
        assert!(text.contains(valid), "{valid}");
        text = text.replacen(valid, invalid, 1);
    }
    text
}

/// Operators and their tools read these lines: the field, then what is allowed.
#[test]
fn every_check_has_its_own_message() {
    let expected = [
        "label: must not be empty",
        "front: must be an IPv4 address with a port",
        "back: must be an IPv4 address with a port",
        "endpoints.cloud: must be an IPv4 address with a port",
        "endpoints.state: must be an IPv4 address with a port",
        "seeds.two.address: must be an IPv4 address with a port",
        "seeds: must not name this node",
        "params.workers.report_s: must be a positive number",
        "params.workers.lease_s: must be a positive number",
        "params.workers.cancel_s: must be at most 86400",
        "params.state.rps: must be a positive number",
        "params.state.write_rps: must be at most 1000000",
        "params.cloud.rps: must be a positive number",
        "params.resources.mem_mb: must be at most 1000000",
        "params.resources.core_share: must be at most 1024",
        "params.workers.lease_s: must be longer than report_s",
        "params.workers.cancel_s: must be longer than lease_s",
        "params.state.txn_ops: must be from 3 to 100000",
        "params.state.value_kb: must be at least 1",
        "params.state.next.write_rps: must be a positive number up to 1000000",
        "params.state.next.value_kb: must be from 1 to 65536",
        "params.state.next.txn_ops: must be from 3 to 100000",
        "params.cloud.list_lag_s: must be from 0 to 86400",
        "params.resources.fd_limit: must be from 64 to 10000000",
        "params.teams.shop: amounts must be from 0 to less than 1000000000",
        "params.teams.shop: amounts must be from 0 to less than 1000000000",
        "params.teams.shop: must not have the name of another team",
    ];
    assert_eq!(problems_of(&example_with_every_field_invalid()), expected);
}

#[test]
fn a_problem_contains_the_value_found() {
    let text = example().replace("fd_limit = 3000", "fd_limit = 3");
    let file: SettingsFile = toml::from_str(&text).unwrap();
    let expected = Problem {
        field: "params.resources.fd_limit".into(),
        found: Value::Integer(3),
        allowed: Allowed::IntegerRange { from: 64, to: 10_000_000 },
    };
    assert_eq!(validation::check(&file), [expected]);
}

#[test]
fn objectives_of_unknown_kind_are_ignored() {
    let objectives = r#"
        [[params.objectives]]
        kind = "wait"
        class = "web"
        within_s = 5.0
        [[params.objectives]]
        kind = "deadline"
        class = "web"
        [[params.objectives]]
        kind = "of-a-later-version"
        class = "web"
        within_s = 1.0
        [params.workers]"#;
    let PlatformSettings { settings, .. } = parse(&example().replace("[params.workers]", objectives)).unwrap();
    let expected = ServiceObjective { start_s: vec![5.0], finish_s: Vec::new(), deadline_multiples: vec![1.0] };
    assert_eq!(settings.objectives.into_iter().collect::<Vec<_>>(), [("web".to_string(), expected)]);
}
