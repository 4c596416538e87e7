//! Heartbeat state of zones: when each zone last sent a heartbeat, and which zones are partitioned.

use std::collections::{BTreeMap, BTreeSet};

/// Latest arrival of a heartbeat after the one before, in percent of the interval: it may be sent a quarter of an
/// interval late and needs some time to arrive.
const LATEST_HEARTBEAT_PERCENT: u64 = 130;

/// Checks for missing heartbeats per heartbeat interval.
const CHECKS_PER_INTERVAL: u64 = 8;

/// Time without a heartbeat after which a machine's heartbeat is overdue, in ms.
pub(crate) fn heartbeat_overdue_after_ms(interval_ms: u64) -> u64 {
    interval_ms * LATEST_HEARTBEAT_PERCENT / 100
}

/// Heartbeats of a zone.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ZoneActivity {
    /// When the last heartbeat arrived (ms, monotonic). Lies in the future while a new leader still waits for the
    /// zone's machines.
    pub last_heartbeat_ms: u64,
    /// Number of machines that send heartbeats.
    pub machines: u32,
}

/// Heartbeat state of all zones.
#[derive(Debug)]
pub(crate) struct Reachability {
    zones: BTreeMap<String, ZoneActivity>,
    partitioned_zones: BTreeSet<String>,
    few_overdue: bool,
    next_check_ms: u64,
}

impl Reachability {
    /// State of a leader that has received no heartbeats.
    pub(crate) fn new(now: u64) -> Reachability {
        Reachability {
            zones: BTreeMap::new(),
            partitioned_zones: BTreeSet::new(),
            few_overdue: false,
            next_check_ms: now,
        }
    }

    /// Whether a check for missing heartbeats is due. If so, the next one is due an eighth of an interval later.
    pub(crate) fn take_due_check(&mut self, now: u64, interval_ms: u64) -> bool {
        let due = now >= self.next_check_ms;
        if due {
            self.next_check_ms = now + interval_ms / CHECKS_PER_INTERVAL;
        }
        due
    }

    /// Records a heartbeat from a machine in the zone.
    pub(crate) fn record_zone_heartbeat(&mut self, zone: &str, now: u64) {
        match self.zones.get_mut(zone) {
            // The recorded time is in the future while a new leader waits for the zone. One machine that sends a
            // heartbeat at once does not end the wait for the others, which are only just switching to the new leader.
            Some(activity) => activity.last_heartbeat_ms = activity.last_heartbeat_ms.max(now),
            None => {
                self.zones.insert(zone.to_string(), ZoneActivity { last_heartbeat_ms: now, machines: 1 });
            }
        }
    }

    /// Counts a machine that is known from its record. Until `until_ms`, its zone is treated as if heartbeats arrived.
    pub(crate) fn expect_machine(&mut self, zone: &str, until_ms: u64) {
        let activity =
            self.zones.entry(zone.to_string()).or_insert(ZoneActivity { last_heartbeat_ms: until_ms, machines: 0 });
        activity.machines += 1;
    }

    /// Sets the number of machines per zone that sent a heartbeat recently; 0 for a zone that is not in the map.
    pub(crate) fn set_machine_counts(&mut self, counts: &BTreeMap<&str, u32>) {
        for (zone, activity) in &mut self.zones {
            activity.machines = counts.get(zone.as_str()).copied().unwrap_or(0);
        }
    }

    /// Heartbeat state by zone.
    pub(crate) fn zones(&self) -> &BTreeMap<String, ZoneActivity> {
        &self.zones
    }

    /// Whether the zone is partitioned: none of its machines sends heartbeats while other zones' machines do.
    pub(crate) fn is_partitioned(&self, zone: &str) -> bool {
        self.partitioned_zones.contains(zone)
    }

    /// Sets the partitioned zones. Returns those that are newly partitioned, or `None` if nothing changed.
    pub(crate) fn set_partitioned_zones(&mut self, zones: BTreeSet<String>) -> Option<Vec<String>> {
        if zones == self.partitioned_zones {
            return None;
        }
        let new = zones.difference(&self.partitioned_zones).cloned().collect();
        self.partitioned_zones = zones;
        Some(new)
    }

    /// Whether only few machines have overdue heartbeats. If so, the machines are at fault; otherwise the network or
    /// this controller may be.
    pub(crate) fn few_overdue(&self) -> bool {
        self.few_overdue
    }

    /// Records how many of all machines have overdue heartbeats.
    pub(crate) fn set_overdue(&mut self, overdue: usize, machines: usize) {
        self.few_overdue = overdue <= (machines / 50).max(2);
    }
}

#[cfg(test)]
mod tests;
