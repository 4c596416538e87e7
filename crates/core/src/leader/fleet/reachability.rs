//! Machines, zones and whole fleets that do not report: who is asked, what is not used, what is given up.

use crate::controller::Context;
use crate::event::Event;
use crate::leader::Leader;
use crate::leader::step_down::StepDown;
use crate::model::*;
use shaleshunt_wire::AgentEpoch;
use std::collections::{BTreeMap, BTreeSet};

/// So many overdue reports of a zone show that it is cut off, or those of all its machines if it has fewer.
const MISSED_REPORTS: usize = 8;

/// A report comes at the latest so many hundredths of the interval after the one before: a quarter late, and some
/// time on its way.
const LATEST_REPORT: u64 = 130;

impl Leader {
    /// A zone from which nobody reports while others do, though reports are due, is cut off: nothing new goes there. Where
    /// many machines report, that shows long before any one of them is overdue.
    pub(crate) fn detect_zone_partitions(&mut self, ctx: &mut Context) {
        let now = ctx.now.monotonic_ms;
        let interval = ctx.settings.heartbeat_interval_ms();
        let gap = |n: u32| (interval / 5).max(interval * 8 / u64::from(n.max(1)));
        let newest = self.fleet.zone_activity.values().map(|z| z.0).max().unwrap_or(0);
        if now.saturating_sub(newest) > interval / 10 {
            // Nobody reports at all: it is us. A leader that the machines do not reach is no use to
            // them, though the state service may still take it for one.
            let all: u32 = self.fleet.zone_activity.values().map(|z| z.1).sum();
            let patience = (interval / 2).max(interval * 8 / u64::from(all.max(1)));
            // Machines that hang on to a lost leader need a while to come.
            let last_heard = newest.max(self.elected_at + interval * 2);
            let long = !self.fleet.machines.is_empty()
                && !ctx.peer_lease_reports.is_empty()
                && now.saturating_sub(last_heard) > patience;
            if long && self.heartbeats_missing(ctx, None, all) {
                self.down = Some(StepDown::Unheard);
            }
            return;
        }
        let silent: BTreeSet<String> = self
            .fleet
            .zone_activity
            .iter()
            .filter(|(zone, (at, n))| now.saturating_sub(*at) > gap(*n) && self.heartbeats_missing(ctx, Some(zone), *n))
            .map(|(z, _)| z.clone())
            .collect();
        if silent == self.fleet.partitioned_zones {
            return;
        }
        for z in silent.difference(&self.fleet.partitioned_zones) {
            ctx.emit(Event::ZoneUnreachable { zone: z.clone() });
        }
        self.fleet.partitioned_zones = silent;
        for m in self.fleet.machines.values_mut() {
            let cut = self.fleet.partitioned_zones.contains(&m.zone) && m.agent.last_heard.is_some();
            if cut && !m.agent.partitioned && m.placements.iter().any(|p| !p.sent) {
                self.fleet.machines_to_call.insert(m.id.clone());
            }
            m.agent.partitioned = cut;
        }
        self.scheduler.request_pass();
    }

    /// Whether reports are missing from a zone, or from all, with so many machines: enough of them are overdue.
    /// Where all came at once, or tasks end together, reports come in waves: between two nobody's is due.
    fn heartbeats_missing(&self, ctx: &Context, zone: Option<&str>, machines: u32) -> bool {
        let (now, interval) = (ctx.now.monotonic_ms, ctx.settings.heartbeat_interval_ms());
        // A machine known from records has two reporting intervals after a takeover to be heard.
        let last = |m: &Machine| {
            m.agent.last_heard.or((m.agent.epoch > AgentEpoch::NONE).then_some(self.elected_at + interval))
        };
        let overdue = |m: &&Machine| last(m).is_some_and(|at| now.saturating_sub(at) > interval * LATEST_REPORT / 100);
        let here = self.fleet.machines.values().filter(|m| zone.is_none_or(|zone| m.zone == zone));
        here.filter(overdue).take(MISSED_REPORTS).count() >= MISSED_REPORTS.min(machines as usize)
    }

    /// Asks hired machines whose report is overdue whether they live: one that was taken without
    /// notice is found out in half the time that its silence alone would need. Where many are
    /// overdue at once it is the network, or us.
    pub(crate) fn probe_overdue(&mut self, ctx: &mut Context) {
        let now = ctx.now.monotonic_ms;
        let late = ctx.settings.heartbeat_interval_ms() * LATEST_REPORT / 100;
        let overdue = |m: &&Machine| {
            m.agent.last_heard.is_some_and(|h| now.saturating_sub(h) > late)
                && !m.lifecycle.scale_in_wanted
                && !m.agent.partitioned
        };
        let all: Vec<Id> = self.fleet.machines.values().filter(overdue).map(|m| m.id.clone()).collect();
        self.fleet.few_overdue = all.len() <= (self.fleet.machines.len() / 50).max(2);
        if !self.fleet.few_overdue {
            return;
        }
        for id in all {
            let asks = |m: &Machine| {
                !m.owned && !m.placements.is_empty() && m.call.in_flight.is_none() && now >= m.call.not_before
            };
            if self.fleet.machines.get(&id).is_some_and(asks) {
                self.call(ctx, &id, true);
            }
        }
    }

    /// Whether no controller in a zone can still keep the lease of a machine last heard at a time:
    /// each has said, a lease later, that it kept none since; or it has not heard from us for so
    /// long that its term is over, and a lease as well.
    fn leases_surely_expired(ctx: &Context, zone: &str, last_heard: u64) -> bool {
        let (now, lease) = (ctx.now.monotonic_ms, ctx.settings.lease_expiry_ms());
        ctx.peer_lease_reports.values().filter(|k| k.zone == zone || zone.is_empty()).all(|k| {
            let said = k.sent_after >= last_heard.max(k.kept) + lease;
            let over = now > last_heard.max(k.last_heard + ctx.settings.lease_renewal_window_ms()) + lease;
            said || over
        })
    }

    /// Machines that have gone silent.
    pub(crate) fn expire_silent_machines(&mut self, ctx: &mut Context) {
        let now = ctx.now.monotonic_ms;
        let set = ctx.settings.clone();
        let mut silent: Vec<Id> = Vec::new();
        let mut there: BTreeMap<&str, u32> = BTreeMap::new();
        for m in
            self.fleet.machines.values().filter(|m| m.agent.last_heard.is_some_and(|h| now - h < set.lease_expiry_ms()))
        {
            *there.entry(&m.zone).or_default() += 1;
        }
        for (zone, z) in &mut self.fleet.zone_activity {
            z.1 = there.get(zone.as_str()).copied().unwrap_or(0);
        }
        for m in self.fleet.machines.values() {
            if m.placements.is_empty() {
                continue;
            }
            // Until it has shown our token, an earlier leader may have answered it for as long as
            // that leader could go without news of this epoch.
            let last_heard = m.agent.last_heard.unwrap_or(0);
            let last = if m.agent.token_confirmed {
                last_heard
            } else {
                last_heard.max(self.elected_at + set.lease_renewal_window_ms())
            };
            if now.saturating_sub(last) > set.lease_expiry_ms() && Self::leases_surely_expired(ctx, &m.zone, last_heard)
            {
                silent.push(m.id.clone());
            }
        }
        for id in silent {
            let Some(m) = self.fleet.machines.get(&id) else { continue };
            let slots: Vec<u64> = m.placements.iter().map(|p| p.placement_id).collect();
            ctx.emit(Event::MachineLeaseExpired { machine: id.clone(), tasks: slots.len() });
            for placement_id in slots {
                self.release_placement(now, &id, placement_id, false);
            }
        }
    }
}
