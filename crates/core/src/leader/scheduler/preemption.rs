//! Room for urgent work: which less urgent tasks are stopped for it.

use crate::controller::Context;
use crate::event::Event;
use crate::leader::Leader;
use crate::model::*;
use std::collections::HashMap;
use std::ops::Bound;

impl Leader {
    /// Stops less urgent tasks for one of this job: on the machine where the least run time is
    /// lost. A task that cannot save ends at once, so the new one starts with the same message.
    /// With many machines a sample of them is looked at, another one each time.
    pub(crate) fn preempt(&mut self, ctx: &mut Context, id: &Id, with_image: bool) -> Option<Id> {
        let now = ctx.now.monotonic_ms;
        let job = self.jobs.get(id)?;
        let guaranteed = &self.scheduler.guaranteed;
        // Less urgent work; or, for a team's guarantee, what another team runs beyond its own.
        let borrows = |team: &str| {
            let used = self.scheduler.usage_by_team.get(team).copied().unwrap_or_default();
            ctx.settings.teams.get(team).is_some_and(|t| !t.guarantees(&used))
        };
        let due = !with_image && guaranteed.contains(id);
        let yields = |other: &Id| {
            let Some(j) = self.jobs.get(other) else { return false };
            let back = due && j.spec.team != job.spec.team && !guaranteed.contains(&j.id) && borrows(&j.spec.team);
            let back = back && j.scheduling.priority <= job.scheduling.priority && !j.is_service();
            j.spec.checkpoint_interval_s <= 0.0 && (j.scheduling.priority < job.scheduling.priority || back)
        };
        // A job has tasks on many of these machines.
        let mut known: HashMap<&str, bool> = HashMap::new();
        let mut best: Option<((bool, u64), Id, Vec<u64>)> = None;
        let mut looked = 0;
        let begin = self.scheduler.preemption_sample_start.clone().map_or(Bound::Unbounded, Bound::Excluded);
        let all = self.fleet.machines.range::<Id, _>((begin, Bound::Unbounded)).chain(self.fleet.machines.iter());
        let mut last = None;
        for (id, m) in all.take(self.fleet.machines.len()) {
            if looked >= ctx.tuning.sample as u32 {
                break;
            }
            last = Some(id);
            if !m.is_schedulable(now, &ctx.settings)
                || m.health.slow_until > now && !job.is_service()
                || m.health.quarantine_count > 0
                || !Self::allows(job, &m.machine_type, &m.zone, m.spot)
                || !Self::zone_fits(job, &m.zone)
                || !m.capacity.total.fits(&job.need)
                || with_image && !m.images.contains(job.image)
            {
                continue;
            }
            looked += 1;
            let mut victims: Vec<(u64, &Placement)> = Vec::new();
            let mut most = m.free();
            for p in m.placements.iter().filter(|p| p.stop_grace_s.is_none()) {
                if *known.entry(&p.job).or_insert_with(|| yields(&p.job)) {
                    most.add(&p.need, 1);
                    victims.push((p.running.map_or(0, |r| now.saturating_sub(r)), p));
                }
            }
            if !most.fits(&job.need) {
                continue;
            }
            victims.sort_by_key(|(runtime, p)| (*runtime, p.placement_id));
            let mut free = m.free();
            let (mut lost, mut list) = (0, Vec::new());
            for (runtime, p) in victims {
                if free.fits(&job.need) {
                    break;
                }
                free.add(&p.need, 1);
                lost += runtime;
                list.push(p.placement_id);
            }
            // A fetch would cost the start more than it saves.
            let rank = (!m.images.contains(job.image), lost);
            // In place of a mere fetch, not more than a few times what the fetch takes is thrown away.
            if with_image && !job.is_service() && lost as f64 > self.image_fetch_s(ctx, job) * 2000.0 {
                continue;
            }
            if free.fits(&job.need) && !list.is_empty() && best.as_ref().is_none_or(|(r, ..)| rank < *r) {
                best = Some((rank, m.id.clone(), list));
            }
        }
        let last = last.cloned();
        self.scheduler.preemption_sample_start = last;
        let (_, machine, victims) = best?;
        ctx.emit(Event::TasksPreempted { machine: machine.clone(), job: id.clone(), tasks: victims.len() });
        for placement_id in victims {
            self.stop_placement(now, &machine, placement_id);
        }
        Some(machine)
    }
}
