//! Which machines are returned to the cloud, and what happens when one is.

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

/// A machine that has not come up after so many times its type's usual boot time never will.
const BOOT_TIMES_BEFORE_GIVING_UP: f64 = 4.0;

/// What a decision to scale in reads.
pub(super) struct ScaleInView<'a> {
    pub(super) jobs: &'a BTreeMap<Id, Job>,
    pub(super) machines: &'a MachineIndex,
    pub(super) catalog: Option<&'a Catalog>,
    pub(super) settings: &'a Settings,
    pub(super) tuning: &'a Tuning,
    pub(super) now: Timestamp,
    /// When this leader was elected (steady clock, ms).
    pub(super) elected_at: u64,
    /// Few machines are overdue: the fault is theirs and not ours.
    pub(super) few_overdue: bool,
    /// Zones in which another controller may renew the leases of machines.
    pub(super) zones_with_controllers: BTreeSet<&'a str>,
}

/// Why a machine is returned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ScaleInReason {
    /// Its agent was heard by an earlier leader, but never by this one.
    NeverHeard,
    /// It did not come up.
    NeverBooted,
    /// Its agent was not heard for too long.
    Silent,
    /// The cloud is about to take it back, and it is empty.
    Preempted,
    /// It has had no work for long.
    Idle,
}

/// A machine that is to be returned.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct ScaleIn {
    pub(super) machine: Id,
    pub(super) reason: ScaleInReason,
}

/// Machines that are to be returned and were not so far.
pub(super) fn plan_scale_in(view: &ScaleInView) -> Vec<ScaleIn> {
    let kept = |machine: &&Machine| !machine.lifecycle.scale_in_wanted && !machine.lifecycle.scale_in_requested;
    view.machines
        .values()
        .filter(kept)
        .filter_map(|machine| view.reason(machine).map(|reason| ScaleIn { machine: machine.id.clone(), reason }))
        .collect()
}

impl ScaleInView<'_> {
    /// Why the machine is to be returned, if it is. An owned machine is not: it goes only when the cloud's
    /// list shows that it failed.
    fn reason(&self, machine: &Machine) -> Option<ScaleInReason> {
        match machine.agent.last_heartbeat_ms {
            None if machine.owned => None,
            None if machine.agent.epoch > AgentEpoch::NONE => {
                self.leads_for_long().then_some(ScaleInReason::NeverHeard)
            }
            None => self.never_booted(machine).then_some(ScaleInReason::NeverBooted),
            Some(_) if machine.owned => None,
            Some(heard) => self.reason_of_heard(machine, heard),
        }
    }

    fn reason_of_heard(&self, machine: &Machine, heard: u64) -> Option<ScaleInReason> {
        let silent_ms = self.now.monotonic_ms.saturating_sub(heard);
        if silent_ms > self.longest_silence_ms(machine) {
            Some(ScaleInReason::Silent)
        } else if !machine.placements.is_empty() {
            None
        } else if machine.lifecycle.preemption_at_ms.is_some() {
            Some(ScaleInReason::Preempted)
        } else {
            self.idle_for_long(machine).then_some(ScaleInReason::Idle)
        }
    }

    /// Silence after which a machine is taken to be lost, in ms.
    fn silence_ms(&self) -> u64 {
        (self.settings.heartbeat_interval_s * self.tuning.missed_heartbeats * 1000.0) as u64
    }

    /// This leader has led for long enough to have heard every machine.
    fn leads_for_long(&self) -> bool {
        self.now.monotonic_ms.saturating_sub(self.elected_at) > self.silence_ms() * 2
    }

    fn never_booted(&self, machine: &Machine) -> bool {
        let machine_type = self.catalog.and_then(|catalog| catalog.machine_type(&machine.machine_type));
        let boot_s = machine_type.map_or(self.settings.lease_s, |machine_type| machine_type.boot_s);
        let age_s = self.now.wall_ms.saturating_sub(machine.rented_at_ms) as f64 / 1000.0;
        let patience_s = boot_s * BOOT_TIMES_BEFORE_GIVING_UP + self.settings.heartbeat_interval_s;
        age_s > patience_s && self.leads_for_long()
    }

    /// How long this machine may be silent, in ms.
    fn longest_silence_ms(&self, machine: &Machine) -> u64 {
        let silence_ms = self.silence_ms();
        if machine.agent.partitioned && self.zones_with_controllers.contains(machine.zone.as_str()) {
            // The controller there renews its leases for a while: what it runs goes on, and is better
            // waited for unless it has a deadline.
            return if self.has_deadline_work(machine) {
                silence_ms * 2 / 3
            } else {
                self.settings.lease_renewal_window_ms() + self.settings.lease_expiry_ms()
            };
        }
        let ignores_commands = machine.agent.unacknowledged_commands > 0 && self.few_overdue;
        if ignores_commands { silence_ms / 2 } else { silence_ms }
    }

    fn has_deadline_work(&self, machine: &Machine) -> bool {
        let mut jobs = machine.placements.iter().filter_map(|placement| self.jobs.get(&placement.job));
        jobs.any(|job| job.deadline().is_some())
    }

    fn idle_for_long(&self, machine: &Machine) -> bool {
        let idle_since = machine.lifecycle.idle_since_ms.max(machine.lifecycle.needed_at_ms);
        let idle_ms = self.now.monotonic_ms.saturating_sub(idle_since) as f64;
        idle_ms > self.tuning.idle_before_scale_in_s * 1000.0
    }
}

impl Leader {
    /// Marks machines that are to be returned, and asks the cloud to take some of them back.
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
            let wait = self.pending_request(LeaderRequest::ScaleIn(returned.clone()));
            let names = returned.iter().map(|id| id.to_string()).collect();
            ctx.send_cloud(CloudRequest::ScaleIn(names), wait);
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
            elected_at: self.elected_at,
            few_overdue: self.fleet.reachability.few_overdue(),
            zones_with_controllers: ctx.peer_lease_reports.values().map(|report| report.zone.as_str()).collect(),
        }
    }

    /// The cloud answered a request to take machines back. Without its confirmation they are asked for again.
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

    /// A machine is proven gone, by a return that was confirmed; so is what ran on it.
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
