//! Carries out decisions about the route to the key-value store: directly, or through a peer.

use super::Controller;
use super::pending::PendingRequest;
use super::relay::{RelayDecision, RelayInputs};
use crate::api::ApiRequest;
use crate::event::Event;
use crate::io::KvRequest;
use crate::model::keys;

impl Controller {
    pub(super) fn update_relay(&mut self) {
        let now = self.ctx.now_ms();
        let inputs = RelayInputs {
            now,
            settings: &self.ctx.settings,
            kv_unavailable: self.ctx.kv_unavailable(),
            kv_answered_at: self.ctx.kv_answered_at(),
        };
        match self.ctx.relay.decide(inputs, self.peers.views()) {
            RelayDecision::Keep => {}
            RelayDecision::Start { peer } => self.start_relay(peer),
            RelayDecision::Abandon => self.ctx.abandon_relay(),
            RelayDecision::Probe => {
                self.ctx.relay.schedule_next_probe(now, self.ctx.settings.heartbeat_interval_ms());
                let probe = KvRequest::Get { key: keys::EPOCH.into() };
                self.ctx.send_kv_directly(probe, PendingRequest::Api(ApiRequest::Probe));
            }
        }
    }

    fn start_relay(&mut self, peer: String) {
        self.ctx.emit(Event::StateServiceRelayStarted { peer: peer.clone() });
        self.ctx.relay.start(peer, self.ctx.now.monotonic_ms, self.ctx.settings.heartbeat_interval_ms());
        if self.leader.is_none() {
            self.election.read_leadership(&mut self.ctx);
        }
    }
}
