use super::*;

#[test]
fn one_heartbeat_does_not_end_a_new_leaders_wait_for_a_zone() {
    let mut reachability = Reachability::new(0);
    reachability.expect_machine("a", 2000);
    reachability.expect_machine("a", 2000);
    reachability.record_zone_heartbeat("a", 100);
    reachability.record_zone_heartbeat("b", 100);
    let activity = |zone: &str| {
        let activity = reachability.zones()[zone];
        (activity.last_heartbeat_ms, activity.machines)
    };
    assert_eq!((activity("a"), activity("b")), ((2000, 2), (100, 1)));
    reachability.record_zone_heartbeat("a", 2001);
    reachability.set_machine_counts(&BTreeMap::from([("a", 7)]));
    let counts: Vec<u32> = reachability.zones().values().map(|zone| zone.machines).collect();
    assert_eq!((reachability.zones()["a"].last_heartbeat_ms, counts), (2001, vec![7, 0]));
}

#[test]
fn checks_are_due_eight_times_per_interval() {
    let mut reachability = Reachability::new(10);
    let due: Vec<u64> = (0..40).filter(|now| reachability.take_due_check(*now, 80)).collect();
    assert_eq!(due, [10, 20, 30]);
}

#[test]
fn changing_partitioned_zones_returns_the_new_ones() {
    let zones = |names: &[&str]| names.iter().map(|name| (*name).to_string()).collect::<BTreeSet<_>>();
    let mut reachability = Reachability::new(0);
    assert_eq!(reachability.set_partitioned_zones(zones(&[])), None);
    assert_eq!(reachability.set_partitioned_zones(zones(&["a"])), Some(vec!["a".to_string()]));
    assert_eq!(reachability.set_partitioned_zones(zones(&["a", "b"])), Some(vec!["b".to_string()]));
    assert!(reachability.is_partitioned("b") && !reachability.is_partitioned("c"));
    assert_eq!(reachability.set_partitioned_zones(zones(&["b"])), Some(Vec::new()));
}
