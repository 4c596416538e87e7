//! Counts of the work that a controller does, so that tests can bound it without a clock.

use std::cell::Cell;

/// Work done since the process began.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Work {
    /// Passes over the queue.
    pub passes: u64,
    /// Machines examined for free capacity in passes; a machine counts each time that it is examined.
    pub machines_examined: u64,
    /// Runs of the autoscaler.
    pub rounds: u64,
    /// Machines examined by the autoscaler, booting and requested ones included, each time that one is examined.
    pub spaces_examined: u64,
    /// Machines examined for overrunning tasks.
    pub speeds_examined: u64,
}

/// Counts work as it is done, also where state is only read.
#[derive(Debug, Default)]
pub(crate) struct WorkCounter(Cell<Work>);

impl WorkCounter {
    /// The work done so far.
    pub fn done(&self) -> Work {
        self.0.get()
    }

    /// Counts a pass over the queue.
    pub fn pass(&self) {
        self.change(|work| work.passes += 1);
    }

    /// Counts machines examined for free capacity.
    pub fn examined(&self, machines: usize) {
        self.change(|work| work.machines_examined += machines as u64);
    }

    /// Counts a run of the autoscaler.
    pub fn round(&self) {
        self.change(|work| work.rounds += 1);
    }

    /// Counts machines examined by the autoscaler.
    pub fn spaces_examined(&self, spaces: usize) {
        self.change(|work| work.spaces_examined += spaces as u64);
    }

    /// Counts a machine examined for overrunning tasks.
    pub fn speed_examined(&self) {
        self.change(|work| work.speeds_examined += 1);
    }

    fn change(&self, change: impl FnOnce(&mut Work)) {
        let mut work = self.0.get();
        change(&mut work);
        self.0.set(work);
    }
}
