//! What zones' heartbeats show: when a zone was last heard, and which zones are cut off.

use std::collections::{BTreeMap, BTreeSet};

/// A heartbeat comes at the latest so many hundredths of the interval after the one before: a
/// quarter late, and some time on its way.
const LATEST_HEARTBEAT: u64 = 130;

/// Checks of silent machines come so many times in a heartbeat interval.
const CHECKS_PER_INTERVAL: u64 = 8;

/// For how long a machine may be silent before its heartbeat is overdue.
pub(crate) fn latest_heartbeat_after(interval: u64) -> u64 {
    interval * LATEST_HEARTBEAT / 100
}

/// A zone's heartbeats.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ZoneActivity {
    /// When the last one came, or later while a new leader gives the zone time to be heard.
    pub last_heartbeat_ms: u64,
    /// How many machines send them.
    pub machines: u32,
}

/// What zones' heartbeats show.
#[derive(Debug)]
pub(crate) struct Reachability {
    zones: BTreeMap<String, ZoneActivity>,
    partitioned_zones: BTreeSet<String>,
    few_overdue: bool,
    next_check: u64,
}

impl Reachability {
    /// That of a leader that has heard nobody.
    pub(crate) fn new(now: u64) -> Reachability {
        Reachability { zones: BTreeMap::new(), partitioned_zones: BTreeSet::new(), few_overdue: false, next_check: now }
    }

    /// Whether a check of silent machines is due; the next one is due an eighth of an interval later.
    pub(crate) fn take_due_check(&mut self, now: u64, interval: u64) -> bool {
        let due = now >= self.next_check;
        if due {
            self.next_check = now + interval / CHECKS_PER_INTERVAL;
        }
        due
    }

    /// A machine in this zone has been heard.
    pub(crate) fn record_zone_heartbeat(&mut self, zone: &str, now: u64) {
        match self.zones.get_mut(zone) {
            // Later than now while a new leader gives the zone time to be heard: one machine that
            // answers at once does not end that for the others, who only just change over.
            Some(activity) => activity.last_heartbeat_ms = activity.last_heartbeat_ms.max(now),
            None => {
                self.zones.insert(zone.to_string(), ZoneActivity { last_heartbeat_ms: now, machines: 1 });
            }
        }
    }

    /// A machine of this zone is known from its record: the zone has until this time to be heard.
    pub(crate) fn expect_machine(&mut self, zone: &str, until: u64) {
        let activity =
            self.zones.entry(zone.to_string()).or_insert(ZoneActivity { last_heartbeat_ms: until, machines: 0 });
        activity.machines += 1;
    }

    /// So many machines of each zone have been heard lately; none of a zone that is not named.
    pub(crate) fn set_machine_counts(&mut self, counts: &BTreeMap<&str, u32>) {
        for (zone, activity) in &mut self.zones {
            activity.machines = counts.get(zone.as_str()).copied().unwrap_or(0);
        }
    }

    /// Each zone's heartbeats.
    pub(crate) fn zones(&self) -> &BTreeMap<String, ZoneActivity> {
        &self.zones
    }

    /// Whether nobody in a zone can be heard though others are.
    pub(crate) fn is_partitioned(&self, zone: &str) -> bool {
        self.partitioned_zones.contains(zone)
    }

    /// These zones, and no others, are cut off. Returns those that were not before, or nothing if
    /// all is as it was.
    pub(crate) fn set_partitioned_zones(&mut self, zones: BTreeSet<String>) -> Option<Vec<String>> {
        if zones == self.partitioned_zones {
            return None;
        }
        let new = zones.difference(&self.partitioned_zones).cloned().collect();
        self.partitioned_zones = zones;
        Some(new)
    }

    /// Whether the machines whose heartbeats are overdue are few: then it is them and not us.
    pub(crate) fn few_overdue(&self) -> bool {
        self.few_overdue
    }

    /// Notes how many of all machines are overdue.
    pub(crate) fn set_overdue(&mut self, overdue: usize, machines: usize) {
        self.few_overdue = overdue <= (machines / 50).max(2);
    }
}

#[cfg(test)]
mod tests;
