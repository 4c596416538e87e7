//! Tasks that fail, and machines that are left alone because of it.

use crate::controller::Context;
use crate::event::Event;
use crate::leader::Leader;
use crate::leader::fleet::health::{
    FailedTask, JobDiagnosis, JobFailureEvidence, MachineDiagnosis, broken_job_pause_ms, diagnose_job,
    diagnose_machine, sibling_task_evidence,
};
use crate::leader::fleet::slow_machines::{MIN_OVERRUNNING_TASKS, MIN_RUN_TIMES, RunningTask, is_slow};
use crate::model::{Id, Placement};

impl Leader {
    /// A task failed after it had run for so many ms: judges its job and the machine, and holds back
    /// the one or the other.
    pub(crate) fn task_failed(&mut self, ctx: &mut Context, machine: &Id, job: &Id, ran_ms: u64) {
        let Some(verdict) = self.judge_failed_job(ctx, machine, job, ran_ms) else { return };
        self.hold_back_job(ctx, job, verdict);
        self.count_failure(ctx, machine, job, verdict);
        self.scheduler.request_pass();
    }

    /// Counts a failure at the job, and judges it.
    fn judge_failed_job(&mut self, ctx: &Context, machine: &Id, job: &Id, ran_ms: u64) -> Option<JobDiagnosis> {
        let job = self.jobs.get_mut(job)?;
        job.failures.count += 1;
        job.failures.machines.insert(machine.clone());
        let evidence = JobFailureEvidence {
            any_done: job.tasks.done_count() > 0,
            failed_machines: job.failures.machines.len(),
            failures: job.failures.count,
        };
        let failed = FailedTask { machine, ran_ms: ran_ms + ctx.settings.heartbeat_interval_ms() / 2 };
        Some(diagnose_job(evidence, sibling_task_evidence(job, failed, &self.fleet.machines, ctx.now.monotonic_ms)))
    }

    /// Holds a job back that fails often. If it is broken, its failures count against no machine.
    fn hold_back_job(&mut self, ctx: &Context, id: &Id, verdict: JobDiagnosis) {
        let now = ctx.now.monotonic_ms;
        let Some(job) = self.jobs.get_mut(id) else { return };
        match verdict {
            JobDiagnosis::Healthy | JobDiagnosis::Unknown => {}
            JobDiagnosis::Suspect => job.scheduling.not_before_ms = now + ctx.settings.heartbeat_interval_ms() / 4,
            JobDiagnosis::Broken => {
                let pause = broken_job_pause_ms(job.failures.count, ctx.tuning.quarantine_s * 1000.0);
                job.scheduling.not_before_ms = now + pause as u64;
                for machine in self.fleet.machines.values_mut() {
                    machine.health.clear_job_failures(id);
                }
            }
        }
    }

    /// Counts a failure at the machine, and puts that in quarantine if it fails.
    fn count_failure(&mut self, ctx: &mut Context, machine: &Id, job: &Id, verdict: JobDiagnosis) {
        let Some(m) = self.fleet.machines.get_mut(machine) else { return };
        m.health.record_task_failure(ctx.now.monotonic_ms);
        if verdict != JobDiagnosis::Broken {
            m.health.record_job_failure(job.clone());
        }
        if diagnose_machine(&m.health, verdict) == MachineDiagnosis::Failing {
            self.quarantine(ctx, machine);
        }
    }

    /// A machine fails its tasks: it is not used for a while, longer each time.
    pub(crate) fn quarantine(&mut self, ctx: &mut Context, machine: &Id) {
        let now = ctx.now.monotonic_ms;
        let Some(m) = self.fleet.machines.get_mut(machine).filter(|m| !m.health.is_quarantined(now)) else { return };
        let pause_ms = m.health.quarantine(now, ctx.tuning.quarantine_s * 1000.0);
        ctx.emit(Event::MachineQuarantined { machine: machine.clone(), seconds: pause_ms / 1000.0 });
    }

    /// Looks with each heartbeat whether a machine is slow; then nothing but services goes there for
    /// half a lease. What runs there stays: it has a part of its way behind it, and the machine may
    /// be well again at any time.
    pub(crate) fn detect_slow_machine(&mut self, ctx: &mut Context, machine: &Id) {
        let now = ctx.now.monotonic_ms;
        let Some(m) = self.fleet.machines.get(machine) else { return };
        if m.placements.len() < MIN_OVERRUNNING_TASKS {
            return;
        }
        ctx.work.count_overrun_check();
        let running = m.placements.iter().filter_map(|placement| self.running_task(placement, now));
        if !is_slow(running, ctx.settings.heartbeat_interval_s * 100.0) {
            return;
        }
        let Some(m) = self.fleet.machines.get_mut(machine) else { return };
        if m.health.mark_slow(now, now + (ctx.settings.lease_s * 500.0) as u64) {
            ctx.emit(Event::MachineSlow { machine: machine.clone() });
        }
    }

    /// A placement as a task whose run time tells something; nothing for one that is to stop or that
    /// runs until it is stopped. What a job's tasks take is known from those that ended, else from
    /// its estimate with more doubt.
    fn running_task(&self, placement: &Placement, now: u64) -> Option<RunningTask> {
        let since = placement.running_since_ms.filter(|_| placement.stop_grace_s.is_none())?;
        let job = self.jobs.get(&placement.job).filter(|job| !job.is_service())?;
        let mean = job.tasks.run_times.mean_ms(MIN_RUN_TIMES);
        Some(RunningTask {
            elapsed_ms: now.saturating_sub(since) as f64,
            typical_run_ms: mean.unwrap_or_else(|| self.scheduler.estimated_run_s(job) * 1500.0),
        })
    }
}
