use super::*;
use std::time::Duration;

fn on_one_thread<F: Future<Output = ()>>(test: impl FnOnce() -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async { test().await });
}

/// Hundreds of questions to machines waited before the commands that stop a cancelled job.
#[test]
fn a_stop_goes_before_questions_that_came_first() {
    on_one_thread(|| async {
        let permits = PrioritySemaphore::new(1);
        let held = permits.acquire(CallPriority::Normal).await;
        let order = Rc::new(RefCell::new(Vec::new()));
        let wanted = [CallPriority::Probe, CallPriority::Normal, CallPriority::Probe, CallPriority::Stop];
        let waiting = wanted.map(|priority| {
            let (permits, order) = (permits.clone(), order.clone());
            tokio::task::spawn_local(async move {
                let _permit = permits.acquire(priority).await;
                order.borrow_mut().push(priority);
            })
        });
        tokio::task::yield_now().await;
        assert_eq!(permits.waiting(), 4);
        drop(held);
        for one in waiting {
            one.await.unwrap();
        }
        assert_eq!(
            *order.borrow(),
            [CallPriority::Stop, CallPriority::Normal, CallPriority::Probe, CallPriority::Probe]
        );
    });
}

#[test]
fn a_permit_for_one_that_gave_up_goes_to_the_next() {
    on_one_thread(|| async {
        let permits = PrioritySemaphore::new(1);
        let held = permits.acquire(CallPriority::Normal).await;
        let soon = Duration::from_millis(1);
        for _ in 0..1000 {
            assert!(tokio::time::timeout(soon, permits.acquire(CallPriority::Stop)).await.is_err());
        }
        let next = tokio::task::spawn_local({
            let permits = permits.clone();
            async move { permits.acquire(CallPriority::Probe).await }
        });
        tokio::task::yield_now().await;
        drop(held);
        let permit = next.await.unwrap();
        assert!(tokio::time::timeout(soon, permits.acquire(CallPriority::Stop)).await.is_err(), "one at a time");
        drop(permit);
        drop(permits.acquire(CallPriority::Stop).await);
    });
}
