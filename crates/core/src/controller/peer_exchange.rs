//! Handles frames from peers, and sends this process's heartbeats and job progress to them.

use super::Controller;
use crate::step_down::StepDownReason;
use shaleshunt_peer::{Frame, HeartbeatEcho, JobProgress, PeerHeartbeat};
use shaleshunt_wire::Epoch;

impl Controller {
    pub(super) fn handle_frame(&mut self, from: String, frame: Frame) {
        match frame {
            Frame::Heartbeat(heartbeat) => self.handle_peer_heartbeat(&from, heartbeat),
            Frame::JobProgress { epoch, jobs } => self.handle_progress(epoch, jobs),
            // `Hello` is handled by the connection, forwarded requests and responses by the key-value store client.
            Frame::Hello { .. } | Frame::ForwardedRequest { .. } | Frame::ForwardedResponse { .. } => {}
        }
    }

    fn handle_peer_heartbeat(&mut self, from: &str, heartbeat: PeerHeartbeat) {
        if !self.peers.views().contains(from) {
            return;
        }
        let now_ms = self.ctx.now_ms();
        let echoed_at_ms = heartbeat.echo.acknowledged_send_ms(self.ctx.process_id(), now_ms);
        self.peers.views_mut().record(from, now_ms, &heartbeat);
        self.ctx.peer_lease_reports.record(from, now_ms, heartbeat.lease_extension_age_ms, echoed_at_ms);
        if !heartbeat.is_leader {
            return;
        }
        if heartbeat.leader == from && heartbeat.epoch >= self.election.epoch() {
            self.zone_leases.record_leader_heartbeat(heartbeat.epoch, now_ms, echoed_at_ms);
        }
        if heartbeat.epoch > self.election.epoch() {
            if self.leader.as_ref().is_some_and(|leader| leader.epoch < heartbeat.epoch) {
                self.step_down(StepDownReason::NewerLeader);
            }
            self.election.follow(heartbeat.epoch, heartbeat.leader);
        }
    }

    fn handle_progress(&mut self, epoch: Epoch, jobs: Vec<JobProgress>) {
        if epoch < self.election.epoch() || self.leader.is_some() {
            return;
        }
        self.learn_record_versions(&jobs);
        self.peers.record_progress(jobs);
    }

    fn learn_record_versions(&mut self, jobs: &[JobProgress]) {
        let versions = jobs.iter().map(|progress| (progress.job.as_str(), progress.record_version));
        self.api.learn_record_versions(versions);
    }

    pub(super) fn handle_disconnect(&mut self, peer: &str) {
        self.peers.views_mut().record_disconnect(peer);
        if self.leader.is_none() {
            self.election.revoke_lease_of(&mut self.ctx, peer);
        }
    }

    pub(super) fn send_heartbeats(&mut self) {
        let now_ms = self.ctx.now_ms();
        if !self.peers.take_heartbeat_due(now_ms, &self.ctx.settings) {
            return;
        }
        let heartbeat = PeerHeartbeat {
            epoch: self.election.epoch(),
            leader: self.election.known_leader().unwrap_or_default().to_string(),
            is_leader: self.leader.is_some(),
            store_contact_age_ms: self.store_contact_age_ms(),
            process_id: self.ctx.process_id(),
            sent_at_ms: now_ms,
            echo: HeartbeatEcho::default(),
            lease_extension_age_ms: to_u32_saturating(self.zone_leases.renewal_age_ms(now_ms)),
            pending_user_writes: self.api.pending_user_writes(self.ctx.now_ms()),
        };
        self.peers.send_heartbeats(&mut self.ctx, &heartbeat);
    }

    /// Returns the time since the key-value store last answered on the direct route, in milliseconds. While a relay is
    /// active, the result is the maximum, so that no peer chooses this process as its relay.
    fn store_contact_age_ms(&self) -> u32 {
        if self.ctx.relay.is_active() {
            return u32::MAX;
        }
        to_u32_saturating(self.ctx.now_ms().saturating_sub(self.ctx.kv_last_answer_at_ms()))
    }

    pub(super) fn share_progress(&mut self) {
        if !self.peers.take_progress_due(self.ctx.now_ms(), &self.ctx.settings) {
            return;
        }
        let Some(leader) = &self.leader else { return };
        let (epoch, jobs) = (leader.epoch, leader.job_progress());
        self.learn_record_versions(&jobs);
        self.peers.send_progress(&mut self.ctx, epoch, jobs);
    }
}

fn to_u32_saturating(age_ms: u64) -> u32 {
    u32::try_from(age_ms).unwrap_or(u32::MAX)
}
