use super::*;

#[test]
fn thousands_of_events_at_once_are_limited_to_a_burst_and_counted() {
    let mut budget = EventBudget::new(0);
    let allowed = (0..4_000).filter(|_| budget.take(10)).count() as u64;
    assert_eq!(allowed, MAX_BURST);
    assert_eq!(budget.take_suppressed(), 4_000 - MAX_BURST);
    assert_eq!(budget.take_suppressed(), 0);
}

#[test]
fn budget_fills_again_over_time_up_to_a_burst() {
    let mut budget = EventBudget::new(0);
    while budget.take(0) {}
    assert!(!budget.take(MS_PER_EVENT - 1));
    assert!(budget.take(MS_PER_EVENT) && !budget.take(MS_PER_EVENT));
    let later = MS_PER_EVENT * MAX_BURST * 10;
    assert_eq!((0..4_000).filter(|_| budget.take(later)).count() as u64, MAX_BURST);
}
