//! Sends scale-out requests to the cloud and handles its replies.

use crate::controller::Context;
use crate::event::Event;
use crate::io::{CloudReply, CloudRequest, RequestError};
use crate::leader::autoscaler::offers::Offer;
use crate::leader::{Leader, LeaderRequest};
use crate::model::Id;
use shaleshunt_wire::cloud::ScaleOutRequest;

/// Retries per heartbeat interval of a request without a clear answer.
const RETRIES_PER_HEARTBEAT: u64 = 3;

impl Leader {
    /// Adds a planned request.
    pub(super) fn add_scale_out(&mut self, ctx: &Context, offer: Offer, count: u32) {
        let request = self.autoscaler.scale_outs.next_name(&ctx.settings.node_name, self.epoch);
        let Offer { machine_type, zone, spot } = offer;
        self.autoscaler.scale_outs.add(ScaleOutRequest { request, machine_type, zone, spot, count });
    }

    /// Sends the requests that are recorded and not answered yet.
    pub(super) fn send_scale_outs(&mut self, ctx: &mut Context) {
        for request in self.autoscaler.scale_outs.take_due(ctx.now.monotonic_ms) {
            let pending = self.pending_request(LeaderRequest::ScaleOut(request.request.clone()));
            ctx.send_cloud(CloudRequest::ScaleOut(request), pending);
        }
    }

    /// Handles the reply to a request. Without a clear answer the request is sent again under the same name.
    pub(super) fn handle_scale_out_reply(
        &mut self,
        ctx: &mut Context,
        name: &str,
        result: Result<CloudReply, RequestError>,
    ) {
        let Some(request) = self.autoscaler.scale_outs.request_finished(name) else { return };
        match result {
            Ok(CloudReply::ScaledOut(machines)) => self.scale_out_granted(ctx, request, machines),
            Ok(CloudReply::NoCapacity) => self.scale_out_refused(ctx, request),
            Err(RequestError::Rejected(reason)) => {
                ctx.emit(Event::ScaleOutRejected { request: name.into(), reason });
                self.autoscaler.scale_outs.mark_answered(name, Vec::new());
            }
            Ok(_) | Err(_) => {
                let pause_ms = ctx.settings.heartbeat_interval_ms() / RETRIES_PER_HEARTBEAT;
                self.autoscaler.scale_outs.delay_retry(name, ctx.now.monotonic_ms + pause_ms);
            }
        }
    }

    fn scale_out_granted(&mut self, ctx: &mut Context, request: ScaleOutRequest, machines: Vec<String>) {
        let ScaleOutRequest { request: name, machine_type, zone, spot, count } = request;
        let granted: Vec<Id> = machines.iter().map(|machine| machine.as_str().into()).collect();
        self.autoscaler.scale_outs.mark_answered(&name, granted.clone());
        ctx.emit(Event::ScaleOutGranted {
            request: name,
            zone: zone.clone(),
            granted: granted.len(),
            requested: count,
        });
        let offer = Offer { machine_type, zone, spot };
        if (granted.len() as u32) < count {
            self.autoscaler.unavailable_offers.record_partly_granted(
                offer.clone(),
                ctx.now.monotonic_ms,
                &ctx.settings,
            );
        } else {
            self.autoscaler.unavailable_offers.record_granted(&offer);
        }
        for id in granted {
            if !self.fleet.machines.contains_key(&id) {
                let machine = self.new_machine(ctx, &id, &offer.machine_type, &offer.zone, offer.spot, false);
                self.fleet.machines.insert(machine);
            }
            self.assign_block(ctx, &id);
        }
    }

    fn scale_out_refused(&mut self, ctx: &mut Context, request: ScaleOutRequest) {
        let ScaleOutRequest { request: name, machine_type, zone, spot, .. } = request;
        self.autoscaler.scale_outs.mark_answered(&name, Vec::new());
        ctx.emit(Event::ScaleOutNoCapacity { request: name, zone: zone.clone() });
        let offer = Offer { machine_type, zone, spot };
        self.autoscaler.unavailable_offers.record_refused(offer, ctx.now.monotonic_ms, &ctx.settings);
    }
}
