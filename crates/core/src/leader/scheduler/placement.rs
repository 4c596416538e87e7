//! Which machine a task goes to, for the jobs in the order of the queue.

use crate::controller::Context;
use crate::leader::Leader;
use crate::model::*;
use crate::settings::ServiceObjective;
use shaleshunt_wire::user::Priority;
use shaleshunt_wire::{Attempt, Resources};
use std::collections::{BTreeMap, BTreeSet};

/// Most tasks stopped for others in one pass.
const PREEMPTIONS: u32 = 8;

/// How well a machine suits a job's next task, smallest first.
#[derive(Debug, Clone, Copy)]
struct Fit {
    sick: bool,
    /// Kind of machine and whether it holds the image, the more important first.
    preference: (u8, u8),
    rented: bool,
    /// CPUs left, so that the fullest comes first; negative where the emptiest is to.
    free: i64,
}

/// What decides, zone rules aside, which machines a task may use.
#[derive(Debug)]
struct Demand {
    need: Resources,
    spot: bool,
    zone: Option<String>,
    machine_types: Option<Vec<String>>,
    service: bool,
}

impl Demand {
    fn of(job: &Job) -> Demand {
        Demand {
            need: job.need,
            spot: job.spec.spot,
            zone: job.spec.zone.clone(),
            machine_types: job.spec.machine_types.clone(),
            service: job.is_service(),
        }
    }

    /// Whether no machine has room for a task of `job` if none has for this: it needs as much or more,
    /// of machines that this may use too.
    fn includes(&self, job: &Job) -> bool {
        let spec = &job.spec;
        job.need.fits(&self.need)
            && (self.spot || !spec.spot)
            && (self.service || !job.is_service())
            && (self.zone.is_none() || self.zone == spec.zone)
            && (self.machine_types.is_none() || self.machine_types == spec.machine_types)
    }
}

/// Where machines are looked for.
#[derive(Debug, Clone, Copy)]
struct Search<'a> {
    /// The only zone, if there is one.
    zone: Option<&'a str>,
    /// So many suitable machines are enough; the fullest are taken first, or the emptiest for work that may
    /// have to make room.
    most_seats: usize,
}

impl Leader {
    /// Estimated run time of a job's task: the owner's, corrected by what its class did.
    pub(crate) fn estimate(&self, job: &Job) -> f64 {
        let l = self.scheduler.runtimes_by_class.get(&job.spec.class).copied().unwrap_or_default();
        // The owner's word counts as much as ten tasks' worth of what was seen.
        let weight = job.spec.estimated_run_s * 10.0;
        let bias = if weight > 0.0 { (l.actual + weight) / (l.expected + weight) } else { 1.0 };
        job.spec.estimated_run_s * bias.clamp(0.3, 3.0)
    }

    /// Time that fetching a job's image takes on a machine of the type it may use.
    pub(crate) fn image_fetch_s(&self, ctx: &Context, job: &Job) -> f64 {
        let rate = ctx
            .catalog
            .iter()
            .flat_map(|c| &c.machine_types)
            .map(|f| f.fetch_gb_per_s)
            .filter(|r| *r > 0.0)
            .fold(f64::INFINITY, f64::min);
        if rate.is_finite() { job.spec.image_gb / rate } else { 0.0 }
    }

    /// Whether a job's class is to start more quickly than its image can be fetched.
    fn hasty(&self, ctx: &Context, job: &Job) -> bool {
        let quick = ctx.settings.objectives.get(&job.spec.class).and_then(ServiceObjective::start);
        quick.is_some_and(|s| s < self.image_fetch_s(ctx, job))
    }

    /// Whether a job's rules allow this machine, room and zone balance aside.
    pub(crate) fn allows(job: &Job, machine_type: &str, zone: &str, spot: bool) -> bool {
        let s = &job.spec;
        (s.spot || !spot)
            && s.machine_types.as_ref().is_none_or(|f| f.iter().any(|n| n == machine_type))
            && s.zone.as_ref().is_none_or(|h| h == zone)
    }

    /// Whether a further task of the job may be in this zone, given its other tasks.
    pub(crate) fn zone_fits(job: &Job, zone: &str) -> bool {
        Self::zone_room(job, zone) > 0
    }

    /// How many further tasks of the job may be in this zone. Those of which the zone is not known
    /// yet count everywhere.
    pub(crate) fn zone_room(job: &Job, zone: &str) -> u32 {
        let at = |z: &str| job.tasks.by_zone.get(z).copied().unwrap_or(0);
        if job.spec.single_zone && job.tasks.by_zone.iter().any(|(z, &n)| n > 0 && z != zone) {
            return 0;
        }
        job.zone_cap().saturating_sub(at(zone)).saturating_sub(at(""))
    }

    /// How many further tasks of the job its team's limit allows.
    fn team_room(&self, ctx: &Context, job: &Job) -> u32 {
        let Some(team) = ctx.settings.teams.get(&job.spec.team) else { return 0 };
        let used = self.scheduler.usage_by_team.get(&job.spec.team).copied().unwrap_or_default();
        team.max_tasks(&used, &job.need)
    }

    /// Places what can be placed.
    pub(crate) fn schedule(&mut self, ctx: &mut Context) {
        ctx.work.pass();
        let started = ctx.work.done().machines_examined;
        self.offload(ctx);
        let now = ctx.now.monotonic_ms;
        let queue = self.queue(ctx);
        // What found no room once finds none again in this pass.
        let mut full: Vec<Demand> = Vec::new();
        let mut stops = PREEMPTIONS;
        for id in queue {
            let Some(job) = self.jobs.get(&id) else { continue };
            if job.is_gang() {
                self.place_gang(ctx, &id);
                continue;
            }
            let mut most = job.waiting().min(self.team_room(ctx, job));
            // A job that has only failed is tried with one task at a time, and so is one that waited
            // for very long: others go on behind it.
            let only_failed = job.failures.count >= 3 && job.tasks.done_count == 0 && !job.is_service();
            if only_failed {
                most = most.min(u32::from(job.tasks.placements.is_empty()));
            }
            if most == 0 {
                continue;
            }
            let known_full = full.iter().any(|demand| demand.includes(job));
            let examined = ctx.work.done().machines_examined - started;
            let search = Search { zone: None, most_seats: self.most_seats(ctx, examined, most) };
            let seats = if known_full { Vec::new() } else { self.seats(ctx, job, most, search) };
            let free_choice = !job.spec.single_zone && !job.spec.spread_zones;
            // A job that keeps off machines where it failed says nothing about those.
            let unrestricted = free_choice && job.failures.machines.is_empty();
            if !known_full && unrestricted && (seats.len() as u32) < most {
                full.push(Demand::of(job));
            }
            let (hasty, image) = (self.hasty(ctx, job), job.image);
            let due = self.scheduler.guaranteed.contains(&id);
            let may_stop = due || job.scheduling.priority > Priority::Normal;
            let attempt = self.next_attempt();
            let mut seats = seats.into_iter();
            let mut from = 0;
            for _ in 0..most {
                let Some(task) = self.jobs.get(&id).and_then(|j| j.next_free(from)) else { break };
                // Room made elsewhere may have taken what a zone could still have.
                let fits = |l: &Id| {
                    let zone = self.fleet.machines.get(l).map(|m| m.zone.as_str());
                    self.jobs.get(&id).zip(zone).is_some_and(|(j, h)| Self::zone_fits(j, h))
                };
                let mut machine = seats.find(fits);
                // Room without the image is as good as none where starts are to be quicker than a fetch.
                let fetches = |m: &Machine| !m.images.contains(image);
                let poor = hasty && machine.as_ref().and_then(|l| self.fleet.machines.get(l)).is_some_and(fetches);
                if (machine.is_none() || poor) && stops > 0 && may_stop {
                    // Whether there is something to stop or not: looking takes its time.
                    stops -= 1;
                    let made = self.preempt(ctx, &id, poor);
                    machine = made.or(machine);
                }
                let Some(machine) = machine else { break };
                from = task + 1;
                self.plan(now, &id, task, &machine, attempt);
            }
        }
    }

    /// How many suitable machines a job may be given to choose from. All, until a pass has examined as many
    /// as it may; then a sample, so that a pass ends in time however large fleet and queue are.
    fn most_seats(&self, ctx: &Context, examined: u64, tasks: u32) -> usize {
        if (examined as f64) < ctx.tuning.pass_machines {
            return usize::MAX;
        }
        (ctx.tuning.sample as usize).max(tasks as usize)
    }

    /// Puts a plan for a task on a machine; nothing leaves before it is committed.
    fn plan(&mut self, now: u64, id: &Id, task: u32, machine: &Id, attempt: Attempt) -> u64 {
        let placement_id = self.next_placement_id();
        let Some(agent_epoch) = self.fleet.machines.get(machine).map(|m| m.agent.epoch) else { return placement_id };
        if let Some(job) = self.jobs.get_mut(id) {
            job.tasks.first_free_hint = job.tasks.first_free_hint.max(task);
            let p = Placement {
                job: id.clone(),
                task,
                attempt,
                agent_epoch,
                placement_id,
                need: job.need,
                image: job.image,
                stage: PlacementState::Planned,
                sent: false,
                since: now,
                running: None,
                stop_grace_s: None,
            };
            self.add_placement(machine, p);
            self.record_change(now, id, task, true);
        }
        placement_id
    }

    /// A gang moves as one entry: all its waiting tasks find room, or none is placed. With
    /// `oneZone` each zone is tried.
    fn place_gang(&mut self, ctx: &mut Context, id: &Id) {
        let now = ctx.now.monotonic_ms;
        // Its tasks share an attempt, by which they find each other; so a gang that lost a task
        // starts anew when all have ended.
        let Some(job) = self.jobs.get(id).filter(|j| j.tasks.placements.is_empty()) else { return };
        let most = job.waiting();
        if self.team_room(ctx, job) < most {
            return;
        }
        let zones: Vec<Option<String>> = if job.spec.single_zone && job.spec.zone.is_none() {
            let zones: BTreeSet<String> = self.fleet.machines.values().map(|m| m.zone.clone()).collect();
            zones.into_iter().map(Some).collect()
        } else {
            vec![None]
        };
        for zone in zones {
            let Some(job) = self.jobs.get(id) else { return };
            let search = Search { zone: zone.as_deref(), most_seats: usize::MAX };
            let seats = self.seats(ctx, job, most, search);
            if (seats.len() as u32) < most {
                continue;
            }
            let attempt = self.next_attempt();
            let mut from = 0;
            for machine in seats {
                let Some(task) = self.jobs.get(id).and_then(|j| j.next_free(from)) else { return };
                from = task + 1;
                self.plan(now, id, task, &machine, attempt);
            }
            return;
        }
    }

    /// Machines for up to `most` further tasks of a job, one entry a task, best first: one that holds
    /// the image, one that does not have to be rented, the fullest that still has room. Replicas
    /// keep apart. One look at the machines serves all the job's tasks.
    fn seats(&self, ctx: &Context, job: &Job, most: u32, search: Search) -> Vec<Id> {
        let zone = search.zone;
        struct Seat<'a> {
            fit: Fit,
            machine: &'a Machine,
            times: u32,
            mates: usize,
        }
        let now = ctx.now.monotonic_ms;
        let cap = shaleshunt_wire::MAX_BODY / 128;
        let apart = job.is_service() || job.spec.spread_zones;
        let hasty = self.hasty(ctx, job);
        let spot =
            job.spec.spot && (job.scheduling.offloaded || self.estimate(job) < self.scheduler.spot_estimate_limit);
        // What more urgent work may stop is spread out, so that such work finds room beside it on a
        // machine that holds its image.
        let yielding = job.scheduling.priority <= Priority::Normal && !hasty && !job.is_gang();
        let mut seats: Vec<Seat> = Vec::new();
        let cores = job.need.cores;
        let machines: Box<dyn Iterator<Item = &Machine>> = match (search.most_seats < usize::MAX, yielding) {
            (false, _) => self.fleet.machines.with_cores(cores),
            (true, true) => Box::new(self.fleet.machines.emptiest_first(cores)),
            (true, false) => Box::new(self.fleet.machines.fullest_first(cores)),
        };
        let mut examined = 0;
        for m in machines {
            if seats.len() >= search.most_seats {
                break;
            }
            examined += 1;
            if !m.free().fits(&job.need) || !m.is_schedulable(now, &ctx.settings) || m.placements.len() >= cap {
                continue;
            }
            if !Self::allows(job, &m.machine_type, &m.zone, m.spot)
                || job.failures.machines.len() < 3 && job.failures.machines.contains(&m.id)
                || m.health.quarantine_count > 0 && !m.placements.is_empty()
                || m.health.slow_until > now && !job.is_service()
                || zone.is_some_and(|z| z != m.zone)
                || Self::zone_room(job, &m.zone) == 0
            {
                continue;
            }
            let coming = || m.placements.iter().any(|p| p.running.is_none() && p.image == job.image);
            let image = if m.images.contains(job.image) {
                0
            } else if coming() {
                1
            } else {
                2
            };
            // What is sent out goes to rented machines, and so does what is short; the rest keeps off
            // those that may be taken.
            let kind = u8::from(m.spot != spot);
            let preference = if hasty { (image, kind) } else { (kind, u8::from(image > 0)) };
            let times =
                if m.health.quarantine_count > 0 { 1 } else { m.free().times(&job.need, i64::from(most)) as u32 };
            let times = times.min((cap - m.placements.len()) as u32);
            let mates = if apart { m.placements.iter().filter(|p| p.job == job.id).count() } else { 0 };
            let free = if yielding { -m.free().cores } else { m.free().cores };
            seats.push(Seat {
                fit: Fit { sick: m.health.quarantine_count > 0, preference, rented: !m.owned, free },
                machine: m,
                times,
                mates,
            });
        }
        ctx.work.examined(examined);
        let mut found = Vec::new();
        if apart {
            // Zones and machines are looked at anew for each task.
            let mut zones: BTreeMap<&str, u32> = BTreeMap::new();
            for s in &seats {
                let there = job.tasks.by_zone.get(&s.machine.zone).copied().unwrap_or(0);
                zones.entry(&s.machine.zone).or_insert(there);
            }
            while (found.len() as u32) < most {
                let caps = |zone: &str| {
                    let more = zones[zone] - job.tasks.by_zone.get(zone).copied().unwrap_or(0);
                    more < Self::zone_room(job, zone)
                };
                let best = seats.iter_mut().filter(|s| s.times > 0 && caps(&s.machine.zone)).min_by_key(|s| {
                    let Fit { sick, preference, rented, free } = s.fit;
                    (sick, preference, s.mates, zones[s.machine.zone.as_str()], rented, free)
                });
                let Some(s) = best else { break };
                s.times -= 1;
                s.mates += 1;
                *zones.entry(&s.machine.zone).or_default() += 1;
                found.push(s.machine.id.clone());
            }
            return found;
        }
        if job.spec.single_zone && zone.is_none() {
            // The zone with most room for it, unless some of it is somewhere already.
            let mut resources: BTreeMap<&str, u32> = BTreeMap::new();
            for s in &seats {
                *resources.entry(&s.machine.zone).or_default() += s.times;
            }
            let best = resources.into_iter().max_by_key(|(_, n)| *n).map(|(z, _)| z.to_string());
            seats.retain(|s| Some(&s.machine.zone) == best.as_ref());
        }
        // A job is done when its last task is: kept together, fewer jobs lose something to a zone's
        // cut. Where it has tasks already, else where most of it finds room.
        let mut zones: BTreeMap<&str, (u32, u32)> = BTreeMap::new();
        for s in &seats {
            let there = job.tasks.by_zone.get(&s.machine.zone).copied().unwrap_or(0);
            let resources = zones.entry(&s.machine.zone).or_insert((there, 0));
            resources.1 += s.times;
        }
        let home = zones.into_iter().max_by_key(|(_, rank)| *rank).map(|(z, _)| z);
        seats.sort_by_key(|s| {
            let Fit { sick, preference, rented, free } = s.fit;
            (sick, preference, Some(s.machine.zone.as_str()) != home, rented, free)
        });
        for s in seats {
            let left = most - found.len() as u32;
            if left == 0 {
                break;
            }
            found.extend((0..s.times.min(left)).map(|_| s.machine.id.clone()));
        }
        found
    }
}
