//! What a controller logs: typed events with a stable name, a severity and named values.
//!
//! The core only emits events, as effects in order; the process around it renders them.

mod fields;
mod leader_status;
mod severity;
mod value;

pub use crate::step_down::{ForeignWrite, StepDownReason};
pub use leader_status::LeaderStatus;
pub use severity::Severity;
pub use value::EventValue;

use crate::capacity::InsufficientSetting;
use crate::model::Id;
use shaleshunt_wire::Epoch;
use shaleshunt_wire::worker::ExitCause;
use std::fmt;

/// Something that happened, for the log.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// This node was elected: it holds the leader's lease and has raised the epoch by compare-and-swap.
    LeaderElected {
        /// The new epoch; it is part of every fencing token that this leader hands out.
        epoch: Epoch,
    },
    /// Failover is complete: the new leader has read all records and begins to schedule.
    LeaderStateLoaded {
        /// The leader's epoch.
        epoch: Epoch,
        /// Unfinished jobs.
        jobs: usize,
        /// Known machines.
        machines: usize,
    },
    /// This node gives up leadership.
    LeaderSteppedDown {
        /// The epoch that it led.
        epoch: Epoch,
        /// Why.
        reason: StepDownReason,
    },
    /// The leader's figures, once a reporting interval.
    LeaderStatus(Box<LeaderStatus>),
    /// The state service fails only this node: its requests are relayed through a peer.
    StateServiceRelayStarted {
        /// The peer.
        peer: String,
    },
    /// The state service serves this node directly again; nothing is relayed any more.
    StateServiceRelayEnded,
    /// The state service throttles: fewer writes a second are sent from here on.
    WriteRateReduced {
        /// The new rate.
        writes_per_s: f64,
    },
    /// The state service refused a transaction as malformed or too large.
    TransactionRejected {
        /// What the service said.
        reason: String,
    },
    /// A record at the state service cannot be decoded; it is left out.
    RecordUnreadable {
        /// The record's key.
        key: String,
    },
    /// The parts of a submission that takes more than one value do not make up a submission.
    SubmissionPartsUnreadable {
        /// What the parts' keys begin with.
        prefix: String,
    },
    /// A job was committed and acknowledged to its user.
    JobAccepted {
        /// The job.
        job: Id,
    },
    /// A user's cancellation was committed.
    JobCancellationRecorded {
        /// The job.
        job: Id,
    },
    /// A job ended by cancellation: its final record is committed.
    JobCancelled {
        /// The job.
        job: Id,
    },
    /// A job's tasks are all done: its final record is committed.
    JobCompleted {
        /// The job.
        job: Id,
    },
    /// All dependencies of a job have completed: its tasks may be placed.
    JobDependenciesMet {
        /// The job.
        job: Id,
    },
    /// A job is cancelled because a dependency of it was.
    JobCancelledByDependency {
        /// The dependent job.
        job: Id,
    },
    /// A job that would miss its deadline on owned machines is offloaded to rented machines.
    JobOffloaded {
        /// The job.
        job: Id,
    },
    /// A task's attempt failed.
    TaskFailed {
        /// The task.
        task: String,
        /// The machine that ran it.
        machine: Id,
        /// What the machine reports as the cause.
        cause: ExitCause,
    },
    /// Preemption: tasks on a machine are stopped to make room for a more urgent job.
    TasksPreempted {
        /// The machine.
        machine: Id,
        /// The job that gets the room.
        job: Id,
        /// How many tasks are stopped.
        tasks: usize,
    },
    /// A machine that is not in the leader's records reports: it is taken into the cluster.
    MachineAdopted {
        /// The machine.
        machine: Id,
    },
    /// A machine announces that the provider takes it back (spot interruption).
    MachineInterruptionNotice {
        /// The machine.
        machine: Id,
        /// Seconds left.
        seconds_left: f64,
    },
    /// A machine sent no heartbeat until lease expiry: its tasks have stopped by themselves and are placed anew.
    MachineLeaseExpired {
        /// The machine.
        machine: Id,
        /// How many tasks it held.
        tasks: usize,
    },
    /// A machine fails its tasks: it is in quarantine and gets none for a while.
    MachineQuarantined {
        /// The machine.
        machine: Id,
        /// How long the quarantine lasts, in seconds.
        seconds: f64,
    },
    /// Several tasks at once overrun on a machine: little is placed there for a while.
    MachineSlow {
        /// The machine.
        machine: Id,
    },
    /// No machine of a zone is heard, as in a network partition: nothing new is placed there.
    ZoneUnreachable {
        /// The zone.
        zone: String,
    },
    /// Reconciliation with the provider's first list: machines that were up then count as owned.
    OwnedMachinesRecorded {
        /// How many.
        machines: usize,
    },
    /// A setting grants less than the cluster needs.
    SettingTooSmall(InsufficientSetting),
    /// Scale out: the provider granted machines, perhaps fewer than requested.
    ScaleOutGranted {
        /// Name of the request; it makes a repeated request idempotent.
        request: String,
        /// The zone.
        zone: String,
        /// Machines granted.
        granted: usize,
        /// Machines requested.
        requested: u32,
    },
    /// Scale out: the provider has no capacity; the request is over.
    ScaleOutNoCapacity {
        /// Name of the request.
        request: String,
        /// The zone.
        zone: String,
    },
    /// Scale out: the provider refused the request as invalid.
    ScaleOutRejected {
        /// Name of the request.
        request: String,
        /// What the provider said.
        reason: String,
    },
    /// Scale in: the provider confirmed that a machine is given back.
    ScaleInCompleted {
        /// The machine.
        machine: Id,
    },
}

impl Event {
    /// The names of all events, in the order of the variants. `docs/operations.md` has an entry for each.
    pub const NAMES: [&str; 31] = [
        "leader_elected",
        "leader_state_loaded",
        "leader_stepped_down",
        "leader_status",
        "state_service_relay_started",
        "state_service_relay_ended",
        "write_rate_reduced",
        "transaction_rejected",
        "record_unreadable",
        "submission_parts_unreadable",
        "job_accepted",
        "job_cancellation_recorded",
        "job_cancelled",
        "job_completed",
        "job_dependencies_met",
        "job_cancelled_by_dependency",
        "job_offloaded",
        "task_failed",
        "tasks_preempted",
        "machine_adopted",
        "machine_interruption_notice",
        "machine_lease_expired",
        "machine_quarantined",
        "machine_slow",
        "zone_unreachable",
        "owned_machines_recorded",
        "setting_too_small",
        "scale_out_granted",
        "scale_out_no_capacity",
        "scale_out_rejected",
        "scale_in_completed",
    ];

    /// How much it matters to an operator.
    pub fn severity(&self) -> Severity {
        match self {
            Event::TransactionRejected { .. }
            | Event::RecordUnreadable { .. }
            | Event::SubmissionPartsUnreadable { .. }
            | Event::ScaleOutRejected { .. } => Severity::Error,
            Event::LeaderElected { .. }
            | Event::LeaderStateLoaded { .. }
            | Event::LeaderSteppedDown { .. }
            | Event::StateServiceRelayStarted { .. }
            | Event::StateServiceRelayEnded
            | Event::WriteRateReduced { .. }
            | Event::JobCancellationRecorded { .. }
            | Event::MachineLeaseExpired { .. }
            | Event::MachineQuarantined { .. }
            | Event::ZoneUnreachable { .. }
            | Event::OwnedMachinesRecorded { .. }
            | Event::SettingTooSmall(_)
            | Event::ScaleOutGranted { .. } => Severity::Info,
            Event::LeaderStatus(_)
            | Event::JobAccepted { .. }
            | Event::JobCancelled { .. }
            | Event::JobCompleted { .. }
            | Event::JobDependenciesMet { .. }
            | Event::JobCancelledByDependency { .. }
            | Event::JobOffloaded { .. }
            | Event::TaskFailed { .. }
            | Event::TasksPreempted { .. }
            | Event::MachineAdopted { .. }
            | Event::MachineInterruptionNotice { .. }
            | Event::MachineSlow { .. }
            | Event::ScaleOutNoCapacity { .. }
            | Event::ScaleInCompleted { .. } => Severity::Debug,
        }
    }

    /// Its name, which stays the same between versions.
    pub fn name(&self) -> &'static str {
        match self {
            Event::LeaderElected { .. } => "leader_elected",
            Event::LeaderStateLoaded { .. } => "leader_state_loaded",
            Event::LeaderSteppedDown { .. } => "leader_stepped_down",
            Event::LeaderStatus(_) => "leader_status",
            Event::StateServiceRelayStarted { .. } => "state_service_relay_started",
            Event::StateServiceRelayEnded => "state_service_relay_ended",
            Event::WriteRateReduced { .. } => "write_rate_reduced",
            Event::TransactionRejected { .. } => "transaction_rejected",
            Event::RecordUnreadable { .. } => "record_unreadable",
            Event::SubmissionPartsUnreadable { .. } => "submission_parts_unreadable",
            Event::JobAccepted { .. } => "job_accepted",
            Event::JobCancellationRecorded { .. } => "job_cancellation_recorded",
            Event::JobCancelled { .. } => "job_cancelled",
            Event::JobCompleted { .. } => "job_completed",
            Event::JobDependenciesMet { .. } => "job_dependencies_met",
            Event::JobCancelledByDependency { .. } => "job_cancelled_by_dependency",
            Event::JobOffloaded { .. } => "job_offloaded",
            Event::TaskFailed { .. } => "task_failed",
            Event::TasksPreempted { .. } => "tasks_preempted",
            Event::MachineAdopted { .. } => "machine_adopted",
            Event::MachineInterruptionNotice { .. } => "machine_interruption_notice",
            Event::MachineLeaseExpired { .. } => "machine_lease_expired",
            Event::MachineQuarantined { .. } => "machine_quarantined",
            Event::MachineSlow { .. } => "machine_slow",
            Event::ZoneUnreachable { .. } => "zone_unreachable",
            Event::OwnedMachinesRecorded { .. } => "owned_machines_recorded",
            Event::SettingTooSmall(_) => "setting_too_small",
            Event::ScaleOutGranted { .. } => "scale_out_granted",
            Event::ScaleOutNoCapacity { .. } => "scale_out_no_capacity",
            Event::ScaleOutRejected { .. } => "scale_out_rejected",
            Event::ScaleInCompleted { .. } => "scale_in_completed",
        }
    }

    /// Its fields as `key=value`, separated by spaces.
    pub fn details(&self) -> Details<'_> {
        Details(self)
    }
}

/// An event's fields, rendered when they are written.
#[derive(Debug, Clone, Copy)]
pub struct Details<'a>(&'a Event);

impl fmt::Display for Details<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, (key, value)) in self.0.fields().into_iter().enumerate() {
            if i > 0 {
                write!(f, " ")?;
            }
            write!(f, "{key}={value}")?;
        }
        Ok(())
    }
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "event={}", self.name())?;
        for (key, value) in self.fields() {
            write!(f, " {key}={value}")?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
