//! Applies the findings of a heartbeat to its machine and to the progress of jobs.

use crate::leader::fleet::reconciliation::Finding;
use crate::model::{Id, Job, Machine, Placement, PlacementState};
use shaleshunt_wire::worker::ExitCause;
use std::collections::BTreeMap;

/// A placement whose task has ended.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct EndedPlacement {
    /// Number of the placement.
    pub placement_id: u64,
    /// Exit cause.
    pub cause: ExitCause,
}

/// What the leader still has to do after the findings were applied.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct FindingEffects {
    /// Placements proven gone by a newer agent epoch.
    pub earlier_agent_epoch: Vec<u64>,
    /// Placements proven gone because the heartbeat lacks them.
    pub absent: Vec<u64>,
    /// Placements whose tasks are proven ended.
    pub ended: Vec<EndedPlacement>,
    /// Whether a start command was lost and must be sent again.
    pub start_lost: bool,
    /// Whether the token has to be raised before a placement that the heartbeat lacks is proven gone.
    pub unfenced: bool,
}

/// Applies one finding per placement of the machine, in the order of the placements, and returns which of them to
/// release. `disk_gb` is the capacity of the machine's disk.
pub(crate) fn apply_findings(
    machine: &mut Machine,
    jobs: &mut BTreeMap<Id, Job>,
    findings: &[Finding],
    disk_gb: f64,
    now: u64,
) -> FindingEffects {
    let mut effects = FindingEffects::default();
    for (placement, finding) in machine.placements.iter_mut().zip(findings) {
        let placement_id = placement.placement_id;
        match *finding {
            Finding::EarlierAgentEpoch => effects.earlier_agent_epoch.push(placement_id),
            Finding::Absent => effects.absent.push(placement_id),
            Finding::Ended(cause) => effects.ended.push(EndedPlacement { placement_id, cause }),
            Finding::Unfenced => effects.unfenced = true,
            Finding::StartLost => {
                placement.start_sent = false;
                effects.start_lost = true;
            }
            Finding::Present(state) => {
                let first_run = placement.running_since_ms.is_none() && state.is_running();
                if let Some(job) = update_state(placement, state, jobs, now).filter(|_| first_run) {
                    machine.images.touch(job.image, job.spec.image_gb, disk_gb);
                }
            }
            Finding::EndedUnproven | Finding::NoChange => {}
        }
    }
    effects
}

/// Updates a placement to the state in the heartbeat. Returns its job if the task thereby starts or stops running.
fn update_state<'a>(
    placement: &mut Placement,
    state: PlacementState,
    jobs: &'a mut BTreeMap<Id, Job>,
    now: u64,
) -> Option<&'a Job> {
    let was_running = placement.state.is_running();
    placement.start_sent = true;
    placement.state = state;
    if state == PlacementState::Running && placement.running_since_ms.is_none() {
        placement.running_since_ms = Some(now);
    }
    if was_running == state.is_running() {
        return None;
    }
    let job = jobs.get_mut(&placement.job)?;
    if was_running {
        job.tasks.placement_paused();
    } else {
        job.tasks.placement_started();
    }
    Some(job)
}

#[cfg(test)]
mod tests;
