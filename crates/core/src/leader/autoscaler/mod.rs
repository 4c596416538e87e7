//! The cloud: its list, hires and returns.

use crate::capacity;
use crate::controller::Context;
use crate::event::Event;
use crate::io::*;
use crate::leader::scheduler::constraints::{MachineKind, allows, zone_headroom};
use crate::leader::scheduler::usage::Ownership;
use crate::leader::{Leader, LeaderRequest, ScaleOutState};
use crate::model::*;
use shaleshunt_wire::cloud::{ListedMachine, ListedMachineStatus, ScaleOutRequest};
use shaleshunt_wire::user::JobKind;
use shaleshunt_wire::{AgentEpoch, MAX_MACHINES_PER_SCALE_IN, MAX_MACHINES_PER_SCALE_OUT, Resources, Revision};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Scale-out requests under way, the machines owned, and the cloud as last seen.
#[derive(Debug)]
pub(crate) struct Autoscaler {
    pub(crate) scale_outs: BTreeMap<String, ScaleOutState>,
    pub(crate) scale_out_count: u64,
    pub(crate) owned: Option<BTreeSet<String>>,
    /// The settings were compared with what the fleet needs.
    pub(crate) capacity_checked: bool,
    pub(crate) owned_parts: BTreeSet<String>,
    pub(crate) next_round_at: u64,
    pub(crate) next_list_at: u64,
    pub(crate) list_requested: bool,
    /// Pages of the cloud's list that have come so far, and when the next may be asked for.
    pub(crate) listed_so_far: Vec<shaleshunt_wire::cloud::ListedMachine>,
    pub(crate) list_pages: u32,
    pub(crate) next_catalog_at: u64,
    pub(crate) unavailable_offers: BTreeMap<crate::leader::autoscaler::Place, (u64, u32)>,
    /// Jobs that arrived lately, as they arrived.
    pub(crate) arrivals: VecDeque<(u64, Job)>,
}

impl Autoscaler {
    pub(crate) fn new(now: u64) -> Autoscaler {
        Autoscaler {
            scale_outs: BTreeMap::new(),
            scale_out_count: 0,
            owned: None,
            capacity_checked: false,
            owned_parts: BTreeSet::new(),
            next_round_at: now,
            next_list_at: now,
            list_requested: false,
            listed_so_far: Vec::new(),
            list_pages: 0,
            next_catalog_at: now,
            unavailable_offers: BTreeMap::new(),
            arrivals: VecDeque::new(),
        }
    }
}

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
    pub(crate) fn run_autoscaler(&mut self, ctx: &mut Context) {
        let now = ctx.now.monotonic_ms;
        if now >= self.autoscaler.next_catalog_at {
            self.autoscaler.next_catalog_at = now + ctx.settings.heartbeat_interval_ms() * 10;
            let wait = self.wait(LeaderRequest::Catalog);
            ctx.send_cloud(CloudRequest::Catalog, wait);
        }
        if now >= self.autoscaler.next_list_at && !self.autoscaler.list_requested {
            self.autoscaler.list_requested = true;
            // After the last page that came: one that failed is asked for again.
            let after = self.autoscaler.listed_so_far.last().map(|m| m.id.clone()).unwrap_or_default();
            let wait = self.wait(LeaderRequest::MachineList);
            ctx.send_cloud(CloudRequest::List { after }, wait);
        }
        self.send_scale_outs(ctx);
        if now >= self.autoscaler.next_round_at {
            self.autoscaler.next_round_at = now + (ctx.tuning.autoscaler_interval_s * 1000.0) as u64;
            self.scheduler.request_pass();
            if self.autoscaler.owned.is_some() {
                self.scale_out(ctx);
            }
            self.scale_in(ctx);
        }
    }

    pub(crate) fn handle_cloud_reply(
        &mut self,
        ctx: &mut Context,
        wait: LeaderRequest,
        result: Result<CloudReply, RequestError>,
    ) {
        let now = ctx.now.monotonic_ms;
        match (wait, result) {
            (LeaderRequest::Catalog, Ok(CloudReply::Catalog(c))) if !c.machine_types.is_empty() => {
                // Kept at the state service too, so that nodes know the types in a cloud outage.
                let types = |c: &shaleshunt_wire::cloud::Catalog| {
                    c.machine_types.iter().map(|f| (f.name.clone(), f.resources(), f.zones.clone())).collect::<Vec<_>>()
                };
                if !self.store.has_catalog() || ctx.catalog.as_ref().is_none_or(|old| types(old) != types(&c)) {
                    self.store.record_catalog();
                }
                self.fleet.machines.set_rooms(|machine_type| c.machine_type(machine_type).map(|f| f.resources()));
                ctx.catalog = Some(c);
                self.scheduler.request_pass();
            }
            (LeaderRequest::Catalog, _) => {
                self.autoscaler.next_catalog_at = now + ctx.settings.heartbeat_interval_ms() / 2
            }
            (LeaderRequest::MachineList, Ok(CloudReply::MachineList(page))) => {
                self.autoscaler.list_requested = false;
                self.autoscaler.list_pages += 1;
                let more = page.truncated && !page.machines.is_empty();
                self.autoscaler.listed_so_far.extend(page.machines);
                let shared = 1000.0 / (ctx.settings.cloud_rps * LIST_SHARE);
                if more {
                    // A few pages come at once; of a longer list the rest leaves room for hires. There are none
                    // before it is known which machines are owned.
                    let many = self.autoscaler.owned.is_some()
                        && f64::from(self.autoscaler.list_pages) >= ctx.settings.cloud_rps * LIST_AT_ONCE;
                    self.autoscaler.next_list_at = now + if many { shared as u64 } else { 0 };
                } else {
                    let pages = f64::from(std::mem::take(&mut self.autoscaler.list_pages));
                    let lag = ctx.settings.machine_list_lag_s.max(1.0) * 2000.0;
                    self.autoscaler.next_list_at = now + lag.max(pages * shared) as u64;
                    let list = std::mem::take(&mut self.autoscaler.listed_so_far);
                    self.take_machine_list(ctx, list);
                }
            }
            (LeaderRequest::MachineList, _) => {
                self.autoscaler.list_requested = false;
                self.autoscaler.next_list_at = now + ctx.settings.heartbeat_interval_ms() / 2;
            }
            (LeaderRequest::ScaleOut(name), result) => self.scale_out_answered(ctx, &name, result),
            (LeaderRequest::ScaleIn(names), Ok(CloudReply::ScaledIn)) => {
                for id in names {
                    self.machine_removed(ctx, &id);
                }
            }
            (LeaderRequest::ScaleIn(names), _) => {
                for id in names {
                    if let Some(m) = self.fleet.machines.get_mut(&id) {
                        m.lifecycle.scale_in_requested = false;
                    }
                }
            }
            _ => {}
        }
    }

    /// A machine is proven gone, by a return that was answered 200.
    fn machine_removed(&mut self, ctx: &mut Context, id: &Id) {
        let slots: Vec<u64> = self
            .fleet
            .machines
            .get(id)
            .map(|m| m.placements.iter().map(|p| p.placement_id).collect())
            .unwrap_or_default();
        for placement_id in slots {
            self.release_placement(ctx.now.monotonic_ms, id, placement_id, false);
        }
        if let Some(m) = self.fleet.remove(id) {
            ctx.emit(Event::ScaleInCompleted { machine: id.clone() });
            self.store.machine_removed(&m);
        }
        self.scheduler.request_pass();
    }

    /// Whether a machine is owned became known.
    fn set_owned(&mut self, id: &Id, owned: bool) {
        let Some(m) = self.fleet.machines.get_mut(id).filter(|m| m.owned != owned) else { return };
        m.owned = owned;
        self.store.machine_changed(m);
        for p in &m.placements {
            if let Some(job) = self.jobs.get(&p.job) {
                self.scheduler.usage_mut().change_ownership(&job.spec.class, Ownership::from_owned(owned));
            }
        }
    }

    /// Takes in the cloud's list. It proves nothing about what is gone.
    fn take_machine_list(&mut self, ctx: &mut Context, list: Vec<ListedMachine>) {
        // The service begins: what is up now is owned. Lists lag: an empty one counts only after
        // twice the lag.
        let settled =
            ctx.now.monotonic_ms.saturating_sub(self.elected_at) as f64 > ctx.settings.machine_list_lag_s * 2000.0;
        if self.autoscaler.owned.is_none() && (!list.is_empty() || settled) {
            let owned: BTreeSet<String> = list
                .iter()
                .filter(|m| !m.spot && m.status == ListedMachineStatus::Running)
                .map(|m| m.id.clone())
                .collect();
            ctx.emit(Event::OwnedMachinesRecorded { machines: owned.len() });
            self.store.record_owned_machines(&owned, ctx.limits.value_bytes());
            self.autoscaler.owned = Some(owned);
        }
        self.warn_if_too_small(ctx);
        for x in list {
            let id: Id = x.id.as_str().into();
            let owned = self.autoscaler.owned.as_ref().is_some_and(|o| o.contains(&x.id));
            if !self.fleet.machines.contains_key(&id) {
                // Lists lag: a machine that we returned lately may still be shown. It is taken for
                // new and found silent; its return is answered 200 again.
                let mut m = self.new_machine(ctx, &id, &x.machine_type, &x.zone, x.spot, owned);
                m.rented_at = ctx.now.wall_ms.saturating_sub((x.age_s.clamp(0.0, 1e9) * 1000.0) as u64);
                // Known by list only: recorded when it reports.
                self.fleet.machines.insert(m);
            }
            self.set_owned(&id, owned);
            let Some(m) = self.fleet.machines.get_mut(&id) else { continue };
            m.lifecycle.listed = true;
            if m.agent.endpoint.is_empty() {
                m.agent.endpoint = x.endpoint;
            }
            if x.status == ListedMachineStatus::Failed {
                m.lifecycle.scale_in_wanted = true;
            }
        }
    }

    /// Names, once, the settings that are too small for the machines owned and the most that the teams' limits
    /// allow.
    fn warn_if_too_small(&mut self, ctx: &mut Context) {
        let (Some(owned), Some(catalog)) = (&self.autoscaler.owned, &ctx.catalog) else { return };
        if std::mem::replace(&mut self.autoscaler.capacity_checked, true) {
            return;
        }
        let most = capacity::most_machines(&ctx.settings, catalog).unwrap_or(0);
        for warning in capacity::too_small(&ctx.settings, most.max(owned.len() as u32)) {
            ctx.emit(Event::SettingTooSmall(warning));
        }
    }

    /// Asks for hires that are recorded; the same name until there is an answer.
    fn send_scale_outs(&mut self, ctx: &mut Context) {
        let now = ctx.now.monotonic_ms;
        let due: Vec<ScaleOutRequest> = self
            .autoscaler
            .scale_outs
            .values()
            .filter(|h| h.version > Revision::ABSENT && h.answer.is_none() && !h.asking && now >= h.retry_at)
            .map(|h| h.request.clone())
            .collect();
        for request in due {
            if let Some(h) = self.autoscaler.scale_outs.get_mut(&request.request) {
                h.asking = true;
            }
            let wait = self.wait(LeaderRequest::ScaleOut(request.request.clone()));
            ctx.send_cloud(CloudRequest::ScaleOut(request), wait);
        }
    }

    fn scale_out_answered(&mut self, ctx: &mut Context, name: &str, result: Result<CloudReply, RequestError>) {
        let now = ctx.now.monotonic_ms;
        let Some(h) = self.autoscaler.scale_outs.get_mut(name) else { return };
        h.asking = false;
        let request = h.request.clone();
        let place = (request.machine_type.clone(), request.zone.clone(), request.spot);
        match result {
            Ok(CloudReply::ScaledOut(machines)) => {
                let ids: Vec<Id> = machines.iter().map(|n| n.as_str().into()).collect();
                h.answer = Some(ids.clone());
                ctx.emit(Event::ScaleOutGranted {
                    request: name.into(),
                    zone: request.zone.clone(),
                    granted: ids.len(),
                    requested: request.count,
                });
                if (ids.len() as u32) < request.count {
                    self.autoscaler
                        .unavailable_offers
                        .insert(place, (now + ctx.settings.heartbeat_interval_ms() * 3, 1));
                } else {
                    self.autoscaler.unavailable_offers.remove(&place);
                }
                for id in ids {
                    if !self.fleet.machines.contains_key(&id) {
                        let m = self.new_machine(ctx, &id, &request.machine_type, &request.zone, request.spot, false);
                        self.fleet.machines.insert(m);
                    }
                    self.join_block(ctx, &id);
                }
            }
            Ok(CloudReply::NoCapacity) => {
                h.answer = Some(Vec::new());
                let times = self.autoscaler.unavailable_offers.get(&place).map_or(0, |r| r.1) + 1;
                let wait = ctx.settings.heartbeat_interval_ms() * 2 * u64::from(1u32 << (times - 1).min(2));
                ctx.emit(Event::ScaleOutNoCapacity { request: name.into(), zone: request.zone });
                self.autoscaler.unavailable_offers.insert(place, (now + wait, times));
            }
            Err(RequestError::Rejected(why)) => {
                ctx.emit(Event::ScaleOutRejected { request: name.into(), reason: why });
                h.answer = Some(Vec::new());
            }
            Ok(_) | Err(_) => h.retry_at = now + ctx.settings.heartbeat_interval_ms() / 3,
        }
    }

    /// How long a job's tasks wait for owned room before room is rented for them. A deadline job
    /// rents when its slack says so. Others wait, but no longer than their class's aim leaves once
    /// a machine's boot is counted.
    fn wants_scale_out(
        &self,
        ctx: &Context,
        job: &Job,
        boot_s: f64,
        known: &mut BTreeMap<(Resources, i64), i64>,
    ) -> bool {
        if job.deadline().is_some() && job.scheduling.offloaded {
            return true;
        }
        // Room that is not there at all, or too little for tasks that run together, is not worth
        // waiting for.
        let together = if job.spec.kind == JobKind::Array { 1 } else { i64::from(job.spec.tasks) };
        let count = || -> i64 {
            self.fleet
                .machines
                .values()
                .filter(|m| !m.lifecycle.scale_in_wanted && allows(job, MachineKind::of(m)))
                .map(|m| m.capacity.total.times(&job.need, together))
                .sum()
        };
        let free_choice = job.spec.machine_types.is_none() && job.spec.zone.is_none();
        let kind = (job.need, together * if job.spec.spot { -1 } else { 1 });
        let all = if free_choice { *known.entry(kind).or_insert_with(count) } else { count() };
        if all < together {
            return true;
        }
        if job.deadline().is_some() {
            return false;
        }
        // A machine must be up well within what the class's aim leaves.
        let aim = ctx.settings.objectives.get(&job.spec.class).cloned().unwrap_or_default();
        let mut wait = ctx.tuning.scale_out_wait_s;
        if let Some(s) = aim.start() {
            wait = wait.min(s * ctx.tuning.objective_share - boot_s);
        }
        if let Some(s) = aim.finish() {
            wait = wait.min((s - self.scheduler.estimated_run_s(job)) * ctx.tuning.objective_share - boot_s);
        }
        ctx.now.wall_ms.saturating_sub(job.scheduling.ready_at) as f64 / 1000.0 >= wait
    }

    /// Rents the cheapest fitting machines for what is sent out and not covered by rented room
    /// that is free or on its way.
    fn scale_out(&mut self, ctx: &mut Context) {
        let now = ctx.now.monotonic_ms;
        let Some(catalog) = ctx.catalog.clone() else { return };
        let boot_s = catalog.machine_types.iter().map(|f| f.boot_s).fold(0.0, f64::max);
        // Room free or on its way: what is booting, and what a hire under way will bring.
        struct Space {
            machine_type: String,
            zone: String,
            spot: bool,
            free: Resources,
            machine: Option<Id>,
        }
        let mut needed: Vec<Id> = Vec::new();
        let mut spaces: Vec<Space> = Vec::new();
        for m in self.fleet.machines.values() {
            // What boots in a zone that is cut off is of no use before that is over.
            let coming = m.agent.last_heard.is_none()
                && !m.lifecycle.scale_in_wanted
                && !self.fleet.reachability.is_partitioned(&m.zone);
            let free = m.free();
            if free.cores > 0 && free.memory > 0 && (coming || m.is_schedulable(now, &ctx.settings)) {
                let (machine_type, zone) = (m.machine_type.clone(), m.zone.clone());
                spaces.push(Space { machine_type, zone, spot: m.spot, free, machine: Some(m.id.clone()) });
            }
        }
        for h in self.autoscaler.scale_outs.values().filter(|h| h.answer.is_none()) {
            let Some(f) = catalog.machine_type(&h.request.machine_type) else { continue };
            for _ in 0..h.request.count {
                let (machine_type, zone) = (h.request.machine_type.clone(), h.request.zone.clone());
                spaces.push(Space { machine_type, zone, spot: h.request.spot, free: f.resources(), machine: None });
            }
        }
        // The fullest first, so that a machine that is not needed stays empty and goes back.
        spaces.retain(|s| s.free.cores > 0 && s.free.memory > 0);
        spaces.sort_by_key(|s| s.free.cores);
        let mut wanted: Vec<(ScaleOutRequest, Resources)> = Vec::new();
        let mut team_used = self.scheduler.usage().by_team().clone();
        let calls = (ctx.settings.cloud_rps * ctx.tuning.autoscaler_interval_s * ctx.tuning.scale_out_request_share)
            .max(1.0) as u32;
        let mut budget = calls * MAX_MACHINES_PER_SCALE_OUT;
        let mut there: BTreeMap<(String, bool), u32> = BTreeMap::new();
        for m in self.fleet.machines.values() {
            *there.entry((m.zone.clone(), m.spot)).or_default() += 1;
        }
        // What arrived within a while is expected to arrive again: room for it is kept, so that work
        // does not wait for machines to boot. Real demand goes first.
        let window = boot_s * ctx.tuning.reserve_boot_times * 1000.0;
        self.autoscaler.arrivals.retain(|(at, _)| now.saturating_sub(*at) as f64 <= window);
        let mut room_for: BTreeMap<(Resources, i64), i64> = BTreeMap::new();
        let real = self.jobs.values().filter(|j| !j.cancelled && j.scheduling.not_before <= now && j.waiting() > 0);
        let real = real.filter(|j| self.wants_scale_out(ctx, j, boot_s, &mut room_for)).collect::<Vec<_>>();
        let ghosts = self.autoscaler.arrivals.iter().map(|(_, j)| j);
        let demand: Vec<&Job> = real.into_iter().chain(ghosts).collect();
        // Spaces are used up from the first on: those that hold not even the smallest task are not looked at again.
        let smallest = demand.iter().map(|job| job.need.cores).min().unwrap_or(0);
        let mut used_up = 0;
        ctx.work.round();
        ctx.work.spaces_examined(self.fleet.machines.len());
        for job in demand {
            let Some(team) = ctx.settings.teams.get(&job.spec.team) else { continue };
            let used = team_used.entry(job.spec.team.clone()).or_default();
            let mut left = job.waiting().min(team.max_tasks(used, &job.need));
            let mut zones: BTreeMap<String, u32> = BTreeMap::new();
            while spaces.get(used_up).is_some_and(|s| s.free.cores < smallest) {
                used_up += 1;
            }
            for s in &mut spaces[used_up..] {
                ctx.work.spaces_examined(1);
                if left == 0 {
                    break;
                }
                let fits = s.free.fits(&job.need)
                    && allows(job, MachineKind { machine_type: &s.machine_type, zone: &s.zone, spot: s.spot });
                if !fits {
                    continue;
                }
                let mut n = s.free.times(&job.need, i64::from(left)) as u32;
                if job.spec.spread_zones || job.spec.single_zone {
                    let taken = zones.get(s.zone.as_str()).copied().unwrap_or(0);
                    n = n.min(zone_headroom(job, &s.zone).saturating_sub(taken));
                    let elsewhere = zones.iter().any(|(z, n)| *n > 0 && *z != s.zone);
                    if n == 0 || job.spec.single_zone && elsewhere {
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
                let Some((machine_type, zone, spot)) = self.cheapest_offer(ctx, job, &catalog, &there) else { break };
                let resources = catalog.machine_type(&machine_type).map(|f| f.resources()).unwrap_or_default();
                let n = (resources.times(&job.need, i64::from(left)) as u32).min(zone_headroom(job, &zone)).max(1);
                let mut free = resources;
                free.add(&job.need, -i64::from(n));
                spaces.push(Space {
                    machine_type: machine_type.clone(),
                    zone: zone.clone(),
                    spot,
                    free,
                    machine: None,
                });
                used.add(&job.need, i64::from(n));
                left = left.saturating_sub(n);
                budget -= 1;
                *there.entry((zone.clone(), spot)).or_default() += 1;
                let same = |h: &ScaleOutRequest| h.machine_type == machine_type && h.zone == zone && h.spot == spot;
                let many = wanted.len() as u32 >= calls.max(3);
                match wanted.iter_mut().find(|(h, _)| same(h) && h.count < MAX_MACHINES_PER_SCALE_OUT) {
                    Some((h, _)) => h.count += 1,
                    None if many => break,
                    None => wanted.push((
                        ScaleOutRequest { request: String::new(), machine_type, zone, spot, count: 1 },
                        resources,
                    )),
                }
            }
        }
        for id in needed {
            if let Some(m) = self.fleet.machines.get_mut(&id) {
                m.lifecycle.needed_at = now;
            }
        }
        for (mut request, _) in wanted {
            self.autoscaler.scale_out_count += 1;
            request.request = format!("{}-{}-{}", ctx.settings.node_name, self.epoch, self.autoscaler.scale_out_count);
            let state = ScaleOutState {
                request,
                version: Revision::ABSENT,
                writing: false,
                asking: false,
                retry_at: 0,
                answer: None,
            };
            self.autoscaler.scale_outs.insert(state.request.request.clone(), state);
        }
    }

    /// The cheapest type, kind and zone for a job's task that was not refused lately; among equal
    /// prices the zone with the fewest rented machines, so that one wave takes little.
    fn cheapest_offer(
        &self,
        ctx: &Context,
        job: &Job,
        catalog: &shaleshunt_wire::cloud::Catalog,
        there: &BTreeMap<(String, bool), u32>,
    ) -> Option<Place> {
        let mut best: Option<((i64, u32), Place)> = None;
        for f in catalog.machine_types.iter().filter(|f| f.resources().fits(&job.need)) {
            for zone in f.zones.iter().filter(|h| !self.fleet.reachability.is_partitioned(h)) {
                for spot in [true, false] {
                    let place = (f.name.clone(), zone.clone(), spot);
                    let refused =
                        self.autoscaler.unavailable_offers.get(&place).is_some_and(|r| r.0 > ctx.now.monotonic_ms);
                    if refused
                        || !allows(job, MachineKind { machine_type: &f.name, zone, spot })
                        || zone_headroom(job, zone) == 0
                    {
                        continue;
                    }
                    let price = if spot && f.spot_price > 0.0 { f.spot_price } else { f.price };
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
    fn scale_in(&mut self, ctx: &mut Context) {
        let now = ctx.now.monotonic_ms;
        let set = ctx.settings.clone();
        let silence = (set.heartbeat_interval_s * ctx.tuning.missed_heartbeats * 1000.0) as u64;
        let mut names: Vec<Id> = Vec::new();
        for m in self.fleet.machines.values_mut() {
            if m.lifecycle.scale_in_requested {
                continue;
            }
            let boot_s =
                ctx.catalog.as_ref().and_then(|c| c.machine_type(&m.machine_type)).map_or(set.lease_s, |f| f.boot_s);
            let age = ctx.now.wall_ms.saturating_sub(m.rented_at) as f64 / 1000.0;
            let here = now.saturating_sub(self.elected_at);
            match m.agent.last_heard {
                None if m.owned => {}
                None if m.agent.epoch > AgentEpoch::NONE => m.lifecycle.scale_in_wanted |= here > silence * 2,
                None => {
                    m.lifecycle.scale_in_wanted |=
                        age > boot_s * NEVER_BOOTS + set.heartbeat_interval_s && here > silence * 2
                }
                Some(h) if !m.owned => {
                    let quiet = now.saturating_sub(h);
                    let kept = m.agent.partitioned && ctx.peer_lease_reports.values().any(|k| k.zone == m.zone);
                    m.lifecycle.scale_in_wanted |= if kept {
                        // The controller there keeps its leases for a term: what it runs goes on,
                        // and is better waited for unless it has a deadline.
                        let hurry =
                            m.placements.iter().any(|p| self.jobs.get(&p.job).is_some_and(|j| j.deadline().is_some()));
                        quiet
                            > if hurry {
                                silence * 2 / 3
                            } else {
                                set.lease_renewal_window_ms() + set.lease_expiry_ms()
                            }
                    } else {
                        let asked = m.agent.unacknowledged_commands > 0 && self.fleet.reachability.few_overdue();
                        quiet > if asked { silence / 2 } else { silence }
                    };
                    m.lifecycle.scale_in_wanted |= m.placements.is_empty()
                        && (m.lifecycle.preempted_at.is_some()
                            || now.saturating_sub(m.lifecycle.idle_since.max(m.lifecycle.needed_at)) as f64
                                > ctx.tuning.idle_before_scale_in_s * 1000.0);
                }
                Some(_) => {}
            }
            if m.lifecycle.scale_in_wanted && names.len() < MAX_MACHINES_PER_SCALE_IN {
                m.lifecycle.scale_in_requested = true;
                names.push(m.id.clone());
            }
        }
        if !names.is_empty() {
            let wait = self.wait(LeaderRequest::ScaleIn(names.clone()));
            let request = CloudRequest::ScaleIn(names.iter().map(|n| n.to_string()).collect());
            ctx.send_cloud(request, wait);
        }
    }
}
