//! The inputs of the event loop, in order of priority.

use crate::peer_links::PeerEvent;
use crate::server::PendingRequest;
use shaleshunt_core::Command;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Interval, MissedTickBehavior};

/// One input of the event loop.
pub(super) enum Input {
    /// The result of a request to another service.
    Result(Command),
    /// A frame from a peer, or the loss of its connection.
    PeerEvent(PeerEvent),
    /// A client's request.
    Request(PendingRequest),
    /// The tick interval has elapsed.
    Tick,
}

/// Receives inputs from the queues and from the tick timer.
pub(super) struct Inbox {
    results: mpsc::Receiver<Command>,
    peer_events: mpsc::Receiver<PeerEvent>,
    requests: mpsc::Receiver<PendingRequest>,
    ticks: Interval,
}

impl Inbox {
    pub(super) fn new(
        results: mpsc::Receiver<Command>,
        peer_events: mpsc::Receiver<PeerEvent>,
        requests: mpsc::Receiver<PendingRequest>,
        tick_interval: Duration,
    ) -> Inbox {
        let mut ticks = tokio::time::interval(tick_interval);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        Inbox { results, peer_events, requests, ticks }
    }

    /// Waits for the next input. If several are ready, results come first, then peer events, client requests and
    /// ticks.
    pub(super) async fn wait(&mut self) -> Input {
        tokio::select! {
            biased;
            Some(command) = self.results.recv() => Input::Result(command),
            Some(event) = self.peer_events.recv() => Input::PeerEvent(event),
            Some(request) = self.requests.recv() => Input::Request(request),
            _ = self.ticks.tick() => Input::Tick,
        }
    }

    pub(super) fn try_result(&mut self) -> Option<Command> {
        self.results.try_recv().ok()
    }

    pub(super) fn try_peer_event(&mut self) -> Option<PeerEvent> {
        self.peer_events.try_recv().ok()
    }

    pub(super) fn try_request(&mut self) -> Option<PendingRequest> {
        self.requests.try_recv().ok()
    }
}
