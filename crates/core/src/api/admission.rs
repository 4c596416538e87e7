//! Admission control: checks whether a submission can ever run, given the team's limit and the machine types.

use crate::api::answers::RefusalReason;
use crate::settings::Settings;
use shaleshunt_wire::Resources;
use shaleshunt_wire::cloud::{Catalog, MachineType};
use shaleshunt_wire::user::{JobKind, Submission};

/// Checks that a job can run on an otherwise empty cluster.
///
/// # Errors
/// Returns the reason why the job can never run.
pub(super) fn check(settings: &Settings, catalog: &Catalog, submission: &Submission) -> Result<(), RefusalReason> {
    let team = settings.teams.get(&submission.team).ok_or(RefusalReason::UnknownTeam)?;
    let need = submission.task_resources();
    let fits = |machine_type: &MachineType| allows(submission, machine_type) && machine_type.resources().fits(&need);
    if !catalog.machine_types.iter().any(fits) {
        return Err(RefusalReason::NoMachineTypeFits);
    }
    let mut total = Resources::default();
    total.add(&need, min_concurrent_tasks(submission));
    if !team.within_limit(&total) {
        return Err(RefusalReason::OverTeamLimit);
    }
    Ok(())
}

/// Returns whether the submission allows machines of a type.
fn allows(submission: &Submission, machine_type: &MachineType) -> bool {
    let named = submission.machine_types.as_ref().is_none_or(|names| names.contains(&machine_type.name));
    // A machine type without zones is available in all zones.
    let zone = |zone: &String| machine_type.zones.is_empty() || machine_type.zones.contains(zone);
    named && submission.zone.as_ref().is_none_or(zone)
}

/// Returns the minimum number of tasks that must run at the same time: 1 for an array, whose tasks are independent.
fn min_concurrent_tasks(submission: &Submission) -> i64 {
    match submission.kind {
        JobKind::Array => 1,
        JobKind::Service | JobKind::Gang => i64::from(submission.tasks),
    }
}

#[cfg(test)]
mod tests;
