//! Reports of the peers about machine leases that they renewed while the leader was unreachable.
//!
//! The leader releases the placements of an unreachable machine only after these reports prove that no controller in
//! the machine's zone can still hold its lease.

use crate::settings::Settings;
use std::collections::BTreeMap;

/// A peer's last report about machine leases of its zone. Times are in milliseconds on this process's monotonic clock.
#[derive(Debug, Clone, Default)]
pub(crate) struct PeerLeaseReport {
    /// The peer's zone.
    pub zone: String,
    /// Arrival of the peer's last heartbeat; 0 if none has arrived.
    pub last_heartbeat_at_ms: u64,
    /// Lower bound on when the peer sent its last heartbeat: the sending time of the heartbeat of this process that the
    /// peer echoed; 0 if the peer has echoed none.
    pub sent_after_ms: u64,
    /// Upper bound on the peer's last lease renewal before it sent its last heartbeat; 0 if no report has arrived.
    pub last_renewal_at_ms: u64,
}

/// Reports of all configured peers, by node name.
#[derive(Debug)]
pub(crate) struct PeerLeaseReports(BTreeMap<String, PeerLeaseReport>);

impl PeerLeaseReports {
    /// Creates an empty report for each configured peer.
    pub fn new(settings: &Settings) -> PeerLeaseReports {
        let empty = |zone: &String| PeerLeaseReport { zone: zone.clone(), ..PeerLeaseReport::default() };
        PeerLeaseReports(settings.peers.iter().map(|(name, zone)| (name.clone(), empty(zone))).collect())
    }

    /// Records a peer's heartbeat. `renewal_age_ms` is the reported age of the peer's last lease renewal,
    /// `echoed_at_ms` the sending time of the heartbeat that the peer echoes, if this process sent it.
    pub fn record(&mut self, peer: &str, now_ms: u64, renewal_age_ms: u32, echoed_at_ms: Option<u64>) {
        let Some(report) = self.0.get_mut(peer) else { return };
        report.last_heartbeat_at_ms = now_ms;
        report.last_renewal_at_ms = now_ms.saturating_sub(u64::from(renewal_age_ms));
        report.sent_after_ms = report.sent_after_ms.max(echoed_at_ms.unwrap_or(0));
    }

    /// Returns whether no peers are configured.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Iterates over the reports of all peers.
    pub fn values(&self) -> impl Iterator<Item = &PeerLeaseReport> {
        self.0.values()
    }
}
