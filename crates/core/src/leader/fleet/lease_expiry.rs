//! Machines whose lease has certainly expired, so that their agents have stopped all tasks by themselves.

use crate::controller::PeerLeaseReport;
use crate::leader::fleet::Fleet;
use crate::model::{Id, Machine};
use crate::settings::Settings;

/// Times that decide about lease expiry, in ms; points in time are on the monotonic clock.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LeaseTiming {
    /// Current time.
    pub now_ms: u64,
    /// How long an agent keeps its tasks running after the reply to its last heartbeat.
    pub lease_ms: u64,
    /// How long a controller renews machine leases without news from the store or the leader.
    pub renewal_window_ms: u64,
    /// When this leader was elected.
    pub elected_at_ms: u64,
}

impl LeaseTiming {
    /// Derives the times from the settings.
    pub(crate) fn new(now_ms: u64, settings: &Settings, elected_at_ms: u64) -> LeaseTiming {
        LeaseTiming {
            now_ms,
            lease_ms: settings.lease_expiry_ms(),
            renewal_window_ms: settings.lease_renewal_window_ms(),
            elected_at_ms,
        }
    }

    /// Whether for longer than a lease no controller can have renewed the lease of the machine's agent.
    pub(crate) fn has_expired(&self, machine: &Machine, peers: &[&PeerLeaseReport]) -> bool {
        let last_heartbeat_ms = machine.agent.last_heartbeat_ms.unwrap_or(0);
        // Until the agent has shown this leader's token, an earlier leader may have replied to its heartbeats for as
        // long as that leader could go without news of the new leader epoch.
        let last_renewal_ms = if machine.agent.token_confirmed {
            last_heartbeat_ms
        } else {
            last_heartbeat_ms.max(self.elected_at_ms + self.renewal_window_ms)
        };
        self.now_ms.saturating_sub(last_renewal_ms) > self.lease_ms
            && peers
                .iter()
                .filter(|peer| peer.zone == machine.zone || machine.zone.is_empty())
                .all(|peer| self.cannot_be_renewed_by(peer, last_heartbeat_ms))
    }

    /// Whether a controller can no longer renew the lease of a machine whose last heartbeat had the given time. Either
    /// the controller reported, a lease later, that it had renewed none since; or its own last heartbeat arrived so long
    /// ago that its renewal window is over, and a lease after that as well.
    fn cannot_be_renewed_by(&self, peer: &PeerLeaseReport, last_heartbeat_ms: u64) -> bool {
        let reported_none = peer.sent_after_ms >= last_heartbeat_ms.max(peer.last_renewal_at_ms) + self.lease_ms;
        let window_over =
            self.now_ms > last_heartbeat_ms.max(peer.last_heartbeat_at_ms + self.renewal_window_ms) + self.lease_ms;
        reported_none || window_over
    }
}

impl Fleet {
    /// Updates the number of machines per zone that sent a heartbeat within a lease.
    pub(crate) fn update_zone_machine_counts(&mut self, now: u64, lease_ms: u64) {
        let mut counts = std::collections::BTreeMap::new();
        for machine in self.machines.values() {
            if machine.agent.last_heartbeat_ms.is_some_and(|at| now - at < lease_ms) {
                *counts.entry(machine.zone.as_str()).or_default() += 1;
            }
        }
        self.reachability.set_machine_counts(&counts);
    }

    /// Machines with placements whose lease has certainly expired.
    pub(crate) fn machines_with_expired_lease(&self, timing: LeaseTiming, peers: &[&PeerLeaseReport]) -> Vec<Id> {
        let with_placements = self.machines.values().filter(|machine| !machine.placements.is_empty());
        let expired = with_placements.filter(|machine| timing.has_expired(machine, peers));
        expired.map(|machine| machine.id.clone()).collect()
    }
}

#[cfg(test)]
mod tests;
