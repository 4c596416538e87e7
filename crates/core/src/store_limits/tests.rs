use super::*;

fn granted(next: Option<StoreQuota>) -> StoreLimits {
    let today = StoreQuota { value_kb: 16.0, txn_ops: 24, write_rps: 30.0 };
    StoreLimits::new(&Settings { store_quota: today, next_store_quota: next, ..Settings::default() })
}

#[test]
fn sizes_fit_both_limits_from_the_first_write_and_the_rate_falls_once() {
    let mut g = granted(Some(StoreQuota { value_kb: 2.0, txn_ops: 8, write_rps: 21.0 }));
    assert_eq!((g.max_writes(), g.max_preconditions(), g.max_page_bytes()), (8, 32, g.max_value_bytes()));
    assert!(g.max_value_bytes() < 2048 && g.machines_per_block() * 200 <= g.max_value_bytes());
    assert_eq!(g.write_rate(), 30.0);
    assert!((0..3).all(|_| !g.record_throttling(500, 3000)) && g.record_throttling(500, 3000));
    assert!((0..9).all(|_| !g.record_throttling(3000, 3000)), "the debt is paid first");
    assert_eq!(g.write_rate(), 21.0);
    g.recover_rate(1_000_000, 3000);
    assert_eq!(g.write_rate(), 21.0, "it stays");
    // Larger ones that will come are of no use yet.
    let g = granted(Some(StoreQuota { value_kb: 64.0, txn_ops: 100, write_rps: 99.0 }));
    assert_eq!((g.max_writes(), g.write_rate(), g.announced_rate), (24, 30.0, None));
}

#[test]
fn limits_that_fall_without_notice_are_followed_and_never_to_nothing() {
    let mut g = granted(None);
    let before = g.max_value_bytes();
    assert!(g.reduce_sizes() && g.max_writes() == 12 && g.max_value_bytes() <= before / 2);
    assert!((0..10).any(|_| !g.reduce_sizes()), "there is an end to it");
    assert!(g.max_writes() >= 3 && g.max_value_bytes() > 900);
    (1..1000).for_each(|n| assert!(g.record_throttling(n * 300, 3000) || g.write_rate() >= 15.0));
    assert_eq!(g.write_rate(), 15.0);
    (1..200).for_each(|n| g.recover_rate(n * 3000, 3000));
    assert_eq!(g.write_rate(), 30.0);
}
