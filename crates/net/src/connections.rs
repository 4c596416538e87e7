//! The open connections of the HTTP server, and the policy that closes idle ones.
//!
//! A fleet may have more machines than the server has sockets. The server then closes connections together with the
//! response to a request, so that no request is lost, beginning with those whose next request is expected last. All
//! connections share one coarse idle clock, which costs less than a timer for each request.

use crate::idle_time::{IdleTimeEstimator, RequestKind};
use crate::socket_budget::OpenSocket;
use crate::task::AbortOnDrop;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Resolution of the idle clock.
const IDLE_CLOCK_TICKS_PER_TIMEOUT: u32 = 8;

/// Fraction of the connections that may stay open between requests. The rest is room for new connections.
const KEEP_ALIVE_FRACTION: f64 = 7.0 / 8.0;

/// Limits of the number of open connections.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionLimits {
    /// Connections for any client.
    pub max: usize,
    /// Further connections, for users and health checks only.
    pub reserved: usize,
}

impl ConnectionLimits {
    /// Up to this number of open connections, each stays open after a response.
    fn keep_all_limit(&self) -> usize {
        (self.max as f64 * KEEP_ALIVE_FRACTION) as usize
    }

    /// Above this number of open connections, each is closed after a response, except those of health checks.
    fn keep_any_limit(&self) -> usize {
        self.keep_all_limit().midpoint(self.max)
    }
}

/// Which clients a new connection may serve.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Any client.
    Open,
    /// Users and health checks only, because the connections for any client are all in use.
    Reserved,
    /// None, because all connections are in use.
    Refused,
}

/// What happens to a connection after a response is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AfterResponse {
    /// The connection stays open for the next request.
    KeepAlive,
    /// The connection is closed.
    Close,
}

/// All open connections of a server. Dropping this value closes them.
pub struct Connections {
    table: Rc<Table>,
    _idle_check: AbortOnDrop,
}

struct Table {
    limits: ConnectionLimits,
    idle_times: IdleTimeEstimator,
    /// Ticks of the idle clock so far, wrapping.
    idle_clock: Cell<u32>,
    next_number: Cell<u64>,
    open: RefCell<HashMap<u64, Connection>>,
}

struct Connection {
    usage: Rc<Cell<Usage>>,
    _socket: OpenSocket,
    _task: AbortOnDrop,
}

/// Whether a request is in flight on a connection.
#[derive(Debug, Clone, Copy)]
enum Usage {
    /// No request has been in flight since this tick of the idle clock.
    IdleSince(u32),
    /// A request is in flight.
    Busy,
}

/// A request that has been answered, with the time of the answer.
#[derive(Debug, Clone, Copy)]
struct FinishedRequest {
    kind: RequestKind,
    at: Instant,
}

/// The handle with which a connection's task reports the start and the end of its requests.
#[derive(Clone)]
pub struct ConnectionActivity {
    table: Rc<Table>,
    admission: Admission,
    usage: Rc<Cell<Usage>>,
    /// The last request, if the time until the next one is to be measured; that is done only under pressure.
    last: Rc<Cell<Option<FinishedRequest>>>,
}

impl ConnectionActivity {
    /// Which clients this connection may serve.
    pub fn admission(&self) -> Admission {
        self.admission
    }

    /// Marks the connection as busy.
    pub fn begin_request(&self) {
        self.usage.set(Usage::Busy);
        if let Some(last) = self.last.take() {
            self.table.idle_times.record(last.kind, last.at.elapsed());
        }
    }

    /// Marks the connection as idle and decides whether it stays open.
    pub fn end_request(&self, kind: RequestKind) -> AfterResponse {
        self.usage.set(Usage::IdleSince(self.table.idle_clock.get()));
        if self.table.under_pressure() {
            self.last.set(Some(FinishedRequest { kind, at: Instant::now() }));
        }
        self.table.after_response(kind, self.admission)
    }
}

impl Connections {
    /// An empty set of connections. A connection idle for longer than `idle_timeout` is closed. Waiting for the
    /// complete head of a request counts as idle.
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

    /// Which clients a connection opened now may serve.
    pub fn admit(&self) -> Admission {
        let limits = self.table.limits;
        match self.open_count() {
            open if open < limits.max => Admission::Open,
            open if open < limits.max + limits.reserved => Admission::Reserved,
            _ => Admission::Refused,
        }
    }

    /// Number of open connections.
    pub fn open_count(&self) -> usize {
        self.table.open_count()
    }

    /// Serves a new connection in its own task. The connection counts as open until the future ends.
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
        // The tasks of the connections hold the table too, so without this it would outlive the server.
        self.table.open.borrow_mut().clear();
    }
}

impl Table {
    fn open_count(&self) -> usize {
        self.open.borrow().len()
    }

    /// Whether so many connections are open that some may soon have to be closed.
    fn under_pressure(&self) -> bool {
        self.open_count() * 2 > self.limits.keep_all_limit()
    }

    fn after_response(&self, kind: RequestKind, admission: Admission) -> AfterResponse {
        if self.is_kept_alive(kind, admission) { AfterResponse::KeepAlive } else { AfterResponse::Close }
    }

    fn is_kept_alive(&self, kind: RequestKind, admission: Admission) -> bool {
        if kind == RequestKind::HealthCheck {
            return true;
        }
        if admission == Admission::Reserved {
            return false;
        }
        let open = self.open_count();
        open <= self.limits.keep_all_limit()
            || open <= self.limits.keep_any_limit() && !self.idle_times.is_longest(kind)
    }

    fn is_expired(&self, connection: &Connection) -> bool {
        match connection.usage.get() {
            Usage::IdleSince(tick) => self.idle_clock.get().wrapping_sub(tick) > IDLE_CLOCK_TICKS_PER_TIMEOUT,
            Usage::Busy => false,
        }
    }
}

/// Advances the idle clock and closes connections that have been idle for too long, without end.
async fn close_idle(table: Rc<Table>, idle_timeout: Duration) {
    let mut interval = tokio::time::interval(idle_timeout / IDLE_CLOCK_TICKS_PER_TIMEOUT);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        table.idle_clock.set(table.idle_clock.get().wrapping_add(1));
        table.open.borrow_mut().retain(|_, connection| !table.is_expired(connection));
    }
}
