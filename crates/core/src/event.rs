//! Log events of a controller: each has a stable name, a severity and named fields.
//!
//! The core emits events as effects, in order; the surrounding process writes them to the log.

mod agent_event;
mod dependency_check;
mod fields;
mod leader_status;
mod severity;
mod value;

pub use crate::step_down::{ForeignWrite, StepDownReason};
pub use agent_event::{AgentEvent, AttemptOnMachine, RefusedCall, StopReason};
pub use dependency_check::DependencyCheck;
pub use leader_status::LeaderStatus;
pub use severity::Severity;
pub use value::EventValue;

use crate::capacity::InsufficientSetting;
use crate::model::Id;
use shaleshunt_wire::worker::ExitCause;
use shaleshunt_wire::{Epoch, FencingToken, Revision};
use std::fmt;

/// An event for the log.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// This controller was elected: it holds the leader lease and has raised the leader epoch by compare-and-swap.
    LeaderElected {
        /// New leader epoch, part of every fencing token that this leader issues.
        epoch: Epoch,
        /// Lowest fencing token of the epoch.
        token: FencingToken,
    },
    /// Recovery is complete: the new leader has read all records and begins to schedule.
    LeaderStateLoaded {
        /// Leader epoch.
        epoch: Epoch,
        /// Number of unfinished jobs.
        jobs: usize,
        /// Number of known machines.
        machines: usize,
        /// Revision at which the first records were read; later changes come with the watch.
        revision: Revision,
        /// Time since the election, in seconds.
        seconds: f64,
    },
    /// This controller gives up leadership.
    LeaderSteppedDown {
        /// Leader epoch that ends.
        epoch: Epoch,
        /// Reason for stepping down.
        reason: StepDownReason,
    },
    /// Metrics of the leader, emitted at regular intervals.
    LeaderStatus(Box<LeaderStatus>),
    /// The key-value store fails for this controller only: its requests are relayed through a peer.
    StateServiceRelayStarted {
        /// Node name of the peer.
        peer: String,
    },
    /// The key-value store serves this controller directly again; requests are no longer relayed.
    StateServiceRelayEnded,
    /// The key-value store throttles: the leader's write rate is reduced.
    WriteRateReduced {
        /// New rate, in writes per second.
        writes_per_s: f64,
    },
    /// The key-value store rejected a transaction as malformed or too large.
    TransactionRejected {
        /// Reason that the store gave.
        reason: String,
    },
    /// A stored record cannot be decoded and is skipped.
    RecordUnreadable {
        /// Key of the record.
        key: String,
    },
    /// The stored parts of a submission that is larger than one value cannot be decoded as a submission.
    SubmissionPartsUnreadable {
        /// Common prefix of the parts' keys.
        prefix: String,
    },
    /// Recovery found parts of a submission, and no record of a job that refers to them. They are to be removed.
    SubmissionPartsUnreferenced {
        /// Common prefix of the parts' keys.
        prefix: String,
    },
    /// The first part of a submission is removed: the other parts follow, and no job can be created from them any more.
    SubmissionPartsRemoved {
        /// Common prefix of the parts' keys.
        prefix: String,
        /// Whether the leader knew an unfinished job of that name at the time.
        job_known: bool,
    },
    /// A submission was committed and its acceptance reported to the user.
    JobAccepted {
        /// Identifier of the job.
        job: Id,
    },
    /// A user's cancellation was committed.
    JobCancellationRecorded {
        /// Identifier of the job.
        job: Id,
    },
    /// A cancelled job has ended: its final record is committed.
    JobCancelled {
        /// Identifier of the job.
        job: Id,
    },
    /// A job has completed: its final record is committed.
    JobCompleted {
        /// Identifier of the job.
        job: Id,
    },
    /// All dependencies of a job have completed: its tasks may be placed.
    JobDependenciesMet {
        /// Identifier of the job.
        job: Id,
    },
    /// A job is cancelled because one of its dependencies was cancelled.
    JobCancelledByDependency {
        /// Identifier of the dependent job.
        job: Id,
    },
    /// A user's question about a job that depends on others was decided by the known states of its dependencies.
    JobDependenciesChecked(Box<DependencyCheck>),
    /// A job that would miss its deadline on owned machines is offloaded to rented machines.
    JobOffloaded {
        /// Identifier of the job.
        job: Id,
    },
    /// An attempt at a task failed.
    TaskFailed {
        /// Name of the task.
        task: String,
        /// Machine that ran the attempt.
        machine: Id,
        /// Cause that the agent reported.
        cause: ExitCause,
    },
    /// Commands to agents, and tasks that agents report unexpectedly.
    Agent(Box<AgentEvent>),
    /// Tasks on a machine are preempted to free capacity for a job of higher priority.
    TasksPreempted {
        /// Identifier of the machine.
        machine: Id,
        /// Job that gets the capacity.
        job: Id,
        /// Number of preempted tasks.
        tasks: usize,
    },
    /// A machine that is not in the leader's records sent a heartbeat and is added to the cluster.
    MachineAdopted {
        /// Identifier of the machine.
        machine: Id,
    },
    /// An agent reports that the cloud will reclaim its machine (spot interruption).
    MachineInterruptionNotice {
        /// Identifier of the machine.
        machine: Id,
        /// Time until the interruption, in seconds.
        seconds_left: f64,
    },
    /// A machine sent no heartbeat until lease expiry: its agent has stopped its tasks, which are placed again.
    MachineLeaseExpired {
        /// Identifier of the machine.
        machine: Id,
        /// Number of tasks that were placed on the machine.
        tasks: usize,
    },
    /// Tasks keep failing on a machine: it gets no tasks while in quarantine.
    MachineQuarantined {
        /// Identifier of the machine.
        machine: Id,
        /// Duration of the quarantine, in seconds.
        seconds: f64,
    },
    /// Several tasks on a machine overrun at the same time: few tasks are placed there for some time.
    MachineSlow {
        /// Identifier of the machine.
        machine: Id,
    },
    /// No machine of a zone sends heartbeats, as in a network partition: no new tasks are placed there.
    ZoneUnreachable {
        /// Zone name.
        zone: String,
    },
    /// The cloud's first list of machines was read: machines that are running in it count as owned.
    OwnedMachinesRecorded {
        /// Number of owned machines.
        machines: usize,
    },
    /// A setting grants less than the fleet needs.
    SettingTooSmall(InsufficientSetting),
    /// Scale out: the cloud granted machines, possibly fewer than requested.
    ScaleOutGranted {
        /// Name of the request, which makes retries idempotent.
        request: String,
        /// Zone name.
        zone: String,
        /// Number of machines granted.
        granted: usize,
        /// Number of machines requested.
        requested: u32,
    },
    /// Scale out: the cloud has no capacity, and the request ends.
    ScaleOutNoCapacity {
        /// Name of the request.
        request: String,
        /// Zone name.
        zone: String,
    },
    /// Scale out: the cloud rejected the request as invalid.
    ScaleOutRejected {
        /// Name of the request.
        request: String,
        /// Reason that the cloud gave.
        reason: String,
    },
    /// Scale in: the cloud confirmed the return of a machine.
    ScaleInCompleted {
        /// Identifier of the machine.
        machine: Id,
    },
}

impl Event {
    /// Names of all events, in the order of the variants. `docs/operations.md` has an entry for each.
    pub const NAMES: [&str; 41] = [
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
        "submission_parts_unreferenced",
        "submission_parts_removed",
        "job_accepted",
        "job_cancellation_recorded",
        "job_cancelled",
        "job_completed",
        "job_dependencies_met",
        "job_cancelled_by_dependency",
        "job_dependencies_checked",
        "job_offloaded",
        "task_failed",
        "task_start_repeated",
        "task_stop_sent",
        "task_forget_sent",
        "task_command_sent",
        "task_without_placement",
        "commands_refused",
        "task_events_suppressed",
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

    /// Severity of the event for an operator.
    pub fn severity(&self) -> Severity {
        match self {
            Event::TransactionRejected { .. }
            | Event::RecordUnreadable { .. }
            | Event::SubmissionPartsUnreadable { .. }
            | Event::ScaleOutRejected { .. } => Severity::Error,
            Event::Agent(event) => event.severity(),
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
            | Event::SubmissionPartsUnreferenced { .. }
            | Event::SubmissionPartsRemoved { .. }
            | Event::JobAccepted { .. }
            | Event::JobCancelled { .. }
            | Event::JobCompleted { .. }
            | Event::JobDependenciesMet { .. }
            | Event::JobCancelledByDependency { .. }
            | Event::JobDependenciesChecked(_)
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

    /// Name of the event; stable between versions.
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
            Event::SubmissionPartsUnreferenced { .. } => "submission_parts_unreferenced",
            Event::SubmissionPartsRemoved { .. } => "submission_parts_removed",
            Event::JobAccepted { .. } => "job_accepted",
            Event::JobCancellationRecorded { .. } => "job_cancellation_recorded",
            Event::JobCancelled { .. } => "job_cancelled",
            Event::JobCompleted { .. } => "job_completed",
            Event::JobDependenciesMet { .. } => "job_dependencies_met",
            Event::JobCancelledByDependency { .. } => "job_cancelled_by_dependency",
            Event::JobDependenciesChecked(_) => "job_dependencies_checked",
            Event::JobOffloaded { .. } => "job_offloaded",
            Event::TaskFailed { .. } => "task_failed",
            Event::Agent(event) => event.name(),
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

    /// Fields as `key=value`, separated by spaces.
    pub fn details(&self) -> Details<'_> {
        Details(self)
    }
}

/// Fields of an event, formatted by `Display`.
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
