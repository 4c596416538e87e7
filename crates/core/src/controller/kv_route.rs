//! Executes the relay's decisions on the route to the key-value store: direct, or through a peer.

use super::Controller;
use super::pending::PendingRequest;
use super::relay::{RelayDecision, RelayInputs};
use crate::event::Event;
use crate::io::{KvReply, KvRequest, RequestError};
use crate::model::keys;

impl Controller {
    pub(super) fn update_relay(&mut self) {
        let now_ms = self.ctx.now_ms();
        let inputs = RelayInputs {
            now_ms,
            settings: &self.ctx.settings,
            kv_unavailable: self.ctx.kv_unavailable(),
            kv_last_answer_at_ms: self.ctx.kv_last_answer_at_ms(),
        };
        match self.ctx.relay.decide(inputs, self.peers.views()) {
            RelayDecision::Keep => {}
            RelayDecision::Start { peer } => self.start_relay(peer),
            RelayDecision::Abandon => self.ctx.abandon_relay(),
            RelayDecision::Probe => {
                self.ctx.relay.schedule_next_probe(now_ms, self.ctx.settings.heartbeat_interval_ms());
                let probe = KvRequest::Get { key: keys::EPOCH.into() };
                self.ctx.send_kv_directly(probe, PendingRequest::KvRouteProbe);
            }
        }
    }

    /// Handles the reply to a probe of the direct route: ends the relay if the probe was answered.
    pub(super) fn handle_probe_reply(&mut self, result: &Result<KvReply, RequestError>) {
        if result.is_ok() {
            self.ctx.relay.stop();
            self.ctx.emit(Event::StateServiceRelayEnded);
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
