//! The budget of sockets of the whole process, divided by purpose so that no purpose starves another. A connection that
//! fails for want of a socket would look to the scheduler like an unreachable machine.

use std::cell::Cell;
use std::rc::Rc;

/// The limit of open sockets and their number. Clones share the count.
#[derive(Debug, Clone)]
pub struct SocketBudget {
    limit: usize,
    open: Rc<Cell<usize>>,
}

/// One socket that counts as open until this value is dropped.
#[derive(Debug)]
pub struct OpenSocket(Rc<Cell<usize>>);

impl Drop for OpenSocket {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

impl SocketBudget {
    /// A budget of `limit` sockets.
    pub fn new(limit: usize) -> SocketBudget {
        SocketBudget { limit, open: Rc::default() }
    }

    /// Counts one more socket as open.
    pub fn open(&self) -> OpenSocket {
        self.open.set(self.open.get() + 1);
        OpenSocket(self.open.clone())
    }

    /// Number of sockets counted as open.
    pub fn open_count(&self) -> usize {
        self.open.get()
    }

    /// Most connections from agents, users and health checks: three quarters of the limit.
    pub fn client_connections(&self) -> usize {
        (self.limit * 3 / 4).max(16)
    }

    /// Most further connections, for users and health checks only: a thirty-second of the limit.
    pub fn reserved_connections(&self) -> usize {
        (self.limit / 32).max(2)
    }

    /// Most concurrent calls to agents: an eighth of the limit.
    pub fn agent_calls(&self) -> usize {
        (self.limit / 8).max(4)
    }

    /// Most concurrent requests to the key-value store: a thirty-second of the limit.
    pub fn kv_requests(&self) -> usize {
        (self.limit / 32).max(4)
    }

    /// Most concurrent requests to the cloud: a two-hundredth of the limit.
    pub fn cloud_requests(&self) -> usize {
        (self.limit / 200).max(2)
    }

    /// Most connections from peers: a two-hundredth of the limit. What remains beside all shares is for the listening
    /// sockets and the runtime.
    pub fn peer_connections(&self) -> usize {
        (self.limit / 200).max(4)
    }

    /// Whether an idle connection may stay open: while fewer than three quarters of the limit are open.
    pub fn has_room(&self) -> bool {
        self.excess() == 0
    }

    /// Number of idle connections to close until one may stay open again.
    pub fn excess(&self) -> usize {
        (self.open.get() + 1).saturating_sub(self.limit * 3 / 4)
    }
}

#[cfg(test)]
mod tests;
