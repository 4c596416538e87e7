//! Input of scale-out decisions: references to the state of the cloud, the fleet and the queue at one time.

use crate::leader::autoscaler::arrivals::Arrivals;
use crate::leader::autoscaler::offers::UnavailableOffers;
use crate::leader::fleet::reachability::Reachability;
use crate::leader::scale_out_requests::ScaleOutRequests;
use crate::leader::scheduler::view::SchedulingView;
use shaleshunt_wire::cloud::Catalog;

/// Input of a scale-out decision.
pub(crate) struct ScaleOutView<'a> {
    pub(super) scheduling: SchedulingView<'a>,
    pub(super) catalog: &'a Catalog,
    pub(super) scale_outs: &'a ScaleOutRequests,
    pub(super) unavailable: &'a UnavailableOffers,
    pub(super) arrivals: &'a Arrivals,
    pub(super) reachability: &'a Reachability,
}

impl ScaleOutView<'_> {
    /// The longest usual boot time of all machine types, in seconds.
    pub(super) fn longest_boot_s(&self) -> f64 {
        longest_boot_s(self.catalog)
    }
}

/// The longest usual boot time of the catalog's machine types, in seconds; 0 for an empty catalog.
pub(super) fn longest_boot_s(catalog: &Catalog) -> f64 {
    catalog.machine_types.iter().map(|machine_type| machine_type.boot_s).fold(0.0, f64::max)
}
