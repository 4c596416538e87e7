//! Offers of the cloud, and which of them it refused recently.

use crate::leader::scheduler::constraints::MachineKind;
use crate::settings::Settings;
use std::collections::BTreeMap;

/// Heartbeat intervals for which an offer is avoided after it was granted in part.
const PARTLY_GRANTED_HEARTBEATS: u64 = 3;

/// Heartbeat intervals for which an offer is avoided after a refusal; doubled with each further refusal, at most
/// `MAX_REFUSAL_DOUBLINGS` times.
const REFUSED_HEARTBEATS: u64 = 2;
const MAX_REFUSAL_DOUBLINGS: u32 = 2;

/// A machine type in a zone, as spot or on-demand machines.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Offer {
    pub(crate) machine_type: String,
    pub(crate) zone: String,
    /// Whether the offer is for spot machines, which the cloud may preempt.
    pub(crate) spot: bool,
}

impl Offer {
    pub(super) fn kind(&self) -> MachineKind<'_> {
        MachineKind { machine_type: &self.machine_type, zone: &self.zone, spot: self.spot }
    }
}

/// An offer that is avoided for some time.
#[derive(Debug)]
struct Unavailable {
    /// End of the time for which the offer is avoided (ms, monotonic).
    until_ms: u64,
    /// Consecutive refusals.
    refusals: u32,
}

/// Offers that the cloud could not meet recently.
#[derive(Debug, Default)]
pub(crate) struct UnavailableOffers {
    offers: BTreeMap<Offer, Unavailable>,
}

impl UnavailableOffers {
    /// Whether the offer is avoided at `now` (ms, monotonic).
    pub(super) fn contains(&self, offer: &Offer, now: u64) -> bool {
        self.offers.get(offer).is_some_and(|unavailable| unavailable.until_ms > now)
    }

    /// Records that the cloud granted all requested machines.
    pub(super) fn record_granted(&mut self, offer: &Offer) {
        self.offers.remove(offer);
    }

    /// Records that the cloud granted fewer machines than requested.
    pub(super) fn record_partly_granted(&mut self, offer: Offer, now: u64, settings: &Settings) {
        let until_ms = now + settings.heartbeat_interval_ms() * PARTLY_GRANTED_HEARTBEATS;
        self.offers.insert(offer, Unavailable { until_ms, refusals: 1 });
    }

    /// Records that the cloud granted no machine.
    pub(super) fn record_refused(&mut self, offer: Offer, now: u64, settings: &Settings) {
        let refusals = self.offers.get(&offer).map_or(0, |unavailable| unavailable.refusals);
        let factor = u64::from(1u32 << refusals.min(MAX_REFUSAL_DOUBLINGS));
        let until_ms = now + settings.heartbeat_interval_ms() * REFUSED_HEARTBEATS * factor;
        self.offers.insert(offer, Unavailable { until_ms, refusals: refusals + 1 });
    }
}

#[cfg(test)]
mod tests;
