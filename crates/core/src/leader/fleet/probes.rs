//! Probes of rented machines with overdue heartbeats. A probe finds a machine that was preempted without notice in half
//! the time that the missing heartbeats alone would need.

use crate::leader::fleet::Fleet;
use crate::leader::fleet::reachability::heartbeat_overdue_after_ms;
use crate::model::{Id, Machine};

impl Fleet {
    /// Looks for machines with overdue heartbeats and returns those to probe. If many are overdue at once, the network
    /// or this controller is at fault, and none is probed.
    pub(crate) fn machines_to_probe(&mut self, now: u64, interval_ms: u64) -> Vec<Id> {
        let overdue: Vec<&Machine> =
            self.machines.values().filter(|machine| is_overdue(machine, now, interval_ms)).collect();
        self.reachability.set_overdue(overdue.len(), self.machines.len());
        if !self.reachability.few_overdue() {
            return Vec::new();
        }
        overdue.into_iter().filter(|machine| may_be_probed(machine, now)).map(|machine| machine.id.clone()).collect()
    }
}

fn is_overdue(machine: &Machine, now: u64, interval_ms: u64) -> bool {
    let elapsed_ms = machine.agent.last_heartbeat_ms.map(|at| now.saturating_sub(at));
    elapsed_ms.is_some_and(|elapsed| elapsed > heartbeat_overdue_after_ms(interval_ms))
        && !machine.lifecycle.scale_in_wanted
        && !machine.agent.partitioned
}

fn may_be_probed(machine: &Machine, now: u64) -> bool {
    !machine.owned && !machine.placements.is_empty() && machine.call.is_idle() && now >= machine.call.not_before_ms()
}

#[cfg(test)]
mod tests;
