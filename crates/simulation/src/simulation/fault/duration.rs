//! How long each fault lasts, with what it delays: the checker waits for calm.

use super::{
    CloudFault, ControllerFault, Fault, JobFault, LATE_EXECUTION_MS, LATE_HEARTBEAT_MS, LinkFault, MachineFault,
    StoreFault,
};

impl Fault {
    /// How long it lasts, with what it delays, in ms.
    pub(in crate::simulation) fn duration_ms(&self) -> u64 {
        match self {
            Fault::Controller(fault) => fault.duration_ms(),
            Fault::Store(fault) => fault.duration_ms(),
            Fault::Link(fault) => fault.duration_ms(),
            Fault::Machine(fault) => fault.duration_ms(),
            Fault::Cloud(fault) => fault.duration_ms(),
            Fault::Job(fault) => fault.duration_ms(),
        }
    }
}

impl ControllerFault {
    fn duration_ms(&self) -> u64 {
        match self {
            ControllerFault::Kill { restart_after_ms: ms, .. }
            | ControllerFault::Upgrade { restart_after_ms: ms, .. }
            | ControllerFault::Pause { for_ms: ms, .. }
            | ControllerFault::Cut { for_ms: ms, .. }
            | ControllerFault::CutZone { for_ms: ms, .. }
            | ControllerFault::RefusePeerConnections { for_ms: ms }
            | ControllerFault::RefuseDirectCalls { for_ms: ms } => *ms,
        }
    }
}

impl StoreFault {
    fn duration_ms(&self) -> u64 {
        match self {
            StoreFault::Stop { for_ms: ms }
            | StoreFault::RefuseController { for_ms: ms, .. }
            | StoreFault::DelayTransactions { delay_ms: ms, .. } => *ms,
            StoreFault::Slow { for_ms, delay_ms } => for_ms + delay_ms,
            StoreFault::LoseTransactionAnswers { for_ms, .. } => for_ms + LATE_EXECUTION_MS.end,
            StoreFault::LowerLimits { .. } => 0,
        }
    }
}

impl LinkFault {
    fn duration_ms(&self) -> u64 {
        match self {
            LinkFault::LoseMessagesToAgents { for_ms: ms, .. } | LinkFault::LoseHeartbeats { for_ms: ms, .. } => *ms,
            LinkFault::DelayAnswers { for_ms, delay_ms, .. }
            | LinkFault::DelayCommands { for_ms, delay_ms, .. }
            | LinkFault::CopyAllHeartbeats { for_ms, delay_ms } => for_ms + delay_ms,
            LinkFault::CopySomeHeartbeats { for_ms, .. } => for_ms + LATE_HEARTBEAT_MS.end,
        }
    }
}

impl MachineFault {
    fn duration_ms(&self) -> u64 {
        match self {
            MachineFault::Hang { for_ms: ms, .. }
            | MachineFault::FailTasks { for_ms: ms, .. }
            | MachineFault::Slow { for_ms: ms, .. }
            | MachineFault::Reclaim { notice_ms: ms, .. } => *ms,
            MachineFault::Lose { .. } | MachineFault::LoseMachineOfTask { .. } => 0,
        }
    }
}

impl CloudFault {
    fn duration_ms(&self) -> u64 {
        match self {
            CloudFault::AddMachines { .. } | CloudFault::FailBoots { .. } => 0,
            CloudFault::Stop { for_ms: ms } => *ms,
            CloudFault::DelayScaleOut { for_ms, delay_ms } => for_ms + delay_ms,
        }
    }
}

impl JobFault {
    fn duration_ms(&self) -> u64 {
        match self {
            JobFault::FailEverywhere { .. } => 0,
            JobFault::CancelRunning { hang_ms: ms, .. }
            | JobFault::CancelCompleting { for_ms: ms, .. }
            | JobFault::ProbeAllControllers { for_ms: ms } => *ms,
        }
    }
}
