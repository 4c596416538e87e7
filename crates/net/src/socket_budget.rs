//! One budget of sockets for the whole process, divided by purpose, so that no purpose starves another:
//! a connection refused for want of a socket looks to the scheduler like a machine that is gone.

use std::cell::Cell;
use std::rc::Rc;

/// The limit from the settings and how many sockets are open now; shared by clones.
#[derive(Debug, Clone)]
pub struct SocketBudget {
    limit: usize,
    open: Rc<Cell<usize>>,
}

/// Counts as one open socket until dropped.
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

    /// Counts a socket as open.
    pub fn open(&self) -> OpenSocket {
        self.open.set(self.open.get() + 1);
        OpenSocket(self.open.clone())
    }

    /// How many are open.
    pub fn open_count(&self) -> usize {
        self.open.get()
    }

    /// Connections from workers, users and health checks: three quarters.
    pub fn client_connections(&self) -> usize {
        (self.limit * 3 / 4).max(16)
    }

    /// Connections beyond those, for users and health checks only: a thirty-second.
    pub fn reserved_connections(&self) -> usize {
        (self.limit / 32).max(2)
    }

    /// Concurrent calls to workers: an eighth.
    pub fn agent_calls(&self) -> usize {
        (self.limit / 8).max(4)
    }

    /// Concurrent requests to the key-value store: a thirty-second.
    pub fn kv_requests(&self) -> usize {
        (self.limit / 32).max(4)
    }

    /// Concurrent requests to the cloud.
    pub fn cloud_requests(&self) -> usize {
        (self.limit / 200).max(2)
    }

    /// Connections from peers. What all shares leave is for listeners and the runtime.
    pub fn peer_connections(&self) -> usize {
        (self.limit / 200).max(4)
    }

    /// Whether unused connections may be kept open: not beyond three quarters of the limit.
    pub fn has_room(&self) -> bool {
        self.excess() == 0
    }

    /// How many sockets are open beyond those that leave room for unused ones.
    pub fn excess(&self) -> usize {
        (self.open.get() + 1).saturating_sub(self.limit * 3 / 4)
    }
}

#[cfg(test)]
mod tests;
