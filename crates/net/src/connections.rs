//! Open connections of the HTTP server, and the closing of those that nobody uses.
//!
//! One clock for all of them is cheaper than a timer for each request.

use crate::sockets::Open;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::AbortHandle;

/// Parts into which the longest idle time is divided.
const STEPS: u32 = 8;

/// All open connections.
#[derive(Clone, Default)]
pub struct Connections {
    /// Steps of the clock so far.
    clock: Rc<Cell<u32>>,
    next: Rc<Cell<u64>>,
    open: Rc<RefCell<HashMap<u64, Connection>>>,
}

struct Connection {
    activity: Activity,
    task: AbortHandle,
    _socket: Open,
}

/// When a connection was last used.
#[derive(Clone)]
pub struct Activity {
    clock: Rc<Cell<u32>>,
    state: Rc<Cell<State>>,
}

#[derive(Debug, Clone, Copy)]
enum State {
    /// No request is being handled since this step of the clock.
    IdleSince(u32),
    /// A request is being handled.
    Busy,
}

impl Activity {
    /// A request has arrived.
    pub fn begin_request(&self) {
        self.state.set(State::Busy);
    }

    /// Its response is ready.
    pub fn end_request(&self) {
        self.state.set(State::IdleSince(self.clock.get()));
    }

    fn expired(&self) -> bool {
        match self.state.get() {
            State::IdleSince(step) => self.clock.get().wrapping_sub(step) > STEPS,
            State::Busy => false,
        }
    }
}

impl Connections {
    /// No connections.
    pub fn new() -> Connections {
        Connections::default()
    }

    /// The activity of a connection that is opened now.
    pub fn activity(&self) -> Activity {
        Activity { clock: self.clock.clone(), state: Rc::new(Cell::new(State::IdleSince(self.clock.get()))) }
    }

    /// Serves a connection in a task of its own; it counts as open until `serving` ends.
    pub fn spawn<F: Future<Output = ()> + 'static>(&self, socket: Open, activity: Activity, serving: F) {
        let number = self.next.get();
        self.next.set(number + 1);
        let open = Rc::downgrade(&self.open);
        let task = tokio::task::spawn_local(async move {
            serving.await;
            if let Some(open) = open.upgrade() {
                open.borrow_mut().remove(&number);
            }
        });
        let connection = Connection { activity, task: task.abort_handle(), _socket: socket };
        self.open.borrow_mut().insert(number, connection);
    }

    /// How many are open.
    pub fn open(&self) -> usize {
        self.open.borrow().len()
    }

    /// Closes connections that have been idle for this time, until the process ends. A head that arrives
    /// more slowly counts as idle too.
    pub async fn close_idle(self, idle: Duration) {
        let mut interval = tokio::time::interval(idle / STEPS);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            self.clock.set(self.clock.get().wrapping_add(1));
            self.open.borrow_mut().retain(|_, connection| {
                let expired = connection.activity.expired();
                if expired {
                    connection.task.abort();
                }
                !expired
            });
        }
    }
}
