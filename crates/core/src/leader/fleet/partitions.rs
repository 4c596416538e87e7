//! Detection of partitioned zones: zones that send no heartbeats while others do. In a zone with many machines this
//! shows long before a single machine would count as unreachable.

use crate::leader::fleet::Fleet;
use crate::leader::fleet::reachability::heartbeat_overdue_after_ms;
use crate::model::Machine;
use shaleshunt_wire::AgentEpoch;
use std::collections::BTreeSet;

/// Overdue heartbeats that show that a zone is partitioned. In a zone with fewer machines, the heartbeats of all must
/// be overdue.
const MIN_MISSED_HEARTBEATS: usize = 8;

/// Input of a check. Times are in ms on the monotonic clock.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PartitionCheck {
    /// Current time.
    pub now_ms: u64,
    /// Heartbeat interval.
    pub interval_ms: u64,
    /// When this leader was elected.
    pub elected_at_ms: u64,
}

/// Result of a check.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum PartitionFinding {
    /// No machine has sent a heartbeat recently, but that may still be chance.
    Inconclusive,
    /// No machine has sent a heartbeat for so long that the leader itself must be partitioned.
    LeaderPartitioned,
    /// Zones that are partitioned while others send heartbeats; empty if none is.
    Zones(BTreeSet<String>),
}

impl PartitionCheck {
    /// Looks for partitioned zones.
    pub(crate) fn run(&self, fleet: &Fleet) -> PartitionFinding {
        let zones = fleet.reachability.zones();
        let newest_ms = zones.values().map(|zone| zone.last_heartbeat_ms).max().unwrap_or(0);
        if self.now_ms.saturating_sub(newest_ms) > self.interval_ms / 10 {
            return self.assess_missing_heartbeats(fleet, newest_ms);
        }
        let is_partitioned = |zone: &str, last_heartbeat_ms: u64, machines: u32| {
            let timeout_ms = (self.interval_ms / 5).max(self.time_for_heartbeats_ms(machines));
            self.now_ms.saturating_sub(last_heartbeat_ms) > timeout_ms
                && self.heartbeats_missing(fleet, Some(zone), machines)
        };
        let partitioned =
            zones.iter().filter(|(name, zone)| is_partitioned(name, zone.last_heartbeat_ms, zone.machines));
        PartitionFinding::Zones(partitioned.map(|(name, _)| name.clone()).collect())
    }

    /// Decides between chance and a partitioned leader when no machine sends heartbeats. A leader that the machines
    /// cannot reach is of no use to them, even if it still holds the leader lease in the store.
    fn assess_missing_heartbeats(&self, fleet: &Fleet, newest_ms: u64) -> PartitionFinding {
        let machines: u32 = fleet.reachability.zones().values().map(|zone| zone.machines).sum();
        let timeout_ms = (self.interval_ms / 2).max(self.time_for_heartbeats_ms(machines));
        // Machines that still send heartbeats to a lost leader need some time to switch.
        let last_heartbeat_ms = newest_ms.max(self.elected_at_ms + self.interval_ms * 2);
        let timed_out = !fleet.machines.is_empty() && self.now_ms.saturating_sub(last_heartbeat_ms) > timeout_ms;
        if timed_out && self.heartbeats_missing(fleet, None, machines) {
            PartitionFinding::LeaderPartitioned
        } else {
            PartitionFinding::Inconclusive
        }
    }

    /// Time in which this many machines normally send `MIN_MISSED_HEARTBEATS` heartbeats, in ms. Receiving none for
    /// longer is not chance.
    fn time_for_heartbeats_ms(&self, machines: u32) -> u64 {
        self.interval_ms * MIN_MISSED_HEARTBEATS as u64 / u64::from(machines.max(1))
    }

    /// Whether enough heartbeats are overdue in a zone, or in all zones if `zone` is `None`. Without this check,
    /// heartbeats in waves would look like a partition: machines that started together, or whose tasks end together,
    /// send no heartbeats between two waves.
    fn heartbeats_missing(&self, fleet: &Fleet, zone: Option<&str>, machines: u32) -> bool {
        let in_zone = fleet.machines.values().filter(|machine| zone.is_none_or(|zone| machine.zone == zone));
        let overdue = in_zone.filter(|machine| self.is_overdue(machine)).take(MIN_MISSED_HEARTBEATS).count();
        overdue >= MIN_MISSED_HEARTBEATS.min(machines as usize)
    }

    fn is_overdue(&self, machine: &Machine) -> bool {
        // After a failover, a machine that is known from its record may take two intervals until its first heartbeat.
        let known_from_record = machine.agent.epoch > AgentEpoch::NONE;
        let expected_from_ms = known_from_record.then_some(self.elected_at_ms + self.interval_ms);
        let last_heartbeat_ms = machine.agent.last_heartbeat_ms.or(expected_from_ms);
        last_heartbeat_ms
            .is_some_and(|at| self.now_ms.saturating_sub(at) > heartbeat_overdue_after_ms(self.interval_ms))
    }
}

impl Fleet {
    /// Marks the machines of partitioned zones, and clears the mark of all others. A newly marked machine with unsent
    /// placements is queued as for a call, so that these placements are released.
    pub(crate) fn mark_partitioned_machines(&mut self) {
        for machine in self.machines.values_mut() {
            let partitioned =
                self.reachability.is_partitioned(&machine.zone) && machine.agent.last_heartbeat_ms.is_some();
            let newly_partitioned = partitioned && !machine.agent.partitioned;
            if newly_partitioned && machine.placements.iter().any(|placement| !placement.start_sent) {
                self.calls.call_soon(machine.id.clone());
            }
            machine.agent.partitioned = partitioned;
        }
    }
}

#[cfg(test)]
mod tests;
