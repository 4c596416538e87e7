//! Rented machines whose heartbeats are overdue, which are asked whether they live: one that was
//! taken without notice is found out in half the time that its silence alone would need.

use crate::leader::fleet::Fleet;
use crate::leader::fleet::reachability::latest_heartbeat_after;
use crate::model::{Id, Machine};

impl Fleet {
    /// Looks for machines whose heartbeats are overdue, and returns those to ask. Where many are
    /// overdue at once it is the network, or us: then none is asked.
    pub(crate) fn machines_to_probe(&mut self, now: u64, interval: u64) -> Vec<Id> {
        let overdue: Vec<&Machine> =
            self.machines.values().filter(|machine| is_overdue(machine, now, interval)).collect();
        self.reachability.set_overdue(overdue.len(), self.machines.len());
        if !self.reachability.few_overdue() {
            return Vec::new();
        }
        overdue.into_iter().filter(|machine| may_be_probed(machine, now)).map(|machine| machine.id.clone()).collect()
    }
}

fn is_overdue(machine: &Machine, now: u64, interval: u64) -> bool {
    let silent_for = machine.agent.last_heartbeat_ms.map(|heard| now.saturating_sub(heard));
    silent_for.is_some_and(|silence| silence > latest_heartbeat_after(interval))
        && !machine.lifecycle.scale_in_wanted
        && !machine.agent.partitioned
}

fn may_be_probed(machine: &Machine, now: u64) -> bool {
    !machine.owned && !machine.placements.is_empty() && machine.call.is_idle() && now >= machine.call.not_before()
}

#[cfg(test)]
mod tests;
