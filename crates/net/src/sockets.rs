//! One budget of sockets for the whole process, shared out by purpose, so that no purpose starves
//! another: a connection refused for want of a socket looks to the owner like a machine that is gone.

use std::cell::Cell;
use std::rc::Rc;

/// The budget: the limit from the settings and what is open now.
#[derive(Debug, Clone)]
pub struct Sockets {
    limit: usize,
    open: Rc<Cell<usize>>,
}

/// An open socket; counts until dropped.
#[derive(Debug)]
pub struct Open(Rc<Cell<usize>>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

impl Sockets {
    /// A budget of `limit` sockets.
    pub fn new(limit: usize) -> Sockets {
        Sockets { limit, open: Rc::default() }
    }
    /// Counts a socket as open.
    pub fn open(&self) -> Open {
        self.open.set(self.open.get() + 1);
        Open(self.open.clone())
    }
    /// How many are open.
    pub fn opened(&self) -> usize {
        self.open.get()
    }
    /// Connections that come in, from workers, users and health checks: three quarters.
    pub fn incoming(&self) -> usize {
        (self.limit * 3 / 4).max(16)
    }
    /// Connections that come in beyond those, for users and health checks only: a thirty-second.
    pub fn reserved(&self) -> usize {
        (self.limit / 32).max(2)
    }
    /// Direct calls under way to workers: an eighth.
    pub fn calls(&self) -> usize {
        (self.limit / 8).max(4)
    }
    /// Requests under way to the state service: a thirty-second.
    pub fn state(&self) -> usize {
        (self.limit / 32).max(4)
    }
    /// Requests under way to the cloud.
    pub fn cloud(&self) -> usize {
        (self.limit / 200).max(2)
    }
    /// Connections from peers. What the shares leave is for listeners and the runtime.
    pub fn peers(&self) -> usize {
        (self.limit / 200).max(4)
    }
    /// Whether unused connections may be kept: not beyond three quarters of the limit.
    pub fn roomy(&self) -> bool {
        self.excess() == 0
    }
    /// How many sockets are open beyond those that leave room for unused ones.
    pub fn excess(&self) -> usize {
        (self.open.get() + 1).saturating_sub(self.limit * 3 / 4)
    }
}

#[cfg(test)]
mod tests;
