//! What the cloud offers, and which offers it refused lately.

use crate::leader::scheduler::constraints::MachineKind;
use crate::settings::Settings;
use std::collections::BTreeMap;

/// Heartbeat intervals for which an offer that was granted in part is avoided.
const PARTLY_GRANTED_HEARTBEATS: u64 = 3;

/// Heartbeat intervals for which an offer that was refused is avoided; doubled at most so many times.
const REFUSED_HEARTBEATS: u64 = 2;
const MAX_DOUBLINGS: u32 = 2;

/// A type of machines in a zone, spot or on demand.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Offer {
    pub(crate) machine_type: String,
    pub(crate) zone: String,
    /// Whether the cloud may take the machines back.
    pub(crate) spot: bool,
}

impl Offer {
    pub(super) fn kind(&self) -> MachineKind<'_> {
        MachineKind { machine_type: &self.machine_type, zone: &self.zone, spot: self.spot }
    }
}

/// An offer that is avoided for a while.
#[derive(Debug)]
struct Unavailable {
    /// Steady clock, in ms.
    until: u64,
    /// Refusals in a row.
    refusals: u32,
}

/// Offers that the cloud could not meet lately.
#[derive(Debug, Default)]
pub(crate) struct UnavailableOffers {
    offers: BTreeMap<Offer, Unavailable>,
}

impl UnavailableOffers {
    /// Whether the offer is avoided at this time (steady clock, ms).
    pub(super) fn contains(&self, offer: &Offer, now: u64) -> bool {
        self.offers.get(offer).is_some_and(|unavailable| unavailable.until > now)
    }

    /// All machines asked for were granted.
    pub(super) fn granted(&mut self, offer: &Offer) {
        self.offers.remove(offer);
    }

    /// Fewer machines were granted than asked for.
    pub(super) fn partly_granted(&mut self, offer: Offer, now: u64, set: &Settings) {
        let until = now + set.heartbeat_interval_ms() * PARTLY_GRANTED_HEARTBEATS;
        self.offers.insert(offer, Unavailable { until, refusals: 1 });
    }

    /// No machine was granted.
    pub(super) fn refused(&mut self, offer: Offer, now: u64, set: &Settings) {
        let before = self.offers.get(&offer).map_or(0, |unavailable| unavailable.refusals);
        let factor = u64::from(1u32 << before.min(MAX_DOUBLINGS));
        let until = now + set.heartbeat_interval_ms() * REFUSED_HEARTBEATS * factor;
        self.offers.insert(offer, Unavailable { until, refusals: before + 1 });
    }
}

#[cfg(test)]
mod tests;
