//! A semaphore that serves waiters by priority, and waiters of equal priority in order of arrival.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::oneshot;

/// Priority of a call, highest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallPriority {
    /// A call that stops tasks, because a cancellation has a time limit.
    Stop,
    /// A call that starts tasks, or any request to another service than an agent.
    Normal,
    /// A call that only asks for an agent's status, which the next heartbeat brings anyway.
    Probe,
}

/// Key of a waiter in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueuePosition {
    priority: CallPriority,
    arrival: u64,
}

#[derive(Debug)]
struct State {
    available: Cell<usize>,
    arrivals: Cell<u64>,
    waiters: RefCell<BTreeMap<QueuePosition, oneshot::Sender<Permit>>>,
}

/// A semaphore whose permits are shared by its clones.
#[derive(Debug, Clone)]
pub struct PrioritySemaphore {
    state: Rc<State>,
}

/// One permit, which returns to the semaphore when dropped.
#[derive(Debug)]
pub struct Permit {
    state: Rc<State>,
}

impl PrioritySemaphore {
    /// A semaphore with `permits` permits.
    pub fn new(permits: usize) -> PrioritySemaphore {
        let state = State { available: Cell::new(permits), arrivals: Cell::new(0), waiters: RefCell::default() };
        PrioritySemaphore { state: Rc::new(state) }
    }

    /// Waits for a permit. Dropping the future leaves the queue.
    pub async fn acquire(&self, priority: CallPriority) -> Permit {
        let state = &self.state;
        if state.available.get() > 0 {
            state.available.set(state.available.get() - 1);
            return Permit { state: state.clone() };
        }
        match self.enqueue(priority).await {
            Ok(permit) => permit,
            // The sender lives in the shared state, which this future keeps alive.
            Err(_) => std::future::pending().await,
        }
    }

    /// Number of waiters, without those whose futures have been dropped.
    pub fn waiting(&self) -> usize {
        self.state.waiters.borrow().values().filter(|waiter| !waiter.is_closed()).count()
    }

    fn enqueue(&self, priority: CallPriority) -> oneshot::Receiver<Permit> {
        let arrival = self.state.arrivals.get();
        self.state.arrivals.set(arrival + 1);
        let (waiter, permit) = oneshot::channel();
        self.state.waiters.borrow_mut().insert(QueuePosition { priority, arrival }, waiter);
        permit
    }
}

impl State {
    /// Removes and returns the first waiter whose future has not been dropped.
    fn next_waiter(&self) -> Option<oneshot::Sender<Permit>> {
        let mut waiters = self.waiters.borrow_mut();
        while let Some((_, waiter)) = waiters.pop_first() {
            if !waiter.is_closed() {
                return Some(waiter);
            }
        }
        None
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        match self.state.next_waiter() {
            // If the waiter has gone in the meantime, the permit is dropped and so passed to the next one.
            Some(waiter) => drop(waiter.send(Permit { state: self.state.clone() })),
            None => self.state.available.set(self.state.available.get() + 1),
        }
    }
}

#[cfg(test)]
mod tests;
