//! The autoscaler: rents machines from the cloud for work that finds no room, and returns those that are
//! not needed, failed or were lost.
//!
//! It owns the scale-out requests under way, the set of owned machines, the offers that were refused lately,
//! the jobs that arrived lately, and how far the cloud's list and catalog have been read. Machines belong to
//! the fleet. Rounds are plans ([`plan`], [`scale_in`]), functions of a view, which the leader carries out.
//!
//! What always holds: a scale-out request is made only when its record is committed, and always under the
//! same name; nothing is rented before it is known which machines are owned; an owned machine is never
//! returned for idleness; a machine is removed only when the cloud has confirmed its return. Only the leader
//! calls in here; the store writes and removes the requests' records.

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

/// Scale-out requests under way, the machines owned, and the cloud as last seen.
#[derive(Debug)]
pub(crate) struct Autoscaler {
    pub(crate) scale_outs: ScaleOutRequests,
    pub(crate) owned: OwnedMachines,
    /// The settings were compared with what the fleet needs.
    capacity_checked: bool,
    /// When the next round is due (steady clock, ms).
    next_round_at: u64,
    machine_list: MachineListScan,
    catalog_poll: CatalogPoll,
    unavailable_offers: UnavailableOffers,
    arrivals: Arrivals,
}

impl Autoscaler {
    /// An autoscaler whose first round is due at `now` (steady clock, ms).
    pub(crate) fn new(now: u64) -> Autoscaler {
        Autoscaler {
            scale_outs: ScaleOutRequests::default(),
            owned: OwnedMachines::default(),
            capacity_checked: false,
            next_round_at: now,
            machine_list: MachineListScan::new(now),
            catalog_poll: CatalogPoll::new(now),
            unavailable_offers: UnavailableOffers::default(),
            arrivals: Arrivals::default(),
        }
    }
}

impl Leader {
    /// Asks the cloud for what is due, and makes a round if one is.
    pub(crate) fn run_autoscaler(&mut self, ctx: &mut Context) {
        self.request_catalog(ctx);
        self.request_machine_list_page(ctx);
        self.send_scale_outs(ctx);
        let now = ctx.now.monotonic_ms;
        if now < self.autoscaler.next_round_at {
            return;
        }
        self.autoscaler.next_round_at = now + (ctx.tuning.autoscaler_interval_s * 1000.0) as u64;
        self.scheduler.request_pass();
        if self.autoscaler.owned.is_known() {
            self.scale_out(ctx);
        }
        self.scale_in(ctx);
    }

    /// Plans which machines to rent and takes in the plan.
    fn scale_out(&mut self, ctx: &Context) {
        let Some(catalog) = &ctx.catalog else { return };
        let now = ctx.now.monotonic_ms;
        let window_ms = longest_boot_s(catalog) * ctx.tuning.reserve_boot_times * 1000.0;
        self.autoscaler.arrivals.forget_older(now, window_ms);
        let plan = plan_scale_out(&self.scale_out_view(ctx, catalog));
        for id in plan.needed_machines {
            if let Some(machine) = self.fleet.machines.get_mut(&id) {
                machine.lifecycle.needed_at_ms = now;
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

    /// The cloud answered, or did not.
    pub(crate) fn handle_cloud_reply(
        &mut self,
        ctx: &mut Context,
        wait: LeaderRequest,
        result: Result<CloudReply, RequestError>,
    ) {
        match (wait, result) {
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
