//! Exchange of frames with the other controllers: what a heartbeat means to the subsystems, and what this process
//! tells the others.

use super::Controller;
use crate::step_down::StepDownReason;
use shaleshunt_peer::{Frame, HeartbeatEcho, JobProgress, PeerHeartbeat};
use shaleshunt_wire::Epoch;

impl Controller {
    pub(super) fn handle_frame(&mut self, from: String, frame: Frame) {
        match frame {
            Frame::Heartbeat(heartbeat) => self.handle_peer_heartbeat(&from, heartbeat),
            Frame::JobProgress { epoch, jobs } => self.handle_progress(epoch, jobs),
            // The first belongs to the connection, the others to the clients of the key-value store.
            Frame::Hello { .. } | Frame::ForwardedRequest { .. } | Frame::ForwardedResponse { .. } => {}
        }
    }

    fn handle_peer_heartbeat(&mut self, from: &str, heartbeat: PeerHeartbeat) {
        if !self.peers.views().contains(from) {
            return;
        }
        let now = self.ctx.now_ms();
        let echoed_at = heartbeat.echo.acknowledged_send_ms(self.ctx.process_id(), now);
        self.peers.views_mut().record(from, now, &heartbeat);
        self.ctx.peer_lease_reports.record(from, now, heartbeat.lease_extension_age_ms, echoed_at);
        if !heartbeat.is_leader {
            return;
        }
        if heartbeat.leader == from && heartbeat.epoch >= self.election.epoch() {
            self.zone_leases.record_leader_heartbeat(heartbeat.epoch, now, echoed_at);
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
        self.learn_versions(&jobs);
        self.peers.record_progress(jobs);
    }

    fn learn_versions(&mut self, jobs: &[JobProgress]) {
        let versions = jobs.iter().map(|progress| (progress.job.as_str(), progress.record_version));
        self.api.learn_revisions(versions);
    }

    pub(super) fn handle_disconnect(&mut self, peer: &str) {
        self.peers.views_mut().record_disconnect(peer);
        if self.leader.is_none() {
            self.election.revoke_lease_of(&mut self.ctx, peer);
        }
    }

    pub(super) fn send_heartbeats(&mut self) {
        let now = self.ctx.now_ms();
        if !self.peers.take_heartbeat_due(now, &self.ctx.settings) {
            return;
        }
        let heartbeat = PeerHeartbeat {
            epoch: self.election.epoch(),
            leader: self.election.known_leader().unwrap_or_default().to_string(),
            is_leader: self.leader.is_some(),
            store_contact_age_ms: self.store_contact_age_ms(),
            process_id: self.ctx.process_id(),
            sent_at_ms: now,
            echo: HeartbeatEcho::default(),
            lease_extension_age_ms: saturate(self.zone_leases.renewal_age_ms(now)),
            pending_submissions: self.api.pending_submissions(),
        };
        self.peers.send_heartbeats(&mut self.ctx, &heartbeat);
    }

    /// Time since the key-value store answered directly. A relayed answer does not count: nobody shall relay
    /// requests through a process that needs a relay itself.
    fn store_contact_age_ms(&self) -> u32 {
        if self.ctx.relay.is_active() {
            return u32::MAX;
        }
        saturate(self.ctx.now_ms().saturating_sub(self.ctx.kv_answered_at()))
    }

    pub(super) fn share_progress(&mut self) {
        if !self.peers.take_progress_due(self.ctx.now_ms(), &self.ctx.settings) {
            return;
        }
        let Some(leader) = &self.leader else { return };
        let (epoch, jobs) = (leader.epoch, leader.job_progress());
        self.learn_versions(&jobs);
        self.peers.send_progress(&mut self.ctx, epoch, jobs);
    }
}

fn saturate(age_ms: u64) -> u32 {
    u32::try_from(age_ms).unwrap_or(u32::MAX)
}
