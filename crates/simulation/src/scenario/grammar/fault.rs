//! Parses the part of `at SECONDS FAULT …` that begins with the fault's name. Durations follow `for`, delays follow
//! `by`.

use super::store_limits;
use crate::scenario::error::SyntaxError;
use crate::scenario::words::{Words, parse_number};
use crate::simulation::{
    AgentMemory, CloudFault, ControllerChoice, ControllerFault, DuplicateArrival, Fault, JobFault, LinkFault,
    MachineChoice, MachineFault, PartitionScope, PartitionedMessages, RepeatedKind, Repetition, RepetitionFault,
    StoreFault, TransactionExecution,
};

/// Description of a fault in errors about a missing or unknown name.
const EXPECTED: &str = "a fault";

pub(super) fn parse(words: &mut Words) -> Result<Fault, SyntaxError> {
    let name = words.next(EXPECTED)?;
    if let Some(fault) = controller_fault(name, words)? {
        return Ok(Fault::Controller(fault));
    }
    if let Some(fault) = store_fault(name, words)? {
        return Ok(Fault::Store(fault));
    }
    if let Some(fault) = link_fault(name, words)? {
        return Ok(Fault::Link(fault));
    }
    if let Some(fault) = machine_fault(name, words)? {
        return Ok(Fault::Machine(fault));
    }
    if let Some(fault) = cloud_fault(name, words)? {
        return Ok(Fault::Cloud(fault));
    }
    if name == "repeat-requests" {
        return Ok(Fault::Repetition(repetition(words)?));
    }
    match job_fault(name, words)? {
        Some(fault) => Ok(Fault::Job(fault)),
        None => Err(SyntaxError::unexpected(EXPECTED, name)),
    }
}

fn controller_fault(name: &str, words: &mut Words) -> Result<Option<ControllerFault>, SyntaxError> {
    Ok(Some(match name {
        "kill" => {
            let mut controllers = Vec::new();
            while !words.take_if("for") {
                controllers.push(controller(words)?);
            }
            ControllerFault::Kill { controllers, restart_after_ms: words.seconds_as_ms("a duration in seconds")? }
        }
        "upgrade" => ControllerFault::Upgrade { controller: controller(words)?, restart_after_ms: duration(words)? },
        "pause" => ControllerFault::Pause { controller: controller(words)?, duration_ms: duration(words)? },
        "cut" => {
            let controller = controller(words)?;
            words.expect_keyword("from")?;
            let scope = partition_scope(words)?;
            ControllerFault::Partition {
                controller,
                scope,
                duration_ms: duration(words)?,
                messages: partitioned_messages(words),
            }
        }
        "cut-zone" => {
            let zone = words.text("a zone")?;
            ControllerFault::PartitionZone {
                zone,
                duration_ms: duration(words)?,
                messages: partitioned_messages(words),
            }
        }
        "refuse-peer-connections" => ControllerFault::RefusePeerConnections { duration_ms: duration(words)? },
        "refuse-direct-calls" => ControllerFault::RefuseDirectCalls { duration_ms: duration(words)? },
        _ => return Ok(None),
    }))
}

fn store_fault(name: &str, words: &mut Words) -> Result<Option<StoreFault>, SyntaxError> {
    Ok(Some(match name {
        "store-down" => StoreFault::Outage { duration_ms: duration(words)? },
        "store-refuses" => {
            StoreFault::RefuseController { controller: controller(words)?, duration_ms: duration(words)? }
        }
        "slow-store" => StoreFault::Slow { duration_ms: duration(words)?, delay_ms: delay(words)? },
        "lose-transaction-answers" => StoreFault::LoseTransactionAnswers {
            percent: words.number("a percentage")?,
            duration_ms: duration(words)?,
            execution: execution(words)?,
        },
        "delay-transactions" => StoreFault::DelayTransactions {
            count: words.number("the number of transactions")?,
            delay_ms: delay(words)?,
        },
        "lower-store-limits" => StoreFault::LowerLimits { limits: store_limits(words)? },
        _ => return Ok(None),
    }))
}

fn link_fault(name: &str, words: &mut Words) -> Result<Option<LinkFault>, SyntaxError> {
    Ok(Some(match name {
        "lose-messages-to" => {
            LinkFault::LoseMessagesToAgents { machines: machines(words)?, duration_ms: duration(words)? }
        }
        "lose-heartbeats-of" => LinkFault::LoseHeartbeats { machines: machines(words)?, duration_ms: duration(words)? },
        "delay-answers" => LinkFault::DelayAnswers {
            machines: machines(words)?,
            duration_ms: duration(words)?,
            delay_ms: delay(words)?,
        },
        "delay-commands" => LinkFault::DelayCommands {
            machines: machines(words)?,
            duration_ms: duration(words)?,
            delay_ms: delay(words)?,
        },
        "copy-all-heartbeats" => {
            LinkFault::DuplicateAllHeartbeats { duration_ms: duration(words)?, delay_ms: delay(words)? }
        }
        "copy-some-heartbeats" => LinkFault::DuplicateSomeHeartbeats {
            percent: words.number("a percentage")?,
            duration_ms: duration(words)?,
            arrival: duplicate_arrival(words)?,
        },
        _ => return Ok(None),
    }))
}

fn machine_fault(name: &str, words: &mut Words) -> Result<Option<MachineFault>, SyntaxError> {
    Ok(Some(match name {
        "hang" => MachineFault::Hang { machines: machines(words)?, duration_ms: duration(words)? },
        "fail-tasks" => MachineFault::FailTasks { machine: words.text("a machine")?, duration_ms: duration(words)? },
        "slow-machine" => {
            let machine = words.text("a machine")?;
            let duration_ms = duration(words)?;
            words.expect_keyword("factor")?;
            MachineFault::Slow { machine, duration_ms, factor: words.number("the factor of the task run time")? }
        }
        "restart" => {
            let machines = machines(words)?;
            words.expect_keyword("after")?;
            let restart_after_ms = words.seconds_as_ms("the time until the machines are up in seconds")?;
            let memory = if words.take_if("keeping-epoch") { AgentMemory::EpochAndToken } else { AgentMemory::Lost };
            MachineFault::Restart { machines, memory, restart_after_ms }
        }
        "lose" => MachineFault::Lose { machines: machines(words)? },
        "lose-machine-of" => MachineFault::LoseMachineOfTask { task: words.text("a task")? },
        "reclaim" => {
            let machine = words.text("a machine")?;
            words.expect_keyword("after")?;
            MachineFault::Reclaim { machine, notice_ms: words.seconds_as_ms("the notice period in seconds")? }
        }
        _ => return Ok(None),
    }))
}

fn cloud_fault(name: &str, words: &mut Words) -> Result<Option<CloudFault>, SyntaxError> {
    Ok(Some(match name {
        "add-machines" => CloudFault::AddMachines {
            machine_type: words.text("a machine type")?,
            zone: words.text("a zone")?,
            count: words.number("the number of machines")?,
        },
        "cloud-down" => CloudFault::Outage { duration_ms: duration(words)? },
        "delay-scale-out" => CloudFault::DelayScaleOut { duration_ms: duration(words)?, delay_ms: delay(words)? },
        "fail-boots" => CloudFault::FailBoots { count: words.number("the number of machines")? },
        _ => return Ok(None),
    }))
}

fn job_fault(name: &str, words: &mut Words) -> Result<Option<JobFault>, SyntaxError> {
    Ok(Some(match name {
        "fail-job" => JobFault::FailEverywhere { job: words.text("a job")? },
        "cancel-running" => {
            let count = words.number("the number of jobs")?;
            words.expect_keyword("hang")?;
            JobFault::CancelRunning { count, hang_ms: words.seconds_as_ms("how long the machines hang in seconds")? }
        }
        "cancel-completing" => {
            JobFault::CancelCompleting { percent: words.number("a percentage")?, duration_ms: duration(words)? }
        }
        "probe-all-controllers" => {
            let job = if words.take_if("about") { Some(words.text("a job")?) } else { None };
            JobFault::ProbeAllControllers { job, duration_ms: duration(words)? }
        }
        _ => return Ok(None),
    }))
}

/// Parses `KIND PERCENT for SECONDS by SECONDS to SECONDS`.
fn repetition(words: &mut Words) -> Result<RepetitionFault, SyntaxError> {
    const EXPECTED: &str = "`direct-calls`, `store-writes`, `cloud-changes` or `user-changes`";
    let found = words.next(EXPECTED)?;
    let kind = RepeatedKind::from_name(found).ok_or_else(|| SyntaxError::unexpected(EXPECTED, found))?;
    let percent = words.number("a percentage")?;
    let duration_ms = duration(words)?;
    let shortest_ms = delay(words)?;
    words.expect_keyword("to")?;
    let longest_ms = words.seconds_as_ms("the longest delay in seconds")?;
    let repetition = Repetition { kind, percent, delay_ms: shortest_ms..=longest_ms.max(shortest_ms) };
    Ok(RepetitionFault { repetition, duration_ms })
}

/// Parses `for SECONDS` and returns the duration in ms.
fn duration(words: &mut Words) -> Result<u64, SyntaxError> {
    words.expect_keyword("for")?;
    words.seconds_as_ms("a duration in seconds")
}

/// Parses `by SECONDS` and returns the delay in ms.
fn delay(words: &mut Words) -> Result<u64, SyntaxError> {
    words.expect_keyword("by")?;
    words.seconds_as_ms("a delay in seconds")
}

/// Parses `leader` or the index of a controller.
fn controller(words: &mut Words) -> Result<ControllerChoice, SyntaxError> {
    if words.take_if("leader") {
        return Ok(ControllerChoice::Leader);
    }
    words.number("`leader` or the index of a controller").map(ControllerChoice::Index)
}

/// Parses a machine's name, `zone:NAME`, `first:N` or `every:N`.
fn machines(words: &mut Words) -> Result<MachineChoice, SyntaxError> {
    let found = words.next("a machine, `zone:NAME`, `first:N` or `every:N`")?;
    match found.split_once(':') {
        Some(("zone", zone)) => Ok(MachineChoice::InZone(zone.into())),
        Some(("first", count)) => {
            parse_number(count, "the number of machines after `first:`").map(MachineChoice::First)
        }
        Some(("every", step)) => {
            let step: std::num::NonZeroUsize = parse_number(step, "a step of at least 1 after `every:`")?;
            Ok(MachineChoice::EveryNth(step.get()))
        }
        Some(_) => Err(SyntaxError::unexpected("a machine, `zone:NAME`, `first:N` or `every:N`", found)),
        None => Ok(MachineChoice::Named(found.into())),
    }
}

fn partition_scope(words: &mut Words) -> Result<PartitionScope, SyntaxError> {
    const EXPECTED: &str = "`store`, `agents`, `store-and-peers` or `everything`";
    match words.next(EXPECTED)? {
        "store" => Ok(PartitionScope::Store),
        "agents" => Ok(PartitionScope::AgentsAndCloud),
        "store-and-peers" => Ok(PartitionScope::StoreAndPeers),
        "everything" => Ok(PartitionScope::Everything),
        other => Err(SyntaxError::unexpected(EXPECTED, other)),
    }
}

/// Parses an optional `held`; without it, messages are lost.
fn partitioned_messages(words: &mut Words) -> PartitionedMessages {
    if words.take_if("held") { PartitionedMessages::Held } else { PartitionedMessages::Lost }
}

/// Parses `executed late` or `executed at-once`.
fn execution(words: &mut Words) -> Result<TransactionExecution, SyntaxError> {
    words.expect_keyword("executed")?;
    match words.next("`late` or `at-once`")? {
        "late" => Ok(TransactionExecution::Late),
        "at-once" => Ok(TransactionExecution::Immediate),
        other => Err(SyntaxError::unexpected("`late` or `at-once`", other)),
    }
}

/// Parses `arriving late` or `arriving at-next-leader`.
fn duplicate_arrival(words: &mut Words) -> Result<DuplicateArrival, SyntaxError> {
    words.expect_keyword("arriving")?;
    match words.next("`late` or `at-next-leader`")? {
        "late" => Ok(DuplicateArrival::Late),
        "at-next-leader" => Ok(DuplicateArrival::AtNextLeader),
        other => Err(SyntaxError::unexpected("`late` or `at-next-leader`", other)),
    }
}
