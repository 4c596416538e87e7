//! Scale in: which machines are returned to the cloud, and the handling of the cloud's replies.

use crate::controller::Context;
use crate::event::Event;
use crate::io::{CloudReply, CloudRequest, RequestError, Timestamp};
use crate::leader::fleet::machines::MachineIndex;
use crate::leader::{Leader, LeaderRequest};
use crate::model::{Id, Job, Machine};
use crate::settings::{Settings, Tuning};
use shaleshunt_wire::cloud::Catalog;
use shaleshunt_wire::{AgentEpoch, MAX_MACHINES_PER_SCALE_IN};
use std::collections::{BTreeMap, BTreeSet};

/// A machine that has not come up after this many usual boot times of its type never will.
const MAX_BOOT_TIMES: f64 = 4.0;

/// Input of a scale-in decision.
pub(super) struct ScaleInView<'a> {
    pub(super) jobs: &'a BTreeMap<Id, Job>,
    pub(super) machines: &'a MachineIndex,
    pub(super) catalog: Option<&'a Catalog>,
    pub(super) settings: &'a Settings,
    pub(super) tuning: &'a Tuning,
    pub(super) now: Timestamp,
    /// When this leader was elected (ms, monotonic).
    pub(super) elected_at_ms: u64,
    /// Whether only few machines have overdue heartbeats, so that these machines are at fault and not the network or
    /// this controller.
    pub(super) few_overdue: bool,
    /// Zones in which another controller may renew the leases of machines.
    pub(super) zones_with_controllers: BTreeSet<&'a str>,
}

/// Reason for returning a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ScaleInReason {
    /// The agent sent heartbeats to an earlier leader, but never to this one.
    NoHeartbeat,
    /// The machine did not come up.
    NeverBooted,
    /// The agent has sent no heartbeat for too long.
    Unreachable,
    /// The cloud is about to preempt the machine, which has no placements.
    Preempted,
    /// The machine has had no work for too long.
    Idle,
}

/// A machine to return.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct ScaleIn {
    pub(super) machine: Id,
    pub(super) reason: ScaleInReason,
}

/// Machines to return whose return is not wanted or requested yet.
pub(super) fn plan_scale_in(view: &ScaleInView) -> Vec<ScaleIn> {
    let not_returning =
        |machine: &&Machine| !machine.lifecycle.scale_in_wanted && !machine.lifecycle.scale_in_requested;
    view.machines
        .values()
        .filter(not_returning)
        .filter_map(|machine| view.reason(machine).map(|reason| ScaleIn { machine: machine.id.clone(), reason }))
        .collect()
}

impl ScaleInView<'_> {
    /// Reason for returning the machine, if any. An owned machine is returned only if the cloud's list shows that it
    /// failed, which is not decided here.
    fn reason(&self, machine: &Machine) -> Option<ScaleInReason> {
        match machine.agent.last_heartbeat_ms {
            None if machine.owned => None,
            None if machine.agent.epoch > AgentEpoch::NONE => {
                self.was_elected_long_ago().then_some(ScaleInReason::NoHeartbeat)
            }
            None => self.never_booted(machine).then_some(ScaleInReason::NeverBooted),
            Some(_) if machine.owned => None,
            Some(last_heartbeat_ms) => self.reason_after_heartbeats(machine, last_heartbeat_ms),
        }
    }

    fn reason_after_heartbeats(&self, machine: &Machine, last_heartbeat_ms: u64) -> Option<ScaleInReason> {
        let elapsed_ms = self.now.monotonic_ms.saturating_sub(last_heartbeat_ms);
        if elapsed_ms > self.machine_loss_timeout_ms(machine) {
            Some(ScaleInReason::Unreachable)
        } else if !machine.placements.is_empty() {
            None
        } else if machine.lifecycle.preemption_at_ms.is_some() {
            Some(ScaleInReason::Preempted)
        } else {
            self.is_idle_too_long(machine).then_some(ScaleInReason::Idle)
        }
    }

    /// Time without a heartbeat after which a machine counts as lost, in ms.
    fn loss_timeout_ms(&self) -> u64 {
        (self.settings.heartbeat_interval_s * self.tuning.missed_heartbeats * 1000.0) as u64
    }

    /// Whether this leader was elected long enough ago that every machine has had time to send it a heartbeat.
    fn was_elected_long_ago(&self) -> bool {
        self.now.monotonic_ms.saturating_sub(self.elected_at_ms) > self.loss_timeout_ms() * 2
    }

    fn never_booted(&self, machine: &Machine) -> bool {
        let machine_type = self.catalog.and_then(|catalog| catalog.machine_type(&machine.machine_type));
        let boot_s = machine_type.map_or(self.settings.lease_s, |machine_type| machine_type.boot_s);
        let age_s = self.now.wall_ms.saturating_sub(machine.rented_at_ms) as f64 / 1000.0;
        let timeout_s = boot_s * MAX_BOOT_TIMES + self.settings.heartbeat_interval_s;
        age_s > timeout_s && self.was_elected_long_ago()
    }

    /// Time without a heartbeat after which this machine counts as lost, in ms.
    fn machine_loss_timeout_ms(&self, machine: &Machine) -> u64 {
        let loss_timeout_ms = self.loss_timeout_ms();
        if machine.agent.partitioned && self.zones_with_controllers.contains(machine.zone.as_str()) {
            // The controller in the machine's zone renews its leases for a while, so its tasks keep running. Waiting
            // for the machine is better, unless one of its jobs has a deadline.
            return if self.has_deadline_work(machine) {
                loss_timeout_ms * 2 / 3
            } else {
                self.settings.lease_renewal_window_ms() + self.settings.lease_expiry_ms()
            };
        }
        let misses_commands = machine.agent.unacknowledged_commands > 0 && self.few_overdue;
        if misses_commands { loss_timeout_ms / 2 } else { loss_timeout_ms }
    }

    fn has_deadline_work(&self, machine: &Machine) -> bool {
        let mut jobs = machine.placements.iter().filter_map(|placement| self.jobs.get(&placement.job));
        jobs.any(|job| job.deadline().is_some())
    }

    fn is_idle_too_long(&self, machine: &Machine) -> bool {
        let idle_since_ms = machine.lifecycle.idle_since_ms.max(machine.lifecycle.needed_at_ms);
        let idle_ms = self.now.monotonic_ms.saturating_sub(idle_since_ms) as f64;
        idle_ms > self.tuning.idle_before_scale_in_s * 1000.0
    }
}

impl Leader {
    /// Marks the machines to return, and requests the return of some of them from the cloud.
    pub(super) fn scale_in(&mut self, ctx: &mut Context) {
        let planned = plan_scale_in(&self.scale_in_view(ctx));
        for scale_in in planned {
            if let Some(machine) = self.fleet.machines.get_mut(&scale_in.machine) {
                machine.lifecycle.scale_in_wanted = true;
            }
        }
        let mut returned: Vec<Id> = Vec::new();
        let wanted =
            |machine: &&mut Machine| machine.lifecycle.scale_in_wanted && !machine.lifecycle.scale_in_requested;
        for machine in self.fleet.machines.values_mut().filter(wanted).take(MAX_MACHINES_PER_SCALE_IN) {
            machine.lifecycle.scale_in_requested = true;
            returned.push(machine.id.clone());
        }
        if !returned.is_empty() {
            let pending = self.pending_request(LeaderRequest::ScaleIn(returned.clone()));
            let names = returned.iter().map(|id| id.to_string()).collect();
            ctx.send_cloud(CloudRequest::ScaleIn(names), pending);
        }
    }

    fn scale_in_view<'a>(&'a self, ctx: &'a Context) -> ScaleInView<'a> {
        ScaleInView {
            jobs: &self.jobs,
            machines: &self.fleet.machines,
            catalog: ctx.catalog.as_ref(),
            settings: &ctx.settings,
            tuning: &ctx.tuning,
            now: ctx.now,
            elected_at_ms: self.elected_at_ms,
            few_overdue: self.fleet.reachability.few_overdue(),
            zones_with_controllers: ctx.peer_lease_reports.values().map(|report| report.zone.as_str()).collect(),
        }
    }

    /// Handles the reply to a scale-in request. Without a confirmation, the return of the machines is requested again.
    pub(super) fn handle_scale_in_reply(
        &mut self,
        ctx: &mut Context,
        machines: Vec<Id>,
        result: Result<CloudReply, RequestError>,
    ) {
        let confirmed = matches!(result, Ok(CloudReply::ScaledIn));
        for id in machines {
            if confirmed {
                self.remove_machine(ctx, &id);
            } else if let Some(machine) = self.fleet.machines.get_mut(&id) {
                machine.lifecycle.scale_in_requested = false;
            }
        }
    }

    /// Removes a machine and releases its placements, because the confirmed return proves both gone.
    fn remove_machine(&mut self, ctx: &mut Context, id: &Id) {
        let placements: Vec<u64> = match self.fleet.machines.get(id) {
            Some(machine) => machine.placements.iter().map(|placement| placement.placement_id).collect(),
            None => Vec::new(),
        };
        for placement_id in placements {
            self.release_unfinished(ctx.now.monotonic_ms, id, placement_id);
        }
        if let Some(machine) = self.fleet.remove(id) {
            ctx.emit(Event::ScaleInCompleted { machine: id.clone() });
            self.store.machine_removed(&machine);
        }
        self.scheduler.request_pass();
    }
}

#[cfg(test)]
mod tests;
