//! Handling of machines and zones without heartbeats: probes machines with overdue heartbeats, excludes partitioned
//! zones from placement, and releases placements after lease expiry. A leader that is itself partitioned from the
//! machines steps down if it has peers.

use crate::controller::{Context, PeerLeaseReport};
use crate::event::Event;
use crate::leader::Leader;
use crate::leader::fleet::lease_expiry::LeaseTiming;
use crate::leader::fleet::partitions::{PartitionCheck, PartitionFinding};
use crate::model::CallPurpose;
use crate::step_down::StepDownReason;
use std::collections::BTreeSet;

impl Leader {
    /// Updates the set of partitioned zones, which get no new tasks. If the leader itself is partitioned and has peers,
    /// it steps down instead.
    pub(crate) fn detect_zone_partitions(&mut self, ctx: &mut Context) {
        let check = PartitionCheck {
            now_ms: ctx.now.monotonic_ms,
            interval_ms: ctx.settings.heartbeat_interval_ms(),
            elected_at_ms: self.elected_at_ms,
        };
        match check.run(&self.fleet) {
            // A leader without peers stays, because no other controller could take over.
            PartitionFinding::LeaderPartitioned if !ctx.peer_lease_reports.is_empty() => {
                self.step_down = Some(StepDownReason::NoHeartbeats);
            }
            PartitionFinding::LeaderPartitioned | PartitionFinding::Inconclusive => {}
            PartitionFinding::Zones(zones) => self.set_partitioned_zones(ctx, zones),
        }
    }

    fn set_partitioned_zones(&mut self, ctx: &mut Context, zones: BTreeSet<String>) {
        let Some(new) = self.fleet.reachability.set_partitioned_zones(zones) else { return };
        for zone in new {
            ctx.emit(Event::ZoneUnreachable { zone });
        }
        self.fleet.mark_partitioned_machines();
        self.scheduler.request_pass();
    }

    /// Calls the agents of machines with overdue heartbeats to learn whether they are alive. If many are overdue at
    /// once, the network or this controller is at fault, and none is called.
    pub(crate) fn probe_overdue(&mut self, ctx: &mut Context) {
        let interval = ctx.settings.heartbeat_interval_ms();
        for id in self.fleet.machines_to_probe(ctx.now.monotonic_ms, interval) {
            self.call(ctx, &id, CallPurpose::ConfirmToken);
        }
    }

    /// Releases the placements on machines whose lease has certainly expired, so that the tasks can be placed again.
    pub(crate) fn expire_machine_leases(&mut self, ctx: &mut Context) {
        let clock = LeaseTiming::new(ctx.now.monotonic_ms, &ctx.settings, self.elected_at_ms);
        self.fleet.update_zone_machine_counts(clock.now_ms, clock.lease_ms);
        let peers: Vec<&PeerLeaseReport> = ctx.peer_lease_reports.values().collect();
        for id in self.fleet.machines_with_expired_lease(clock, &peers) {
            let Some(m) = self.fleet.machines.get(&id) else { continue };
            let placements: Vec<u64> = m.placements.iter().map(|placement| placement.placement_id).collect();
            ctx.emit(Event::MachineLeaseExpired { machine: id.clone(), tasks: placements.len() });
            for placement_id in placements {
                self.release_unfinished(clock.now_ms, &id, placement_id);
            }
        }
    }
}
