//! Heartbeats of agents: processes their reports, releases placements that they prove gone, and replies with
//! commands.

use crate::controller::Context;
use crate::event::Event;
use crate::io::{Answer, RequestId};
use crate::leader::Leader;
use crate::leader::fleet::commands::CommandChannel;
use crate::leader::fleet::heartbeat_effects::{FindingEffects, apply_findings};
use crate::leader::fleet::interruption::stop_before_interruption;
use crate::leader::fleet::reconciliation::{HeartbeatEvidence, reconcile};
use crate::model::{HeartbeatOrder, Id, Machine};
use shaleshunt_wire::worker::{Heartbeat, HeartbeatReply, TaskCommand};
use shaleshunt_wire::{FencingToken, Resources};

/// Initial count of unacknowledged commands for an adopted machine. It is so high that the machine gets no tasks
/// before it acknowledges a command, and leaves room for further counts.
const ADOPTED_UNACKNOWLEDGED_COMMANDS: u32 = u32::MAX / 2;

/// Origin of a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HeartbeatSource {
    /// The agent sent it on its own. An agent has one heartbeat in flight at a time, so the reply to the previous
    /// one has been carried out or lost.
    Agent,
    /// The answer to a direct call. It may be older than the reply to the last heartbeat, which may still start
    /// tasks.
    DirectCall,
}

/// Result of processing a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HeartbeatOutcome {
    /// The heartbeat was processed.
    Processed,
    /// The heartbeat is older than one already processed.
    Outdated,
}

impl Leader {
    /// Processes a heartbeat that an agent sent, and replies with commands for its machine.
    pub(crate) fn handle_heartbeat(&mut self, ctx: &mut Context, id: RequestId, heartbeat: Heartbeat) {
        // A leader that has received no changes of jobs for too long must not renew machine leases: a cancellation
        // that it missed could otherwise not be carried out in time.
        if !self.may_renew_leases(ctx) {
            let error = "no news from the state service";
            ctx.answer(id, Answer::Error { status: 503, error, retry_after: None });
            return;
        }
        let machine: Id = heartbeat.machine.as_str().into();
        let outcome = self.process_heartbeat(ctx, &machine, heartbeat, HeartbeatSource::Agent);
        let commands = match outcome {
            HeartbeatOutcome::Processed => self.take_commands(&machine, CommandChannel::HeartbeatReply).commands,
            HeartbeatOutcome::Outdated => Vec::new(),
        };
        let mut token = FencingToken::new(self.epoch, 0);
        if let Some(m) = self.fleet.machines.get_mut(&machine) {
            token = m.agent.token(self.epoch);
            m.agent.reply_may_start_tasks |= commands.iter().any(|c| matches!(c, TaskCommand::Run { .. }));
        }
        self.log_commands(ctx, &machine, token, &commands);
        ctx.answer(id, Answer::Heartbeat(HeartbeatReply { token, commands }));
    }

    /// Processes a heartbeat, unless it is older than one already processed.
    pub(crate) fn process_heartbeat(
        &mut self,
        ctx: &mut Context,
        machine: &Id,
        heartbeat: Heartbeat,
        source: HeartbeatSource,
    ) -> HeartbeatOutcome {
        if !self.fleet.machines.contains_key(machine) {
            self.adopt_machine(ctx, machine, &heartbeat);
        }
        let order = HeartbeatOrder { agent_epoch: heartbeat.agent_epoch, sequence: heartbeat.sequence };
        if self.fleet.machines.get(machine).is_none_or(|m| m.agent.is_outdated(order)) {
            return HeartbeatOutcome::Outdated;
        }
        self.record_contact(ctx, machine, order);
        self.update_attributes(ctx, machine, &heartbeat);
        self.update_interruption(ctx, machine, heartbeat.preemption_notice_s);
        let token_is_current = self.check_token(machine, heartbeat.token);
        let effects = self.reconcile_heartbeat(ctx, machine, &heartbeat, source, token_is_current);
        if self.fleet.machines.get(machine).is_some_and(|m| m.record.block.is_none()) {
            self.assign_block(ctx, machine);
        }
        self.apply_effects(ctx, machine, effects);
        self.stop_before_interruption(ctx, machine);
        self.detect_slow_machine(ctx, machine);
        HeartbeatOutcome::Processed
    }

    /// Adopts a machine without a record, such as one from a late scale-out. The heartbeat may be a delayed copy
    /// from a machine that was returned long ago, so an adopted machine that is surely rented gets no tasks before
    /// it acknowledges a command.
    fn adopt_machine(&mut self, ctx: &mut Context, machine: &Id, heartbeat: &Heartbeat) {
        let owned = self.autoscaler.owned.contains(&heartbeat.machine);
        let is_surely_rented = self.autoscaler.owned.is_known() && !owned;
        let mut m = self.new_machine(ctx, machine, &heartbeat.machine_type, &heartbeat.zone, heartbeat.spot, owned);
        if is_surely_rented {
            m.agent.unacknowledged_commands = ADOPTED_UNACKNOWLEDGED_COMMANDS;
        }
        self.fleet.machines.insert(m);
        self.fleet.calls.confirm_token(machine.clone());
        ctx.emit(Event::MachineAdopted { machine: machine.clone() });
    }

    /// Records that a machine, and so its zone, has been heard from.
    fn record_contact(&mut self, ctx: &Context, machine: &Id, order: HeartbeatOrder) {
        let now = ctx.now.monotonic_ms;
        let Some(m) = self.fleet.machines.get_mut(machine) else { return };
        if m.agent.last_heartbeat_ms.is_none() || !m.is_responsive(now, &ctx.settings) {
            self.scheduler.request_pass();
        }
        m.agent.record_heartbeat(order, now);
        self.fleet.reachability.record_zone_heartbeat(&m.zone, now);
    }

    /// Updates what is known of the machine itself from its heartbeat, and its capacity once its type is in the
    /// catalog.
    fn update_attributes(&mut self, ctx: &Context, machine: &Id, heartbeat: &Heartbeat) {
        self.update_endpoint(machine, &heartbeat.endpoint);
        let Some(m) = self.fleet.machines.get_mut(machine) else { return };
        let mut total = m.capacity.total;
        if m.zone.is_empty() {
            // The machine was known only from the record of a placement.
            m.machine_type.clone_from(&heartbeat.machine_type);
            m.zone.clone_from(&heartbeat.zone);
            m.spot = heartbeat.spot;
            total = Resources::default();
            for placement in &m.placements {
                if let Some(job) = self.jobs.get_mut(&placement.job) {
                    job.tasks.set_placement_zone(&m.zone);
                }
            }
        }
        if total == Resources::default()
            && let Some(machine_type) = ctx.catalog.as_ref().and_then(|c| c.machine_type(&m.machine_type))
        {
            total = machine_type.resources();
            self.scheduler.request_pass();
        }
        if total != m.capacity.total {
            self.fleet.machines.set_capacity(machine, total);
        }
    }

    /// Updates whether the cloud is about to reclaim the machine, and at what time.
    fn update_interruption(&mut self, ctx: &mut Context, machine: &Id, notice_s: Option<f64>) {
        let Some(m) = self.fleet.machines.get_mut(machine) else { return };
        match notice_s {
            Some(seconds_left) if m.lifecycle.preemption_at_ms.is_none() => {
                let left_ms = (seconds_left.max(0.0) * 1000.0) as u64;
                m.lifecycle.preemption_at_ms = Some(ctx.now.monotonic_ms + left_ms);
                ctx.emit(Event::MachineInterruptionNotice { machine: machine.clone(), seconds_left });
            }
            Some(_) => {}
            None => m.lifecycle.preemption_at_ms = None,
        }
    }

    /// Compares a heartbeat with the placements on the machine and applies the findings.
    fn reconcile_heartbeat(
        &mut self,
        ctx: &mut Context,
        machine: &Id,
        heartbeat: &Heartbeat,
        source: HeartbeatSource,
        token_is_current: bool,
    ) -> FindingEffects {
        let Some(m) = self.fleet.machines.get_mut(machine) else { return FindingEffects::default() };
        let reply_carried_out = source == HeartbeatSource::Agent && std::mem::take(&mut m.agent.reply_may_start_tasks);
        let commands_in_flight = !m.call.is_idle() || m.agent.reply_may_start_tasks;
        let evidence = HeartbeatEvidence {
            agent_epoch: heartbeat.agent_epoch,
            token_is_current,
            token_is_latest: heartbeat.token >= m.agent.token(self.epoch),
            commands_in_flight,
            direct_starts: m.agent.fencing.direct_starts(),
        };
        let reconciliation = reconcile(&m.placements, &heartbeat.tasks, evidence);
        let disk_gb = disk_gb(ctx, m);
        let effects = apply_findings(m, &mut self.jobs, &reconciliation.findings, disk_gb, ctx.now.monotonic_ms);
        let known = std::mem::replace(&mut m.agent.unexpected_tasks, reconciliation.unexpected);
        if reconciliation.start_acknowledged {
            m.agent.record_acknowledged_command();
        } else if effects.start_lost && reply_carried_out {
            m.agent.record_unacknowledged_command();
        }
        let raised = if effects.unfenced { m.agent.raise_token() } else { Ok(()) };
        if effects.start_lost || effects.unfenced {
            self.fleet.calls.call_soon(machine.clone());
        }
        self.step_down_if_exhausted(raised);
        self.log_tasks_without_placement(ctx, heartbeat, machine, &known);
        effects
    }

    /// Releases the placements that a heartbeat proves gone, and handles the tasks that it proves ended.
    fn apply_effects(&mut self, ctx: &mut Context, machine: &Id, effects: FindingEffects) {
        let now = ctx.now.monotonic_ms;
        for placement_id in effects.earlier_agent_epoch.into_iter().chain(effects.absent) {
            self.release_unfinished(now, machine, placement_id);
        }
        for ended in effects.ended {
            self.task_ended(ctx, machine, ended.placement_id, ended.cause);
        }
    }

    /// Stops tasks that cannot finish before the cloud reclaims the machine.
    fn stop_before_interruption(&mut self, ctx: &Context, machine: &Id) {
        let Some(m) = self.fleet.machines.get_mut(machine) else { return };
        if stop_before_interruption(m, &self.jobs, ctx.now.monotonic_ms) {
            self.fleet.calls.call_soon(machine.clone());
        }
    }
}

/// Disk size of a machine in GB; zero if its type is not in the catalog.
fn disk_gb(ctx: &Context, machine: &Machine) -> f64 {
    let machine_type = ctx.catalog.as_ref().and_then(|catalog| catalog.machine_type(&machine.machine_type));
    machine_type.map_or(0.0, |machine_type| machine_type.local_gb)
}
