//! Machines' reports: what they show of tasks, and which placements they prove to be gone.
//!
//! What proves that a placement is gone, and nothing else does: a report under the current token
//! that lacks it or shows it ended while no direct call is under way; a newer session; a return
//! answered 200; silence for longer than a lease since anybody could have renewed it.

use crate::controller::Context;
use crate::event::Event;
use crate::io::*;
use crate::leader::Leader;
use crate::leader::step_down::StepDown;
use crate::model::*;
use shaleshunt_wire::worker::*;
use shaleshunt_wire::{Attempt, FencingToken, Resources};
use std::collections::BTreeSet;

impl Leader {
    pub(crate) fn heartbeat(&mut self, ctx: &mut Context, id: RequestId, heartbeat: Heartbeat) {
        // A withdrawal missed for too long could not be carried out in time if leases were renewed.
        if !self.may_renew_leases(ctx) {
            let blind = Answer::Problem { status: 503, error: "no news from the state service", retry_after: None };
            ctx.answer(id, blind);
            return;
        }
        let machine: Id = heartbeat.machine.as_str().into();
        let fresh = self.take_heartbeat(ctx, &machine, heartbeat, true);
        let token = self.fleet.machines.get(&machine).map_or(FencingToken::new(self.epoch, 0), |m| self.token(m));
        let commands = if fresh { self.commands_for(&machine, true) } else { Vec::new() };
        if let Some(m) = self.fleet.machines.get_mut(&machine) {
            m.agent.reply_may_start_tasks |= commands.iter().any(|o| matches!(o, TaskCommand::Run { .. }));
        }
        ctx.answer(id, Answer::Heartbeat(HeartbeatReply { token, commands }));
    }

    /// A machine nobody expected: a hire carried out late, perhaps. It is adopted. But its report
    /// may be a late copy from a machine long returned, so it gets no tasks before it has heard us.
    fn adopt(&mut self, ctx: &mut Context, machine: &Id, r: &Heartbeat) {
        let owned = self.autoscaler.owned.as_ref().is_some_and(|o| o.contains(&r.machine));
        let mut m = self.new_machine(ctx, machine, &r.machine_type, &r.zone, r.spot, owned);
        m.agent.unacknowledged_commands = if self.autoscaler.owned.is_some() && !owned { u32::MAX / 2 } else { 0 };
        self.fleet.machines.insert(m);
        self.fleet.unconfirmed.push_back(machine.clone());
        ctx.emit(Event::MachineAdopted { machine: machine.clone() });
    }

    /// Takes in a report; false if it is older than one already seen.
    pub(crate) fn take_heartbeat(&mut self, ctx: &mut Context, machine: &Id, r: Heartbeat, heartbeat: bool) -> bool {
        let now = ctx.now.monotonic_ms;
        if !self.fleet.machines.contains_key(machine) {
            self.adopt(ctx, machine, &r);
        }
        let token = self.fleet.machines.get(machine).map_or(FencingToken::default(), |m| self.token(m));
        let epoch = self.epoch;
        let Some(m) = self.fleet.machines.get_mut(machine) else { return false };
        let order = HeartbeatOrder { agent_epoch: r.agent_epoch, sequence: r.sequence };
        if m.agent.last_heard.is_some() && order <= m.agent.last_heartbeat || r.agent_epoch < m.agent.epoch {
            return false;
        }
        if m.agent.last_heard.is_none() || !m.answers(now, &ctx.settings) {
            self.scheduler.request_pass();
        }
        m.agent.last_heartbeat = order;
        m.agent.last_heard = Some(now);
        m.agent.partitioned = false;
        match self.fleet.zone_activity.get_mut(&m.zone) {
            // Later than now while a new leader gives the zone time to be heard: one machine that
            // answers at once does not end that for the others, who only just change over.
            Some(z) => z.0 = z.0.max(now),
            None => {
                self.fleet.zone_activity.insert(m.zone.clone(), (now, 1));
            }
        }
        let mut resources = m.capacity.total;
        if m.zone.is_empty() {
            // Known so far only by a record of a placement.
            (m.machine_type, m.zone, m.spot) = (r.machine_type, r.zone, r.spot);
            resources = Resources::default();
            for p in &m.placements {
                if let Some(j) = self.jobs.get_mut(&p.job) {
                    *j.tasks.by_zone.entry(m.zone.clone()).or_default() += 1;
                    let unknown = j.tasks.by_zone.entry(String::new()).or_default();
                    *unknown = unknown.saturating_sub(1);
                }
            }
        }
        if m.agent.endpoint != r.endpoint {
            m.agent.endpoint = r.endpoint;
        }
        if resources == Resources::default()
            && let Some(f) = ctx.catalog.as_ref().and_then(|c| c.machine_type(&m.machine_type))
        {
            resources = f.resources();
            self.scheduler.request_pass();
        }
        match r.preemption_notice_s {
            Some(s) if m.lifecycle.preempted_at.is_none() => {
                m.lifecycle.preempted_at = Some(now + (s.max(0.0) * 1000.0) as u64);
                ctx.emit(Event::MachineInterruptionNotice { machine: machine.clone(), seconds_left: s });
            }
            Some(_) => {}
            None => m.lifecycle.preempted_at = None,
        }
        // In a newer session whatever was placed in an earlier one is gone, and commands for that
        // session no longer count.
        m.agent.epoch = r.agent_epoch;
        let lost: Vec<u64> =
            m.placements.iter().filter(|p| p.agent_epoch < r.agent_epoch).map(|p| p.placement_id).collect();
        let current = r.token >= token;
        if current && !m.agent.token_confirmed {
            m.agent.token_confirmed = true;
            m.agent.unacknowledged_commands = 0;
            self.scheduler.request_pass();
        }
        if current && r.token.epoch() > epoch {
            self.down = Some(StepDown::NewerToken);
        }
        // A direct call's report may be older than the answer to the last check-in, which may still
        // start tasks. The next check-in settles that: a worker has one under way at a time.
        let answered = heartbeat && std::mem::take(&mut m.agent.reply_may_start_tasks);
        let open = m.call.in_flight.is_some() || m.agent.reply_may_start_tasks;
        let local_gb = ctx.catalog.as_ref().and_then(|c| c.machine_type(&m.machine_type)).map_or(0.0, |f| f.local_gb);
        let mut seen: Vec<(&str, u32, Attempt, &TaskReport, bool)> = Vec::with_capacity(r.tasks.len());
        let mut unexpected_tasks = Vec::new();
        for p in &r.tasks {
            match split_task_name(&p.task) {
                Some((job, n)) => seen.push((job, n, p.attempt, p, false)),
                None => unexpected_tasks.push(unexpected_task(p)),
            }
        }
        seen.sort_unstable_by_key(|s| (s.0, s.1, s.2));
        let mut ended: Vec<(u64, ExitCause)> = Vec::new();
        let mut absent: Vec<u64> = Vec::new();
        let mut images: Vec<(u32, f64)> = Vec::new();
        let (mut heard_us, mut unheard, mut again) = (false, false, false);
        for p in m.placements.iter_mut().filter(|p| p.agent_epoch >= r.agent_epoch) {
            let at = seen.binary_search_by(|s| (s.0, s.1, s.2).cmp(&(&*p.job, p.task, p.attempt)));
            let shown = at.ok().and_then(|i| seen.get_mut(i)).map(|s| {
                s.4 = true;
                (s.3.status, s.3.cause)
            });
            match shown {
                Some((TaskStatus::Exited, cause)) => {
                    heard_us |= p.stage == PlacementState::Committed;
                    if current {
                        ended.push((p.placement_id, cause.unwrap_or(ExitCause::Unknown)));
                    }
                }
                Some((status, _)) => {
                    heard_us |= p.stage == PlacementState::Committed;
                    p.sent = true;
                    let was = matches!(p.stage, PlacementState::Running | PlacementState::Checkpointing);
                    p.stage = match status {
                        TaskStatus::Fetching | TaskStatus::WaitingForGang => PlacementState::Fetching,
                        TaskStatus::Checkpointing => PlacementState::Checkpointing,
                        _ => PlacementState::Running,
                    };
                    let runs = matches!(p.stage, PlacementState::Running | PlacementState::Checkpointing);
                    if let Some(j) = self.jobs.get_mut(&p.job).filter(|_| was != runs) {
                        j.tasks.started |= runs;
                        j.tasks.running_count =
                            if runs { j.tasks.running_count + 1 } else { j.tasks.running_count.saturating_sub(1) };
                        if runs && p.running.is_none() {
                            images.push((j.image, j.spec.image_gb));
                        }
                    }
                    if p.stage == PlacementState::Running && p.running.is_none() {
                        p.running = Some(now);
                    }
                }
                None if current && !open && p.stage != PlacementState::Planned => {
                    // No command that could still start it is under way. One that was lost is
                    // sent again; a task that is to stop is gone.
                    if p.stop_grace_s.is_some() || p.stage != PlacementState::Committed {
                        absent.push(p.placement_id);
                    } else {
                        unheard |= p.sent && answered;
                        again |= p.sent;
                        p.sent = false;
                    }
                }
                None => {}
            }
        }
        for (image, gb) in images {
            m.images.touch(image, gb, local_gb);
        }
        if heard_us {
            m.agent.unacknowledged_commands = 0;
        } else if unheard {
            m.agent.unacknowledged_commands = m.agent.unacknowledged_commands.saturating_add(1);
        }
        if again {
            self.fleet.machines_to_call.insert(machine.clone());
        }
        let strange = seen.iter().filter(|s| !s.4).map(|s| s.3);
        unexpected_tasks.extend(strange.map(unexpected_task));
        m.agent.unexpected_tasks = unexpected_tasks;
        let (preempted_at, known, new_room) =
            (m.lifecycle.preempted_at.is_some(), m.record.block.is_some(), resources != m.capacity.total);
        if new_room {
            self.fleet.machines.set_room(machine, resources);
        }
        if !known {
            self.join_block(ctx, machine);
        }
        for placement_id in lost {
            self.release_placement(now, machine, placement_id, false);
        }
        for placement_id in absent {
            self.release_placement(now, machine, placement_id, false);
        }
        for (placement_id, cause) in ended {
            self.task_ended(ctx, machine, placement_id, cause);
        }
        if preempted_at {
            self.drain(ctx, machine);
        }
        self.detect_slow_machine(ctx, machine);
        true
    }

    /// A task has ended on a machine, by a report under the current token.
    fn task_ended(&mut self, ctx: &mut Context, machine: &Id, placement_id: u64, cause: ExitCause) {
        let now = ctx.now.monotonic_ms;
        let Some(p) = self.release_placement(now, machine, placement_id, cause == ExitCause::Done) else { return };
        let name = format!("{}/{}", p.job, p.task);
        if let Some(m) = self.fleet.machines.get_mut(machine) {
            m.agent.unexpected_tasks.push(UnexpectedTask { task: name.clone(), attempt: p.attempt, exit: Some(cause) });
        }
        let Some(job) = self.jobs.get_mut(&p.job) else { return };
        match cause {
            ExitCause::Done if !job.is_service() => {
                job.mark_done(p.task);
                // It does well after all: where it failed, that was the machine.
                let failed_on = if job.failures.count > 0 { job.failures.machines.clone() } else { BTreeSet::new() };
                job.failures.count = 0;
                let expected = job.spec.estimated_run_s;
                if let (Some(start), true) = (p.running, expected > 0.0) {
                    let runtime = now.saturating_sub(start) as f64 / 1000.0;
                    job.tasks.run_times.add(now.saturating_sub(start));
                    self.scheduler.record_runtime(&job.spec.class, runtime, expected);
                }
                // A task that began before the last failure says nothing about the machine since.
                if let Some(m) = self.fleet.machines.get_mut(machine).filter(|m| p.since > m.health.failed_at) {
                    m.health.failed_jobs.clear();
                    m.health.quarantine_count = 0;
                }
                self.record_change(now, &p.job, p.task, false);
                for id in failed_on.iter().filter(|id| *id != machine) {
                    if self.fleet.machines.get(id).is_some_and(|m| m.health.failed_jobs.contains(&p.job)) {
                        self.quarantine(ctx, id);
                    }
                }
            }
            ExitCause::Done | ExitCause::Error | ExitCause::UnknownTask | ExitCause::Unknown => {
                ctx.emit(Event::TaskFailed { task: name.to_string(), machine: machine.clone(), cause });
                if cause == ExitCause::Error {
                    let runtime = p.running.map_or(0, |r| now.saturating_sub(r));
                    self.failed_on(ctx, machine, &p.job, runtime);
                } else if let Some(job) = self.jobs.get_mut(&p.job) {
                    job.scheduling.not_before = now + ctx.settings.heartbeat_interval_ms();
                }
            }
            // Room that we did not know to be taken: a stopped task not gone yet, for example.
            ExitCause::InsufficientResources | ExitCause::AttemptConflict => {
                if let Some(m) = self.fleet.machines.get_mut(machine) {
                    m.health.quarantined_until =
                        m.health.quarantined_until.max(now + ctx.settings.heartbeat_interval_ms() / 3);
                }
            }
            ExitCause::Stopped | ExitCause::GangIncomplete | ExitCause::GangLost => {}
        }
    }

    /// A machine that is going away: what cannot finish in time is stopped, to go on elsewhere.
    fn drain(&mut self, ctx: &Context, machine: &Id) {
        let now = ctx.now.monotonic_ms;
        let Some(m) = self.fleet.machines.get_mut(machine) else { return };
        let Some(end) = m.lifecycle.preempted_at else { return };
        for p in &mut m.placements {
            if p.stop_grace_s.is_some() {
                continue;
            }
            let Some(job) = self.jobs.get(&p.job) else { continue };
            let left = end.saturating_sub(now) as f64 / 1000.0;
            let runtime = p.running.map_or(0.0, |r| now.saturating_sub(r) as f64 / 1000.0);
            let rest = job.spec.estimated_run_s - runtime;
            if job.is_service() || rest > left {
                let wind = if job.spec.checkpoint_interval_s > 0.0 { job.spec.checkpoint_duration_s } else { 0.0 };
                p.stop_grace_s = Some(wind);
                self.fleet.machines_to_call.insert(machine.clone());
            }
        }
    }
}

/// A reported task as one without a placement.
fn unexpected_task(report: &TaskReport) -> UnexpectedTask {
    let exit = (report.status == TaskStatus::Exited).then_some(report.cause.unwrap_or(ExitCause::Unknown));
    UnexpectedTask { task: report.task.clone(), attempt: report.attempt, exit }
}
