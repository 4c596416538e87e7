//! Machines whose lease has surely expired: their agents have stopped all tasks by themselves.

use crate::controller::PeerLeaseReport;
use crate::leader::fleet::Fleet;
use crate::model::{Id, Machine};
use crate::settings::Settings;

/// Times that decide about leases, in ms; points in time are monotonic.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LeaseTiming {
    /// The time.
    pub now_ms: u64,
    /// For how long an agent goes on after a reply to its last heartbeat.
    pub lease_ms: u64,
    /// For how long a controller renews leases without news from the state service or the leader.
    pub renewal_window_ms: u64,
    /// When this leader was elected.
    pub elected_at_ms: u64,
}

impl LeaseTiming {
    /// The times by the settings.
    pub(crate) fn new(now_ms: u64, settings: &Settings, elected_at_ms: u64) -> LeaseTiming {
        LeaseTiming {
            now_ms,
            lease_ms: settings.lease_expiry_ms(),
            renewal_window_ms: settings.lease_renewal_window_ms(),
            elected_at_ms,
        }
    }

    /// Whether nobody can have renewed the lease of a machine's agent for longer than it lasts.
    pub(crate) fn has_expired(&self, machine: &Machine, peers: &[&PeerLeaseReport]) -> bool {
        let last_heard = machine.agent.last_heartbeat_ms.unwrap_or(0);
        // Until it has shown our token, an earlier leader may have answered it for as long as that
        // leader could go without news of this epoch.
        let last_renewal = if machine.agent.token_confirmed {
            last_heard
        } else {
            last_heard.max(self.elected_at_ms + self.renewal_window_ms)
        };
        self.now_ms.saturating_sub(last_renewal) > self.lease_ms
            && peers
                .iter()
                .filter(|peer| peer.zone == machine.zone || machine.zone.is_empty())
                .all(|peer| self.cannot_be_kept_by(peer, last_heard))
    }

    /// Whether a controller can no longer keep the lease of a machine last heard at a time: it has
    /// said, a lease later, that it kept none since; or it has not heard from us for so long that
    /// its term is over, and a lease as well.
    fn cannot_be_kept_by(&self, peer: &PeerLeaseReport, last_heard: u64) -> bool {
        let said_so = peer.sent_after_ms >= last_heard.max(peer.last_renewal_at_ms) + self.lease_ms;
        let term_over =
            self.now_ms > last_heard.max(peer.last_heartbeat_at_ms + self.renewal_window_ms) + self.lease_ms;
        said_so || term_over
    }
}

impl Fleet {
    /// Counts, by zone, the machines heard within a lease.
    pub(crate) fn update_zone_machine_counts(&mut self, now: u64, lease: u64) {
        let mut heard = std::collections::BTreeMap::new();
        for machine in self.machines.values() {
            if machine.agent.last_heartbeat_ms.is_some_and(|at| now - at < lease) {
                *heard.entry(machine.zone.as_str()).or_default() += 1;
            }
        }
        self.reachability.set_machine_counts(&heard);
    }

    /// Machines with placements whose lease has surely expired.
    pub(crate) fn machines_with_expired_lease(&self, clock: LeaseTiming, peers: &[&PeerLeaseReport]) -> Vec<Id> {
        let with_placements = self.machines.values().filter(|machine| !machine.placements.is_empty());
        let expired = with_placements.filter(|machine| clock.has_expired(machine, peers));
        expired.map(|machine| machine.id.clone()).collect()
    }
}

#[cfg(test)]
mod tests;
