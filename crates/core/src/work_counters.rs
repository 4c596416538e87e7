//! Counts of the work that the owner does, so that tests can bound it without a clock.

use std::cell::Cell;

/// Work done since the node began.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Work {
    /// Passes over the queue.
    pub passes: u64,
    /// Machines examined for room in passes, each time one was examined.
    pub machines_examined: u64,
    /// Rounds of renting.
    pub rounds: u64,
    /// Machines, booting ones and those asked for included, examined in rounds, each time one was examined.
    pub spaces_examined: u64,
    /// Machines examined for tasks that overrun.
    pub speeds_examined: u64,
}

/// Counts work as it is done, also where the owner's state is only read.
#[derive(Debug, Default)]
pub(crate) struct WorkCounter(Cell<Work>);

impl WorkCounter {
    pub fn done(&self) -> Work {
        self.0.get()
    }
    pub fn pass(&self) {
        self.change(|work| work.passes += 1);
    }
    pub fn examined(&self, machines: usize) {
        self.change(|work| work.machines_examined += machines as u64);
    }
    pub fn round(&self) {
        self.change(|work| work.rounds += 1);
    }
    pub fn spaces_examined(&self, spaces: usize) {
        self.change(|work| work.spaces_examined += spaces as u64);
    }
    pub fn speed_examined(&self) {
        self.change(|work| work.speeds_examined += 1);
    }
    fn change(&self, change: impl FnOnce(&mut Work)) {
        let mut work = self.0.get();
        change(&mut work);
        self.0.set(work);
    }
}
