//! Placement constraints of a job: machine types, spot machines, zones, and the distribution of its tasks over
//! zones.

use crate::model::{Job, Machine};

/// The properties of a machine or of a cloud offer that constraints depend on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct MachineKind<'a> {
    pub(crate) machine_type: &'a str,
    pub(crate) zone: &'a str,
    /// Whether the cloud may reclaim the machine.
    pub(crate) spot: bool,
}

impl<'a> MachineKind<'a> {
    /// The kind of an existing machine.
    pub(crate) fn of(machine: &'a Machine) -> MachineKind<'a> {
        MachineKind { machine_type: &machine.machine_type, zone: &machine.zone, spot: machine.spot }
    }
}

/// Whether the job may use machines of this kind. Neither free resources nor [`zone_headroom`] are checked.
pub(crate) fn allows(job: &Job, kind: MachineKind) -> bool {
    let spec = &job.spec;
    (spec.spot || !kind.spot)
        && spec.machine_types.as_ref().is_none_or(|types| types.iter().any(|name| name == kind.machine_type))
        && spec.zone.as_ref().is_none_or(|zone| zone == kind.zone)
}

/// Number of further tasks of the job that may be placed in this zone, given the zones of its other tasks. Tasks
/// on machines whose zone is not known yet count in every zone.
pub(crate) fn zone_headroom(job: &Job, zone: &str) -> u32 {
    if job.spec.single_zone && job.tasks.zones().any(|other| other != zone) {
        return 0;
    }
    job.max_tasks_per_zone().saturating_sub(tasks_in_zone(job, zone)).saturating_sub(tasks_in_zone(job, ""))
}

/// Number of tasks of the job that are placed in this zone.
pub(crate) fn tasks_in_zone(job: &Job, zone: &str) -> u32 {
    job.tasks.placements_in_zone(zone)
}
