//! Room for urgent work: which less urgent tasks are stopped for it.

use crate::event::Event;
use crate::leader::Leader;
use crate::model::*;
use crate::node::Ctx;
use std::collections::HashMap;
use std::ops::Bound;

impl Leader {
    /// Stops less urgent tasks for one of this job: on the machine where the least run time is
    /// lost. A task that cannot save ends at once, so the new one starts with the same message.
    /// With many machines a sample of them is looked at, another one each time.
    pub(crate) fn make_room(&mut self, ctx: &mut Ctx, id: &Id, with_image: bool) -> Option<Id> {
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
        ctx.emit(Event::TasksPreempted { machine: machine.clone(), job: id.clone(), tasks: victims.len() });
        for slot in victims {
            self.stop_place(now, &machine, slot);
        }
        Some(machine)
    }
}
