//! What a heartbeat's findings change on its machine and in the progress of jobs.

use crate::leader::fleet::reconciliation::Finding;
use crate::model::{Id, Job, Machine, Placement, PlacementState};
use shaleshunt_wire::worker::ExitCause;
use std::collections::BTreeMap;

/// A placement whose task has ended.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct EndedPlacement {
    /// Its number.
    pub placement_id: u64,
    /// Why it ended.
    pub cause: ExitCause,
}

/// What is left to be done about a heartbeat's findings.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct FindingEffects {
    /// Placements proven gone by a newer agent epoch.
    pub earlier_agent_epoch: Vec<u64>,
    /// Placements proven gone by their absence.
    pub absent: Vec<u64>,
    /// Placements proven ended.
    pub ended: Vec<EndedPlacement>,
    /// A start command has been lost and is to be sent again.
    pub start_lost: bool,
}

/// Applies what a heartbeat tells of each placement of a machine, in their order, and returns what
/// is to be released. `disk_gb` is how much the machine's disk holds.
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
            Finding::StartLost => {
                placement.start_sent = false;
                effects.start_lost = true;
            }
            Finding::Present(state) => {
                let first_run = placement.running_since_ms.is_none() && state.is_running();
                if let Some(job) = advance(placement, state, jobs, now).filter(|_| first_run) {
                    machine.images.touch(job.image, job.spec.image_gb, disk_gb);
                }
            }
            Finding::EndedUnproven | Finding::NoChange => {}
        }
    }
    effects
}

/// Takes over the state that a machine shows of a placement. Returns its job if that makes the task
/// begin or cease to run.
fn advance<'a>(
    placement: &mut Placement,
    state: PlacementState,
    jobs: &'a mut BTreeMap<Id, Job>,
    now: u64,
) -> Option<&'a Job> {
    let ran = placement.state.is_running();
    placement.start_sent = true;
    placement.state = state;
    if state == PlacementState::Running && placement.running_since_ms.is_none() {
        placement.running_since_ms = Some(now);
    }
    if ran == state.is_running() {
        return None;
    }
    let job = jobs.get_mut(&placement.job)?;
    if ran {
        job.tasks.placement_paused();
    } else {
        job.tasks.placement_started();
    }
    Some(job)
}

#[cfg(test)]
mod tests;
