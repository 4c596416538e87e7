//! Counters of the work that a controller does, with which tests check bounds on the work without measuring time.

use std::cell::Cell;

/// Work done since the process started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WorkCounts {
    /// Scheduling passes.
    pub scheduling_passes: u64,
    /// Machines examined for free capacity in scheduling passes; a machine counts each time that it is examined.
    pub machines_examined: u64,
    /// Runs of the autoscaler.
    pub autoscaler_runs: u64,
    /// Machines examined by the autoscaler, including booting and requested ones; a machine counts each time that it is
    /// examined.
    pub autoscaler_machines_examined: u64,
    /// Machines examined for overrunning tasks.
    pub overrun_checks: u64,
}

/// Counts work as it is done. Interior mutability allows counting where state is only read.
#[derive(Debug, Default)]
pub(crate) struct WorkCounter(Cell<WorkCounts>);

impl WorkCounter {
    pub fn counts(&self) -> WorkCounts {
        self.0.get()
    }

    pub fn count_scheduling_pass(&self) {
        self.update(|work| work.scheduling_passes += 1);
    }

    /// Counts machines examined for free capacity in a scheduling pass.
    pub fn count_machines_examined(&self, machines: usize) {
        self.update(|work| work.machines_examined += machines as u64);
    }

    pub fn count_autoscaler_run(&self) {
        self.update(|work| work.autoscaler_runs += 1);
    }

    pub fn count_autoscaler_machines_examined(&self, machines: usize) {
        self.update(|work| work.autoscaler_machines_examined += machines as u64);
    }

    /// Counts a machine examined for overrunning tasks.
    pub fn count_overrun_check(&self) {
        self.update(|work| work.overrun_checks += 1);
    }

    fn update(&self, update: impl FnOnce(&mut WorkCounts)) {
        let mut work = self.0.get();
        update(&mut work);
        self.0.set(work);
    }
}
