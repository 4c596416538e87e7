//! Whether it is the machine or the job that fails.
//!
//! Machines that fail everything are told from jobs that fail everywhere: a job of which other tasks
//! have run for longer elsewhere is fine, so it is the machine; it is put in quarantine, then tried
//! with one task. A job that failed on several machines without any such sign is held back and
//! counts against no machine. With dozens of machines failing at once, a large job fails many times
//! before its first task ends.

use crate::leader::fleet::machines::MachineIndex;
use crate::model::{Job, MachineHealth, Placement, TaskPlacement};

/// A job that failed on so many machines, or so many times, fails often.
const OFTEN_MACHINES: usize = 3;
const OFTEN_FAILURES: u32 = 6;

/// Failures of tasks of so many jobs in a row are the machine's fault.
const FAILED_JOBS: usize = 2;

/// A broken job's pause begins at so small a part of a quarantine, and doubles at most so many times.
const FIRST_PAUSE_PART: f64 = 8.0;
const MOST_DOUBLINGS: u32 = 4;

/// Failures from which on a broken job's pause doubles, and up to which they are counted.
const FIRST_DOUBLING: u32 = 3;
const COUNTED_FAILURES: u32 = 8;

/// What a failure tells of its job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum JobDiagnosis {
    /// Its tasks do well elsewhere.
    Healthy,
    /// It has not failed often.
    Unknown,
    /// It fails often, but some of its tasks run on machines where none failed.
    Suspect,
    /// It fails everywhere.
    Broken,
}

/// What a failure tells of its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum MachineDiagnosis {
    /// Nothing yet.
    Unknown,
    /// It fails tasks that would do well elsewhere.
    Failing,
}

/// A task of the job that failed, on another machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SiblingTaskEvidence {
    /// It has run for longer than the failed one had.
    pub outlasted: bool,
    /// It runs, on a machine where none of the job's tasks failed.
    pub runs_on_healthy_machine: bool,
}

/// What is known of a job when one of its tasks has failed, that failure included.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct JobFailureEvidence {
    /// A task of it is done.
    pub any_done: bool,
    /// Machines on which tasks failed.
    pub failed_machines: usize,
    /// Failures since a task succeeded.
    pub failures: u32,
}

/// Judges a job of which a task failed, given its other tasks that are on machines.
pub(crate) fn diagnose_job(
    job: JobFailureEvidence,
    mates: impl Iterator<Item = SiblingTaskEvidence> + Clone,
) -> JobDiagnosis {
    if job.any_done || mates.clone().any(|mate| mate.outlasted) {
        return JobDiagnosis::Healthy;
    }
    let often = job.failed_machines >= OFTEN_MACHINES || job.failures >= OFTEN_FAILURES;
    if !often {
        return JobDiagnosis::Unknown;
    }
    // Tasks that have only just begun elsewhere are no sign that the job is sound, but a job of
    // which some run is not called broken: a large one loses many tasks at once to a few machines.
    let some_run = mates.clone().any(|mate| mate.runs_on_healthy_machine);
    if some_run { JobDiagnosis::Suspect } else { JobDiagnosis::Broken }
}

/// Judges a machine on which a task failed. Its health already counts the failure, unless that is
/// the job's fault.
pub(crate) fn diagnose_machine(health: &MachineHealth, job: JobDiagnosis) -> MachineDiagnosis {
    let failing = match job {
        JobDiagnosis::Broken => false,
        JobDiagnosis::Healthy => true,
        JobDiagnosis::Unknown | JobDiagnosis::Suspect => {
            health.quarantine_count > 0 || health.failed_job_count() >= FAILED_JOBS
        }
    };
    if failing { MachineDiagnosis::Failing } else { MachineDiagnosis::Unknown }
}

/// For how long a broken job is held back after so many failures, given the length of a machine's
/// quarantine; both in ms.
pub(crate) fn broken_job_pause_ms(failures: u32, quarantine_ms: f64) -> f64 {
    let doublings = (failures.min(COUNTED_FAILURES) - FIRST_DOUBLING).min(MOST_DOUBLINGS);
    quarantine_ms / FIRST_PAUSE_PART * f64::from(1u32 << doublings)
}

/// A task that failed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FailedTask<'a> {
    /// The machine that it was on.
    pub machine: &'a str,
    /// For how long it had run, with allowance for late heartbeats, in ms.
    pub ran_ms: u64,
}

/// What the placements of a job's other tasks tell.
pub(crate) fn sibling_task_evidence<'a>(
    job: &'a Job,
    failed: FailedTask<'a>,
    machines: &'a MachineIndex,
    now: u64,
) -> impl Iterator<Item = SiblingTaskEvidence> + Clone + 'a {
    job.tasks.placements().map(move |mate| {
        let running_since = placement_of(mate, machines).and_then(|placement| placement.running_since_ms);
        SiblingTaskEvidence {
            outlasted: *mate.machine != *failed.machine && running_since.is_some_and(|at| now - at > failed.ran_ms),
            runs_on_healthy_machine: running_since.is_some() && !job.failures.machines.contains(&mate.machine),
        }
    })
}

fn placement_of<'a>(mate: &TaskPlacement, machines: &'a MachineIndex) -> Option<&'a Placement> {
    machines.get(&mate.machine)?.placement(mate.placement_id)
}

#[cfg(test)]
mod tests;
