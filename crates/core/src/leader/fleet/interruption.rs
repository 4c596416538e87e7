//! Handling of a preemption notice: tasks that cannot finish before the cloud takes the machine away are stopped, so
//! that they continue elsewhere.

use crate::model::{Id, Job, Machine, Placement};
use std::collections::BTreeMap;

/// Marks the tasks that must stop before the machine is taken away, each with its time to save a checkpoint. Returns
/// whether any was marked.
pub(crate) fn stop_before_interruption(machine: &mut Machine, jobs: &BTreeMap<Id, Job>, now_ms: u64) -> bool {
    let Some(preemption_at_ms) = machine.lifecycle.preemption_at_ms else { return false };
    let left_s = preemption_at_ms.saturating_sub(now_ms) as f64 / 1000.0;
    let mut any = false;
    for placement in machine.placements.iter_mut().filter(|placement| placement.stop_grace_s.is_none()) {
        let Some(job) = jobs.get(&placement.job) else { continue };
        if !finishes_within(placement, job, left_s, now_ms) {
            placement.stop_grace_s = Some(checkpoint_time_s(job));
            any = true;
        }
    }
    any
}

/// Whether a task ends by itself in the time left, by its job's estimate.
fn finishes_within(placement: &Placement, job: &Job, left_s: f64, now_ms: u64) -> bool {
    let elapsed_s = placement.running_since_ms.map_or(0.0, |since_ms| now_ms.saturating_sub(since_ms) as f64 / 1000.0);
    let remaining_s = job.spec.estimated_run_s - elapsed_s;
    !job.is_service() && remaining_s <= left_s
}

/// Time that a task of a job needs to save a checkpoint, in seconds; 0 for a job without checkpoints.
fn checkpoint_time_s(job: &Job) -> f64 {
    if job.spec.checkpoint_interval_s > 0.0 { job.spec.checkpoint_duration_s } else { 0.0 }
}

#[cfg(test)]
mod tests;
