//! Where each fault takes effect.

use super::controllers::Version;
use super::event::Event;
use super::fault::{CloudFault, ControllerFault, Fault, JobFault, LinkFault, MachineChoice, MachineFault, StoreFault};
use super::network::CutEnd;
use super::window::{Chance, Delay};
use super::{Simulation, agents::AgentLink};
use crate::cloud::Offer;
use shaleshunt_wire::worker::TaskStatus;

/// The faults of a simulation.
#[derive(Default)]
pub(super) struct FaultSchedule {
    faults: Vec<Fault>,
    /// When all that have begun are over, in ms.
    pub(super) calm_from: u64,
}

impl Simulation {
    /// Adds a fault that begins at a time, in ms.
    pub fn add_fault(&mut self, at: u64, fault: Fault) {
        let index = self.faults.faults.len();
        self.faults.faults.push(fault);
        self.queue.schedule(at, Event::FaultBegins(index));
    }

    pub(super) fn begin_fault(&mut self, index: usize) {
        let fault = self.faults.faults[index].clone();
        let ends_at = self.queue.now() + fault.duration_ms();
        self.faults.calm_from = self.faults.calm_from.max(ends_at);
        self.inject(fault);
    }

    fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::Controller(fault) => self.inject_at_controllers(fault),
            Fault::Store(fault) => self.inject_at_store(fault),
            Fault::Link(fault) => self.inject_at_links(fault),
            Fault::Machine(fault) => self.inject_at_machines(fault),
            Fault::Cloud(fault) => self.inject_at_cloud(fault),
            Fault::Job(fault) => self.inject_at_jobs(fault),
        }
    }

    fn inject_at_controllers(&mut self, fault: ControllerFault) {
        let now = self.queue.now();
        match fault {
            ControllerFault::Kill { controllers, restart_after_ms } => {
                for choice in controllers {
                    let index = self.chosen_controller(choice);
                    self.kill_controller(index, restart_after_ms);
                }
            }
            ControllerFault::Upgrade { controller, restart_after_ms } => {
                let index = self.chosen_controller(controller);
                self.controllers[index].version = Version::Current;
                self.kill_controller(index, restart_after_ms);
            }
            ControllerFault::Pause { controller, for_ms } => {
                let index = self.chosen_controller(controller);
                self.controllers[index].pause_until(now + for_ms);
            }
            ControllerFault::Cut { controller, side, for_ms, messages } => {
                let index = self.chosen_controller(controller);
                self.network.cut_controller(index, side, CutEnd { until: now + for_ms, messages });
            }
            ControllerFault::CutZone { zone, for_ms, messages } => {
                self.network.cut_zone(zone, CutEnd { until: now + for_ms, messages });
            }
            ControllerFault::RefusePeerConnections { for_ms } => {
                self.network.peers_refuse_until = now + for_ms;
                self.break_all_connections();
            }
            ControllerFault::RefuseDirectCalls { for_ms } => self.network.no_direct_calls_until = now + for_ms,
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

    fn inject_at_store(&mut self, fault: StoreFault) {
        let now = self.queue.now();
        match fault {
            StoreFault::Stop { for_ms } => {
                self.store.service.down = true;
                self.store.down_until = now + for_ms;
            }
            StoreFault::RefuseController { controller, for_ms } => {
                let index = self.chosen_controller(controller);
                self.store.refuses_until[index] = now + for_ms;
            }
            StoreFault::Slow { for_ms, delay_ms } => {
                self.store.slowness = Delay { until: now + for_ms, by_ms: delay_ms };
            }
            StoreFault::LoseTransactionAnswers { percent, for_ms, execution } => {
                self.store.lost_answers.chance = Chance::of_percent(percent, now + for_ms);
                self.store.lost_answers.execution = execution;
            }
            StoreFault::DelayTransactions { count, delay_ms } => {
                self.store.delayed_transactions.left = count;
                self.store.delayed_transactions.by_ms = delay_ms;
            }
            StoreFault::LowerLimits { limits } => self.store.service.limits = limits,
        }
    }

    fn inject_at_links(&mut self, fault: LinkFault) {
        let now = self.queue.now();
        match fault {
            LinkFault::LoseMessagesToAgents { machines, for_ms } => {
                self.change_links(&machines, |link| link.inbound_lost_until = now + for_ms);
            }
            LinkFault::LoseHeartbeats { machines, for_ms } => {
                self.change_links(&machines, |link| link.heartbeats_lost_until = now + for_ms);
            }
            LinkFault::DelayAnswers { machines, for_ms, delay_ms } => {
                let delay = Delay { until: now + for_ms, by_ms: delay_ms };
                self.change_links(&machines, |link| link.answer_delay = delay);
            }
            LinkFault::DelayCommands { machines, for_ms, delay_ms } => {
                let delay = Delay { until: now + for_ms, by_ms: delay_ms };
                self.change_links(&machines, |link| link.command_delay = delay);
            }
            LinkFault::CopyAllHeartbeats { for_ms, delay_ms } => {
                self.agents.heartbeat_copies.of_all = Delay { until: now + for_ms, by_ms: delay_ms };
            }
            LinkFault::CopySomeHeartbeats { percent, for_ms, arrival } => {
                self.agents.heartbeat_copies.of_some = Chance::of_percent(percent, now + for_ms);
                self.agents.heartbeat_copies.arrival = Some(arrival);
            }
        }
    }

    fn change_links(&mut self, machines: &MachineChoice, change: impl Fn(&mut AgentLink)) {
        for machine in self.agents.chosen(machines) {
            change(self.agents.link_mut(machine));
        }
    }

    fn inject_at_machines(&mut self, fault: MachineFault) {
        let now = self.queue.now();
        match fault {
            MachineFault::Hang { machines, for_ms } => {
                for machine in self.agents.chosen(&machines) {
                    if let Some(agent) = self.agents.running.get_mut(&machine) {
                        agent.faults.hangs_until = now + for_ms;
                    }
                }
            }
            MachineFault::FailTasks { machine, for_ms } => {
                if let Some(agent) = self.agents.running.get_mut(&machine) {
                    agent.faults.fails_tasks_until = now + for_ms;
                }
            }
            MachineFault::Slow { machine, for_ms, factor } => {
                if let Some(agent) = self.agents.running.get_mut(&machine) {
                    agent.faults.slow_until = now + for_ms;
                    agent.faults.slow_factor = factor;
                }
            }
            MachineFault::Lose { machines } => {
                for machine in self.agents.chosen(&machines) {
                    self.lose_machine(&machine);
                }
            }
            MachineFault::LoseMachineOfTask { task } => {
                if let Some(machine) = self.machine_running(&task) {
                    self.lose_machine(&machine);
                }
            }
            MachineFault::Reclaim { machine, notice_ms } => {
                self.agents.reclaimed_at.insert(machine, now + notice_ms);
            }
        }
    }

    fn machine_running(&self, task: &str) -> Option<String> {
        let runs = |name: &&String| {
            let attempts = self.agents.running[*name].tasks.get(task).into_iter().flatten();
            attempts.into_iter().any(|attempt| attempt.status == TaskStatus::Running)
        };
        self.agents.running.keys().find(runs).cloned()
    }

    fn inject_at_cloud(&mut self, fault: CloudFault) {
        let now = self.queue.now();
        match fault {
            CloudFault::AddMachines { machine_type, zone, count } => {
                let offer = Offer::on_demand(&machine_type, &zone);
                for _ in 0..count {
                    self.cloud.service.create(now, offer.clone(), Some(now));
                }
            }
            CloudFault::Stop { for_ms } => {
                self.cloud.service.down = true;
                self.cloud.down_until = now + for_ms;
            }
            CloudFault::DelayScaleOut { for_ms, delay_ms } => {
                self.cloud.delayed_scale_out = Delay { until: now + for_ms, by_ms: delay_ms };
            }
            CloudFault::FailBoots { count } => self.cloud.service.never_boot = count,
        }
    }

    fn inject_at_jobs(&mut self, fault: JobFault) {
        let now = self.queue.now();
        match fault {
            JobFault::FailEverywhere { job } => {
                self.agents.failing_jobs.insert(job);
            }
            JobFault::CancelRunning { count, hang_ms } => self.cancel_running_jobs(count, hang_ms),
            JobFault::CancelCompleting { percent, for_ms } => {
                self.users.cancels_at_completion = Chance::of_percent(percent, now + for_ms);
            }
            JobFault::ProbeAllControllers { for_ms } => self.users.probe_until = now + for_ms,
        }
    }
}
