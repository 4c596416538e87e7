//! The network of a simulated site: which parties are cut off from each other.

/// What a cut separates a controller from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CutSide {
    /// The key-value store.
    Store,
    /// Agents and the cloud.
    Agents,
    /// The key-value store and the other controllers.
    StoreAndPeers,
    /// Everything, other controllers and users too.
    Everything,
}

impl CutSide {
    /// Whether a cut on this side also separates from that one.
    fn includes(self, side: CutSide) -> bool {
        self == side || self == CutSide::Everything || self == CutSide::StoreAndPeers && side == CutSide::Store
    }

    fn includes_peers(self) -> bool {
        matches!(self, CutSide::Everything | CutSide::StoreAndPeers)
    }
}

/// What becomes of messages across a cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CutMessages {
    /// They are lost.
    Lost,
    /// They arrive when the cut ends.
    Held,
}

/// How a message gets from one party to another; of several cuts the last to end counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Route {
    Open,
    /// Held until a time, in ms.
    HeldUntil(u64),
    Lost,
}

impl Route {
    pub(super) fn is_open(self) -> bool {
        self == Route::Open
    }

    /// When a message sent now arrives, if it does: `delay` after the route opens, and `slowdown`
    /// later on a route that is open.
    pub(super) fn arrival(self, now: u64, delay: u64, slowdown: u64) -> Option<u64> {
        match self {
            Route::Open => Some(now + delay + slowdown),
            Route::HeldUntil(until) => Some(until + delay),
            Route::Lost => None,
        }
    }

    fn through(cuts: impl Iterator<Item = CutEnd>) -> Route {
        match cuts.max() {
            None => Route::Open,
            Some(CutEnd { until, messages: CutMessages::Held }) => Route::HeldUntil(until),
            Some(CutEnd { messages: CutMessages::Lost, .. }) => Route::Lost,
        }
    }
}

/// When a cut ends and what becomes of messages until then.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CutEnd {
    pub(super) until: u64,
    pub(super) messages: CutMessages,
}

/// A controller that is cut off.
struct ControllerCut {
    controller: usize,
    side: CutSide,
    end: CutEnd,
}

/// A zone that is cut off from everything outside it.
struct ZoneCut {
    zone: String,
    end: CutEnd,
}

/// The network.
pub(super) struct Network {
    /// Zones of the controllers.
    zones: Vec<String>,
    controller_cuts: Vec<ControllerCut>,
    zone_cuts: Vec<ZoneCut>,
    /// Until when controllers refuse each other's connections, in ms.
    pub(super) peers_refuse_until: u64,
    /// Until when controllers have no connection left for direct calls, in ms.
    pub(super) no_direct_calls_until: u64,
}

impl Network {
    /// The network of a site with controllers in these zones.
    pub(super) fn new(zones: Vec<String>) -> Network {
        Network {
            zones,
            controller_cuts: Vec::new(),
            zone_cuts: Vec::new(),
            peers_refuse_until: 0,
            no_direct_calls_until: 0,
        }
    }

    pub(super) fn cut_controller(&mut self, controller: usize, side: CutSide, end: CutEnd) {
        self.controller_cuts.push(ControllerCut { controller, side, end });
    }

    pub(super) fn cut_zone(&mut self, zone: String, end: CutEnd) {
        self.zone_cuts.push(ZoneCut { zone, end });
    }

    /// Forgets cuts that are over.
    pub(super) fn remove_ended(&mut self, now: u64) {
        self.controller_cuts.retain(|cut| now < cut.end.until);
        self.zone_cuts.retain(|cut| now < cut.end.until);
    }

    /// The route between a controller and one of the parties in no zone: store, cloud or users.
    pub(super) fn outside_route(&self, now: u64, controller: usize, side: CutSide) -> Route {
        Route::through(self.cuts_of_controller(now, controller, side).chain(self.cuts_between(now, controller, None)))
    }

    /// The route between a controller and an agent in a zone, which is `None` for a machine that is gone.
    pub(super) fn agent_route(&self, now: u64, controller: usize, agent_zone: Option<&str>) -> Route {
        let own = self.cuts_of_controller(now, controller, CutSide::Agents);
        Route::through(own.chain(self.cuts_between(now, controller, agent_zone)))
    }

    /// Whether two controllers reach each other.
    pub(super) fn peers_connected(&self, now: u64, left: usize, right: usize) -> bool {
        let cut_off = |controller: usize| {
            let mut cuts = self.controller_cuts.iter();
            cuts.any(|cut| cut.controller == controller && cut.side.includes_peers() && now < cut.end.until)
        };
        let zones_apart = self.cuts_between(now, left, Some(&self.zones[right])).next().is_some();
        now >= self.peers_refuse_until && !zones_apart && !cut_off(left) && !cut_off(right)
    }

    fn cuts_of_controller(&self, now: u64, controller: usize, side: CutSide) -> impl Iterator<Item = CutEnd> {
        let cuts = self.controller_cuts.iter();
        cuts.filter(move |cut| cut.controller == controller && cut.side.includes(side) && now < cut.end.until)
            .map(|cut| cut.end)
    }

    /// Cuts of exactly one of two zones: a controller's, and that of the other party if it is in one.
    fn cuts_between<'a>(
        &'a self,
        now: u64,
        controller: usize,
        other: Option<&'a str>,
    ) -> impl Iterator<Item = CutEnd> + 'a {
        let own = self.zones[controller].as_str();
        let cuts = self.zone_cuts.iter();
        cuts.filter(move |cut| (cut.zone == own) != (other == Some(cut.zone.as_str())) && now < cut.end.until)
            .map(|cut| cut.end)
    }
}
