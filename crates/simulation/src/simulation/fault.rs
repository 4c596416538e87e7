//! The faults that a scenario can bring about, and how long each lasts. All times are in ms.

mod duration;

use super::network::{CutMessages, CutSide};
use shaleshunt_core::settings::StoreQuota;

/// How much later transactions without an answer are carried out.
pub(super) const LATE_EXECUTION_MS: std::ops::Range<u64> = 2_000..12_000;
/// How much later copies of heartbeats arrive: at most well over a lease.
pub(super) const LATE_HEARTBEAT_MS: std::ops::Range<u64> = 2_000..40_000;

/// A controller that a fault concerns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ControllerChoice {
    /// By its index in the site.
    Index(usize),
    /// The one that leads when the fault begins; the first one if none does.
    Leader,
}

/// Machines that a fault concerns, chosen when it begins.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MachineChoice {
    /// One by name, whether it exists or not.
    Named(String),
    /// All in a zone.
    InZone(String),
    /// So many, the first by name.
    First(usize),
    /// Every so manyth by name, beginning with the first.
    EveryNth(usize),
}

/// When transactions whose answers are lost are carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Execution {
    /// Like any other request.
    AtOnce,
    /// 2 to 12 s late.
    Late,
}

/// When copies of heartbeats arrive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CopyArrival {
    /// 2 to 40 s late, at the controller of the original.
    Late,
    /// At every controller as soon as another one leads.
    AtNextLeader,
}

/// A fault of one of the simulated parties.
#[derive(Debug, Clone)]
pub enum Fault {
    /// A fault of controllers or of the network between them.
    Controller(ControllerFault),
    /// A fault of the key-value store or on the way to it.
    Store(StoreFault),
    /// A fault on the way between controllers and agents.
    Link(LinkFault),
    /// A fault of machines.
    Machine(MachineFault),
    /// A fault of the cloud.
    Cloud(CloudFault),
    /// A fault of a job, or something that users do at an awkward moment.
    Job(JobFault),
}

/// A fault of controllers or of the network between them.
#[derive(Debug, Clone)]
pub enum ControllerFault {
    /// Controllers are killed and start again.
    Kill {
        /// Which.
        controllers: Vec<ControllerChoice>,
        /// When they start again.
        restart_after_ms: u64,
    },
    /// A controller is killed and starts again with the current version.
    Upgrade {
        /// Which.
        controller: ControllerChoice,
        /// When it starts again.
        restart_after_ms: u64,
    },
    /// A controller process is paused while its clocks go on; messages to it wait.
    Pause {
        /// Which.
        controller: ControllerChoice,
        /// For how long.
        for_ms: u64,
    },
    /// A controller is cut off.
    Cut {
        /// Which.
        controller: ControllerChoice,
        /// From what.
        side: CutSide,
        /// For how long.
        for_ms: u64,
        /// What becomes of messages.
        messages: CutMessages,
    },
    /// A zone is cut off from everything outside it.
    CutZone {
        /// Which.
        zone: String,
        /// For how long.
        for_ms: u64,
        /// What becomes of messages.
        messages: CutMessages,
    },
    /// Controllers refuse each other's connections.
    RefusePeerConnections {
        /// For how long.
        for_ms: u64,
    },
    /// Controllers have no connection left for direct calls to agents.
    RefuseDirectCalls {
        /// For how long.
        for_ms: u64,
    },
}

/// A fault of the key-value store or on the way to it.
#[derive(Debug, Clone)]
pub enum StoreFault {
    /// The key-value store refuses every request.
    Stop {
        /// For how long.
        for_ms: u64,
    },
    /// The key-value store refuses one controller.
    RefuseController {
        /// Which.
        controller: ControllerChoice,
        /// For how long.
        for_ms: u64,
    },
    /// The key-value store answers late.
    Slow {
        /// For how long.
        for_ms: u64,
        /// How late.
        delay_ms: u64,
    },
    /// Some transactions get no answer.
    LoseTransactionAnswers {
        /// How many of a hundred.
        percent: u32,
        /// For how long.
        for_ms: u64,
        /// When they are carried out.
        execution: Execution,
    },
    /// The next transactions of any controller are carried out late and get no answer.
    DelayTransactions {
        /// How many.
        count: u32,
        /// How late.
        delay_ms: u64,
    },
    /// The key-value store lowers its limits for good.
    LowerLimits {
        /// What holds from then on.
        limits: StoreQuota,
    },
}

/// A fault on the way between controllers and agents.
#[derive(Debug, Clone)]
pub enum LinkFault {
    /// Agents' heartbeats arrive, but neither answers nor commands reach the agents.
    LoseMessagesToAgents {
        /// Which.
        machines: MachineChoice,
        /// For how long.
        for_ms: u64,
    },
    /// Agents reach no controller, while direct commands reach them.
    LoseHeartbeats {
        /// Whose.
        machines: MachineChoice,
        /// For how long.
        for_ms: u64,
    },
    /// Answers to heartbeats, and agents' answers to direct commands, arrive late.
    DelayAnswers {
        /// Whose.
        machines: MachineChoice,
        /// For how long.
        for_ms: u64,
        /// How late.
        delay_ms: u64,
    },
    /// Direct commands arrive late.
    DelayCommands {
        /// Whose.
        machines: MachineChoice,
        /// For how long.
        for_ms: u64,
        /// How late.
        delay_ms: u64,
    },
    /// A copy of every heartbeat arrives late.
    CopyAllHeartbeats {
        /// For how long.
        for_ms: u64,
        /// How late.
        delay_ms: u64,
    },
    /// Copies of some heartbeats arrive late.
    CopySomeHeartbeats {
        /// How many of a hundred.
        percent: u32,
        /// For how long.
        for_ms: u64,
        /// When the copies arrive.
        arrival: CopyArrival,
    },
}

/// A fault of machines.
#[derive(Debug, Clone)]
pub enum MachineFault {
    /// Machines neither run nor talk.
    Hang {
        /// Which.
        machines: MachineChoice,
        /// For how long.
        for_ms: u64,
    },
    /// Every task that starts on a machine fails.
    FailTasks {
        /// Its name.
        machine: String,
        /// For how long.
        for_ms: u64,
    },
    /// Tasks that start on a machine take longer.
    Slow {
        /// Its name.
        machine: String,
        /// For how long.
        for_ms: u64,
        /// How many times as long the tasks take.
        factor: u32,
    },
    /// Machines are gone without notice.
    Lose {
        /// Which.
        machines: MachineChoice,
    },
    /// The machine that runs a task is gone without notice.
    LoseMachineOfTask {
        /// Name of the task.
        task: String,
    },
    /// A spot instance is reclaimed after a notice.
    Reclaim {
        /// Its name.
        machine: String,
        /// How long after the notice.
        notice_ms: u64,
    },
}

/// A fault of the cloud.
#[derive(Debug, Clone)]
pub enum CloudFault {
    /// Machines appear that nobody asked for.
    AddMachines {
        /// Their type.
        machine_type: String,
        /// Their zone.
        zone: String,
        /// How many.
        count: u32,
    },
    /// The cloud refuses every request.
    Stop {
        /// For how long.
        for_ms: u64,
    },
    /// Requests for machines are carried out late and get no answer.
    DelayScaleOut {
        /// For how long.
        for_ms: u64,
        /// How late.
        delay_ms: u64,
    },
    /// The next machines that the cloud hands out never boot.
    FailBoots {
        /// How many.
        count: u32,
    },
}

/// A fault of a job, or something that users do at an awkward moment.
#[derive(Debug, Clone)]
pub enum JobFault {
    /// A job's tasks fail on every machine.
    FailEverywhere {
        /// Its name.
        job: String,
    },
    /// Users cancel running jobs within a fifth of a second, and some machines under them hang.
    CancelRunning {
        /// How many jobs.
        count: usize,
        /// How long the machines hang.
        hang_ms: u64,
    },
    /// Users cancel some jobs at the moment at which they complete.
    CancelCompleting {
        /// How many of a hundred.
        percent: u32,
        /// For how long.
        for_ms: u64,
    },
    /// Users look at a job at all controllers within milliseconds, and repeat its submission, when it
    /// was accepted, completed or cancelled; of the accepted jobs some are cancelled at once.
    ProbeAllControllers {
        /// For how long.
        for_ms: u64,
    },
}
