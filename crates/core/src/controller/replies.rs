//! Routes replies of the key-value store, the cloud and agents to the subsystem that sent the request.

use super::pending::PendingRequest;
use super::progress::ControllerTaskCounts;
use super::{Controller, catalog};
use crate::io::{CloudReply, DirectCommandsReply, KvReply, RequestError, RequestId};
use crate::leader::{Leader, LeaderRequest};
use shaleshunt_wire::Epoch;

impl Controller {
    pub(super) fn handle_kv_reply(&mut self, id: RequestId, result: Result<KvReply, RequestError>) {
        let Some(pending) = self.ctx.complete(id) else { return };
        // A probe takes the direct route, so its result says nothing about the current route.
        if !matches!(pending.request, PendingRequest::KvRouteProbe) {
            self.ctx.record_kv_reply(&result);
        }
        match pending.request {
            PendingRequest::Api(request) => {
                let progress =
                    ControllerTaskCounts { leader: self.leader.as_deref(), shared: self.peers.task_counts() };
                self.api.handle_kv_reply(&mut self.ctx, request, pending.sent_at, result, &progress);
                self.forward_cancellations();
            }
            PendingRequest::Election(request) if self.leader.is_none() => {
                let transition = self.election.handle_reply(&mut self.ctx, request, pending.sent_at.at_ms, result);
                self.apply_transition(transition);
            }
            PendingRequest::Election(_) => {}
            PendingRequest::Catalog => catalog::handle_kv_reply(&mut self.ctx, result),
            PendingRequest::Leader(epoch, request) => {
                if let Some(leader) = leader_of(&mut self.leader, epoch) {
                    leader.handle_kv_reply(&mut self.ctx, request, pending.sent_at.at_ms, result);
                }
            }
            PendingRequest::KvRouteProbe => {
                self.handle_probe_reply(&result);
                self.forward_cancellations();
            }
            PendingRequest::Ignored => {}
        }
    }

    /// Stops jobs that replies to users' requests showed to be cancelled, without waiting for the leader's own watch of
    /// cancellations: the store may be rejecting that watch at the time.
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
            PendingRequest::Api(_)
            | PendingRequest::Election(_)
            | PendingRequest::KvRouteProbe
            | PendingRequest::Ignored => {}
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

/// Returns the leader's state if this process is the leader of `epoch`.
fn leader_of(leader: &mut Option<Box<Leader>>, epoch: Epoch) -> Option<&mut Leader> {
    leader.as_deref_mut().filter(|leader| leader.epoch == epoch)
}
