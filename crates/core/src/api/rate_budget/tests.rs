use super::RateBudget;

fn taken(budget: &mut RateBudget, now_ms: u64, requests_per_s: f64) -> usize {
    (0..1000).filter(|_| budget.try_take(now_ms, requests_per_s)).count()
}

#[test]
fn bucket_capacity_is_one_second_of_requests() {
    let mut budget = RateBudget::default();
    assert_eq!(taken(&mut budget, 0, 50.0), 0);
    assert_eq!(taken(&mut budget, 60_000, 50.0), 50);
    assert_eq!(taken(&mut budget, 60_000, 50.0), 0);
    assert_eq!(taken(&mut budget, 60_100, 50.0), 5);
}

#[test]
fn bucket_capacity_is_at_least_one_request() {
    let mut budget = RateBudget::default();
    assert_eq!(taken(&mut budget, 1_000, 0.1), 0);
    assert_eq!(taken(&mut budget, 60_000, 0.1), 1);
}
