//! Open connections of the HTTP server, and the closing of those that nobody uses or that have to make room.
//!
//! A fleet may have more machines than there are sockets. Then connections are closed with the answer to a
//! request, so that nothing is lost: first those whose next request is expected last. One clock for all
//! idle connections is cheaper than a timer for each request.

use crate::idle_times::{IdleTimes, RequestKind};
use crate::sockets::Open;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// Parts into which the longest idle time is divided.
const STEPS: u32 = 8;

/// Share of the connections that is kept open between requests; the rest is for those that come.
const KEPT: f64 = 7.0 / 8.0;

/// How many connections there may be.
#[derive(Debug, Clone, Copy)]
pub struct Capacity {
    /// For everybody.
    pub most: usize,
    /// Beyond those, for users and health checks.
    pub reserved: usize,
}

impl Capacity {
    /// Connections that are kept between requests, whatever they bring.
    fn kept(&self) -> usize {
        (self.most as f64 * KEPT) as usize
    }
    /// Connections beyond which only those are kept that bring the next request first.
    fn crowded(&self) -> usize {
        self.kept().midpoint(self.most)
    }
}

/// Whom a new connection may serve.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Anybody.
    Open,
    /// Users and health checks: the others have taken their share.
    Reserved,
    /// Nobody: there is no room.
    Refused,
}

/// All open connections.
#[derive(Clone)]
pub struct Connections(Rc<Shared>);

struct Shared {
    capacity: Capacity,
    idle_times: IdleTimes,
    /// Steps of the clock so far.
    clock: Cell<u32>,
    next: Cell<u64>,
    open: RefCell<HashMap<u64, Connection>>,
}

struct Connection {
    activity: Activity,
    task: AbortHandle,
    _socket: Open,
}

/// When a connection was last used.
#[derive(Clone)]
pub struct Activity {
    connections: Connections,
    admission: Admission,
    state: Rc<Cell<State>>,
    /// The last request and when it was answered, while that is of interest.
    last: Rc<Cell<Option<(RequestKind, Instant)>>>,
}

#[derive(Debug, Clone, Copy)]
enum State {
    /// No request is being handled since this step of the clock.
    IdleSince(u32),
    /// A request is being handled.
    Busy,
}

impl Activity {
    /// Whom this connection may serve.
    pub fn admission(&self) -> Admission {
        self.admission
    }

    /// A request has arrived.
    pub fn begin_request(&self) {
        self.state.set(State::Busy);
        if let Some((kind, answered)) = self.last.take() {
            self.connections.0.idle_times.note(kind, answered.elapsed());
        }
    }

    /// Its response is ready. True if the connection is to be closed with it.
    pub fn end_request(&self, kind: RequestKind) -> bool {
        self.state.set(State::IdleSince(self.connections.0.clock.get()));
        if self.connections.under_pressure() {
            self.last.set(Some((kind, Instant::now())));
        }
        self.connections.closes_after(kind, self.admission)
    }

    fn expired(&self) -> bool {
        match self.state.get() {
            State::IdleSince(step) => self.connections.0.clock.get().wrapping_sub(step) > STEPS,
            State::Busy => false,
        }
    }
}

impl Connections {
    /// No connections; a report is expected `report` after the last one.
    pub fn new(capacity: Capacity, report: Duration) -> Connections {
        Connections(Rc::new(Shared {
            capacity,
            idle_times: IdleTimes::new(report),
            clock: Cell::default(),
            next: Cell::default(),
            open: RefCell::default(),
        }))
    }

    /// Whether a new connection finds room.
    pub fn admit(&self) -> Admission {
        match self.open() {
            open if open < self.0.capacity.most => Admission::Open,
            open if open < self.0.capacity.most + self.0.capacity.reserved => Admission::Reserved,
            _ => Admission::Refused,
        }
    }

    /// The activity of a connection that is opened now.
    pub fn activity(&self, admission: Admission) -> Activity {
        let state = Rc::new(Cell::new(State::IdleSince(self.0.clock.get())));
        Activity { connections: self.clone(), admission, state, last: Rc::default() }
    }

    /// Whether so many are open that some will soon have to go.
    fn under_pressure(&self) -> bool {
        self.open() * 2 > self.0.capacity.kept()
    }

    /// Whether a connection is closed with the answer to a request of this kind.
    fn closes_after(&self, kind: RequestKind, admission: Admission) -> bool {
        if kind == RequestKind::HealthCheck {
            return false;
        }
        let open = self.open();
        let last = self.0.idle_times.expected_last(kind);
        admission == Admission::Reserved || open > self.0.capacity.crowded() || open > self.0.capacity.kept() && last
    }

    /// Serves a connection in a task of its own; it counts as open until `serving` ends.
    pub fn spawn<F: Future<Output = ()> + 'static>(&self, socket: Open, activity: Activity, serving: F) {
        let number = self.0.next.get();
        self.0.next.set(number + 1);
        let shared = Rc::downgrade(&self.0);
        let task = tokio::task::spawn_local(async move {
            serving.await;
            if let Some(shared) = shared.upgrade() {
                shared.open.borrow_mut().remove(&number);
            }
        });
        let connection = Connection { activity, task: task.abort_handle(), _socket: socket };
        self.0.open.borrow_mut().insert(number, connection);
    }

    /// How many are open.
    pub fn open(&self) -> usize {
        self.0.open.borrow().len()
    }

    /// Closes connections that have been idle for this time, until the process ends. A head that arrives
    /// more slowly counts as idle too.
    pub async fn close_idle(self, idle: Duration) {
        let mut interval = tokio::time::interval(idle / STEPS);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            self.0.clock.set(self.0.clock.get().wrapping_add(1));
            self.0.open.borrow_mut().retain(|_, connection| {
                let expired = connection.activity.expired();
                if expired {
                    connection.task.abort();
                }
                !expired
            });
        }
    }
}
