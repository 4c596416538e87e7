//! Detection of slow machines by tasks that overrun their usual run time.

/// A task overruns once it has run for this many times the usual run time of its job's tasks.
const OVERRUN_FACTOR: f64 = 1.5;

/// A machine is slow if at least this many of its tasks overrun, and at least one in `RUNNING_PER_OVERRUNNING_TASK` of
/// its running tasks.
pub(crate) const MIN_OVERRUNNING_TASKS: usize = 3;
const RUNNING_PER_OVERRUNNING_TASK: usize = 3;

/// Number of ended tasks of a job after which their mean counts as the usual run time.
pub(crate) const MIN_RUN_TIMES: u32 = 3;

/// A running task.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RunningTask {
    /// How long the task has run, in ms.
    pub elapsed_ms: f64,
    /// Usual run time of the job's tasks, in ms.
    pub typical_run_ms: f64,
}

impl RunningTask {
    fn overruns(&self, tolerance_ms: f64) -> bool {
        self.elapsed_ms > self.typical_run_ms * OVERRUN_FACTOR + tolerance_ms
    }
}

/// Whether a machine with these running tasks is slow. One task may be long by itself, but several at once on one
/// machine point to the machine. `tolerance_ms` is how much longer a run time may seem because of late heartbeats.
pub(crate) fn is_slow(tasks: impl Iterator<Item = RunningTask>, tolerance_ms: f64) -> bool {
    let (mut running, mut overruns) = (0, 0);
    for task in tasks {
        running += 1;
        overruns += usize::from(task.overruns(tolerance_ms));
    }
    overruns >= MIN_OVERRUNNING_TASKS && overruns * RUNNING_PER_OVERRUNNING_TASK >= running
}

#[cfg(test)]
mod tests;
