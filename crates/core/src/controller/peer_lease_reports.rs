//! What the other controllers report about the machine leases that they renew while they do not hear the leader.
//!
//! The leader releases nothing of a silent machine until these reports prove that no controller of the machine's
//! zone can still have renewed its lease.

use crate::settings::Settings;
use std::collections::BTreeMap;

/// What one peer reported about leases of machines of its zone.
#[derive(Debug, Clone, Default)]
pub(crate) struct PeerLeaseReport {
    /// The peer's zone.
    pub zone: String,
    /// When its last heartbeat arrived; 0 for never.
    pub last_heartbeat_at_ms: u64,
    /// Its last heartbeat was sent after this time, because it echoes a heartbeat that this process sent then.
    pub sent_after_ms: u64,
    /// It renewed no lease later than this, up to its last heartbeat.
    pub last_renewal_at_ms: u64,
}

/// The reports of all configured peers, by peer name.
#[derive(Debug)]
pub(crate) struct PeerLeaseReports(BTreeMap<String, PeerLeaseReport>);

impl PeerLeaseReports {
    /// An empty report for each configured peer.
    pub fn new(settings: &Settings) -> PeerLeaseReports {
        let empty = |zone: &String| PeerLeaseReport { zone: zone.clone(), ..PeerLeaseReport::default() };
        PeerLeaseReports(settings.peers.iter().map(|(name, zone)| (name.clone(), empty(zone))).collect())
    }

    /// Records a peer's heartbeat, with the age of the last renewal that it reports and the sending time of our
    /// heartbeat that it echoes, if it echoes one of this process.
    pub fn record(&mut self, peer: &str, now: u64, renewal_age_ms: u32, echoed_at: Option<u64>) {
        let Some(report) = self.0.get_mut(peer) else { return };
        report.last_heartbeat_at_ms = now;
        report.last_renewal_at_ms = now.saturating_sub(u64::from(renewal_age_ms));
        report.sent_after_ms = report.sent_after_ms.max(echoed_at.unwrap_or(0));
    }

    /// Whether there are no peers.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The reports of all peers.
    pub fn values(&self) -> impl Iterator<Item = &PeerLeaseReport> {
        self.0.values()
    }
}
