//! Machines on which tasks fail or take too long, told from jobs that fail everywhere.

use crate::controller::Context;
use crate::event::Event;
use crate::leader::Leader;
use crate::model::*;
use std::collections::BTreeSet;

/// A task that has run for so many times what its job's tasks usually take overruns.
const OVERRUN: f64 = 1.5;

/// A machine is slow if at least so many of its tasks overrun, and a third of them.
const LEAST_OVERRUNS: usize = 3;

/// Run times of so many ended tasks say what a job's tasks usually take.
const LEAST_RUN_TIMES: u32 = 3;

impl Leader {
    /// A task failed after it had run for `ran` ms. Tells machines that fail everything from jobs
    /// that fail everywhere: a job of which other tasks have run for longer elsewhere is fine, so it
    /// is the machine; it is left alone for a while, then tried with one task. A job that failed on
    /// several machines without any such sign is held back and counts against no machine. With
    /// dozens of machines failing at once, a large job fails many times before its first task ends.
    pub(crate) fn failed_on(&mut self, ctx: &mut Context, machine: &Id, job: &Id, runtime: u64) {
        let now = ctx.now.monotonic_ms;
        let Some(j) = self.jobs.get_mut(job) else { return };
        j.failures.count += 1;
        j.failures.machines.insert(machine.clone());
        let long = runtime + ctx.settings.heartbeat_interval_ms() / 2;
        let steady = |l: &TaskPlacement| {
            let place = self
                .fleet
                .machines
                .get(&l.machine)
                .and_then(|m| m.placements.iter().find(|p| p.placement_id == l.placement_id));
            l.machine != *machine && place.is_some_and(|p| p.running.is_some_and(|r| now - r > long))
        };
        let does_well = j.tasks.done_count > 0 || j.tasks.placements.values().flatten().any(steady);
        // Tasks that have only just begun elsewhere are no sign yet, but a job of which some run is
        // not called broken: a large one loses many tasks at once to a few machines.
        let runs = |l: &TaskPlacement| {
            let place = self
                .fleet
                .machines
                .get(&l.machine)
                .and_then(|m| m.placements.iter().find(|p| p.placement_id == l.placement_id));
            !j.failures.machines.contains(&l.machine) && place.is_some_and(|p| p.running.is_some())
        };
        let many = (j.failures.machines.len() >= 3 || j.failures.count >= 6) && !does_well;
        let broken = many && !j.tasks.placements.values().flatten().any(runs);
        if many && !broken {
            j.scheduling.not_before = now + ctx.settings.heartbeat_interval_ms() / 4;
        }
        if broken {
            let wait = ctx.tuning.quarantine_s * 1000.0 / 8.0 * f64::from(1u32 << (j.failures.count.min(8) - 3).min(4));
            j.scheduling.not_before = now + wait as u64;
            for m in self.fleet.machines.values_mut() {
                m.health.failed_jobs.retain(|f| f != job);
            }
        }
        let Some(m) = self.fleet.machines.get_mut(machine) else { return };
        m.health.failed_at = now;
        if !broken {
            m.health.failed_jobs.push(job.clone());
        }
        let kinds: BTreeSet<&Id> = m.health.failed_jobs.iter().collect();
        if (kinds.len() >= 2 || does_well || m.health.quarantine_count > 0) && !broken {
            self.quarantine(ctx, machine);
        }
        self.scheduler.request_pass();
    }

    /// A machine fails its tasks: it is not used for a while, longer each time.
    pub(crate) fn quarantine(&mut self, ctx: &mut Context, machine: &Id) {
        let now = ctx.now.monotonic_ms;
        let Some(m) = self.fleet.machines.get_mut(machine).filter(|m| now >= m.health.quarantined_until) else {
            return;
        };
        m.health.quarantine_count += 1;
        let pause = ctx.tuning.quarantine_s * 1000.0 * f64::from(1u32 << (m.health.quarantine_count - 1).min(3));
        m.health.quarantined_until = now + pause as u64;
        m.health.failed_jobs.clear();
        ctx.emit(Event::MachineQuarantined { machine: machine.clone(), seconds: pause / 1000.0 });
    }

    /// Machines that are slow, told by tasks that overrun: the design's slack counts queued work
    /// only. What a job's tasks take is known from those that ended, else from its estimate with
    /// more doubt. One task may be long by itself; several at once on one machine are its doing.
    /// Nothing but replicas goes there for half a lease. What runs there stays: it has a part of
    /// its way behind it, and the machine may be well again at any time. Looked at with each report.
    pub(crate) fn detect_slow_machine(&mut self, ctx: &mut Context, machine: &Id) {
        let now = ctx.now.monotonic_ms;
        let Some(m) = self.fleet.machines.get(machine) else { return };
        if m.placements.len() < LEAST_OVERRUNS {
            return;
        }
        ctx.work.speed_examined();
        let (mut runs, mut over) = (0, 0);
        for p in &m.placements {
            let Some(since) = p.running.filter(|_| p.stop_grace_s.is_none()) else { continue };
            let Some(job) = self.jobs.get(&p.job).filter(|j| !j.is_service()) else { continue };
            runs += 1;
            let usual = job
                .tasks
                .run_times
                .mean_ms(LEAST_RUN_TIMES)
                .unwrap_or_else(|| self.scheduler.estimated_run_s(job) * 1500.0);
            let elapsed = now.saturating_sub(since) as f64;
            over += usize::from(elapsed > usual * OVERRUN + ctx.settings.heartbeat_interval_s * 100.0);
        }
        if over < LEAST_OVERRUNS || over * 3 < runs {
            return;
        }
        let Some(m) = self.fleet.machines.get_mut(machine) else { return };
        if now >= m.health.slow_until {
            ctx.emit(Event::MachineSlow { machine: machine.clone() });
        }
        m.health.slow_until = now + (ctx.settings.lease_s * 500.0) as u64;
    }
}
