//! A job's placement constraints: machine types, spot machines, zones and how its tasks spread over them.

use crate::model::{Job, Machine};

/// What a job's constraints look at in a machine or in an offer of the cloud.
#[derive(Debug, Clone, Copy)]
pub(crate) struct MachineKind<'a> {
    pub(crate) machine_type: &'a str,
    pub(crate) zone: &'a str,
    /// Whether the cloud may take the machine back.
    pub(crate) spot: bool,
}

impl<'a> MachineKind<'a> {
    /// The kind of a known machine.
    pub(crate) fn of(machine: &'a Machine) -> MachineKind<'a> {
        MachineKind { machine_type: &machine.machine_type, zone: &machine.zone, spot: machine.spot }
    }
}

/// Whether the job may use machines of this kind. Free resources and [`zone_headroom`] are not looked at.
pub(crate) fn allows(job: &Job, kind: MachineKind) -> bool {
    let spec = &job.spec;
    (spec.spot || !kind.spot)
        && spec.machine_types.as_ref().is_none_or(|types| types.iter().any(|name| name == kind.machine_type))
        && spec.zone.as_ref().is_none_or(|zone| zone == kind.zone)
}

/// How many further tasks of the job may be in this zone, given where its other tasks are. Tasks on
/// machines whose zone is not known yet count in every zone.
pub(crate) fn zone_headroom(job: &Job, zone: &str) -> u32 {
    if job.spec.single_zone && job.tasks.zones().any(|other| other != zone) {
        return 0;
    }
    job.max_tasks_per_zone().saturating_sub(tasks_in_zone(job, zone)).saturating_sub(tasks_in_zone(job, ""))
}

/// How many tasks of the job are placed in this zone.
pub(crate) fn tasks_in_zone(job: &Job, zone: &str) -> u32 {
    job.tasks.placements_in_zone(zone)
}
