//! Routes the replies of outside services to the subsystem that sent the request.

use super::pending::PendingRequest;
use super::progress::ReportedProgress;
use super::{Controller, catalog};
use crate::api::ApiRequest;
use crate::io::{CloudReply, DirectCommandsReply, KvReply, RequestError, RequestId};
use crate::leader::{Leader, LeaderRequest};
use shaleshunt_wire::Epoch;

impl Controller {
    pub(super) fn handle_kv_reply(&mut self, id: RequestId, result: Result<KvReply, RequestError>) {
        let Some(pending) = self.ctx.complete(id) else { return };
        // A probe goes by the direct route: it tells nothing about the route in use.
        if !matches!(pending.request, PendingRequest::Api(ApiRequest::Probe)) {
            self.ctx.record_kv_reply(&result);
        }
        match pending.request {
            PendingRequest::Api(request) => {
                let progress = ReportedProgress { leader: self.leader.as_deref(), shared: self.peers.task_counts() };
                self.api.handle_kv_reply(&mut self.ctx, request, pending.sent, result, &progress);
                self.forward_cancellations();
            }
            PendingRequest::Election(request) if self.leader.is_none() => {
                let transition = self.election.handle_reply(&mut self.ctx, request, pending.sent.at, result);
                self.apply_transition(transition);
            }
            PendingRequest::Election(_) => {}
            PendingRequest::Catalog => catalog::handle_kv_reply(&mut self.ctx, result),
            PendingRequest::Leader(epoch, request) => {
                if let Some(leader) = leader_of(&mut self.leader, epoch) {
                    leader.handle_kv_reply(&mut self.ctx, request, pending.sent.at, result);
                }
            }
            PendingRequest::Ignored => {}
        }
    }

    /// Stops at once what users' requests have shown to be cancelled: the leader's own watch may be refused just
    /// then.
    fn forward_cancellations(&mut self) {
        let cancelled = self.api.take_newly_cancelled();
        let Some(leader) = &mut self.leader else { return };
        for job in cancelled {
            leader.stop_cancelled_job(&mut self.ctx, &job);
        }
    }

    pub(super) fn handle_cloud_reply(&mut self, id: RequestId, result: Result<CloudReply, RequestError>) {
        let Some(pending) = self.ctx.complete(id) else { return };
        match pending.request {
            PendingRequest::Catalog => catalog::handle_cloud_reply(&mut self.ctx, result),
            PendingRequest::Leader(epoch, request) => {
                if let Some(leader) = leader_of(&mut self.leader, epoch) {
                    leader.handle_cloud_reply(&mut self.ctx, request, result);
                }
            }
            PendingRequest::Api(_) | PendingRequest::Election(_) | PendingRequest::Ignored => {}
        }
    }

    pub(super) fn handle_direct_commands_reply(
        &mut self,
        id: RequestId,
        result: Result<DirectCommandsReply, RequestError>,
    ) {
        let Some(pending) = self.ctx.complete(id) else { return };
        let PendingRequest::Leader(epoch, LeaderRequest::DirectCommands(machine)) = pending.request else { return };
        if let Some(leader) = leader_of(&mut self.leader, epoch) {
            leader.handle_direct_commands_reply(&mut self.ctx, &machine, id, result);
        }
    }
}

/// The leader's state, if this process leads that epoch.
fn leader_of(leader: &mut Option<Box<Leader>>, epoch: Epoch) -> Option<&mut Leader> {
    leader.as_deref_mut().filter(|leader| leader.epoch == epoch)
}
