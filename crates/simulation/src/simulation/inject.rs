//! Injection of faults into the simulated parties.

use super::controllers::ProgramVersion;
use super::event::Event;
use super::fault::{
    AgentMemory, CloudFault, ControllerFault, Fault, JobFault, LinkFault, MachineChoice, MachineFault, StoreFault,
};
use super::network::PartitionEnd;
use super::temporary::{TemporaryDelay, TemporaryProbability};
use super::users::ProbePeriod;
use super::{Simulation, agents::AgentLink};
use crate::cloud::Offer;
use shaleshunt_wire::worker::TaskStatus;

/// The faults of a simulation.
#[derive(Default)]
pub(super) struct FaultSchedule {
    faults: Vec<Fault>,
    /// When the last of the faults that have begun ends, in ms.
    pub(super) last_end_ms: u64,
}

impl Simulation {
    /// Schedules a fault to begin at the simulated time `at_ms`.
    pub fn add_fault(&mut self, at_ms: u64, fault: Fault) {
        let index = self.fault_schedule.faults.len();
        self.fault_schedule.faults.push(fault);
        self.queue.schedule(at_ms, Event::FaultBegins(index));
    }

    pub(super) fn begin_fault(&mut self, index: usize) {
        let fault = self.fault_schedule.faults[index].clone();
        let ends_at = self.queue.now() + fault.duration_ms();
        self.fault_schedule.last_end_ms = self.fault_schedule.last_end_ms.max(ends_at);
        self.inject(fault);
    }

    fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::Controller(fault) => self.inject_controller_fault(fault),
            Fault::Store(fault) => self.inject_store_fault(fault),
            Fault::Link(fault) => self.inject_link_fault(fault),
            Fault::Machine(fault) => self.inject_machine_fault(fault),
            Fault::Cloud(fault) => self.inject_cloud_fault(fault),
            Fault::Job(fault) => self.inject_job_fault(fault),
            Fault::Repetition(fault) => {
                let until_ms = self.queue.now() + fault.duration_ms;
                self.repetitions.begin(fault.repetition, until_ms);
            }
        }
    }

    fn inject_controller_fault(&mut self, fault: ControllerFault) {
        let now = self.queue.now();
        match fault {
            ControllerFault::Kill { controllers, restart_after_ms } => {
                for choice in controllers {
                    let index = self.select_controller(choice);
                    self.kill_controller(index, restart_after_ms);
                }
            }
            ControllerFault::Upgrade { controller, restart_after_ms } => {
                let index = self.select_controller(controller);
                self.controllers[index].version = ProgramVersion::Current;
                self.kill_controller(index, restart_after_ms);
            }
            ControllerFault::Pause { controller, duration_ms } => {
                let index = self.select_controller(controller);
                self.controllers[index].pause_until(now + duration_ms);
            }
            ControllerFault::Partition { controller, scope, duration_ms, messages } => {
                let index = self.select_controller(controller);
                self.network.partition_controller(index, scope, PartitionEnd { until_ms: now + duration_ms, messages });
            }
            ControllerFault::PartitionZone { zone, duration_ms, messages } => {
                self.network.partition_zone(zone, PartitionEnd { until_ms: now + duration_ms, messages });
            }
            ControllerFault::RefusePeerConnections { duration_ms } => {
                self.network.peer_connections_refused_until_ms = now + duration_ms;
                self.break_all_connections();
            }
            ControllerFault::RefuseDirectCalls { duration_ms } => {
                self.network.direct_calls_refused_until_ms = now + duration_ms
            }
        }
    }

    fn break_all_connections(&mut self) {
        let count = self.controllers.len();
        for at in 0..count {
            for to in (0..count).filter(|to| *to != at) {
                self.break_connection(at, to);
            }
        }
    }

    fn inject_store_fault(&mut self, fault: StoreFault) {
        let now = self.queue.now();
        match fault {
            StoreFault::Outage { duration_ms } => {
                self.store.service.down = true;
                self.store.down_until_ms = now + duration_ms;
            }
            StoreFault::RefuseController { controller, duration_ms } => {
                let index = self.select_controller(controller);
                self.store.refused_until_ms[index] = now + duration_ms;
            }
            StoreFault::Slow { duration_ms, delay_ms } => {
                self.store.latency = TemporaryDelay { until_ms: now + duration_ms, delay_ms };
            }
            StoreFault::LoseTransactionAnswers { percent, duration_ms, execution } => {
                self.store.lost_answers.probability = TemporaryProbability::from_percent(percent, now + duration_ms);
                self.store.lost_answers.execution = execution;
            }
            StoreFault::DelayTransactions { count, delay_ms } => {
                self.store.delayed_transactions.remaining = count;
                self.store.delayed_transactions.delay_ms = delay_ms;
            }
            StoreFault::LowerLimits { limits } => self.store.service.limits = limits,
        }
    }

    fn inject_link_fault(&mut self, fault: LinkFault) {
        let now = self.queue.now();
        match fault {
            LinkFault::LoseMessagesToAgents { machines, duration_ms } => {
                self.update_links(&machines, |link| link.inbound_lost_until_ms = now + duration_ms);
            }
            LinkFault::LoseHeartbeats { machines, duration_ms } => {
                self.update_links(&machines, |link| link.heartbeats_lost_until_ms = now + duration_ms);
            }
            LinkFault::DelayAnswers { machines, duration_ms, delay_ms } => {
                let delay = TemporaryDelay { until_ms: now + duration_ms, delay_ms };
                self.update_links(&machines, |link| link.answer_delay = delay);
            }
            LinkFault::DelayCommands { machines, duration_ms, delay_ms } => {
                let delay = TemporaryDelay { until_ms: now + duration_ms, delay_ms };
                self.update_links(&machines, |link| link.command_delay = delay);
            }
            LinkFault::DuplicateAllHeartbeats { duration_ms, delay_ms } => {
                self.agents.heartbeat_duplicates.of_all = TemporaryDelay { until_ms: now + duration_ms, delay_ms };
            }
            LinkFault::DuplicateSomeHeartbeats { percent, duration_ms, arrival } => {
                self.agents.heartbeat_duplicates.of_some =
                    TemporaryProbability::from_percent(percent, now + duration_ms);
                self.agents.heartbeat_duplicates.arrival = Some(arrival);
            }
        }
    }

    fn update_links(&mut self, machines: &MachineChoice, change: impl Fn(&mut AgentLink)) {
        for machine in self.agents.select(machines) {
            change(self.agents.link_mut(machine));
        }
    }

    fn inject_machine_fault(&mut self, fault: MachineFault) {
        let now = self.queue.now();
        match fault {
            MachineFault::Hang { machines, duration_ms } => {
                for machine in self.agents.select(&machines) {
                    if let Some(agent) = self.agents.running.get_mut(&machine) {
                        agent.faults.hung_until_ms = now + duration_ms;
                    }
                }
            }
            MachineFault::Restart { machines, memory, restart_after_ms } => {
                for machine in self.agents.select(&machines) {
                    self.restart_machine(&machine, memory, now + restart_after_ms);
                }
            }
            MachineFault::FailTasks { machine, duration_ms } => {
                if let Some(agent) = self.agents.running.get_mut(&machine) {
                    agent.faults.fails_tasks_until_ms = now + duration_ms;
                }
            }
            MachineFault::Slow { machine, duration_ms, factor } => {
                if let Some(agent) = self.agents.running.get_mut(&machine) {
                    agent.faults.slow_until_ms = now + duration_ms;
                    agent.faults.slow_factor = factor;
                }
            }
            MachineFault::Lose { machines } => {
                for machine in self.agents.select(&machines) {
                    self.remove_machine(&machine);
                }
            }
            MachineFault::LoseMachineOfTask { task } => {
                if let Some(machine) = self.machine_running(&task) {
                    self.remove_machine(&machine);
                }
            }
            MachineFault::Reclaim { machine, notice_ms } => {
                self.agents.reclaimed_at_ms.insert(machine, now + notice_ms);
            }
        }
    }

    fn restart_machine(&mut self, machine: &str, memory: AgentMemory, up_at_ms: u64) {
        if let Some(agent) = self.agents.running.get_mut(machine) {
            match memory {
                AgentMemory::Lost => agent.restart_in_next_epoch(up_at_ms),
                AgentMemory::EpochAndToken => agent.restart(up_at_ms),
            }
        }
        self.report_events_to_checker(machine);
    }

    fn machine_running(&self, task: &str) -> Option<String> {
        let runs = |name: &&String| {
            let attempts = self.agents.running[*name].tasks.get(task).into_iter().flatten();
            attempts.into_iter().any(|attempt| attempt.status == TaskStatus::Running)
        };
        self.agents.running.keys().find(runs).cloned()
    }

    fn inject_cloud_fault(&mut self, fault: CloudFault) {
        let now = self.queue.now();
        match fault {
            CloudFault::AddMachines { machine_type, zone, count } => {
                let offer = Offer::on_demand(&machine_type, &zone);
                for _ in 0..count {
                    self.cloud.service.create(now, offer.clone(), Some(now));
                }
            }
            CloudFault::Outage { duration_ms } => {
                self.cloud.service.down = true;
                self.cloud.down_until_ms = now + duration_ms;
            }
            CloudFault::DelayScaleOut { duration_ms, delay_ms } => {
                self.cloud.delayed_scale_out = TemporaryDelay { until_ms: now + duration_ms, delay_ms };
            }
            CloudFault::FailBoots { count } => self.cloud.service.boot_failures_left = count,
        }
    }

    fn inject_job_fault(&mut self, fault: JobFault) {
        let now = self.queue.now();
        match fault {
            JobFault::FailEverywhere { job } => {
                self.agents.failing_jobs.insert(job);
            }
            JobFault::CancelRunning { count, hang_ms } => self.cancel_running_jobs(count, hang_ms),
            JobFault::CancelCompleting { percent, duration_ms } => {
                self.users.completion_cancellation = TemporaryProbability::from_percent(percent, now + duration_ms);
            }
            JobFault::ProbeAllControllers { job, duration_ms } => {
                self.users.probes = Some(ProbePeriod { job, until_ms: now + duration_ms });
            }
        }
    }
}
