//! Zones from which nobody is heard while others are: they are cut off. Where many machines send
//! heartbeats, that shows long before any one of them is overdue.

use crate::leader::fleet::Fleet;
use crate::leader::fleet::reachability::latest_heartbeat_after;
use crate::model::Machine;
use shaleshunt_wire::AgentEpoch;
use std::collections::BTreeSet;

/// So many overdue heartbeats of a zone show that it is cut off, or those of all its machines if it
/// has fewer.
const MISSED_HEARTBEATS: usize = 8;

/// What a check is made with. Times are in ms, monotonic.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PartitionCheck {
    /// The time.
    pub now_ms: u64,
    /// The heartbeat interval.
    pub interval_ms: u64,
    /// When this leader was elected.
    pub elected_at_ms: u64,
}

/// What a check has found.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum PartitionFinding {
    /// Nobody is heard, for less time than that could happen by chance.
    Inconclusive,
    /// Nobody has been heard for so long that it must be this leader which is cut off.
    LeaderPartitioned,
    /// Others are heard while these zones are not.
    Zones(BTreeSet<String>),
}

impl PartitionCheck {
    /// Looks for zones that are cut off.
    pub(crate) fn run(&self, fleet: &Fleet) -> PartitionFinding {
        let zones = fleet.reachability.zones();
        let newest = zones.values().map(|zone| zone.last_heartbeat_ms).max().unwrap_or(0);
        if self.now_ms.saturating_sub(newest) > self.interval_ms / 10 {
            return self.judge_silence_of_all(fleet, newest);
        }
        let is_silent = |zone: &str, last_heard: u64, machines: u32| {
            let patience = (self.interval_ms / 5).max(self.time_for_heartbeats(machines));
            self.now_ms.saturating_sub(last_heard) > patience && self.heartbeats_missing(fleet, Some(zone), machines)
        };
        let silent = zones.iter().filter(|(name, zone)| is_silent(name, zone.last_heartbeat_ms, zone.machines));
        PartitionFinding::Zones(silent.map(|(name, _)| name.clone()).collect())
    }

    /// Nobody sends heartbeats at all. A leader that the machines do not reach is no use to them,
    /// though the state service may still take it for one.
    fn judge_silence_of_all(&self, fleet: &Fleet, newest: u64) -> PartitionFinding {
        let machines: u32 = fleet.reachability.zones().values().map(|zone| zone.machines).sum();
        let patience = (self.interval_ms / 2).max(self.time_for_heartbeats(machines));
        // Machines that hang on to a lost leader need a while to come.
        let last_heard = newest.max(self.elected_at_ms + self.interval_ms * 2);
        let too_long = !fleet.machines.is_empty() && self.now_ms.saturating_sub(last_heard) > patience;
        if too_long && self.heartbeats_missing(fleet, None, machines) {
            PartitionFinding::LeaderPartitioned
        } else {
            PartitionFinding::Inconclusive
        }
    }

    /// In what time so many machines send enough heartbeats that the lack of all is no chance.
    fn time_for_heartbeats(&self, machines: u32) -> u64 {
        self.interval_ms * MISSED_HEARTBEATS as u64 / u64::from(machines.max(1))
    }

    /// Whether heartbeats are missing from a zone, or from all, with so many machines: enough of
    /// them are overdue. Where all came at once, or tasks end together, heartbeats come in waves:
    /// between two nobody's is due.
    fn heartbeats_missing(&self, fleet: &Fleet, zone: Option<&str>, machines: u32) -> bool {
        let here = fleet.machines.values().filter(|machine| zone.is_none_or(|zone| machine.zone == zone));
        let overdue = here.filter(|machine| self.is_overdue(machine)).take(MISSED_HEARTBEATS).count();
        overdue >= MISSED_HEARTBEATS.min(machines as usize)
    }

    fn is_overdue(&self, machine: &Machine) -> bool {
        // A machine known from records has two intervals after a failover to be heard.
        let known_from_record = machine.agent.epoch > AgentEpoch::NONE;
        let expected_from = known_from_record.then_some(self.elected_at_ms + self.interval_ms);
        let last_heard = machine.agent.last_heartbeat_ms.or(expected_from);
        last_heard.is_some_and(|at| self.now_ms.saturating_sub(at) > latest_heartbeat_after(self.interval_ms))
    }
}

impl Fleet {
    /// Marks the machines of zones that are cut off, and no others. What has not left for them is to
    /// be released, for which they are queued as for a call.
    pub(crate) fn mark_partitioned_machines(&mut self) {
        for machine in self.machines.values_mut() {
            let partitioned =
                self.reachability.is_partitioned(&machine.zone) && machine.agent.last_heartbeat_ms.is_some();
            let newly = partitioned && !machine.agent.partitioned;
            if newly && machine.placements.iter().any(|placement| !placement.start_sent) {
                self.calls.call_soon(machine.id.clone());
            }
            machine.agent.partitioned = partitioned;
        }
    }
}

#[cfg(test)]
mod tests;
