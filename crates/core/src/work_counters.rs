//! Counts of the work that a controller does, so that tests can bound it without a clock.

use std::cell::Cell;

/// Work done since the process began.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WorkCounts {
    /// Passes over the queue.
    pub scheduling_passes: u64,
    /// Machines examined for free capacity in passes; a machine counts each time that it is examined.
    pub machines_examined: u64,
    /// Runs of the autoscaler.
    pub autoscaler_runs: u64,
    /// Machines examined by the autoscaler, booting and requested ones included, each time that one is examined.
    pub autoscaler_machines_examined: u64,
    /// Machines examined for overrunning tasks.
    pub overrun_checks: u64,
}

/// Counts work as it is done, also where state is only read.
#[derive(Debug, Default)]
pub(crate) struct WorkCounter(Cell<WorkCounts>);

impl WorkCounter {
    /// The work done so far.
    pub fn counts(&self) -> WorkCounts {
        self.0.get()
    }

    /// Counts a pass over the queue.
    pub fn count_scheduling_pass(&self) {
        self.change(|work| work.scheduling_passes += 1);
    }

    /// Counts machines examined for free capacity.
    pub fn count_machines_examined(&self, machines: usize) {
        self.change(|work| work.machines_examined += machines as u64);
    }

    /// Counts a run of the autoscaler.
    pub fn count_autoscaler_run(&self) {
        self.change(|work| work.autoscaler_runs += 1);
    }

    /// Counts machines examined by the autoscaler.
    pub fn count_autoscaler_machines_examined(&self, machines: usize) {
        self.change(|work| work.autoscaler_machines_examined += machines as u64);
    }

    /// Counts a machine examined for overrunning tasks.
    pub fn count_overrun_check(&self) {
        self.change(|work| work.overrun_checks += 1);
    }

    fn change(&self, change: impl FnOnce(&mut WorkCounts)) {
        let mut work = self.0.get();
        change(&mut work);
        self.0.set(work);
    }
}
