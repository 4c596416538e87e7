use super::{PropertyError, RENAMED, Tuning, newer_names, renamed_key};

#[test]
fn earlier_names_set_the_renamed_property() {
    let earlier_names = [
        ("rent.plain-wait-s", "7", Tuning { scale_out_wait_s: 7.0, ..Tuning::default() }),
        ("rent.aim-share", "0.7", Tuning { objective_share: 0.7, ..Tuning::default() }),
        ("rent.reserve-boots", "7", Tuning { reserve_boot_times: 7.0, ..Tuning::default() }),
        ("rent.round-s", "7", Tuning { autoscaler_interval_s: 7.0, ..Tuning::default() }),
        ("rent.idle-s", "7", Tuning { idle_before_scale_in_s: 7.0, ..Tuning::default() }),
        ("rent.call-share", "0.7", Tuning { scale_out_request_share: 0.7, ..Tuning::default() }),
        ("queue.begin-within-s", "7", Tuning { start_within_s: 7.0, ..Tuning::default() }),
        ("queue.sample", "7", Tuning { machine_sample_size: 7.0, ..Tuning::default() }),
        ("queue.passes-per-report", "7", Tuning { passes_per_heartbeat: 7.0, ..Tuning::default() }),
        ("block.term-s", "7", Tuning { zone_lease_term_s: 7.0, ..Tuning::default() }),
        ("lead.life-reports", "7", Tuning { leader_lease_intervals: 7.0, ..Tuning::default() }),
        ("state.write-share", "0.6", Tuning { write_share: 0.6, ..Tuning::default() }),
        ("state.request-share", "0.7", Tuning { transaction_request_share: 0.7, ..Tuning::default() }),
        ("floor.silent-reports", "7", Tuning { missed_heartbeats: 7.0, ..Tuning::default() }),
        ("machine.silent-reports", "7", Tuning { missed_heartbeats: 7.0, ..Tuning::default() }),
        ("floor.sick-s", "7", Tuning { quarantine_s: 7.0, ..Tuning::default() }),
        ("machine.sick-s", "7", Tuning { quarantine_s: 7.0, ..Tuning::default() }),
    ];
    for (name, value, expected) in &earlier_names {
        let mut tuning = Tuning::default();
        assert_eq!(tuning.set(name, value), Ok(()), "{name}");
        assert_eq!(tuning, *expected, "{name}");
    }
    let known: usize = RENAMED.iter().map(|property| property.earlier.len()).sum();
    assert_eq!(earlier_names.len(), known);
}

#[test]
fn renamed_properties_exist_and_names_are_unique() {
    let mut names: Vec<&str> = Tuning::default().entries().iter().map(|entry| entry.key).collect();
    for property in &RENAMED {
        assert!(names.contains(&property.current), "{}", property.current);
        assert_eq!(renamed_key(property.current), None);
        names.extend(property.earlier);
    }
    let count = names.len();
    names.sort_unstable();
    names.dedup();
    assert_eq!(names.len(), count);
}

#[test]
fn newer_names_end_with_the_current_name() {
    let newer = |key: &str| newer_names(key).collect::<Vec<_>>();
    assert_eq!(newer("floor.sick-s"), ["machine.sick-s", "machine.quarantine-s"]);
    assert_eq!(newer("machine.sick-s"), ["machine.quarantine-s"]);
    assert!(newer("machine.quarantine-s").is_empty());
    assert!(newer("no.such").is_empty());
}

#[test]
fn invalid_values_and_unknown_names_are_errors_and_change_no_property() {
    let mut tuning = Tuning::default();
    let cases = [
        ("rent.idle-s", "x", "autoscaler.idle-before-scale-in-s: not a number: x"),
        ("machine.quarantine-s", "0", "machine.quarantine-s: must be from 1 to 3600, not 0"),
        ("machine.quarantine-s", "NaN", "machine.quarantine-s: must be from 1 to 3600, not NaN"),
        ("no.such", "1", "no.such: no such property"),
    ];
    for (key, value, text) in cases {
        assert_eq!(tuning.set(key, value).map_err(|error| error.to_string()), Err(text.to_string()));
    }
    assert_eq!(tuning, Tuning::default());
    let unknown = PropertyError::Unknown { key: "no.such".into() };
    assert_eq!(tuning.set("no.such", "1"), Err(unknown));
}
