use super::*;

#[test]
fn the_leaders_share_depends_on_the_demand() {
    let cases = [(WriteDemand::UserWrites, 0.4), (WriteDemand::LeaderOnly, 0.9), (WriteDemand::Idle, 0.8)];
    for (demand, expected) in cases {
        assert!((leader_share(demand, 0.8) - expected).abs() < 1e-9, "{demand:?}");
    }
}

#[test]
fn the_budget_refills_up_to_one_second_of_writes_and_is_spent_by_writes() {
    let mut budget = WriteBudget::new(1000);
    budget.refill(1250, 20.0);
    assert_eq!((budget.whole_writes(), budget.is_scarce(20.0)), (5, false));
    budget.spend(1);
    assert!(budget.is_scarce(20.0), "four of twenty are less than a quarter");
    budget.refill(60_000, 20.0);
    assert_eq!(budget.whole_writes(), 20, "no more than a second's worth is saved up");
    assert!(budget.has_half_after(10, 20.0) && !budget.has_half_after(11, 20.0));
    budget.refill(70_000, 0.5);
    assert_eq!(budget.whole_writes(), 1, "one write is possible eventually at any rate");
}
