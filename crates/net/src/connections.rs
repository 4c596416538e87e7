//! Open connections of the HTTP server, and the closing of those that nobody uses or that have to make
//! room.
//!
//! A fleet may have more machines than there are sockets. Then connections are closed with the response to
//! a request, so that nothing is lost: first those whose next request is expected last. One clock for all
//! idle connections is cheaper than a timer for each request.

use crate::idle_time::{IdleTimeEstimator, RequestKind};
use crate::socket_budget::OpenSocket;
use crate::task::AbortOnDrop;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Steps of the idle clock in the longest idle time.
const IDLE_CLOCK_STEPS: u32 = 8;

/// Share of the connections that is kept open between requests; the rest is for those that come.
const KEPT_SHARE: f64 = 7.0 / 8.0;

/// How many connections there may be.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionLimits {
    /// For everybody.
    pub max: usize,
    /// Beyond those, for users and health checks.
    pub reserved: usize,
}

impl ConnectionLimits {
    /// Connections that are kept between requests, whatever they bring.
    fn kept(&self) -> usize {
        (self.max as f64 * KEPT_SHARE) as usize
    }

    /// Connections beyond which none is kept.
    fn crowded(&self) -> usize {
        self.kept().midpoint(self.max)
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

/// What becomes of a connection once a response is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AfterResponse {
    /// It stays open for the next request.
    KeepAlive,
    /// It is closed.
    Close,
}

/// All open connections of a server; they are closed when this is dropped.
pub struct Connections {
    table: Rc<Table>,
    _idle_check: AbortOnDrop,
}

struct Table {
    limits: ConnectionLimits,
    idle_times: IdleTimeEstimator,
    /// Steps of the idle clock so far.
    idle_clock: Cell<u32>,
    next_number: Cell<u64>,
    open: RefCell<HashMap<u64, Connection>>,
}

struct Connection {
    usage: Rc<Cell<Usage>>,
    _socket: OpenSocket,
    _task: AbortOnDrop,
}

/// Whether a connection is in use.
#[derive(Debug, Clone, Copy)]
enum Usage {
    /// No request is being handled since this step of the idle clock.
    IdleSince(u32),
    /// A request is being handled.
    Busy,
}

/// A request whose response has been written, and when.
#[derive(Debug, Clone, Copy)]
struct FinishedRequest {
    kind: RequestKind,
    at: Instant,
}

/// What the handler of a connection tells of its requests.
#[derive(Clone)]
pub struct ConnectionActivity {
    table: Rc<Table>,
    admission: Admission,
    usage: Rc<Cell<Usage>>,
    /// The last request, while the time to the next one is of interest.
    last: Rc<Cell<Option<FinishedRequest>>>,
}

impl ConnectionActivity {
    /// Whom this connection may serve.
    pub fn admission(&self) -> Admission {
        self.admission
    }

    /// Notes that a request has arrived.
    pub fn begin_request(&self) {
        self.usage.set(Usage::Busy);
        if let Some(last) = self.last.take() {
            self.table.idle_times.record(last.kind, last.at.elapsed());
        }
    }

    /// Notes that the response is ready; says what becomes of the connection.
    pub fn end_request(&self, kind: RequestKind) -> AfterResponse {
        self.usage.set(Usage::IdleSince(self.table.idle_clock.get()));
        if self.table.under_pressure() {
            self.last.set(Some(FinishedRequest { kind, at: Instant::now() }));
        }
        self.table.after_response(kind, self.admission)
    }
}

impl Connections {
    /// No connections yet. Those idle for longer than `idle_timeout` will be closed; a head that arrives
    /// more slowly counts as idle too.
    pub fn new(limits: ConnectionLimits, heartbeat_interval: Duration, idle_timeout: Duration) -> Connections {
        let table = Rc::new(Table {
            limits,
            idle_times: IdleTimeEstimator::new(heartbeat_interval),
            idle_clock: Cell::default(),
            next_number: Cell::default(),
            open: RefCell::default(),
        });
        let idle_check = tokio::task::spawn_local(close_idle(table.clone(), idle_timeout));
        Connections { table, _idle_check: idle_check.into() }
    }

    /// Whether a new connection finds room.
    pub fn admit(&self) -> Admission {
        let limits = self.table.limits;
        match self.open_count() {
            open if open < limits.max => Admission::Open,
            open if open < limits.max + limits.reserved => Admission::Reserved,
            _ => Admission::Refused,
        }
    }

    /// How many are open.
    pub fn open_count(&self) -> usize {
        self.table.open_count()
    }

    /// Serves a new connection in a task of its own; it counts as open until the future ends.
    pub fn spawn<F, S>(&self, socket: OpenSocket, admission: Admission, serve: S)
    where
        F: Future<Output = ()> + 'static,
        S: FnOnce(ConnectionActivity) -> F,
    {
        let usage = Rc::new(Cell::new(Usage::IdleSince(self.table.idle_clock.get())));
        let activity =
            ConnectionActivity { table: self.table.clone(), admission, usage: usage.clone(), last: Rc::default() };
        let number = self.table.next_number.get();
        self.table.next_number.set(number + 1);
        let table = Rc::downgrade(&self.table);
        let serving = serve(activity);
        let task = tokio::task::spawn_local(async move {
            serving.await;
            if let Some(table) = table.upgrade() {
                table.open.borrow_mut().remove(&number);
            }
        });
        let connection = Connection { usage, _socket: socket, _task: task.into() };
        self.table.open.borrow_mut().insert(number, connection);
    }
}

impl Drop for Connections {
    fn drop(&mut self) {
        // Their tasks hold the table too, so it would outlive this.
        self.table.open.borrow_mut().clear();
    }
}

impl Table {
    fn open_count(&self) -> usize {
        self.open.borrow().len()
    }

    /// Whether so many are open that some will soon have to go.
    fn under_pressure(&self) -> bool {
        self.open_count() * 2 > self.limits.kept()
    }

    fn after_response(&self, kind: RequestKind, admission: Admission) -> AfterResponse {
        if self.is_kept(kind, admission) { AfterResponse::KeepAlive } else { AfterResponse::Close }
    }

    fn is_kept(&self, kind: RequestKind, admission: Admission) -> bool {
        if kind == RequestKind::HealthCheck {
            return true;
        }
        if admission == Admission::Reserved {
            return false;
        }
        let open = self.open_count();
        open <= self.limits.kept() || open <= self.limits.crowded() && !self.idle_times.is_longest(kind)
    }

    fn is_expired(&self, connection: &Connection) -> bool {
        match connection.usage.get() {
            Usage::IdleSince(step) => self.idle_clock.get().wrapping_sub(step) > IDLE_CLOCK_STEPS,
            Usage::Busy => false,
        }
    }
}

/// Closes connections that have been idle for too long, for ever.
async fn close_idle(table: Rc<Table>, idle_timeout: Duration) {
    let mut interval = tokio::time::interval(idle_timeout / IDLE_CLOCK_STEPS);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        table.idle_clock.set(table.idle_clock.get().wrapping_add(1));
        table.open.borrow_mut().retain(|_, connection| !table.is_expired(connection));
    }
}
