//! Detection of jobs that wait although a suitable machine has room. The simulation reports them to the checker,
//! which doesn't know the machines.

use super::Simulation;
use crate::agent::Agent;
use shaleshunt_wire::Resources;
use shaleshunt_wire::user::{JobKind, Submission};

impl Simulation {
    pub(super) fn check_waiting_jobs(&mut self) {
        let now = self.queue.now();
        let waiting = self.users.by_job.iter().filter(|(_, user)| user.is_waiting());
        let jobs: Vec<(String, bool)> =
            waiting.map(|(job, user)| (job.clone(), self.is_runnable(&user.job.spec))).collect();
        for (job, is_runnable) in jobs {
            if is_runnable {
                self.checker.check_wait_despite_capacity(now, self.fault_schedule.last_end_ms, &job);
            } else {
                self.checker.clear_wait(&job);
            }
        }
    }

    /// Whether one of a job's tasks could start now. Always false for jobs whose placement depends on their other
    /// tasks (a single zone, spread zones) and for gangs, which need room for all tasks at once.
    fn is_runnable(&self, spec: &Submission) -> bool {
        if spec.single_zone || spec.spread_zones || spec.kind == JobKind::Gang {
            return false;
        }
        let demand = spec.task_resources();
        self.has_pending_task(spec)
            && self.dependencies_completed(spec)
            && self.is_within_limit(spec, &demand)
            && self.agents.running.values().any(|agent| self.fits_on(agent, spec, &demand))
    }

    fn has_pending_task(&self, spec: &Submission) -> bool {
        let is_open = |number| {
            let task = format!("{}/{number}", spec.id);
            !self.checker.completed_tasks.contains(&task) && !self.checker.is_running(&task)
        };
        !self.agents.failing_jobs.contains(&spec.id) && (0..spec.tasks).any(is_open)
    }

    fn dependencies_completed(&self, spec: &Submission) -> bool {
        let mut dependencies = spec.dependencies.iter().filter_map(|job| self.checker.submissions.get(job));
        dependencies.all(|job| self.checker.all_tasks_completed(job))
    }

    fn is_within_limit(&self, spec: &Submission, demand: &Resources) -> bool {
        let limit = self.checker.cpu_limits.get(&spec.team).copied().unwrap_or(0.0);
        limit <= 0.0 || self.checker.used_millicores(&spec.team) + demand.cores <= (limit * 1000.0) as i64
    }

    fn fits_on(&self, agent: &Agent, spec: &Submission, demand: &Resources) -> bool {
        let machine = &agent.machine;
        let allowed = spec.machine_types.as_ref().is_none_or(|types| types.contains(&machine.machine_type))
            && spec.zone.as_ref().is_none_or(|zone| *zone == machine.zone)
            && (spec.spot || !machine.spot);
        let usable = !agent.hangs(self.queue.now()) && !self.agents.reclaimed_at_ms.contains_key(&machine.id);
        allowed && usable && agent.free().fits(demand)
    }
}
