use super::*;

#[test]
fn the_kind_that_is_idle_longest_is_expected_last() {
    let times = IdleTimes::new(Duration::from_secs(4));
    assert!(times.expected_last(RequestKind::Heartbeat));
    assert!(times.expected_last(RequestKind::ReportElsewhere));
    assert!(!times.expected_last(RequestKind::ReportWithOrders));
    for _ in 0..100 {
        times.note(RequestKind::User, Duration::from_secs(9));
        times.note(RequestKind::Heartbeat, Duration::from_secs(4));
    }
    assert!(times.expected_last(RequestKind::User));
    assert!(!times.expected_last(RequestKind::Heartbeat), "a report comes before a user's next request");
    assert!(times.expected_last(RequestKind::ReportElsewhere));
}
