//! The faults that a scenario can inject, and how long each lasts.

mod duration;

use super::network::{PartitionScope, PartitionedMessages};
use super::repetition::Repetition;
use shaleshunt_core::settings::StoreQuota;

/// Range of the delay of a late transaction whose answer is lost, in ms.
pub(super) const LATE_EXECUTION_MS: std::ops::Range<u64> = 2_000..12_000;
/// Range of the delay of a late heartbeat duplicate, in ms; the end is well above the duration of a machine lease.
pub(super) const LATE_HEARTBEAT_MS: std::ops::Range<u64> = 2_000..40_000;

/// The controller that a fault affects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ControllerChoice {
    /// The controller with this index in the site.
    Index(usize),
    /// The unpaused leader when the fault begins; the first controller if there is none.
    Leader,
}

/// The machines that a fault affects, selected when the fault begins.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MachineChoice {
    /// The machine with this name, whether or not it exists.
    Named(String),
    /// All machines in this zone.
    InZone(String),
    /// This many machines, the first ones in the order of names.
    First(usize),
    /// Every n-th machine in the order of names, beginning with the first.
    EveryNth(usize),
}

/// When a transaction whose answer is lost is executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransactionExecution {
    /// After the usual network delay.
    Immediate,
    /// After 2 to 12 s.
    Late,
}

/// When the duplicate of a heartbeat arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DuplicateArrival {
    /// After 2 to 40 s, at the controller that the original was sent to.
    Late,
    /// At every controller, when another process becomes leader.
    AtNextLeader,
}

/// A fault to inject.
#[derive(Debug, Clone)]
pub enum Fault {
    /// A fault of controllers, or of their connections.
    Controller(ControllerFault),
    /// A fault of the key-value store, or of the network between controllers and the store.
    Store(StoreFault),
    /// A fault of the network between controllers and agents.
    Link(LinkFault),
    /// A fault of machines.
    Machine(MachineFault),
    /// A fault of the cloud.
    Cloud(CloudFault),
    /// A fault of a job, or requests of users at times that provoke races.
    Job(JobFault),
    /// Requests that were executed and answered arrive once more.
    Repetition(RepetitionFault),
}

/// Requests of one kind that were executed and answered arrive once more.
#[derive(Debug, Clone)]
pub struct RepetitionFault {
    /// Requests that are repeated.
    pub repetition: Repetition,
    /// Duration of the fault, in ms; the copies may arrive later.
    pub duration_ms: u64,
}

/// A fault of controllers, or of their connections.
#[derive(Debug, Clone)]
pub enum ControllerFault {
    /// Controllers are killed and restarted.
    Kill {
        /// Controllers to kill.
        controllers: Vec<ControllerChoice>,
        /// Delay between the kill and the restart, in ms.
        restart_after_ms: u64,
    },
    /// A controller is killed and restarted with the current program version.
    Upgrade {
        /// Affected controller.
        controller: ControllerChoice,
        /// Delay between the kill and the restart, in ms.
        restart_after_ms: u64,
    },
    /// A controller process is paused while its clocks advance; commands other than ticks are queued.
    Pause {
        /// Affected controller.
        controller: ControllerChoice,
        /// Duration of the fault, in ms.
        duration_ms: u64,
    },
    /// A controller is partitioned from other parties.
    Partition {
        /// Affected controller.
        controller: ControllerChoice,
        /// Parties from which the controller is partitioned.
        scope: PartitionScope,
        /// Duration of the fault, in ms.
        duration_ms: u64,
        /// What happens to messages that cross the partition.
        messages: PartitionedMessages,
    },
    /// A zone is partitioned from all parties outside it.
    PartitionZone {
        /// Zone to partition.
        zone: String,
        /// Duration of the fault, in ms.
        duration_ms: u64,
        /// What happens to messages that cross the partition.
        messages: PartitionedMessages,
    },
    /// Controllers refuse each other's connections.
    RefusePeerConnections {
        /// Duration of the fault, in ms.
        duration_ms: u64,
    },
    /// Controllers' direct calls to agents fail because no connection is free.
    RefuseDirectCalls {
        /// Duration of the fault, in ms.
        duration_ms: u64,
    },
}

/// A fault of the key-value store, or of the network between controllers and the store.
#[derive(Debug, Clone)]
pub enum StoreFault {
    /// The key-value store refuses every request.
    Outage {
        /// Duration of the fault, in ms.
        duration_ms: u64,
    },
    /// The key-value store refuses every request of one controller.
    RefuseController {
        /// Affected controller.
        controller: ControllerChoice,
        /// Duration of the fault, in ms.
        duration_ms: u64,
    },
    /// The key-value store's requests and replies are delayed.
    Slow {
        /// Duration of the fault, in ms.
        duration_ms: u64,
        /// Additional round-trip time, in ms; half of it delays each direction.
        delay_ms: u64,
    },
    /// The answers to some transactions are lost.
    LoseTransactionAnswers {
        /// Probability that a transaction is affected, in percent.
        percent: u32,
        /// Duration of the fault, in ms.
        duration_ms: u64,
        /// When the affected transactions are executed.
        execution: TransactionExecution,
    },
    /// The next transactions of all controllers are executed late, and their answers are lost.
    DelayTransactions {
        /// Number of transactions.
        count: u32,
        /// Delay before each transaction is executed, in ms.
        delay_ms: u64,
    },
    /// The key-value store's limits are lowered for the rest of the run.
    LowerLimits {
        /// The new limits.
        limits: StoreQuota,
    },
}

/// A fault of the network between controllers and agents.
#[derive(Debug, Clone)]
pub enum LinkFault {
    /// Neither replies nor commands reach the agents, while their heartbeats arrive.
    LoseMessagesToAgents {
        /// Affected machines.
        machines: MachineChoice,
        /// Duration of the fault, in ms.
        duration_ms: u64,
    },
    /// Heartbeats reach no controller, while direct commands reach the agents.
    LoseHeartbeats {
        /// Affected machines.
        machines: MachineChoice,
        /// Duration of the fault, in ms.
        duration_ms: u64,
    },
    /// Replies to heartbeats, and agents' replies to direct commands, are delayed.
    DelayAnswers {
        /// Affected machines.
        machines: MachineChoice,
        /// Duration of the fault, in ms.
        duration_ms: u64,
        /// Additional delay, in ms.
        delay_ms: u64,
    },
    /// Direct commands are delayed.
    DelayCommands {
        /// Affected machines.
        machines: MachineChoice,
        /// Duration of the fault, in ms.
        duration_ms: u64,
        /// Additional delay, in ms.
        delay_ms: u64,
    },
    /// A duplicate of every heartbeat arrives late.
    DuplicateAllHeartbeats {
        /// Duration of the fault, in ms.
        duration_ms: u64,
        /// Additional delay, in ms.
        delay_ms: u64,
    },
    /// Duplicates of some heartbeats arrive late.
    DuplicateSomeHeartbeats {
        /// Probability that a heartbeat is duplicated, in percent.
        percent: u32,
        /// Duration of the fault, in ms.
        duration_ms: u64,
        /// When the duplicates arrive.
        arrival: DuplicateArrival,
    },
}

/// What an agent remembers over a restart of its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AgentMemory {
    /// Only the agent epoch, of which the next one begins.
    Lost,
    /// The agent epoch, which continues, and the fencing token.
    EpochAndToken,
}

/// A fault of machines.
#[derive(Debug, Clone)]
pub enum MachineFault {
    /// Machines hang: their agents neither run nor communicate.
    Hang {
        /// Affected machines.
        machines: MachineChoice,
        /// Duration of the fault, in ms.
        duration_ms: u64,
    },
    /// Every task that starts on a machine fails.
    FailTasks {
        /// Name of the machine.
        machine: String,
        /// Duration of the fault, in ms.
        duration_ms: u64,
    },
    /// Tasks that start on a machine run longer.
    Slow {
        /// Name of the machine.
        machine: String,
        /// Duration of the fault, in ms.
        duration_ms: u64,
        /// Factor by which the tasks' run time is multiplied.
        factor: u32,
    },
    /// Machines restart: their tasks are gone.
    Restart {
        /// Affected machines.
        machines: MachineChoice,
        /// What their agents remember.
        memory: AgentMemory,
        /// Time until the machines are up again, in ms.
        restart_after_ms: u64,
    },
    /// Machines fail without notice.
    Lose {
        /// Affected machines.
        machines: MachineChoice,
    },
    /// The machine that runs a task fails without notice.
    LoseMachineOfTask {
        /// Name of the task.
        task: String,
    },
    /// The cloud reclaims a spot instance after a preemption notice.
    Reclaim {
        /// Name of the machine.
        machine: String,
        /// Time between the notice and the reclamation, in ms.
        notice_ms: u64,
    },
}

/// A fault of the cloud.
#[derive(Debug, Clone)]
pub enum CloudFault {
    /// Machines appear that no scale-out request asked for.
    AddMachines {
        /// Machine type of the new machines.
        machine_type: String,
        /// Zone of the new machines.
        zone: String,
        /// Number of new machines.
        count: u32,
    },
    /// The cloud refuses every request.
    Outage {
        /// Duration of the fault, in ms.
        duration_ms: u64,
    },
    /// Scale-out requests are executed late, and their replies are lost.
    DelayScaleOut {
        /// Duration of the fault, in ms.
        duration_ms: u64,
        /// Additional delay, in ms.
        delay_ms: u64,
    },
    /// The next machines that scale-out requests grant never boot.
    FailBoots {
        /// Number of machines.
        count: u32,
    },
}

/// A fault of a job, or requests of users at times that provoke races.
#[derive(Debug, Clone)]
pub enum JobFault {
    /// A job's tasks fail on every machine.
    FailEverywhere {
        /// Name of the job.
        job: String,
    },
    /// Users cancel running jobs within 200 ms, while some of the machines that run them hang.
    CancelRunning {
        /// Number of jobs to cancel.
        count: usize,
        /// Duration of the hang, in ms; 0 for no hang.
        hang_ms: u64,
    },
    /// Users cancel some jobs at the moment at which the last task completes.
    CancelCompleting {
        /// Probability that a job is cancelled, in percent.
        percent: u32,
        /// Duration of the fault, in ms.
        duration_ms: u64,
    },
    /// When a job is accepted, completed or cancelled, its user sends status queries and the submission to all
    /// controllers within milliseconds; some of the accepted jobs are cancelled at once.
    ProbeAllControllers {
        /// The job whose users do so, or the job of which theirs is a copy; `None` for all users.
        job: Option<String>,
        /// Duration of the fault, in ms.
        duration_ms: u64,
    },
}
