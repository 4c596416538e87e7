//! Selection of an offer of the cloud for a job's tasks.

use crate::leader::autoscaler::offers::Offer;
use crate::leader::autoscaler::view::ScaleOutView;
use crate::leader::scheduler::constraints::{allows, zone_headroom};
use crate::model::Job;
use shaleshunt_wire::cloud::MachineType;
use std::collections::BTreeMap;

/// Markets in which every type and zone is offered: spot, then on demand.
const SPOT_THEN_ON_DEMAND: [bool; 2] = [true, false];

/// The spot or on-demand market of a zone.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ZoneMarket {
    pub(super) zone: String,
    pub(super) spot: bool,
}

/// Rank of an offer; the best compares least. Fields compare in their order.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct OfferRank {
    /// Price per hour, in thousandths.
    price: i64,
    machines_in_market: u32,
}

/// The cheapest offer for a task of the job that was not refused recently. Among equal prices, the market with the
/// fewest machines wins, so that a wave of preemptions or the loss of a zone affects few machines.
pub(super) fn cheapest_offer(
    view: &ScaleOutView,
    job: &Job,
    machines_by_market: &BTreeMap<ZoneMarket, u32>,
) -> Option<Offer> {
    let mut best: Option<(OfferRank, Offer)> = None;
    for machine_type in view.catalog.machine_types.iter().filter(|candidate| candidate.resources().fits(&job.need)) {
        for offer in offers_of(view, machine_type).filter(|offer| is_eligible(view, job, offer)) {
            let market = ZoneMarket { zone: offer.zone.clone(), spot: offer.spot };
            let rank = OfferRank {
                price: price_milli(machine_type, &offer),
                machines_in_market: machines_by_market.get(&market).copied().unwrap_or(0),
            };
            if best.as_ref().is_none_or(|(lowest, _)| rank < *lowest) {
                best = Some((rank, offer));
            }
        }
    }
    best.map(|(_, offer)| offer)
}

/// Offers of a machine type: every zone that is not partitioned, each as spot and on demand.
fn offers_of<'a>(view: &ScaleOutView<'a>, machine_type: &'a MachineType) -> impl Iterator<Item = Offer> + 'a {
    let reachability = view.reachability;
    let zones = machine_type.zones.iter().filter(|zone| !reachability.is_partitioned(zone));
    zones.flat_map(|zone| {
        SPOT_THEN_ON_DEMAND.map(|spot| Offer { machine_type: machine_type.name.clone(), zone: zone.clone(), spot })
    })
}

fn is_eligible(view: &ScaleOutView, job: &Job, offer: &Offer) -> bool {
    !view.unavailable.contains(offer, view.scheduling.now.monotonic_ms)
        && allows(job, offer.kind())
        && zone_headroom(job, &offer.zone) > 0
}

/// Price per hour, in thousandths.
fn price_milli(machine_type: &MachineType, offer: &Offer) -> i64 {
    let is_spot_price_known = machine_type.spot_price > 0.0;
    let price = if offer.spot && is_spot_price_known { machine_type.spot_price } else { machine_type.price };
    (price * 1000.0) as i64
}
