use super::*;

fn repo(path: &str) -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..").join(path)
}

#[test]
fn sample_properties_list_every_key_with_its_default() {
    let bytes = std::fs::read(repo("deploy/shaleshunt.properties")).unwrap();
    let Properties { tuning, problems, warnings } = parse_properties(&bytes);
    assert_eq!(tuning, Tuning::default());
    assert!(problems.is_empty() && warnings.is_empty(), "{problems:?} {warnings:?}");
    let keys: std::collections::BTreeSet<String> = java_properties::read(&bytes[..]).unwrap().into_keys().collect();
    let known = Tuning::default().entries().into_iter().map(|e| e.key.to_string()).collect();
    assert_eq!(keys, known);
}

#[test]
fn properties_that_are_wrong_are_named() {
    let text = b"rent.round-s=NaN\nno.such=1\nrent.idle-s=-3\nrent.plain-wait-s = 5\n";
    let problems = parse_properties(text).problems;
    assert_eq!(problems.len(), 3, "{problems:?}");
    assert!(problems.iter().any(|p| p.starts_with("no.such")));
}

#[test]
fn keys_of_earlier_versions_are_read_and_named() {
    let Properties { tuning, problems, warnings } = parse_properties(b"floor.sick-s=7\n");
    assert!(problems.is_empty(), "{problems:?}");
    assert_eq!(tuning, Tuning { quarantine_s: 7.0, ..Tuning::default() });
    assert_eq!(warnings, ["floor.sick-s: is called machine.quarantine-s now"]);
    let both = parse_properties(b"floor.sick-s=7\nmachine.quarantine-s=8\n");
    assert_eq!(both.problems, ["floor.sick-s: is called machine.quarantine-s now, which is given too"]);
    let both = parse_properties(b"floor.sick-s=7\nmachine.sick-s=8\n");
    assert_eq!(both.problems.len(), 1, "{:?}", both.problems);
    assert!(both.problems[0].starts_with("floor.sick-s:"), "{:?}", both.problems);
    let beyond = parse_properties(b"floor.sick-s=0\n");
    assert!(beyond.problems[0].starts_with("machine.quarantine-s: must be from"), "{:?}", beyond.problems);
}

#[test]
fn settings_are_checked_field_by_field() {
    let good = std::fs::read_to_string(repo("examples/settings.toml")).unwrap();
    assert!(parse(&good).is_ok());
    let bad = good.replace("lease_s = 30.0", "lease_s = 2.0").replace("127.0.0.1:8080", "nowhere");
    let problems = parse(&bad).unwrap_err();
    assert!(problems.iter().any(|p| p.starts_with("front")), "{problems:?}");
    assert!(problems.iter().any(|p| p.starts_with("params.workers.lease_s")), "{problems:?}");
    let (settings, _) = parse(&good).unwrap();
    assert_eq!(settings.state_next, Some(Limits { value_kb: 2.0, txn_ops: 8, write_rps: 60.0 }));
    // Each field is optional, and what is not named stays as it is.
    let (settings, _) = parse(&good.replace("value_kb = 2.0\n", "").replace("txn_ops = 8\n", "")).unwrap();
    let rest = (settings.state.value_kb, settings.state.txn_ops);
    assert_eq!(settings.state_next.map(|n| (n.value_kb, n.txn_ops)), Some(rest));
    let bad = good.replace("write_rps = 60.0", "write_rps = -1.0").replace("txn_ops = 8", "txn_ops = 1");
    let problems = parse(&bad).unwrap_err();
    assert!(problems.iter().any(|p| p.starts_with("params.state.next.write_rps")), "{problems:?}");
    assert!(problems.iter().any(|p| p.starts_with("params.state.next.txn_ops")), "{problems:?}");
    for (good_line, absurd, field) in [
        ("report_s = 3.0", "report_s = 1e9", "params.workers.report_s"),
        ("core_share = 1.0", "core_share = 0.0", "params.resources.core_share"),
        ("mem_mb = 256.0", "mem_mb = 1e300", "params.resources.mem_mb"),
        ("fd_limit = 3000", "fd_limit = 90000000000", "params.resources.fd_limit"),
        ("txn_ops = 24", "txn_ops = 1000000000", "params.state.txn_ops"),
        ("list_lag_s = 3.0", "list_lag_s = -1.0", "params.cloud.list_lag_s"),
    ] {
        assert!(good.contains(good_line), "{good_line}");
        let problems = parse(&good.replace(good_line, absurd)).unwrap_err();
        assert!(problems.iter().any(|p| p.starts_with(field)), "{problems:?}");
    }
    assert!(parse("label = ").is_err());
    assert!(parse(&good.replace("report_s = 3.0", "")).unwrap_err()[0].contains("report_s"));
}
