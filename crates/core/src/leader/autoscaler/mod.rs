//! The autoscaler: rents machines from the cloud for work that finds no capacity, and returns machines that are idle,
//! failed or lost.
//!
//! The autoscaler owns the scale-out requests in flight, the set of owned machines, the recently refused offers, the
//! recent job arrivals, and the state of reading the cloud's machine list and catalog. The machines themselves belong
//! to the fleet. Each round is a plan ([`plan`], [`scale_in`]), computed by a function of a view and carried out by the
//! leader.
//!
//! Invariants:
//! - A scale-out request is sent only after its record is committed, and always under the same name.
//! - Nothing is rented before the set of owned machines is known.
//! - An owned machine is never returned because it is idle.
//! - A machine is removed only after the cloud has confirmed its return.
//!
//! Only the leader calls this module. The store writes and removes the records of the requests.

pub(crate) mod arrivals;
pub(crate) mod catalog;
pub(crate) mod demand;
pub(crate) mod machine_list;
pub(crate) mod offer_selection;
pub(crate) mod offers;
pub(crate) mod owned_machines;
pub(crate) mod plan;
pub(crate) mod requests;
pub(crate) mod scale_in;
pub(crate) mod view;

use crate::controller::Context;
use crate::io::{CloudReply, RequestError};
use crate::leader::autoscaler::arrivals::Arrivals;
use crate::leader::autoscaler::catalog::CatalogPoll;
use crate::leader::autoscaler::machine_list::MachineListScan;
use crate::leader::autoscaler::offers::UnavailableOffers;
use crate::leader::autoscaler::owned_machines::OwnedMachines;
use crate::leader::autoscaler::plan::plan_scale_out;
use crate::leader::autoscaler::view::{ScaleOutView, longest_boot_s};
use crate::leader::scale_out_requests::ScaleOutRequests;
use crate::leader::{Leader, LeaderRequest};
use shaleshunt_wire::cloud::Catalog;

/// State of the autoscaler: scale-out requests, owned machines, and the last known state of the cloud.
#[derive(Debug)]
pub(crate) struct Autoscaler {
    pub(crate) scale_outs: ScaleOutRequests,
    pub(crate) owned: OwnedMachines,
    /// Whether the settings have been compared with the needs of the fleet.
    capacity_checked: bool,
    /// When the next round is due (ms, monotonic).
    next_round_at_ms: u64,
    machine_list: MachineListScan,
    catalog_poll: CatalogPoll,
    unavailable_offers: UnavailableOffers,
    arrivals: Arrivals,
}

impl Autoscaler {
    /// Creates an autoscaler whose first round is due at `now` (ms, monotonic).
    pub(crate) fn new(now: u64) -> Autoscaler {
        Autoscaler {
            scale_outs: ScaleOutRequests::default(),
            owned: OwnedMachines::default(),
            capacity_checked: false,
            next_round_at_ms: now,
            machine_list: MachineListScan::new(now),
            catalog_poll: CatalogPoll::new(now),
            unavailable_offers: UnavailableOffers::default(),
            arrivals: Arrivals::default(),
        }
    }
}

impl Leader {
    /// Sends the cloud requests that are due, and runs a round if one is due.
    pub(crate) fn run_autoscaler(&mut self, ctx: &mut Context) {
        self.request_catalog(ctx);
        self.request_machine_list_page(ctx);
        self.send_scale_outs(ctx);
        let now_ms = ctx.now.monotonic_ms;
        if now_ms < self.autoscaler.next_round_at_ms {
            return;
        }
        self.autoscaler.next_round_at_ms = now_ms + (ctx.tuning.autoscaler_interval_s * 1000.0) as u64;
        self.scheduler.request_pass();
        if self.autoscaler.owned.is_known() {
            self.scale_out(ctx);
        }
        self.scale_in(ctx);
    }

    /// Plans which machines to rent, and adds the requests of the plan.
    fn scale_out(&mut self, ctx: &Context) {
        let Some(catalog) = &ctx.catalog else { return };
        let now_ms = ctx.now.monotonic_ms;
        let window_ms = longest_boot_s(catalog) * ctx.tuning.reserve_boot_times * 1000.0;
        self.autoscaler.arrivals.drop_older(now_ms, window_ms);
        let plan = plan_scale_out(&self.scale_out_view(ctx, catalog));
        for id in plan.needed_machines {
            if let Some(machine) = self.fleet.machines.get_mut(&id) {
                machine.lifecycle.needed_at_ms = now_ms;
            }
        }
        for planned in plan.requests {
            self.add_scale_out(ctx, planned.offer, planned.count);
        }
    }

    fn scale_out_view<'a>(&'a self, ctx: &'a Context, catalog: &'a Catalog) -> ScaleOutView<'a> {
        ScaleOutView {
            scheduling: self.scheduling_view(ctx),
            catalog,
            scale_outs: &self.autoscaler.scale_outs,
            unavailable: &self.autoscaler.unavailable_offers,
            arrivals: &self.autoscaler.arrivals,
            reachability: &self.fleet.reachability,
        }
    }

    /// Handles a reply from the cloud, or the failure of a request.
    pub(crate) fn handle_cloud_reply(
        &mut self,
        ctx: &mut Context,
        request: LeaderRequest,
        result: Result<CloudReply, RequestError>,
    ) {
        match (request, result) {
            (LeaderRequest::Catalog, Ok(CloudReply::Catalog(catalog))) if !catalog.machine_types.is_empty() => {
                self.take_catalog(ctx, catalog);
            }
            (LeaderRequest::Catalog, _) => self.retry_catalog(ctx),
            (LeaderRequest::MachineList, Ok(CloudReply::MachineList(page))) => self.take_machine_list_page(ctx, page),
            (LeaderRequest::MachineList, _) => self.retry_machine_list_page(ctx),
            (LeaderRequest::ScaleOut(name), result) => self.handle_scale_out_reply(ctx, &name, result),
            (LeaderRequest::ScaleIn(machines), result) => self.handle_scale_in_reply(ctx, machines, result),
            _ => {}
        }
    }
}
