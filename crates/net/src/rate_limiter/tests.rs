use super::*;
use std::time::Duration;

#[test]
fn a_burst_is_limited_to_the_requests_of_one_second() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build().unwrap();
    runtime.block_on(async {
        let mut limiter = RateLimiter::new(4.5);
        let mut burst = || (0..100).filter(|_| limiter.try_acquire()).count();
        assert_eq!(burst(), 4);
        tokio::time::advance(Duration::from_secs(1)).await;
        // The half token left over does not raise the burst above the requests of one second.
        assert_eq!(burst(), 4);
        tokio::time::advance(Duration::from_secs(60)).await;
        assert_eq!(burst(), 4);
        assert_eq!(burst(), 0);
    });
}

#[test]
fn a_rate_below_one_per_second_allows_single_requests() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build().unwrap();
    runtime.block_on(async {
        let mut limiter = RateLimiter::new(0.5);
        assert!(!limiter.try_acquire());
        tokio::time::advance(Duration::from_secs(1)).await;
        assert!(limiter.try_acquire());
        assert!(!limiter.try_acquire());
        tokio::time::advance(Duration::from_secs(2)).await;
        assert!(limiter.try_acquire());
    });
}
