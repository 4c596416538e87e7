//! Which task goes where.
//!
//! A stage is a class of jobs: these jobs have one stage each, so the paper's remaining path is
//! the task itself with the fetch of its image. A stage's queue holds deadline jobs, shortest
//! estimate first; jobs without a deadline follow by age.

use crate::io::*;
use crate::leader::Leader;
use crate::model::*;
use crate::node::Ctx;
use crate::settings::Aim;
use shaleshunt_wire::Room;
use shaleshunt_wire::user::Urgency;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use std::ops::Bound;

/// Most tasks stopped for others in one pass.
const PREEMPTIONS: u32 = 8;

/// A job's place in the queue, smallest first.
type Rank = (bool, Reverse<Urgency>, bool, bool, u8, bool, u64, u64);

/// How well a machine suits a job's next task, smallest first.
type Fit = (bool, (u8, u8), bool, i64);

/// What decides, zone rules aside, which machines a task may use.
#[derive(Debug)]
struct Demand {
    need: Room,
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
            machine_types: job.spec.frames.clone(),
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
            && (self.machine_types.is_none() || self.machine_types == spec.frames)
    }
}

impl Leader {
    /// Estimated run time of a job's task: the owner's, corrected by what its class did.
    pub(crate) fn estimate(&self, job: &Job) -> f64 {
        let l = self.learned.get(&job.spec.class).copied().unwrap_or_default();
        // The owner's word counts as much as ten tasks' worth of what was seen.
        let weight = job.spec.expect_s * 10.0;
        let bias = if weight > 0.0 { (l.actual + weight) / (l.expected + weight) } else { 1.0 };
        job.spec.expect_s * bias.clamp(0.3, 3.0)
    }

    /// Time that fetching a job's image takes on a machine of the type it may use.
    pub(crate) fn fetch_s(&self, ctx: &Ctx, job: &Job) -> f64 {
        let rate = ctx
            .catalog
            .iter()
            .flat_map(|c| &c.frames)
            .map(|f| f.fetch_gb_per_s)
            .filter(|r| *r > 0.0)
            .fold(f64::INFINITY, f64::min);
        if rate.is_finite() { job.spec.image_gb / rate } else { 0.0 }
    }

    /// Whether a job's class is to start more quickly than its image can be fetched.
    fn hasty(&self, ctx: &Ctx, job: &Job) -> bool {
        let quick = ctx.set.aims.get(&job.spec.class).and_then(Aim::start);
        quick.is_some_and(|s| s < self.fetch_s(ctx, job))
    }

    /// Whether a job's rules allow this machine, room and zone balance aside.
    pub(crate) fn allows(job: &Job, frame: &str, zone: &str, spot: bool) -> bool {
        let s = &job.spec;
        (s.spot || !spot)
            && s.frames.as_ref().is_none_or(|f| f.iter().any(|n| n == frame))
            && s.zone.as_ref().is_none_or(|h| h == zone)
    }

    /// Whether a further task of the job may be in this zone, given its other tasks.
    pub(crate) fn zone_fits(job: &Job, zone: &str) -> bool {
        Self::zone_room(job, zone) > 0
    }

    /// How many further tasks of the job may be in this zone. Those of which the zone is not known
    /// yet count everywhere.
    pub(crate) fn zone_room(job: &Job, zone: &str) -> u32 {
        let at = |z: &str| job.zones.get(z).copied().unwrap_or(0);
        if job.spec.one_zone && job.zones.iter().any(|(z, &n)| n > 0 && z != zone) {
            return 0;
        }
        job.zone_cap().saturating_sub(at(zone)).saturating_sub(at(""))
    }

    /// How many further tasks of the job its team's limit allows.
    fn team_room(&self, ctx: &Ctx, job: &Job) -> u32 {
        let Some(team) = ctx.set.teams.get(&job.spec.team) else { return 0 };
        let used = self.teams.get(&job.spec.team).copied().unwrap_or_default();
        team.room(&used, &job.need)
    }

    /// Jobs with tasks to place, in order: by urgency, in it the stages' deadline queues shortest
    /// first, then the others by age. What can no longer meet its aim goes behind what can, but for
    /// a while only: a job of which nothing has begun for long goes first.
    fn queue(&mut self, ctx: &Ctx) -> Vec<Id> {
        let now = ctx.now.mono;
        if self.ranks_old || now >= self.ranks_at {
            self.ranks_old = false;
            self.ranks_at = now + (ctx.tune.round_s * 1000.0) as u64;
            self.pass_back(ctx);
            self.guaranteed = self.guaranteed(ctx);
            self.behind = self.yielding(ctx);
            self.spot_below = self.spot_below(ctx);
        }
        let begin = ctx.tune.begin_s * 1000.0;
        let mut list: Vec<(Rank, &Id)> = self
            .jobs
            .values()
            .filter(|j| !j.aborted && !j.stale && j.waiting() > 0 && now >= j.not_before)
            .map(|j| {
                let plain = j.due().is_none();
                let estimate = if plain { 0 } else { (self.estimate(j) * 1000.0) as u64 };
                let group = self.behind.get(&j.id).copied().unwrap_or(0);
                let age = if j.begun { 0.0 } else { ctx.now.wall.saturating_sub(j.ready_at) as f64 };
                let first = age > begin * 0.75 && j.placed == 0;
                let aged = age > begin * 0.5;
                let due = self.guaranteed.contains(&j.id);
                ((!first, Reverse(j.urgency), !aged, !due, group, plain, estimate, j.ready_at), &j.id)
            })
            .collect();
        list.sort();
        list.into_iter().map(|(_, id)| id.clone()).collect()
    }

    /// The estimate below which tasks that may go to spot machines go there first: what is longer
    /// fills the machines that cannot be taken away, where a task that would lose most is safe.
    fn spot_below(&self, ctx: &Ctx) -> f64 {
        let now = ctx.now.mono;
        let safe = self.machines.values().filter(|m| !m.spot && m.answers(now, &ctx.set));
        let mut left: i64 = safe.map(|m| m.room.cores).sum();
        let mut may_move = Vec::new();
        for j in self.jobs.values().filter(|j| !j.aborted && !j.awaits()) {
            let cores = j.need.cores * i64::from(j.spec.tasks - j.done_count.min(j.spec.tasks));
            if j.spec.spot && !j.sent_out {
                may_move.push((self.estimate(j), cores));
            } else if !j.spec.spot {
                left -= cores;
            }
        }
        may_move.sort_by(|a, b| b.0.total_cmp(&a.0));
        for (estimate, cores) in may_move {
            left -= cores;
            if left < 0 {
                return estimate;
            }
        }
        0.0
    }

    /// For each stage of jobs without deadlines, which of them yield.
    fn yielding(&self, ctx: &Ctx) -> BTreeMap<Id, u8> {
        let now = ctx.now.mono;
        let mut stages: BTreeMap<&str, Vec<&Job>> = BTreeMap::new();
        let open = |j: &&Job| !j.aborted && !j.stale && now >= j.not_before && j.waiting() > 0;
        for j in self.jobs.values().filter(open).filter(|j| !j.is_service() && j.due().is_none()) {
            stages.entry(&j.spec.class).or_default().push(j);
        }
        let mut behind: BTreeMap<&Id, u8> = BTreeMap::new();
        for (stage, jobs) in stages {
            self.yields(ctx, stage, jobs, &mut behind);
        }
        behind.into_iter().map(|(id, level)| (id.clone(), level)).collect()
    }

    /// Jobs that fit into their team's guarantee together with its earlier unfinished jobs.
    fn guaranteed(&self, ctx: &Ctx) -> BTreeSet<Id> {
        let mut by_age: Vec<&Job> = self.jobs.values().filter(|j| !j.aborted && !j.awaits()).collect();
        by_age.sort_by_key(|j| (j.ready_at, &j.id));
        let mut sums: BTreeMap<&str, Room> = BTreeMap::new();
        let mut fits = BTreeSet::new();
        for j in by_age {
            let Some(team) = ctx.set.teams.get(&j.spec.team) else { continue };
            let sum = sums.entry(&j.spec.team).or_default();
            sum.add(&j.need, i64::from(j.spec.tasks));
            if team.guarantees(sum) {
                fits.insert(j.id.clone());
            }
        }
        fits
    }

    /// Under overload, which of a stage's jobs yield to others: taken by the time at which each must
    /// be done, whenever the work so far does not fit before that, the job with the most work goes
    /// behind (Moore's rule, which leaves the fewest jobs late). What yields counts with its next
    /// aim. With room for all nothing yields, and the order is the design's.
    fn yields<'a>(&'a self, ctx: &Ctx, stage: &str, jobs: Vec<&'a Job>, behind: &mut BTreeMap<&'a Id, u8>) {
        let Some(aim) = ctx.set.aims.get(stage) else { return };
        let Some(first) = jobs.first() else { return };
        let slots = self.all_slots(ctx, stage, first).max(1) as f64;
        let mut left = jobs;
        // Work of jobs that do not yield to those of a later level.
        let mut before = 0.0;
        for level in 0..=aim.start_s.len() as u8 {
            // Time left for a job's work, by the aim of this level.
            let time = |j: &Job| {
                let nth = |list: &[f64]| {
                    let mut list = list.to_vec();
                    list.sort_by(f64::total_cmp);
                    list.get(usize::from(level)).copied()
                };
                let age = (ctx.now.wall as f64 - j.ready_at as f64) / 1000.0;
                let estimate = self.estimate(j);
                // An aim on starts leaves the last task's own run time on top. One that is shorter
                // than a fetch or a round says nothing about the order.
                let start = nth(&aim.start_s).filter(|s| *s > ctx.set.report_s * 3.0).map(|s| s + estimate);
                start.map(|t| t - age)
            };
            let mut order: Vec<(f64, &Job)> = left.iter().filter_map(|j| time(j).map(|t| (t, *j))).collect();
            if order.is_empty() {
                break;
            }
            order.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.id.cmp(&b.1.id)));
            let mut kept: BinaryHeap<(u64, &Id)> = BinaryHeap::new();
            let mut total = before;
            let mut late: Vec<&Job> = Vec::new();
            for (t, j) in order {
                let estimate = self.estimate(j);
                let work = estimate * f64::from(j.waiting()) / slots;
                if t < estimate {
                    late.push(j);
                    continue;
                }
                kept.push(((work * 1000.0) as u64, &j.id));
                total += work;
                // The last task starts when the work before it is under way and ends an estimate later.
                if total > t - estimate * 0.5
                    && total > t - work.min(estimate)
                    && let Some((work, id)) = kept.pop()
                {
                    total -= work as f64 / 1000.0;
                    late.extend(self.jobs.get(id));
                }
            }
            for j in &late {
                behind.insert(&j.id, level + 1);
            }
            before = total;
            left = late;
        }
    }

    /// A stage's slots on all machines that its jobs may use.
    fn all_slots(&self, ctx: &Ctx, stage: &str, job: &Job) -> i64 {
        let free: i64 = self
            .machines
            .values()
            .filter(|m| m.usable(ctx.now.mono, &ctx.set) && Self::allows(job, &m.frame, &m.zone, m.spot))
            .map(|m| m.free().times(&job.need, 100_000))
            .sum();
        free + self.held.get(stage).map_or(0, |h| h.all)
    }

    /// Places what can be placed.
    pub(crate) fn schedule(&mut self, ctx: &mut Ctx) {
        ctx.work.passes += 1;
        self.send_out(ctx);
        let now = ctx.now.mono;
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
            let only_failed = job.failures >= 3 && job.done_count == 0 && !job.is_service();
            if only_failed {
                most = most.min(u32::from(job.live.is_empty()));
            }
            if most == 0 {
                continue;
            }
            let known_full = full.iter().any(|demand| demand.includes(job));
            let seats = if known_full { Vec::new() } else { self.seats(ctx, job, most, None) };
            if !known_full {
                ctx.work.machines_examined += self.machines.len() as u64;
            }
            let free_choice = !job.spec.one_zone && !job.spec.scatter;
            // A job that keeps off machines where it failed says nothing about those.
            let unrestricted = free_choice && job.failed_on.is_empty();
            if !known_full && unrestricted && (seats.len() as u32) < most {
                full.push(Demand::of(job));
            }
            let (hasty, image) = (self.hasty(ctx, job), job.image);
            let due = self.guaranteed.contains(&id);
            let may_stop = due || job.urgency > Urgency::Normal;
            let attempt = self.next_attempt();
            let mut seats = seats.into_iter();
            let mut from = 0;
            for _ in 0..most {
                let Some(task) = self.jobs.get(&id).and_then(|j| j.next_free(from)) else { break };
                // Room made elsewhere may have taken what a zone could still have.
                let fits = |l: &Id| {
                    let zone = self.machines.get(l).map(|m| m.zone.as_str());
                    self.jobs.get(&id).zip(zone).is_some_and(|(j, h)| Self::zone_fits(j, h))
                };
                let mut machine = seats.find(fits);
                // Room without the image is as good as none where starts are to be quicker than a fetch.
                let fetches = |m: &Machine| !m.has_image(image);
                let poor = hasty && machine.as_ref().and_then(|l| self.machines.get(l)).is_some_and(fetches);
                if (machine.is_none() || poor) && stops > 0 && may_stop {
                    // Whether there is something to stop or not: looking takes its time.
                    stops -= 1;
                    let made = self.make_room(ctx, &id, poor);
                    machine = made.or(machine);
                }
                let Some(machine) = machine else { break };
                from = task + 1;
                self.plan(now, &id, task, &machine, attempt);
            }
        }
    }

    /// Puts a plan for a task on a machine; nothing leaves before it is committed.
    fn plan(&mut self, now: u64, id: &Id, task: u32, machine: &Id, attempt: u64) -> u64 {
        let slot = self.next_slot();
        let Some(session) = self.machines.get(machine).map(|m| m.session) else { return slot };
        if let Some(job) = self.jobs.get_mut(id) {
            job.cursor = job.cursor.max(task);
            let p = Placement {
                job: id.clone(),
                task,
                attempt,
                session,
                slot,
                need: job.need,
                image: job.image,
                stage: Stage::Planned,
                sent: false,
                since: now,
                running: None,
                halt: None,
            };
            self.put(machine, p);
            self.touch(now, id, task, true);
        }
        slot
    }

    /// A gang moves as one entry: all its waiting tasks find room, or none is placed. With
    /// `oneZone` each zone is tried.
    fn place_gang(&mut self, ctx: &mut Ctx, id: &Id) {
        let now = ctx.now.mono;
        // Its tasks share an attempt, by which they find each other; so a gang that lost a task
        // starts anew when all have ended.
        let Some(job) = self.jobs.get(id).filter(|j| j.live.is_empty()) else { return };
        let most = job.waiting();
        if self.team_room(ctx, job) < most {
            return;
        }
        let zones: Vec<Option<String>> = if job.spec.one_zone && job.spec.zone.is_none() {
            let zones: BTreeSet<String> = self.machines.values().map(|m| m.zone.clone()).collect();
            zones.into_iter().map(Some).collect()
        } else {
            vec![None]
        };
        for zone in zones {
            let Some(job) = self.jobs.get(id) else { return };
            let seats = self.seats(ctx, job, most, zone.as_deref());
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
    fn seats(&self, ctx: &Ctx, job: &Job, most: u32, zone: Option<&str>) -> Vec<Id> {
        struct Seat<'a> {
            fit: Fit,
            machine: &'a Machine,
            times: u32,
            mates: usize,
        }
        let now = ctx.now.mono;
        let cap = shaleshunt_wire::MAX_BODY / 128;
        let apart = job.is_service() || job.spec.scatter;
        let hasty = self.hasty(ctx, job);
        let spot = job.spec.spot && (job.sent_out || self.estimate(job) < self.spot_below);
        // What more urgent work may stop is spread out, so that such work finds room beside it on a
        // machine that holds its image.
        let yielding = job.urgency <= Urgency::Normal && !hasty && !job.is_gang();
        let mut seats: Vec<Seat> = Vec::new();
        for m in self.machines.values() {
            if !m.free().fits(&job.need) || !m.usable(now, &ctx.set) || m.places.len() >= cap {
                continue;
            }
            if !Self::allows(job, &m.frame, &m.zone, m.spot)
                || job.failed_on.len() < 3 && job.failed_on.contains(&m.id)
                || m.sick_times > 0 && !m.places.is_empty()
                || m.slow_until > now && !job.is_service()
                || zone.is_some_and(|z| z != m.zone)
                || Self::zone_room(job, &m.zone) == 0
            {
                continue;
            }
            let coming = || m.places.iter().any(|p| p.running.is_none() && p.image == job.image);
            let image = if m.has_image(job.image) {
                0
            } else if coming() {
                1
            } else {
                2
            };
            // What is sent out goes to rented machines, and so does what is short; the rest keeps off
            // those that may be taken.
            let kind = u8::from(m.spot != spot);
            let first = if hasty { (image, kind) } else { (kind, u8::from(image > 0)) };
            let times = if m.sick_times > 0 { 1 } else { m.free().times(&job.need, i64::from(most)) as u32 };
            let times = times.min((cap - m.places.len()) as u32);
            let mates = if apart { m.places.iter().filter(|p| p.job == job.id).count() } else { 0 };
            let free = if yielding { -m.free().cores } else { m.free().cores };
            seats.push(Seat { fit: (m.sick_times > 0, first, !m.owned, free), machine: m, times, mates });
        }
        let mut found = Vec::new();
        if apart {
            // Zones and machines are looked at anew for each task.
            let mut zones: BTreeMap<&str, u32> = BTreeMap::new();
            for s in &seats {
                let there = job.zones.get(&s.machine.zone).copied().unwrap_or(0);
                zones.entry(&s.machine.zone).or_insert(there);
            }
            while (found.len() as u32) < most {
                let caps = |zone: &str| {
                    let more = zones[zone] - job.zones.get(zone).copied().unwrap_or(0);
                    more < Self::zone_room(job, zone)
                };
                let best = seats.iter_mut().filter(|s| s.times > 0 && caps(&s.machine.zone)).min_by_key(|s| {
                    let (sick, first, rented, free) = s.fit;
                    (sick, first, s.mates, zones[s.machine.zone.as_str()], rented, free)
                });
                let Some(s) = best else { break };
                s.times -= 1;
                s.mates += 1;
                *zones.entry(&s.machine.zone).or_default() += 1;
                found.push(s.machine.id.clone());
            }
            return found;
        }
        if job.spec.one_zone && zone.is_none() {
            // The zone with most room for it, unless some of it is somewhere already.
            let mut room: BTreeMap<&str, u32> = BTreeMap::new();
            for s in &seats {
                *room.entry(&s.machine.zone).or_default() += s.times;
            }
            let best = room.into_iter().max_by_key(|(_, n)| *n).map(|(z, _)| z.to_string());
            seats.retain(|s| Some(&s.machine.zone) == best.as_ref());
        }
        // A job is done when its last task is: kept together, fewer jobs lose something to a zone's
        // cut. Where it has tasks already, else where most of it finds room.
        let mut zones: BTreeMap<&str, (u32, u32)> = BTreeMap::new();
        for s in &seats {
            let there = job.zones.get(&s.machine.zone).copied().unwrap_or(0);
            let room = zones.entry(&s.machine.zone).or_insert((there, 0));
            room.1 += s.times;
        }
        let home = zones.into_iter().max_by_key(|(_, rank)| *rank).map(|(z, _)| z);
        seats.sort_by_key(|s| {
            let (sick, first, rented, free) = s.fit;
            (sick, first, Some(s.machine.zone.as_str()) != home, rented, free)
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

    /// Stops less urgent tasks for one of this job: on the machine where the least run time is
    /// lost. A task that cannot save ends at once, so the new one starts with the same message.
    /// With many machines a sample of them is looked at, another one each time.
    fn make_room(&mut self, ctx: &mut Ctx, id: &Id, with_image: bool) -> Option<Id> {
        let now = ctx.now.mono;
        let job = self.jobs.get(id)?;
        let guaranteed = &self.guaranteed;
        // Less urgent work; or, for a team's guarantee, what another team runs beyond its own.
        let borrows = |team: &str| {
            let used = self.teams.get(team).copied().unwrap_or_default();
            ctx.set.teams.get(team).is_some_and(|t| !t.guarantees(&used))
        };
        let due = !with_image && guaranteed.contains(id);
        let yields = |other: &Id| {
            let Some(j) = self.jobs.get(other) else { return false };
            let back = due && j.spec.team != job.spec.team && !guaranteed.contains(&j.id) && borrows(&j.spec.team);
            let back = back && j.urgency <= job.urgency && !j.is_service();
            j.spec.mark_every_s <= 0.0 && (j.urgency < job.urgency || back)
        };
        // A job has tasks on many of these machines.
        let mut known: HashMap<&str, bool> = HashMap::new();
        let mut best: Option<((bool, u64), Id, Vec<u64>)> = None;
        let mut looked = 0;
        let begin = self.sample_from.clone().map_or(Bound::Unbounded, Bound::Excluded);
        let all = self.machines.range::<Id, _>((begin, Bound::Unbounded)).chain(self.machines.iter());
        let mut last = None;
        for (id, m) in all.take(self.machines.len()) {
            if looked >= ctx.tune.sample as u32 {
                break;
            }
            last = Some(id);
            if !m.usable(now, &ctx.set)
                || m.slow_until > now && !job.is_service()
                || m.sick_times > 0
                || !Self::allows(job, &m.frame, &m.zone, m.spot)
                || !Self::zone_fits(job, &m.zone)
                || !m.room.fits(&job.need)
                || with_image && !m.has_image(job.image)
            {
                continue;
            }
            looked += 1;
            let mut victims: Vec<(u64, &Placement)> = Vec::new();
            let mut most = m.free();
            for p in m.places.iter().filter(|p| p.halt.is_none()) {
                if *known.entry(&p.job).or_insert_with(|| yields(&p.job)) {
                    most.add(&p.need, 1);
                    victims.push((p.running.map_or(0, |r| now.saturating_sub(r)), p));
                }
            }
            if !most.fits(&job.need) {
                continue;
            }
            victims.sort_by_key(|(ran, p)| (*ran, p.slot));
            let mut free = m.free();
            let (mut lost, mut list) = (0, Vec::new());
            for (ran, p) in victims {
                if free.fits(&job.need) {
                    break;
                }
                free.add(&p.need, 1);
                lost += ran;
                list.push(p.slot);
            }
            // A fetch would cost the start more than it saves.
            let rank = (!m.has_image(job.image), lost);
            // In place of a mere fetch, not more than a few times what the fetch takes is thrown away.
            if with_image && !job.is_service() && lost as f64 > self.fetch_s(ctx, job) * 2000.0 {
                continue;
            }
            if free.fits(&job.need) && !list.is_empty() && best.as_ref().is_none_or(|(r, ..)| rank < *r) {
                best = Some((rank, m.id.clone(), list));
            }
        }
        let last = last.cloned();
        self.sample_from = last;
        let (_, machine, victims) = best?;
        ctx.log(Severity::Debug, format!("machine {machine}: {} tasks make room for {id}", victims.len()));
        for slot in victims {
            self.stop_place(now, &machine, slot);
        }
        Some(machine)
    }

    /// Marks deadline jobs whose tasks go to rented machines. Per stage: from the tail, what the
    /// owned slots cannot work off by the deadline; then whatever has less slack than the boot
    /// allowance, counting queued work ahead over the slots and the rest of its own path.
    fn send_out(&mut self, ctx: &mut Ctx) {
        let allowance = ctx.tune.boot_allowance_s;
        let mut stages: BTreeMap<&str, Vec<(u64, &Id)>> = BTreeMap::new();
        for j in self.jobs.values().filter(|j| !j.aborted && j.due().is_some() && j.waiting() > 0) {
            let estimate = (self.estimate(j) * 1000.0) as u64;
            stages.entry(&j.spec.class).or_default().push((estimate, &j.id));
        }
        let mut sent: Vec<Id> = Vec::new();
        for (stage, mut queue) in stages {
            queue.sort();
            let Some(first) = queue.first().and_then(|(_, id)| self.jobs.get(*id)) else { continue };
            let slots = self.slots(stage, &first.need).max(1) as f64;
            let left = |j: &Job| (j.due().unwrap_or(0) as f64 - ctx.now.wall as f64) / 1000.0;
            let mut total: f64 = queue
                .iter()
                .filter_map(|(e, id)| self.jobs.get(*id).map(|j| *e as f64 / 1000.0 * f64::from(j.waiting())))
                .sum();
            let horizon = queue.iter().filter_map(|(_, id)| self.jobs.get(*id)).map(left).fold(0.0, f64::max);
            for (e, id) in queue.iter().rev() {
                if total <= slots * horizon {
                    break;
                }
                if let Some(j) = self.jobs.get(*id) {
                    total -= *e as f64 / 1000.0 * f64::from(j.waiting());
                    sent.push((*id).clone());
                }
            }
            let mut ahead = 0.0;
            for (e, id) in &queue {
                let Some(j) = self.jobs.get(*id) else { continue };
                let own = *e as f64 / 1000.0;
                let slack = left(j) - ahead / slots - own - self.fetch_s(ctx, j);
                if slack < allowance {
                    sent.push((*id).clone());
                }
                ahead += own * f64::from(j.waiting());
            }
        }
        // Later stages follow.
        let later: Vec<Id> = sent.iter().flat_map(|id| self.later_stages(id)).collect();
        for id in sent.into_iter().chain(later) {
            if let Some(j) = self.jobs.get_mut(&id)
                && !j.sent_out
            {
                j.sent_out = true;
                ctx.log(Severity::Debug, format!("job {id} goes to rented machines"));
            }
        }
    }

    /// A stage's owned slots: its tasks that fit in owned room now free or held by it.
    fn slots(&self, stage: &str, need: &Room) -> i64 {
        let free: i64 = self
            .machines
            .values()
            .filter(|m| m.owned && m.heard.is_some())
            .map(|m| m.free().times(need, 100_000))
            .sum();
        free + self.held.get(stage).map_or(0, |h| h.owned)
    }
}
