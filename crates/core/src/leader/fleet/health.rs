//! Decides whether a failed task is the fault of the machine or of the job.
//!
//! If another task of the job is done or has run for longer elsewhere, the job is healthy and the machine is at fault.
//! The machine goes into quarantine and is then tried with one task. A job that failed on several machines without any
//! such sign is held back, and its failures count against no machine unless some of its tasks run elsewhere. Those
//! running tasks matter when dozens of machines fail at once: a large job then fails many times before its first task
//! ends.

use crate::leader::fleet::machines::MachineIndex;
use crate::model::{Job, MachineHealth, Placement, TaskPlacement};

/// A job counts as failing often after failures on this many machines, or after this many failures.
const FREQUENT_FAILURE_MACHINES: usize = 3;
const FREQUENT_FAILURES: u32 = 6;

/// Consecutive failures of tasks of this many jobs are the machine's fault.
const MIN_FAILED_JOBS: usize = 2;

/// The first pause of a broken job is a quarantine divided by this, and doubles at most `MAX_PAUSE_DOUBLINGS` times.
const FIRST_PAUSES_PER_QUARANTINE: f64 = 8.0;
const MAX_PAUSE_DOUBLINGS: u32 = 4;

/// The pause of a broken job doubles with each failure after the first `FAILURES_BEFORE_DOUBLING`; failures beyond
/// `MAX_COUNTED_FAILURES` do not count.
const FAILURES_BEFORE_DOUBLING: u32 = 3;
const MAX_COUNTED_FAILURES: u32 = 8;

/// Assessment of a job after a failure of one of its tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum JobDiagnosis {
    /// Other tasks of the job are done or ran for longer elsewhere.
    Healthy,
    /// The job has not failed often enough to tell.
    Unknown,
    /// The job fails often, but some of its tasks run on machines where none has failed.
    Suspect,
    /// The job fails everywhere.
    Broken,
}

/// Assessment of a machine after a failure of one of its tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum MachineDiagnosis {
    /// Not enough failures to tell.
    Unknown,
    /// The machine fails tasks that would run well elsewhere.
    Failing,
}

/// Evidence from another placement of the job whose task failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SiblingTaskEvidence {
    /// Whether the task is on another machine and has run for longer than the failed one had.
    pub outlasted: bool,
    /// Whether the task runs on a machine where none of the job's tasks has failed.
    pub runs_on_healthy_machine: bool,
}

/// Failure history of a job, including the current failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct JobFailureEvidence {
    /// Whether any task of the job is done.
    pub any_done: bool,
    /// Number of machines on which tasks of the job have failed.
    pub failed_machines: usize,
    /// Failures since a task of the job last succeeded.
    pub failures: u32,
}

/// Assesses a job after a failure of one of its tasks, from its failure history and its other placements.
pub(crate) fn diagnose_job(
    job: JobFailureEvidence,
    siblings: impl Iterator<Item = SiblingTaskEvidence> + Clone,
) -> JobDiagnosis {
    if job.any_done || siblings.clone().any(|sibling| sibling.outlasted) {
        return JobDiagnosis::Healthy;
    }
    let fails_often = job.failed_machines >= FREQUENT_FAILURE_MACHINES || job.failures >= FREQUENT_FAILURES;
    if !fails_often {
        return JobDiagnosis::Unknown;
    }
    // Tasks that have only just started elsewhere do not show that the job is healthy. But a job with running tasks is
    // not called broken either, because a large job can lose many tasks at once to a few machines.
    let any_running = siblings.clone().any(|sibling| sibling.runs_on_healthy_machine);
    if any_running { JobDiagnosis::Suspect } else { JobDiagnosis::Broken }
}

/// Assesses a machine after a failed task. `health` already counts the failure, unless the job is broken.
pub(crate) fn diagnose_machine(health: &MachineHealth, job: JobDiagnosis) -> MachineDiagnosis {
    let failing = match job {
        JobDiagnosis::Broken => false,
        JobDiagnosis::Healthy => true,
        JobDiagnosis::Unknown | JobDiagnosis::Suspect => {
            health.quarantine_count > 0 || health.failed_job_count() >= MIN_FAILED_JOBS
        }
    };
    if failing { MachineDiagnosis::Failing } else { MachineDiagnosis::Unknown }
}

/// How long a broken job is held back after this many failures, in ms. `quarantine_ms` is the length of a machine's
/// first quarantine.
pub(crate) fn broken_job_pause_ms(failures: u32, quarantine_ms: f64) -> f64 {
    let doublings = (failures.min(MAX_COUNTED_FAILURES) - FAILURES_BEFORE_DOUBLING).min(MAX_PAUSE_DOUBLINGS);
    quarantine_ms / FIRST_PAUSES_PER_QUARANTINE * f64::from(1u32 << doublings)
}

/// A failed task.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FailedTask<'a> {
    /// The machine that it ran on.
    pub machine: &'a str,
    /// How long the task had run, in ms, with an allowance for late heartbeats.
    pub ran_ms: u64,
}

/// Evidence from the placements of a job.
pub(crate) fn sibling_task_evidence<'a>(
    job: &'a Job,
    failed: FailedTask<'a>,
    machines: &'a MachineIndex,
    now: u64,
) -> impl Iterator<Item = SiblingTaskEvidence> + Clone + 'a {
    job.tasks.placements().map(move |sibling| {
        let running_since_ms = placement_of(sibling, machines).and_then(|placement| placement.running_since_ms);
        SiblingTaskEvidence {
            outlasted: *sibling.machine != *failed.machine
                && running_since_ms.is_some_and(|at| now - at > failed.ran_ms),
            runs_on_healthy_machine: running_since_ms.is_some() && !job.failures.machines.contains(&sibling.machine),
        }
    })
}

fn placement_of<'a>(sibling: &TaskPlacement, machines: &'a MachineIndex) -> Option<&'a Placement> {
    machines.get(&sibling.machine)?.placement(sibling.placement_id)
}

#[cfg(test)]
mod tests;
