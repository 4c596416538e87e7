use super::ReadBudget;

fn taken(budget: &mut ReadBudget, now_ms: u64, reads_per_s: f64) -> usize {
    (0..1000).filter(|_| budget.try_take(now_ms, reads_per_s)).count()
}

#[test]
fn bucket_capacity_is_one_second_of_reads() {
    let mut budget = ReadBudget::default();
    assert_eq!(taken(&mut budget, 0, 50.0), 0);
    assert_eq!(taken(&mut budget, 60_000, 50.0), 50);
    assert_eq!(taken(&mut budget, 60_000, 50.0), 0);
    assert_eq!(taken(&mut budget, 60_100, 50.0), 5);
}

#[test]
fn bucket_capacity_is_at_least_one_read() {
    let mut budget = ReadBudget::default();
    assert_eq!(taken(&mut budget, 1_000, 0.1), 0);
    assert_eq!(taken(&mut budget, 60_000, 0.1), 1);
}
