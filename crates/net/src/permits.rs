//! Permits for calls under way. Who has to wait for one is served by urgency, among equals in order.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::oneshot;

/// How much a call matters, the most urgent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// Stops tasks: a cancellation has to be over in time.
    Stop,
    /// Starts tasks, or any request to another service.
    Normal,
    /// Only asks something; the next report tells it as well.
    Question,
}

/// A place in the order of those that wait.
type Place = (Urgency, u64);

#[derive(Debug)]
struct Shared {
    free: Cell<usize>,
    arrivals: Cell<u64>,
    waiting: RefCell<BTreeMap<Place, oneshot::Sender<Permit>>>,
}

/// A number of permits.
#[derive(Debug, Clone)]
pub struct Permits(Rc<Shared>);

/// One permit, until dropped.
#[derive(Debug)]
pub struct Permit(Rc<Shared>);

impl Permits {
    /// So many permits.
    pub fn new(permits: usize) -> Permits {
        let waiting = RefCell::new(BTreeMap::new());
        Permits(Rc::new(Shared { free: Cell::new(permits), arrivals: Cell::new(0), waiting }))
    }

    /// Waits for a permit. Giving up leaves the place to the next.
    pub async fn acquire(&self, urgency: Urgency) -> Permit {
        let shared = &self.0;
        if shared.free.get() > 0 {
            shared.free.set(shared.free.get() - 1);
            return Permit(shared.clone());
        }
        let arrival = shared.arrivals.get();
        shared.arrivals.set(arrival + 1);
        let (give, given) = oneshot::channel();
        shared.waiting.borrow_mut().insert((urgency, arrival), give);
        match given.await {
            Ok(permit) => permit,
            // The sender lives in the shared state, which this future keeps alive.
            Err(_) => std::future::pending().await,
        }
    }

    /// How many wait, those that have given up not counted.
    pub fn waiting(&self) -> usize {
        self.0.waiting.borrow().values().filter(|give| !give.is_closed()).count()
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let next = loop {
            let first = self.0.waiting.borrow_mut().pop_first();
            match first {
                Some((_, give)) if give.is_closed() => {}
                other => break other,
            }
        };
        match next {
            // One that gives up at this moment drops it, and so passes it on.
            Some((_, give)) => drop(give.send(Permit(self.0.clone()))),
            None => self.0.free.set(self.0.free.get() + 1),
        }
    }
}

#[cfg(test)]
mod tests;
