//! Machines, zones and whole fleets that do not report: who is asked, what is not used, what is given up.

use crate::event::Event;
use crate::leader::Leader;
use crate::model::*;
use crate::node::Ctx;
use crate::step_down::StepDown;
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
    pub(crate) fn watch_zones(&mut self, ctx: &mut Ctx) {
        let now = ctx.now.mono;
        let report = ctx.set.report_ms();
        let gap = |n: u32| (report / 5).max(report * 8 / u64::from(n.max(1)));
        let newest = self.zones_heard.values().map(|z| z.0).max().unwrap_or(0);
        if now.saturating_sub(newest) > report / 10 {
            // Nobody reports at all: it is us. A leader that the machines do not reach is no use to
            // them, though the state service may still take it for one.
            let all: u32 = self.zones_heard.values().map(|z| z.1).sum();
            let patience = (report / 2).max(report * 8 / u64::from(all.max(1)));
            // Machines that hang on to a lost leader need a while to come.
            let heard = newest.max(self.took_at + report * 2);
            let long = !self.machines.is_empty() && !ctx.keepers.is_empty() && now.saturating_sub(heard) > patience;
            if long && self.misses_reports(ctx, None, all) {
                self.down = Some(StepDown::Unheard);
            }
            return;
        }
        let silent: BTreeSet<String> = self
            .zones_heard
            .iter()
            .filter(|(zone, (at, n))| now.saturating_sub(*at) > gap(*n) && self.misses_reports(ctx, Some(zone), *n))
            .map(|(z, _)| z.clone())
            .collect();
        if silent == self.zones_cut {
            return;
        }
        for z in silent.difference(&self.zones_cut) {
            ctx.emit(Event::ZoneUnreachable { zone: z.clone() });
        }
        self.zones_cut = silent;
        for m in self.machines.values_mut() {
            let cut = self.zones_cut.contains(&m.zone) && m.heard.is_some();
            if cut && !m.cut && m.places.iter().any(|p| !p.sent) {
                self.push.insert(m.id.clone());
            }
            m.cut = cut;
        }
        self.replan = true;
    }

    /// Whether reports are missing from a zone, or from all, with so many machines: enough of them are overdue.
    /// Where all came at once, or tasks end together, reports come in waves: between two nobody's is due.
    fn misses_reports(&self, ctx: &Ctx, zone: Option<&str>, machines: u32) -> bool {
        let (now, report) = (ctx.now.mono, ctx.set.report_ms());
        // A machine known from records has two reporting intervals after a takeover to be heard.
        let last = |m: &Machine| m.heard.or((m.session > AgentEpoch::NONE).then_some(self.took_at + report));
        let overdue = |m: &&Machine| last(m).is_some_and(|at| now.saturating_sub(at) > report * LATEST_REPORT / 100);
        let here = self.machines.values().filter(|m| zone.is_none_or(|zone| m.zone == zone));
        here.filter(overdue).take(MISSED_REPORTS).count() >= MISSED_REPORTS.min(machines as usize)
    }

    /// Asks hired machines whose report is overdue whether they live: one that was taken without
    /// notice is found out in half the time that its silence alone would need. Where many are
    /// overdue at once it is the network, or us.
    pub(crate) fn ask_overdue(&mut self, ctx: &mut Ctx) {
        let now = ctx.now.mono;
        let late = ctx.set.report_ms() * LATEST_REPORT / 100;
        let overdue = |m: &&Machine| m.heard.is_some_and(|h| now.saturating_sub(h) > late) && !m.leaving && !m.cut;
        let all: Vec<Id> = self.machines.values().filter(overdue).map(|m| m.id.clone()).collect();
        self.few_overdue = all.len() <= (self.machines.len() / 50).max(2);
        if !self.few_overdue {
            return;
        }
        for id in all {
            let asks = |m: &Machine| !m.owned && !m.places.is_empty() && m.call.is_none() && now >= m.call_after;
            if self.machines.get(&id).is_some_and(asks) {
                self.call(ctx, &id, true);
            }
        }
    }

    /// Whether no controller in a zone can still keep the lease of a machine last heard at a time:
    /// each has said, a lease later, that it kept none since; or it has not heard from us for so
    /// long that its term is over, and a lease as well.
    fn not_kept(ctx: &Ctx, zone: &str, heard: u64) -> bool {
        let (now, lease) = (ctx.now.mono, ctx.set.lease_over_ms());
        ctx.keepers.values().filter(|k| k.zone == zone || zone.is_empty()).all(|k| {
            let said = k.sent_after >= heard.max(k.kept) + lease;
            let over = now > heard.max(k.heard + ctx.set.blind_ms()) + lease;
            said || over
        })
    }

    /// Machines that have gone silent.
    pub(crate) fn watch_silence(&mut self, ctx: &mut Ctx) {
        let now = ctx.now.mono;
        let set = ctx.set.clone();
        let mut silent: Vec<Id> = Vec::new();
        let mut there: BTreeMap<&str, u32> = BTreeMap::new();
        for m in self.machines.values().filter(|m| m.heard.is_some_and(|h| now - h < set.lease_over_ms())) {
            *there.entry(&m.zone).or_default() += 1;
        }
        for (zone, z) in &mut self.zones_heard {
            z.1 = there.get(zone.as_str()).copied().unwrap_or(0);
        }
        for m in self.machines.values() {
            if m.places.is_empty() {
                continue;
            }
            // Until it has shown our token, an earlier leader may have answered it for as long as
            // that leader could go without news of this epoch.
            let heard = m.heard.unwrap_or(0);
            let last = if m.ours { heard } else { heard.max(self.took_at + set.blind_ms()) };
            if now.saturating_sub(last) > set.lease_over_ms() && Self::not_kept(ctx, &m.zone, heard) {
                silent.push(m.id.clone());
            }
        }
        for id in silent {
            let Some(m) = self.machines.get(&id) else { continue };
            let slots: Vec<u64> = m.places.iter().map(|p| p.slot).collect();
            ctx.emit(Event::MachineLeaseExpired { machine: id.clone(), tasks: slots.len() });
            for slot in slots {
                self.release(now, &id, slot, false);
            }
        }
    }
}
