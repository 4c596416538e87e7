//! Names and values of the fields of each event.

use super::{Event, EventValue, StepDownReason};
use crate::capacity::InsufficientSetting;
use shaleshunt_wire::worker::ExitCause;
use shaleshunt_wire::{Epoch, Revision};

/// Name of a field, stable between versions, and its value.
pub(super) type Field<'a> = (&'static str, EventValue<'a>);

pub(super) fn field<'a>(name: &'static str, value: impl Into<EventValue<'a>>) -> Field<'a> {
    (name, value.into())
}

impl Event {
    /// Fields of the event in the order in which they are logged.
    pub fn fields(&self) -> Vec<Field<'_>> {
        match self {
            Event::LeaderElected { epoch, token } => vec![field("epoch", *epoch), field("token", token.0)],
            Event::LeaderStateLoaded { epoch, jobs, machines, revision, seconds } => {
                state_loaded_fields(*epoch, [*jobs, *machines], *revision, *seconds)
            }
            Event::LeaderSteppedDown { epoch, reason } => step_down_fields(*epoch, reason),
            Event::LeaderStatus(status) => status.fields(),
            Event::StateServiceRelayStarted { peer } => vec![field("peer", peer.as_str())],
            Event::StateServiceRelayEnded => Vec::new(),
            Event::WriteRateReduced { writes_per_s } => vec![field("writes_per_s", *writes_per_s)],
            Event::TransactionRejected { reason } => vec![field("reason", reason.as_str())],
            Event::RecordUnreadable { key } => vec![field("key", key.as_str())],
            Event::SubmissionPartsUnreadable { prefix } | Event::SubmissionPartsUnreferenced { prefix } => {
                vec![field("prefix", prefix.as_str())]
            }
            Event::SubmissionPartsRemoved { prefix, job_known } => parts_removed_fields(prefix, *job_known),
            Event::JobAccepted { job }
            | Event::JobCancellationRecorded { job }
            | Event::JobCancelled { job }
            | Event::JobCompleted { job }
            | Event::JobDependenciesMet { job }
            | Event::JobCancelledByDependency { job }
            | Event::JobOffloaded { job } => vec![field("job", &**job)],
            Event::JobDependenciesChecked(check) => check.fields(),
            Event::TaskFailed { task, machine, cause } => task_failed_fields(task, machine, cause),
            Event::Agent(event) => event.fields(),
            Event::TasksPreempted { machine, job, tasks } => {
                vec![field("machine", &**machine), field("job", &**job), field("tasks", *tasks)]
            }
            Event::MachineAdopted { machine }
            | Event::MachineSlow { machine }
            | Event::ScaleInCompleted { machine } => vec![field("machine", &**machine)],
            Event::MachineInterruptionNotice { machine, seconds_left } => {
                machine_fields(machine, field("seconds_left", *seconds_left))
            }
            Event::MachineLeaseExpired { machine, tasks } => machine_fields(machine, field("tasks", *tasks)),
            Event::MachineQuarantined { machine, seconds } => machine_fields(machine, field("seconds", *seconds)),
            Event::ZoneUnreachable { zone } => vec![field("zone", zone.as_str())],
            Event::OwnedMachinesRecorded { machines } => vec![field("machines", *machines)],
            Event::SettingTooSmall(insufficient) => insufficient_setting_fields(insufficient),
            Event::ScaleOutGranted { request, zone, granted, requested } => {
                granted_fields(request, zone, *granted, *requested)
            }
            Event::ScaleOutNoCapacity { request, zone } => scale_out_fields(request, zone),
            Event::ScaleOutRejected { request, reason } => {
                vec![field("request", request.as_str()), field("reason", reason.as_str())]
            }
        }
    }
}

fn state_loaded_fields<'a>(
    epoch: Epoch,
    [jobs, machines]: [usize; 2],
    revision: Revision,
    seconds: f64,
) -> Vec<Field<'a>> {
    let counts = [field("epoch", epoch), field("jobs", jobs), field("machines", machines)];
    counts.into_iter().chain([field("revision", revision.0), field("seconds", seconds)]).collect()
}

fn parts_removed_fields(prefix: &str, job_known: bool) -> Vec<Field<'_>> {
    vec![field("prefix", prefix), field("job_known", job_known)]
}

/// The machine and one more field.
fn machine_fields<'a>(machine: &'a str, other: Field<'a>) -> Vec<Field<'a>> {
    vec![field("machine", machine), other]
}

/// The name of a scale-out request and its zone.
fn scale_out_fields<'a>(request: &'a str, zone: &'a str) -> Vec<Field<'a>> {
    vec![field("request", request), field("zone", zone)]
}

fn granted_fields<'a>(request: &'a str, zone: &'a str, granted: usize, requested: u32) -> Vec<Field<'a>> {
    let counts = [field("granted", granted), field("requested", requested)];
    scale_out_fields(request, zone).into_iter().chain(counts).collect()
}

fn task_failed_fields<'a>(task: &'a str, machine: &'a str, cause: &ExitCause) -> Vec<Field<'a>> {
    vec![field("task", task), field("machine", machine), field("cause", format!("{cause:?}"))]
}

fn step_down_fields(epoch: Epoch, reason: &StepDownReason) -> Vec<Field<'_>> {
    vec![field("epoch", epoch), field("reason", reason.name()), field("detail", reason.to_string())]
}

fn insufficient_setting_fields(insufficient: &InsufficientSetting) -> Vec<Field<'_>> {
    vec![
        field("setting", insufficient.setting),
        field("value", insufficient.value),
        field("least", insufficient.required),
        field("machines", insufficient.machines),
    ]
}
