use super::*;

fn granted(next: Option<Limits>) -> StoreLimits {
    let today = Limits { value_kb: 16.0, txn_ops: 24, write_rps: 30.0 };
    StoreLimits::new(&Settings { state: today, state_next: next, ..Settings::default() })
}

#[test]
fn sizes_fit_both_limits_from_the_first_write_and_the_rate_falls_once() {
    let mut g = granted(Some(Limits { value_kb: 2.0, txn_ops: 8, write_rps: 21.0 }));
    assert_eq!((g.ops(), g.conditions(), g.page_bytes()), (8, 32, g.value_bytes()));
    assert!(g.value_bytes() < 2048 && g.block_machines() * 200 <= g.value_bytes());
    assert_eq!(g.rate(), 30.0);
    assert!((0..3).all(|_| !g.refused(500, 3000)) && g.refused(500, 3000));
    assert!((0..9).all(|_| !g.refused(3000, 3000)), "the debt is paid first");
    assert_eq!(g.rate(), 21.0);
    g.run_due(1_000_000, 3000);
    assert_eq!(g.rate(), 21.0, "it stays");
    // Larger ones that will come are of no use yet.
    let g = granted(Some(Limits { value_kb: 64.0, txn_ops: 100, write_rps: 99.0 }));
    assert_eq!((g.ops(), g.rate(), g.announced_rate), (24, 30.0, None));
}

#[test]
fn limits_that_fall_without_notice_are_followed_and_never_to_nothing() {
    let mut g = granted(None);
    let before = g.value_bytes();
    assert!(g.too_large() && g.ops() == 12 && g.value_bytes() <= before / 2);
    assert!((0..10).any(|_| !g.too_large()), "there is an end to it");
    assert!(g.ops() >= 3 && g.value_bytes() > 900);
    (1..1000).for_each(|n| assert!(g.refused(n * 300, 3000) || g.rate() >= 15.0));
    assert_eq!(g.rate(), 15.0);
    (1..200).for_each(|n| g.run_due(n * 3000, 3000));
    assert_eq!(g.rate(), 30.0);
}
