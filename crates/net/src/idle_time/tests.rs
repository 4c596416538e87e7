use super::*;

#[test]
fn the_kind_with_the_longest_mean_idle_time_is_longest() {
    let estimator = IdleTimeEstimator::new(Duration::from_secs(4));
    assert!(estimator.is_longest(RequestKind::Heartbeat));
    assert!(estimator.is_longest(RequestKind::HeartbeatRefused));
    assert!(!estimator.is_longest(RequestKind::HeartbeatWithCommands));
    for _ in 0..100 {
        estimator.record(RequestKind::User, Duration::from_secs(9));
        estimator.record(RequestKind::Heartbeat, Duration::from_secs(4));
    }
    assert!(estimator.is_longest(RequestKind::User));
    assert!(!estimator.is_longest(RequestKind::Heartbeat), "a heartbeat is expected before a user's next request");
    assert!(estimator.is_longest(RequestKind::HeartbeatRefused));
}
