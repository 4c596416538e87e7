//! Machines that are slow, told by tasks that overrun.

/// A task that has run for so many times what its job's tasks usually take overruns.
const OVERRUN: f64 = 1.5;

/// A machine is slow if at least so many of its tasks overrun, and a part of this size of them.
pub(crate) const MIN_OVERRUNNING_TASKS: usize = 3;
const OVERRUN_PART: usize = 3;

/// Run times of so many ended tasks say what a job's tasks usually take.
pub(crate) const MIN_RUN_TIMES: u32 = 3;

/// A running task, with times in ms.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RunningTask {
    /// For how long it has run.
    pub elapsed_ms: f64,
    /// What its job's tasks usually take.
    pub typical_run_ms: f64,
}

impl RunningTask {
    fn overruns(&self, tolerance_ms: f64) -> bool {
        self.elapsed_ms > self.typical_run_ms * OVERRUN + tolerance_ms
    }
}

/// Whether a machine with these tasks is slow. One task may be long by itself; several at once on
/// one machine are its doing. `tolerance_ms` is what a run time may seem longer by late heartbeats.
pub(crate) fn is_slow(tasks: impl Iterator<Item = RunningTask>, tolerance_ms: f64) -> bool {
    let (mut running, mut overruns) = (0, 0);
    for task in tasks {
        running += 1;
        overruns += usize::from(task.overruns(tolerance_ms));
    }
    overruns >= MIN_OVERRUNNING_TASKS && overruns * OVERRUN_PART >= running
}

#[cfg(test)]
mod tests;
