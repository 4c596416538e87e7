//! The cloud: its list, hires and returns.

use crate::capacity;
use crate::event::Event;
use crate::io::*;
use crate::leader::{HireState, LeadWait, Leader};
use crate::model::*;
use crate::node::Ctx;
use shaleshunt_wire::cloud::{Hire, Listed, ListedStatus};
use shaleshunt_wire::user::Shape;
use shaleshunt_wire::{AgentEpoch, MAX_HIRE, MAX_RETURN, Revision, Room};
use std::collections::{BTreeMap, BTreeSet};

/// A machine that has not come up after so many times its type's usual boot time is returned.
const NEVER_BOOTS: f64 = 4.0;

/// Share of the cloud's requests that a long list of machines takes, and of a second's requests the pages
/// that are asked for at once.
const LIST_SHARE: f64 = 0.25;
const LIST_AT_ONCE: f64 = 0.5;

/// Type, zone and whether it may be taken back.
pub(crate) type Place = (String, String, bool);

impl Leader {
    /// What is due in rounds.
    pub(crate) fn rounds(&mut self, ctx: &mut Ctx) {
        let now = ctx.now.mono;
        if now >= self.prices_at {
            self.prices_at = now + ctx.set.report_ms() * 10;
            let wait = self.wait(LeadWait::Catalog);
            ctx.cloud(CloudRequest::Catalog, wait);
        }
        if now >= self.list_at && !self.listing {
            self.listing = true;
            // After the last page that came: one that failed is asked for again.
            let after = self.list_seen.last().map(|m| m.id.clone()).unwrap_or_default();
            let wait = self.wait(LeadWait::List);
            ctx.cloud(CloudRequest::List { after }, wait);
        }
        self.ask_hires(ctx);
        if now >= self.round_at {
            self.round_at = now + (ctx.tune.round_s * 1000.0) as u64;
            self.replan = true;
            if self.owned.is_some() {
                self.rent(ctx);
            }
            self.give_back(ctx);
        }
    }

    pub(crate) fn cloud_answer(&mut self, ctx: &mut Ctx, wait: LeadWait, result: Result<CloudReply, IoError>) {
        let now = ctx.now.mono;
        match (wait, result) {
            (LeadWait::Catalog, Ok(CloudReply::Catalog(c))) if !c.frames.is_empty() => {
                // Kept at the state service too, so that nodes know the types in a cloud outage.
                let types = |c: &shaleshunt_wire::cloud::Catalog| {
                    c.frames.iter().map(|f| (f.name.clone(), f.room(), f.zones.clone())).collect::<Vec<_>>()
                };
                self.catalog_dirty |=
                    self.catalog_version.is_none() || ctx.catalog.as_ref().is_none_or(|old| types(old) != types(&c));
                self.machines.set_rooms(|machine_type| c.frame(machine_type).map(|f| f.room()));
                ctx.catalog = Some(c);
                self.replan = true;
            }
            (LeadWait::Catalog, _) => self.prices_at = now + ctx.set.report_ms() / 2,
            (LeadWait::List, Ok(CloudReply::Page(page))) => {
                self.listing = false;
                self.list_pages += 1;
                let more = page.truncated && !page.machines.is_empty();
                self.list_seen.extend(page.machines);
                let shared = 1000.0 / (ctx.set.cloud_rps * LIST_SHARE);
                if more {
                    // A few pages come at once; of a longer list the rest leaves room for hires. There are none
                    // before it is known which machines are owned.
                    let many = self.owned.is_some() && f64::from(self.list_pages) >= ctx.set.cloud_rps * LIST_AT_ONCE;
                    self.list_at = now + if many { shared as u64 } else { 0 };
                } else {
                    let pages = f64::from(std::mem::take(&mut self.list_pages));
                    let lag = ctx.set.list_lag_s.max(1.0) * 2000.0;
                    self.list_at = now + lag.max(pages * shared) as u64;
                    let list = std::mem::take(&mut self.list_seen);
                    self.listed(ctx, list);
                }
            }
            (LeadWait::List, _) => {
                self.listing = false;
                self.list_at = now + ctx.set.report_ms() / 2;
            }
            (LeadWait::Hire(name), result) => self.hired(ctx, &name, result),
            (LeadWait::Return(names), Ok(CloudReply::Returned)) => {
                for id in names {
                    self.machine_gone(ctx, &id);
                }
            }
            (LeadWait::Return(names), _) => {
                for id in names {
                    if let Some(m) = self.machines.get_mut(&id) {
                        m.returning = false;
                    }
                }
            }
            _ => {}
        }
    }

    /// A machine is proven gone, by a return that was answered 200.
    fn machine_gone(&mut self, ctx: &mut Ctx, id: &Id) {
        let slots: Vec<u64> =
            self.machines.get(id).map(|m| m.places.iter().map(|p| p.slot).collect()).unwrap_or_default();
        for slot in slots {
            self.release(ctx.now.mono, id, slot, false);
        }
        if let Some(m) = self.machines.remove(id) {
            ctx.emit(Event::ScaleInCompleted { machine: id.clone() });
            self.confirming -= u32::from(m.confirms);
            if let Some(b) = m.block.and_then(|n| self.blocks.get_mut(&n)) {
                b.machines.remove(id);
                self.thinned_blocks.extend(m.block);
            }
        }
        self.replan = true;
    }

    /// Whether a machine is owned became known.
    fn set_owned(&mut self, id: &Id, owned: bool) {
        let Some(m) = self.machines.get_mut(id).filter(|m| m.owned != owned) else { return };
        m.owned = owned;
        if let Some(n) = m.block {
            self.dirty_blocks.insert(n);
        }
        for p in &m.places {
            if let Some(held) = self.jobs.get(&p.job).and_then(|j| self.held.get_mut(&j.spec.class)) {
                held.owned += if owned { 1 } else { -1 };
            }
        }
    }

    /// Takes in the cloud's list. It proves nothing about what is gone.
    fn listed(&mut self, ctx: &mut Ctx, list: Vec<Listed>) {
        // The service begins: what is up now is owned. Lists lag: an empty one counts only after
        // twice the lag.
        let settled = ctx.now.mono.saturating_sub(self.took_at) as f64 > ctx.set.list_lag_s * 2000.0;
        if self.owned.is_none() && (!list.is_empty() || settled) {
            let owned: BTreeSet<String> =
                list.iter().filter(|m| !m.spot && m.status == ListedStatus::Running).map(|m| m.id.clone()).collect();
            ctx.emit(Event::OwnedMachinesRecorded { machines: owned.len() });
            let most = ctx.limits.value_bytes();
            let mut parts: Vec<(usize, Vec<String>)> = vec![(0, Vec::new())];
            for name in &owned {
                let bytes = name.len() + 3;
                if parts.last().is_none_or(|(used, _)| used + bytes > most) {
                    parts.push((0, Vec::new()));
                }
                if let Some((used, part)) = parts.last_mut() {
                    *used += bytes;
                    part.push(name.clone());
                }
            }
            self.owned_dirty = (0..).zip(parts.into_iter().map(|(_, part)| part)).collect();
            self.owned = Some(owned);
        }
        self.warn_if_too_small(ctx);
        for x in list {
            let id: Id = x.id.as_str().into();
            let owned = self.owned.as_ref().is_some_and(|o| o.contains(&x.id));
            if !self.machines.contains_key(&id) {
                // Lists lag: a machine that we returned lately may still be shown. It is taken for
                // new and found silent; its return is answered 200 again.
                let mut m = self.new_machine(ctx, &id, &x.frame, &x.zone, x.spot, owned);
                m.hired = ctx.now.wall.saturating_sub((x.age_s.clamp(0.0, 1e9) * 1000.0) as u64);
                // Known by list only: recorded when it reports.
                self.machines.insert(m);
            }
            self.set_owned(&id, owned);
            let Some(m) = self.machines.get_mut(&id) else { continue };
            m.listed = true;
            if m.endpoint.is_empty() {
                m.endpoint = x.endpoint;
            }
            if x.status == ListedStatus::Failed {
                m.leaving = true;
            }
        }
    }

    /// Names, once, the settings that are too small for the machines owned and the most that the teams' limits
    /// allow.
    fn warn_if_too_small(&mut self, ctx: &mut Ctx) {
        let (Some(owned), Some(catalog)) = (&self.owned, &ctx.catalog) else { return };
        if std::mem::replace(&mut self.capacity_checked, true) {
            return;
        }
        let most = capacity::most_machines(&ctx.set, catalog).unwrap_or(0);
        for warning in capacity::too_small(&ctx.set, most.max(owned.len() as u32)) {
            ctx.emit(Event::SettingTooSmall(warning));
        }
    }

    /// Asks for hires that are recorded; the same name until there is an answer.
    fn ask_hires(&mut self, ctx: &mut Ctx) {
        let now = ctx.now.mono;
        let due: Vec<Hire> = self
            .hires
            .values()
            .filter(|h| h.version > Revision::ABSENT && h.answer.is_none() && !h.asking && now >= h.retry_at)
            .map(|h| h.hire.clone())
            .collect();
        for hire in due {
            if let Some(h) = self.hires.get_mut(&hire.hire) {
                h.asking = true;
            }
            let wait = self.wait(LeadWait::Hire(hire.hire.clone()));
            ctx.cloud(CloudRequest::Hire(hire), wait);
        }
    }

    fn hired(&mut self, ctx: &mut Ctx, name: &str, result: Result<CloudReply, IoError>) {
        let now = ctx.now.mono;
        let Some(h) = self.hires.get_mut(name) else { return };
        h.asking = false;
        let hire = h.hire.clone();
        let place = (hire.frame.clone(), hire.zone.clone(), hire.spot);
        match result {
            Ok(CloudReply::Hired(machines)) => {
                let ids: Vec<Id> = machines.iter().map(|n| n.as_str().into()).collect();
                h.answer = Some(ids.clone());
                ctx.emit(Event::ScaleOutGranted {
                    request: name.into(),
                    zone: hire.zone.clone(),
                    granted: ids.len(),
                    requested: hire.count,
                });
                if (ids.len() as u32) < hire.count {
                    self.refused.insert(place, (now + ctx.set.report_ms() * 3, 1));
                } else {
                    self.refused.remove(&place);
                }
                for id in ids {
                    if !self.machines.contains_key(&id) {
                        let m = self.new_machine(ctx, &id, &hire.frame, &hire.zone, hire.spot, false);
                        self.machines.insert(m);
                    }
                    self.join_block(ctx, &id);
                }
            }
            Ok(CloudReply::NoCapacity) => {
                h.answer = Some(Vec::new());
                let times = self.refused.get(&place).map_or(0, |r| r.1) + 1;
                let wait = ctx.set.report_ms() * 2 * u64::from(1u32 << (times - 1).min(2));
                ctx.emit(Event::ScaleOutNoCapacity { request: name.into(), zone: hire.zone });
                self.refused.insert(place, (now + wait, times));
            }
            Err(IoError::Rejected(why)) => {
                ctx.emit(Event::ScaleOutRejected { request: name.into(), reason: why });
                h.answer = Some(Vec::new());
            }
            Ok(_) | Err(_) => h.retry_at = now + ctx.set.report_ms() / 3,
        }
    }

    /// How long a job's tasks wait for owned room before room is rented for them. A deadline job
    /// rents when its slack says so. Others wait, but no longer than their class's aim leaves once
    /// a machine's boot is counted.
    fn rents(&self, ctx: &Ctx, job: &Job, boot_s: f64, known: &mut BTreeMap<(Room, i64), i64>) -> bool {
        if job.due().is_some() && job.sent_out {
            return true;
        }
        // Room that is not there at all, or too little for tasks that run together, is not worth
        // waiting for.
        let together = if job.spec.shape == Shape::Array { 1 } else { i64::from(job.spec.tasks) };
        let count = || -> i64 {
            self.machines
                .values()
                .filter(|m| !m.leaving && Self::allows(job, &m.frame, &m.zone, m.spot))
                .map(|m| m.room.times(&job.need, together))
                .sum()
        };
        let free_choice = job.spec.frames.is_none() && job.spec.zone.is_none();
        let kind = (job.need, together * if job.spec.spot { -1 } else { 1 });
        let all = if free_choice { *known.entry(kind).or_insert_with(count) } else { count() };
        if all < together {
            return true;
        }
        if job.due().is_some() {
            return false;
        }
        // A machine must be up well within what the class's aim leaves.
        let aim = ctx.set.aims.get(&job.spec.class).cloned().unwrap_or_default();
        let mut wait = ctx.tune.plain_wait_s;
        if let Some(s) = aim.start() {
            wait = wait.min(s * ctx.tune.aim_share - boot_s);
        }
        if let Some(s) = aim.finish() {
            wait = wait.min((s - self.estimate(job)) * ctx.tune.aim_share - boot_s);
        }
        ctx.now.wall.saturating_sub(job.ready_at) as f64 / 1000.0 >= wait
    }

    /// Rents the cheapest fitting machines for what is sent out and not covered by rented room
    /// that is free or on its way.
    fn rent(&mut self, ctx: &mut Ctx) {
        let now = ctx.now.mono;
        let Some(catalog) = ctx.catalog.clone() else { return };
        let boot_s = catalog.frames.iter().map(|f| f.boot_s).fold(0.0, f64::max);
        // Room free or on its way: what is booting, and what a hire under way will bring.
        struct Space {
            frame: String,
            zone: String,
            spot: bool,
            free: Room,
            machine: Option<Id>,
        }
        let mut needed: Vec<Id> = Vec::new();
        let mut spaces: Vec<Space> = Vec::new();
        for m in self.machines.values() {
            // What boots in a zone that is cut off is of no use before that is over.
            let coming = m.heard.is_none() && !m.leaving && !self.zones_cut.contains(&m.zone);
            let free = m.free();
            if free.cores > 0 && free.ram > 0 && (coming || m.usable(now, &ctx.set)) {
                let (frame, zone) = (m.frame.clone(), m.zone.clone());
                spaces.push(Space { frame, zone, spot: m.spot, free, machine: Some(m.id.clone()) });
            }
        }
        for h in self.hires.values().filter(|h| h.answer.is_none()) {
            let Some(f) = catalog.frame(&h.hire.frame) else { continue };
            for _ in 0..h.hire.count {
                let (frame, zone) = (h.hire.frame.clone(), h.hire.zone.clone());
                spaces.push(Space { frame, zone, spot: h.hire.spot, free: f.room(), machine: None });
            }
        }
        // The fullest first, so that a machine that is not needed stays empty and goes back.
        spaces.retain(|s| s.free.cores > 0 && s.free.ram > 0);
        spaces.sort_by_key(|s| s.free.cores);
        let mut wanted: Vec<(Hire, Room)> = Vec::new();
        let mut team_used = self.teams.clone();
        let calls = (ctx.set.cloud_rps * ctx.tune.round_s * ctx.tune.hire_share).max(1.0) as u32;
        let mut budget = calls * MAX_HIRE;
        let mut there: BTreeMap<(String, bool), u32> = BTreeMap::new();
        for m in self.machines.values() {
            *there.entry((m.zone.clone(), m.spot)).or_default() += 1;
        }
        // What arrived within a while is expected to arrive again: room for it is kept, so that work
        // does not wait for machines to boot. Real demand goes first.
        let window = boot_s * ctx.tune.reserve_boots * 1000.0;
        self.arrivals.retain(|(at, _)| now.saturating_sub(*at) as f64 <= window);
        let mut room_for: BTreeMap<(Room, i64), i64> = BTreeMap::new();
        let real = self.jobs.values().filter(|j| !j.aborted && j.not_before <= now && j.waiting() > 0);
        let real = real.filter(|j| self.rents(ctx, j, boot_s, &mut room_for)).collect::<Vec<_>>();
        let ghosts = self.arrivals.iter().map(|(_, j)| j);
        let demand: Vec<&Job> = real.into_iter().chain(ghosts).collect();
        // Spaces are used up from the first on: those that hold not even the smallest task are not looked at again.
        let smallest = demand.iter().map(|job| job.need.cores).min().unwrap_or(0);
        let mut used_up = 0;
        ctx.work.round();
        ctx.work.spaces_examined(self.machines.len());
        for job in demand {
            let Some(team) = ctx.set.teams.get(&job.spec.team) else { continue };
            let used = team_used.entry(job.spec.team.clone()).or_default();
            let mut left = job.waiting().min(team.room(used, &job.need));
            let mut zones: BTreeMap<String, u32> = BTreeMap::new();
            while spaces.get(used_up).is_some_and(|s| s.free.cores < smallest) {
                used_up += 1;
            }
            for s in &mut spaces[used_up..] {
                ctx.work.spaces_examined(1);
                if left == 0 {
                    break;
                }
                let fits = s.free.fits(&job.need) && Self::allows(job, &s.frame, &s.zone, s.spot);
                if !fits {
                    continue;
                }
                let mut n = s.free.times(&job.need, i64::from(left)) as u32;
                if job.spec.scatter || job.spec.one_zone {
                    let taken = zones.get(s.zone.as_str()).copied().unwrap_or(0);
                    n = n.min(Self::zone_room(job, &s.zone).saturating_sub(taken));
                    let elsewhere = zones.iter().any(|(z, n)| *n > 0 && *z != s.zone);
                    if n == 0 || job.spec.one_zone && elsewhere {
                        continue;
                    }
                    *zones.entry(s.zone.clone()).or_default() += n;
                }
                s.free.add(&job.need, -i64::from(n));
                used.add(&job.need, i64::from(n));
                left -= n;
                needed.extend(s.machine.take());
            }
            while left > 0 && budget > 0 {
                let Some((frame, zone, spot)) = self.cheapest(ctx, job, &catalog, &there) else { break };
                let room = catalog.frame(&frame).map(|f| f.room()).unwrap_or_default();
                let n = (room.times(&job.need, i64::from(left)) as u32).min(Self::zone_room(job, &zone)).max(1);
                let mut free = room;
                free.add(&job.need, -i64::from(n));
                spaces.push(Space { frame: frame.clone(), zone: zone.clone(), spot, free, machine: None });
                used.add(&job.need, i64::from(n));
                left = left.saturating_sub(n);
                budget -= 1;
                *there.entry((zone.clone(), spot)).or_default() += 1;
                let same = |h: &Hire| h.frame == frame && h.zone == zone && h.spot == spot;
                let many = wanted.len() as u32 >= calls.max(3);
                match wanted.iter_mut().find(|(h, _)| same(h) && h.count < MAX_HIRE) {
                    Some((h, _)) => h.count += 1,
                    None if many => break,
                    None => wanted.push((Hire { hire: String::new(), frame, zone, spot, count: 1 }, room)),
                }
            }
        }
        for id in needed {
            if let Some(m) = self.machines.get_mut(&id) {
                m.needed_at = now;
            }
        }
        for (mut hire, _) in wanted {
            self.hire_count += 1;
            hire.hire = format!("{}-{}-{}", ctx.set.label, self.epoch, self.hire_count);
            let state =
                HireState { hire, version: Revision::ABSENT, writing: false, asking: false, retry_at: 0, answer: None };
            self.hires.insert(state.hire.hire.clone(), state);
        }
    }

    /// The cheapest type, kind and zone for a job's task that was not refused lately; among equal
    /// prices the zone with the fewest rented machines, so that one wave takes little.
    fn cheapest(
        &self,
        ctx: &Ctx,
        job: &Job,
        catalog: &shaleshunt_wire::cloud::Catalog,
        there: &BTreeMap<(String, bool), u32>,
    ) -> Option<Place> {
        let mut best: Option<((i64, u32), Place)> = None;
        for f in catalog.frames.iter().filter(|f| f.room().fits(&job.need)) {
            for zone in f.zones.iter().filter(|h| !self.zones_cut.contains(*h)) {
                for spot in [true, false] {
                    let place = (f.name.clone(), zone.clone(), spot);
                    let refused = self.refused.get(&place).is_some_and(|r| r.0 > ctx.now.mono);
                    if refused || !Self::allows(job, &f.name, zone, spot) || !Self::zone_fits(job, zone) {
                        continue;
                    }
                    let price = if spot && f.market_price > 0.0 { f.market_price } else { f.price };
                    let rank = ((price * 1000.0) as i64, there.get(&(zone.clone(), spot)).copied().unwrap_or(0));
                    if best.as_ref().is_none_or(|(b, _)| rank < *b) {
                        best = Some((rank, place));
                    }
                }
            }
        }
        best.map(|(_, place)| place)
    }

    /// Returns machines that failed, never came up, went silent or have had no work for long.
    fn give_back(&mut self, ctx: &mut Ctx) {
        let now = ctx.now.mono;
        let set = ctx.set.clone();
        let silence = (set.report_s * ctx.tune.silent_reports * 1000.0) as u64;
        let mut names: Vec<Id> = Vec::new();
        for m in self.machines.values_mut() {
            if m.returning {
                continue;
            }
            let boot_s = ctx.catalog.as_ref().and_then(|c| c.frame(&m.frame)).map_or(set.lease_s, |f| f.boot_s);
            let age = ctx.now.wall.saturating_sub(m.hired) as f64 / 1000.0;
            let here = now.saturating_sub(self.took_at);
            match m.heard {
                None if m.owned => {}
                None if m.session > AgentEpoch::NONE => m.leaving |= here > silence * 2,
                None => m.leaving |= age > boot_s * NEVER_BOOTS + set.report_s && here > silence * 2,
                Some(h) if !m.owned => {
                    let quiet = now.saturating_sub(h);
                    let kept = m.cut && ctx.keepers.values().any(|k| k.zone == m.zone);
                    m.leaving |= if kept {
                        // The controller there keeps its leases for a term: what it runs goes on,
                        // and is better waited for unless it has a deadline.
                        let hurry = m.places.iter().any(|p| self.jobs.get(&p.job).is_some_and(|j| j.due().is_some()));
                        quiet > if hurry { silence * 2 / 3 } else { set.blind_ms() + set.lease_over_ms() }
                    } else {
                        let asked = m.deaf > 0 && self.few_overdue;
                        quiet > if asked { silence / 2 } else { silence }
                    };
                    m.leaving |= m.places.is_empty()
                        && (m.warned.is_some()
                            || now.saturating_sub(m.idle_since.max(m.needed_at)) as f64 > ctx.tune.idle_s * 1000.0);
                }
                Some(_) => {}
            }
            if m.leaving && names.len() < MAX_RETURN {
                m.returning = true;
                names.push(m.id.clone());
            }
        }
        if !names.is_empty() {
            let wait = self.wait(LeadWait::Return(names.clone()));
            let request = CloudRequest::Return(names.iter().map(|n| n.to_string()).collect());
            ctx.cloud(request, wait);
        }
    }
}
