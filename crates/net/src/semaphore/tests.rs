use super::*;
use std::time::Duration;

fn run_on_one_thread<F: Future<Output = ()>>(test: impl FnOnce() -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async { test().await });
}

/// Guards against a queue in which the commands that stop a cancelled job wait behind hundreds of status calls.
#[test]
fn a_stop_precedes_calls_that_arrived_earlier() {
    run_on_one_thread(|| async {
        let permits = PrioritySemaphore::new(1);
        let held = permits.acquire(CallPriority::Normal).await;
        let order = Rc::new(RefCell::new(Vec::new()));
        let priorities = [CallPriority::Probe, CallPriority::Normal, CallPriority::Probe, CallPriority::Stop];
        let waiters = priorities.map(|priority| {
            let (permits, order) = (permits.clone(), order.clone());
            tokio::task::spawn_local(async move {
                let _permit = permits.acquire(priority).await;
                order.borrow_mut().push(priority);
            })
        });
        tokio::task::yield_now().await;
        assert_eq!(permits.waiting(), 4);
        drop(held);
        for waiter in waiters {
            waiter.await.unwrap();
        }
        assert_eq!(
            *order.borrow(),
            [CallPriority::Stop, CallPriority::Normal, CallPriority::Probe, CallPriority::Probe]
        );
    });
}

#[test]
fn waiters_that_timed_out_are_skipped_when_a_permit_is_released() {
    run_on_one_thread(|| async {
        let permits = PrioritySemaphore::new(1);
        let held = permits.acquire(CallPriority::Normal).await;
        let short_timeout = Duration::from_millis(1);
        for _ in 0..1000 {
            assert!(tokio::time::timeout(short_timeout, permits.acquire(CallPriority::Stop)).await.is_err());
        }
        let next = tokio::task::spawn_local({
            let permits = permits.clone();
            async move { permits.acquire(CallPriority::Probe).await }
        });
        tokio::task::yield_now().await;
        drop(held);
        let permit = next.await.unwrap();
        assert!(
            tokio::time::timeout(short_timeout, permits.acquire(CallPriority::Stop)).await.is_err(),
            "there is only one permit"
        );
        drop(permit);
        drop(permits.acquire(CallPriority::Stop).await);
    });
}
