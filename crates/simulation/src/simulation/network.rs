//! The network of a simulated site: the partitions between its parties.

/// The parties from which a partition separates a controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartitionScope {
    /// The key-value store.
    Store,
    /// Agents and the cloud.
    AgentsAndCloud,
    /// The key-value store and the other controllers.
    StoreAndPeers,
    /// All other parties, including controllers and users.
    Everything,
}

impl PartitionScope {
    /// Whether a partition with this scope also separates the controller from the parties in `scope`.
    fn includes(self, scope: PartitionScope) -> bool {
        self == scope
            || self == PartitionScope::Everything
            || self == PartitionScope::StoreAndPeers && scope == PartitionScope::Store
    }

    fn includes_peers(self) -> bool {
        matches!(self, PartitionScope::Everything | PartitionScope::StoreAndPeers)
    }
}

/// What happens to messages that cross a partition.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PartitionedMessages {
    /// Messages are lost.
    Lost,
    /// Messages are held and arrive after the partition has ended.
    Held,
}

/// Whether messages between two parties arrive. Of several partitions the one that ends last decides.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Route {
    Open,
    /// Messages are held until this time, in ms.
    HeldUntil(u64),
    Lost,
}

impl Route {
    pub(super) fn is_open(self) -> bool {
        self == Route::Open
    }

    /// When a message sent at `now` arrives, in ms; `None` if the message is lost. Messages arrive `delay_ms` after the
    /// route opens; on an open route `extra_delay_ms` is added.
    pub(super) fn arrival(self, now: u64, delay_ms: u64, extra_delay_ms: u64) -> Option<u64> {
        match self {
            Route::Open => Some(now + delay_ms + extra_delay_ms),
            Route::HeldUntil(until_ms) => Some(until_ms + delay_ms),
            Route::Lost => None,
        }
    }

    fn across(partitions: impl Iterator<Item = PartitionEnd>) -> Route {
        match partitions.max() {
            None => Route::Open,
            Some(PartitionEnd { until_ms, messages: PartitionedMessages::Held }) => Route::HeldUntil(until_ms),
            Some(PartitionEnd { messages: PartitionedMessages::Lost, .. }) => Route::Lost,
        }
    }
}

/// When a partition ends, and what happens to messages until then.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct PartitionEnd {
    pub(super) until_ms: u64,
    pub(super) messages: PartitionedMessages,
}

/// A partition of a controller from other parties.
struct ControllerPartition {
    controller: usize,
    scope: PartitionScope,
    end: PartitionEnd,
}

/// A partition of a zone from all parties outside it.
struct ZonePartition {
    zone: String,
    end: PartitionEnd,
}

/// The simulated network.
pub(super) struct Network {
    /// Zone of each controller, by index.
    zones: Vec<String>,
    controller_partitions: Vec<ControllerPartition>,
    zone_partitions: Vec<ZonePartition>,
    /// Until when controllers refuse each other's connections, in ms; 0 without this fault.
    pub(super) peer_connections_refused_until_ms: u64,
    /// Until when controllers have no connection free for direct calls, in ms; 0 without this fault.
    pub(super) direct_calls_refused_until_ms: u64,
}

impl Network {
    /// Creates the network of a site; `zones` has the zone of each controller.
    pub(super) fn new(zones: Vec<String>) -> Network {
        Network {
            zones,
            controller_partitions: Vec::new(),
            zone_partitions: Vec::new(),
            peer_connections_refused_until_ms: 0,
            direct_calls_refused_until_ms: 0,
        }
    }

    pub(super) fn partition_controller(&mut self, controller: usize, scope: PartitionScope, end: PartitionEnd) {
        self.controller_partitions.push(ControllerPartition { controller, scope, end });
    }

    pub(super) fn partition_zone(&mut self, zone: String, end: PartitionEnd) {
        self.zone_partitions.push(ZonePartition { zone, end });
    }

    /// Removes partitions that have ended by `now`.
    pub(super) fn remove_ended_partitions(&mut self, now: u64) {
        self.controller_partitions.retain(|partition| now < partition.end.until_ms);
        self.zone_partitions.retain(|partition| now < partition.end.until_ms);
    }

    /// The route between a controller and a party outside of all zones: the store, the cloud or a user.
    pub(super) fn external_route(&self, now: u64, controller: usize, scope: PartitionScope) -> Route {
        Route::across(
            self.controller_partition_ends(now, controller, scope)
                .chain(self.zone_partition_ends(now, controller, None)),
        )
    }

    /// The route between a controller and an agent; the agent's zone is `None` if the machine is gone.
    pub(super) fn agent_route(&self, now: u64, controller: usize, agent_zone: Option<&str>) -> Route {
        let controller_ends = self.controller_partition_ends(now, controller, PartitionScope::AgentsAndCloud);
        Route::across(controller_ends.chain(self.zone_partition_ends(now, controller, agent_zone)))
    }

    /// Whether two controllers can communicate.
    pub(super) fn peers_connected(&self, now: u64, left: usize, right: usize) -> bool {
        let is_isolated = |controller: usize| {
            let mut partitions = self.controller_partitions.iter();
            partitions.any(|partition| {
                partition.controller == controller && partition.scope.includes_peers() && now < partition.end.until_ms
            })
        };
        let zones_partitioned = self.zone_partition_ends(now, left, Some(&self.zones[right])).next().is_some();
        now >= self.peer_connections_refused_until_ms && !zones_partitioned && !is_isolated(left) && !is_isolated(right)
    }

    /// The ends of the controller's partitions from the parties in `scope`.
    fn controller_partition_ends(
        &self,
        now: u64,
        controller: usize,
        scope: PartitionScope,
    ) -> impl Iterator<Item = PartitionEnd> {
        let partitions = self.controller_partitions.iter();
        partitions
            .filter(move |partition| {
                partition.controller == controller && partition.scope.includes(scope) && now < partition.end.until_ms
            })
            .map(|partition| partition.end)
    }

    /// The ends of zone partitions that separate a controller from another party: those of exactly one of the two
    /// parties' zones. The other party's zone is `None` if the party is outside of all zones.
    fn zone_partition_ends<'a>(
        &'a self,
        now: u64,
        controller: usize,
        other_zone: Option<&'a str>,
    ) -> impl Iterator<Item = PartitionEnd> + 'a {
        let zone = self.zones[controller].as_str();
        let partitions = self.zone_partitions.iter();
        partitions
            .filter(move |partition| {
                (partition.zone == zone) != (other_zone == Some(partition.zone.as_str()))
                    && now < partition.end.until_ms
            })
            .map(|partition| partition.end)
    }
}
