use super::*;

fn store_limits(next: Option<StoreQuota>) -> StoreLimits {
    let present = StoreQuota { value_kb: 16.0, txn_ops: 24, write_rps: 30.0 };
    StoreLimits::new(&Settings { store_quota: present, next_store_quota: next, ..Settings::default() })
}

#[test]
fn sizes_fit_both_quotas_from_the_start_and_throttling_reduces_the_rate_to_the_announced_one_once() {
    let mut limits = store_limits(Some(StoreQuota { value_kb: 2.0, txn_ops: 8, write_rps: 21.0 }));
    assert_eq!(
        (limits.max_writes(), limits.max_preconditions(), limits.max_page_bytes()),
        (8, 32, limits.max_value_bytes())
    );
    assert!(limits.max_value_bytes() < 2048 && limits.machines_per_block() * 200 <= limits.max_value_bytes());
    assert_eq!(limits.write_rate(), 30.0);
    assert!((0..3).all(|_| !limits.record_throttling(500, 3000)) && limits.record_throttling(500, 3000));
    assert!(
        (0..9).all(|_| !limits.record_throttling(3000, 3000)),
        "further throttling within a heartbeat interval does not reduce the rate"
    );
    assert_eq!(limits.write_rate(), 21.0);
    limits.recover_rate(1_000_000, 3000);
    assert_eq!(limits.write_rate(), 21.0, "the announced rate is the ceiling");
    // A larger next quota has no effect before it is in force.
    let limits = store_limits(Some(StoreQuota { value_kb: 64.0, txn_ops: 100, write_rps: 99.0 }));
    assert_eq!((limits.max_writes(), limits.write_rate(), limits.announced_rate), (24, 30.0, None));
}

#[test]
fn unannounced_lower_limits_are_followed_down_to_the_lower_bounds() {
    let mut limits = store_limits(None);
    let before = limits.max_value_bytes();
    assert!(limits.reduce_sizes() && limits.max_writes() == 12 && limits.max_value_bytes() <= before / 2);
    assert!((0..10).any(|_| !limits.reduce_sizes()), "sizes reach a lower bound");
    assert!(limits.max_writes() >= 3 && limits.max_value_bytes() > 900);
    (1..1000).for_each(|n| assert!(limits.record_throttling(n * 300, 3000) || limits.write_rate() >= 15.0));
    assert_eq!(limits.write_rate(), 15.0);
    (1..200).for_each(|n| limits.recover_rate(n * 3000, 3000));
    assert_eq!(limits.write_rate(), 30.0);
}
