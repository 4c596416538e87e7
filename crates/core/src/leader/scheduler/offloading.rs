//! Which jobs with deadlines go to rented machines (the paper's offloading).

use crate::controller::Context;
use crate::event::Event;
use crate::leader::Leader;
use crate::model::*;
use shaleshunt_wire::Resources;
use std::collections::BTreeMap;

impl Leader {
    /// Marks deadline jobs whose tasks go to rented machines. Per stage: from the tail, what the
    /// owned slots cannot work off by the deadline; then whatever has less slack than the boot
    /// allowance, counting queued work ahead over the slots and the rest of its own path.
    pub(crate) fn offload(&mut self, ctx: &mut Context) {
        let allowance = ctx.tuning.boot_allowance_s;
        let mut stages: BTreeMap<&str, Vec<(u64, &Id)>> = BTreeMap::new();
        for j in self.jobs.values().filter(|j| !j.cancelled && j.deadline().is_some() && j.waiting() > 0) {
            let estimate = (self.estimate(j) * 1000.0) as u64;
            stages.entry(&j.spec.class).or_default().push((estimate, &j.id));
        }
        let mut sent: Vec<Id> = Vec::new();
        for (stage, mut queue) in stages {
            queue.sort();
            let Some(first) = queue.first().and_then(|(_, id)| self.jobs.get(*id)) else { continue };
            let slots = self.slots(ctx, stage, &first.need).max(1) as f64;
            let left = |j: &Job| (j.deadline().unwrap_or(0) as f64 - ctx.now.wall_ms as f64) / 1000.0;
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
                let slack = left(j) - ahead / slots - own - self.image_fetch_s(ctx, j);
                if slack < allowance {
                    sent.push((*id).clone());
                }
                ahead += own * f64::from(j.waiting());
            }
        }
        // Later stages follow.
        let later: Vec<Id> = sent.iter().flat_map(|id| self.dependents_of(id)).collect();
        for id in sent.into_iter().chain(later) {
            if let Some(j) = self.jobs.get_mut(&id)
                && !j.scheduling.offloaded
            {
                j.scheduling.offloaded = true;
                ctx.emit(Event::JobOffloaded { job: id.clone() });
            }
        }
    }

    /// A stage's owned slots: its tasks that fit in owned room now free or held by it.
    fn slots(&self, ctx: &Context, stage: &str, need: &Resources) -> i64 {
        ctx.work.examined(self.fleet.machines.count_with_cores(need.cores));
        let free: i64 = self
            .fleet
            .machines
            .with_cores(need.cores)
            .filter(|m| m.owned && m.agent.last_heard.is_some())
            .map(|m| m.free().times(need, 100_000))
            .sum();
        free + self.scheduler.usage_by_class.get(stage).map_or(0, |h| h.owned)
    }
}
