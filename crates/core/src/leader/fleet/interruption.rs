//! Tasks on a machine that the cloud is about to take away: those that cannot finish in time are
//! stopped, to go on elsewhere.

use crate::model::{Id, Job, Machine, Placement};
use std::collections::BTreeMap;

/// Marks the tasks to be stopped before a machine is taken away, with their time to save. Returns
/// whether there are any.
pub(crate) fn stop_before_interruption(machine: &mut Machine, jobs: &BTreeMap<Id, Job>, now: u64) -> bool {
    let Some(taken_at) = machine.lifecycle.preemption_at_ms else { return false };
    let left_s = taken_at.saturating_sub(now) as f64 / 1000.0;
    let mut any = false;
    for placement in machine.placements.iter_mut().filter(|placement| placement.stop_grace_s.is_none()) {
        let Some(job) = jobs.get(&placement.job) else { continue };
        if !finishes_in(placement, job, left_s, now) {
            placement.stop_grace_s = Some(checkpoint_time_s(job));
            any = true;
        }
    }
    any
}

/// Whether a task ends by itself in the time left, by its job's estimate.
fn finishes_in(placement: &Placement, job: &Job, left_s: f64, now: u64) -> bool {
    let ran_s = placement.running_since_ms.map_or(0.0, |since| now.saturating_sub(since) as f64 / 1000.0);
    let rest_s = job.spec.estimated_run_s - ran_s;
    !job.is_service() && rest_s <= left_s
}

/// The time that a task of a job needs to save its progress, none if it does not.
fn checkpoint_time_s(job: &Job) -> f64 {
    if job.spec.checkpoint_interval_s > 0.0 { job.spec.checkpoint_duration_s } else { 0.0 }
}

#[cfg(test)]
mod tests;
