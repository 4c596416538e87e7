use super::*;

#[test]
fn one_renewal_is_in_flight_at_a_time_and_the_next_follows_after_the_interval() {
    let mut lease = LeaderLease::new(7, 100);
    assert!(!lease.begin_renewal(99, 50));
    assert!(lease.begin_renewal(100, 50));
    assert!(!lease.begin_renewal(150, 50), "the first one has not been answered");
    lease.end_renewal();
    assert!(!lease.begin_renewal(149, 50));
    assert!(lease.begin_renewal(150, 50));
}

#[test]
fn failed_renewal_is_repeated_when_its_retry_is_due() {
    let mut lease = LeaderLease::new(7, 100);
    assert!(lease.begin_renewal(100, 50));
    lease.retry_renewal(110);
    assert!(!lease.begin_renewal(109, 50));
    assert!(lease.begin_renewal(110, 50));
}
