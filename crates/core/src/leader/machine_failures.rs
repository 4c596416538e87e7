//! Handling of failed and slow tasks: backs off jobs that fail, puts machines that fail tasks in quarantine, and marks
//! machines whose tasks overrun as slow.

use crate::controller::Context;
use crate::event::Event;
use crate::leader::Leader;
use crate::leader::fleet::health::{
    FailedTask, JobDiagnosis, JobFailureEvidence, MachineDiagnosis, broken_job_pause_ms, diagnose_job,
    diagnose_machine, sibling_task_evidence,
};
use crate::leader::fleet::slow_machines::{MIN_OVERRUNNING_TASKS, MIN_RUN_TIMES, RunningTask, is_slow};
use crate::model::{Id, Placement};

/// Part of a heartbeat interval by which the run time of a failed task may be underestimated, as a divisor.
const RUN_TIME_ERROR_DIVISOR: u64 = 2;
/// Part of a heartbeat interval for which a suspect job waits, as a divisor.
const SUSPECT_PAUSE_DIVISOR: u64 = 4;
/// Part of a heartbeat interval that counts in the comparison of overrunning tasks.
const OVERRUN_HEARTBEAT_FRACTION: f64 = 0.1;
/// Part of a machine lease for which a machine counts as slow.
const SLOW_LEASE_FRACTION: f64 = 0.5;
/// Factor on a job's estimate where too few of its tasks have ended for a mean.
const ESTIMATE_MARGIN: f64 = 1.5;

impl Leader {
    /// Handles a task that failed after running for `ran_ms`: diagnoses its job and its machine, and backs off the
    /// job or puts the machine in quarantine.
    pub(crate) fn task_failed(&mut self, ctx: &mut Context, machine: &Id, job: &Id, ran_ms: u64) {
        let Some(diagnosis) = self.diagnose_failed_job(ctx, machine, job, ran_ms) else { return };
        self.back_off_job(ctx, job, diagnosis);
        self.count_failure(ctx, machine, job, diagnosis);
        self.scheduler.request_pass();
    }

    /// Counts a failure of the job and returns the job's diagnosis; `None` if the leader has no such unfinished job.
    fn diagnose_failed_job(&mut self, ctx: &Context, machine: &Id, job: &Id, ran_ms: u64) -> Option<JobDiagnosis> {
        let job = self.jobs.get_mut(job)?;
        job.failures.count += 1;
        job.failures.machines.insert(machine.clone());
        let evidence = JobFailureEvidence {
            any_done: job.tasks.done_count() > 0,
            failed_machines: job.failures.machines.len(),
            failures: job.failures.count,
        };
        let failed =
            FailedTask { machine, ran_ms: ran_ms + ctx.settings.heartbeat_interval_ms() / RUN_TIME_ERROR_DIVISOR };
        Some(diagnose_job(evidence, sibling_task_evidence(job, failed, &self.fleet.machines, ctx.now.monotonic_ms)))
    }

    /// Delays further tasks of a suspect or broken job. Earlier failures of a broken job no longer count against any
    /// machine.
    fn back_off_job(&mut self, ctx: &Context, id: &Id, diagnosis: JobDiagnosis) {
        let now_ms = ctx.now.monotonic_ms;
        let Some(job) = self.jobs.get_mut(id) else { return };
        match diagnosis {
            JobDiagnosis::Healthy | JobDiagnosis::Unknown => {}
            JobDiagnosis::Suspect => {
                job.scheduling.not_before_ms = now_ms + ctx.settings.heartbeat_interval_ms() / SUSPECT_PAUSE_DIVISOR;
            }
            JobDiagnosis::Broken => {
                let pause = broken_job_pause_ms(job.failures.count, ctx.tuning.quarantine_s * 1000.0);
                job.scheduling.not_before_ms = now_ms + pause as u64;
                for machine in self.fleet.machines.values_mut() {
                    machine.health.clear_job_failures(id);
                }
            }
        }
    }

    /// Records a task failure on a machine, which counts against the machine unless the job is broken. Puts the machine
    /// in quarantine if it is diagnosed as failing.
    fn count_failure(&mut self, ctx: &mut Context, machine: &Id, job: &Id, diagnosis: JobDiagnosis) {
        let Some(m) = self.fleet.machines.get_mut(machine) else { return };
        m.health.record_task_failure(ctx.now.monotonic_ms);
        if diagnosis != JobDiagnosis::Broken {
            m.health.record_job_failure(job.clone());
        }
        if diagnose_machine(&m.health, diagnosis) == MachineDiagnosis::Failing {
            self.quarantine(ctx, machine);
        }
    }

    /// Puts a machine in quarantine unless it is in quarantine already. The time doubles with each quarantine, up to a
    /// maximum, until a task succeeds on the machine.
    pub(crate) fn quarantine(&mut self, ctx: &mut Context, machine: &Id) {
        let now_ms = ctx.now.monotonic_ms;
        let Some(m) = self.fleet.machines.get_mut(machine).filter(|m| !m.health.is_quarantined(now_ms)) else { return };
        let pause_ms = m.health.quarantine(now_ms, ctx.tuning.quarantine_s * 1000.0);
        ctx.emit(Event::MachineQuarantined { machine: machine.clone(), seconds: pause_ms / 1000.0 });
    }

    /// Marks a machine as slow for half a machine lease if several of its tasks overrun; called for each heartbeat. A
    /// slow machine gets only tasks of services. Its running tasks stay, because they have made progress and the
    /// machine may recover at any time.
    pub(crate) fn detect_slow_machine(&mut self, ctx: &mut Context, machine: &Id) {
        let now_ms = ctx.now.monotonic_ms;
        let Some(m) = self.fleet.machines.get(machine) else { return };
        if m.placements.len() < MIN_OVERRUNNING_TASKS {
            return;
        }
        ctx.work.count_overrun_check();
        let running = m.placements.iter().filter_map(|placement| self.running_task(placement, now_ms));
        if !is_slow(running, ctx.settings.heartbeat_interval_s * 1000.0 * OVERRUN_HEARTBEAT_FRACTION) {
            return;
        }
        let Some(m) = self.fleet.machines.get_mut(machine) else { return };
        if m.health.mark_slow(now_ms, now_ms + (ctx.settings.lease_s * 1000.0 * SLOW_LEASE_FRACTION) as u64) {
            ctx.emit(Event::MachineSlow { machine: machine.clone() });
        }
    }

    /// Returns the elapsed and the typical run time of a placement's task. The typical run time is the mean of the
    /// job's finished tasks; with too few of them, 1.5 times the job's estimate, as a wider margin. `None` for tasks
    /// that are not running or are stopping, and for services, which run until they are stopped.
    fn running_task(&self, placement: &Placement, now_ms: u64) -> Option<RunningTask> {
        let since_ms = placement.running_since_ms.filter(|_| placement.stop_grace_s.is_none())?;
        let job = self.jobs.get(&placement.job).filter(|job| !job.is_service())?;
        let mean = job.tasks.run_times.mean_ms(MIN_RUN_TIMES);
        Some(RunningTask {
            elapsed_ms: now_ms.saturating_sub(since_ms) as f64,
            typical_run_ms: mean.unwrap_or_else(|| self.scheduler.estimated_run_s(job) * 1000.0 * ESTIMATE_MARGIN),
        })
    }
}
