//! Duration of each fault including the messages that it delays. The checker's time limits start to count when all
//! faults are over.

use super::{
    CloudFault, ControllerFault, Fault, JobFault, LATE_EXECUTION_MS, LATE_HEARTBEAT_MS, LinkFault, MachineFault,
    StoreFault,
};

impl Fault {
    /// Duration of the fault's effects including the messages that the fault delays, in ms.
    pub(in crate::simulation) fn duration_ms(&self) -> u64 {
        match self {
            Fault::Controller(fault) => fault.duration_ms(),
            Fault::Store(fault) => fault.duration_ms(),
            Fault::Link(fault) => fault.duration_ms(),
            Fault::Machine(fault) => fault.duration_ms(),
            Fault::Cloud(fault) => fault.duration_ms(),
            Fault::Job(fault) => fault.duration_ms(),
            Fault::Repetition(fault) => fault.duration_ms + fault.repetition.delay_ms.end(),
        }
    }
}

impl ControllerFault {
    fn duration_ms(&self) -> u64 {
        match self {
            ControllerFault::Kill { restart_after_ms: ms, .. }
            | ControllerFault::Upgrade { restart_after_ms: ms, .. }
            | ControllerFault::Pause { duration_ms: ms, .. }
            | ControllerFault::Partition { duration_ms: ms, .. }
            | ControllerFault::PartitionZone { duration_ms: ms, .. }
            | ControllerFault::RefusePeerConnections { duration_ms: ms }
            | ControllerFault::RefuseDirectCalls { duration_ms: ms } => *ms,
        }
    }
}

impl StoreFault {
    fn duration_ms(&self) -> u64 {
        match self {
            StoreFault::Outage { duration_ms: ms }
            | StoreFault::RefuseController { duration_ms: ms, .. }
            | StoreFault::DelayTransactions { delay_ms: ms, .. } => *ms,
            StoreFault::Slow { duration_ms, delay_ms } => duration_ms + delay_ms,
            StoreFault::LoseTransactionAnswers { duration_ms, .. } => duration_ms + LATE_EXECUTION_MS.end,
            StoreFault::LowerLimits { .. } => 0,
        }
    }
}

impl LinkFault {
    fn duration_ms(&self) -> u64 {
        match self {
            LinkFault::LoseMessagesToAgents { duration_ms: ms, .. }
            | LinkFault::LoseHeartbeats { duration_ms: ms, .. } => *ms,
            LinkFault::DelayAnswers { duration_ms, delay_ms, .. }
            | LinkFault::DelayCommands { duration_ms, delay_ms, .. }
            | LinkFault::DuplicateAllHeartbeats { duration_ms, delay_ms } => duration_ms + delay_ms,
            LinkFault::DuplicateSomeHeartbeats { duration_ms, .. } => duration_ms + LATE_HEARTBEAT_MS.end,
        }
    }
}

impl MachineFault {
    fn duration_ms(&self) -> u64 {
        match self {
            MachineFault::Hang { duration_ms: ms, .. }
            | MachineFault::FailTasks { duration_ms: ms, .. }
            | MachineFault::Slow { duration_ms: ms, .. }
            | MachineFault::Restart { restart_after_ms: ms, .. }
            | MachineFault::Reclaim { notice_ms: ms, .. } => *ms,
            MachineFault::Lose { .. } | MachineFault::LoseMachineOfTask { .. } => 0,
        }
    }
}

impl CloudFault {
    fn duration_ms(&self) -> u64 {
        match self {
            CloudFault::AddMachines { .. } | CloudFault::FailBoots { .. } => 0,
            CloudFault::Outage { duration_ms: ms } => *ms,
            CloudFault::DelayScaleOut { duration_ms, delay_ms } => duration_ms + delay_ms,
        }
    }
}

impl JobFault {
    fn duration_ms(&self) -> u64 {
        match self {
            JobFault::FailEverywhere { .. } => 0,
            JobFault::CancelRunning { hang_ms: ms, .. }
            | JobFault::CancelCompleting { duration_ms: ms, .. }
            | JobFault::ProbeAllControllers { duration_ms: ms, .. } => *ms,
        }
    }
}
