//! Machines' reports: what they show of tasks, and which placements they prove to be gone.
//!
//! What proves that a placement is gone, and nothing else does: a report under the current token
//! that lacks it or shows it ended while no direct call is under way; a newer session; a return
//! answered 200; silence for longer than a lease since anybody could have renewed it.

use crate::event::Event;
use crate::io::*;
use crate::leader::Leader;
use crate::model::*;
use crate::node::Ctx;
use crate::step_down::StepDown;
use shaleshunt_wire::worker::*;
use shaleshunt_wire::{Attempt, FencingToken, Room};
use std::collections::BTreeSet;

impl Leader {
    pub(crate) fn checkin(&mut self, ctx: &mut Ctx, id: RequestId, report: Report) {
        // A withdrawal missed for too long could not be carried out in time if leases were renewed.
        if !self.sighted(ctx) {
            let blind = Answer::Problem { status: 503, error: "no news from the state service", retry_after: None };
            ctx.answer(id, blind);
            return;
        }
        let machine: Id = report.machine.as_str().into();
        let fresh = self.report(ctx, &machine, report, true);
        let token = self.machines.get(&machine).map_or(FencingToken::new(self.epoch, 0), |m| self.token(m));
        let orders = if fresh { self.orders_for(&machine, true) } else { Vec::new() };
        if let Some(m) = self.machines.get_mut(&machine) {
            m.answer_open |= orders.iter().any(|o| matches!(o, Order::Run { .. }));
        }
        ctx.answer(id, Answer::Report(ReportReply { token, orders }));
    }

    /// A machine nobody expected: a hire carried out late, perhaps. It is adopted. But its report
    /// may be a late copy from a machine long returned, so it gets no tasks before it has heard us.
    fn adopt(&mut self, ctx: &mut Ctx, machine: &Id, r: &Report) {
        let owned = self.owned.as_ref().is_some_and(|o| o.contains(&r.machine));
        let mut m = self.new_machine(ctx, machine, &r.frame, &r.zone, r.spot, owned);
        m.deaf = if self.owned.is_some() && !owned { u32::MAX / 2 } else { 0 };
        self.machines.insert(m);
        self.confirm.push_back(machine.clone());
        ctx.emit(Event::MachineAdopted { machine: machine.clone() });
    }

    /// Takes in a report; false if it is older than one already seen.
    pub(crate) fn report(&mut self, ctx: &mut Ctx, machine: &Id, r: Report, checkin: bool) -> bool {
        let now = ctx.now.mono;
        if !self.machines.contains_key(machine) {
            self.adopt(ctx, machine, &r);
        }
        let token = self.machines.get(machine).map_or(FencingToken::default(), |m| self.token(m));
        let epoch = self.epoch;
        let Some(m) = self.machines.get_mut(machine) else { return false };
        if m.heard.is_some() && (r.session, r.tick) <= m.last || r.session < m.session {
            return false;
        }
        if m.heard.is_none() || !m.answers(now, &ctx.set) {
            self.replan = true;
        }
        m.last = (r.session, r.tick);
        m.heard = Some(now);
        m.cut = false;
        match self.zones_heard.get_mut(&m.zone) {
            // Later than now while a new leader gives the zone time to be heard: one machine that
            // answers at once does not end that for the others, who only just change over.
            Some(z) => z.0 = z.0.max(now),
            None => {
                self.zones_heard.insert(m.zone.clone(), (now, 1));
            }
        }
        let mut room = m.room;
        if m.zone.is_empty() {
            // Known so far only by a record of a placement.
            (m.frame, m.zone, m.spot) = (r.frame, r.zone, r.spot);
            room = Room::default();
            for p in &m.places {
                if let Some(j) = self.jobs.get_mut(&p.job) {
                    *j.zones.entry(m.zone.clone()).or_default() += 1;
                    let unknown = j.zones.entry(String::new()).or_default();
                    *unknown = unknown.saturating_sub(1);
                }
            }
        }
        if m.endpoint != r.endpoint {
            m.endpoint = r.endpoint;
        }
        if room == Room::default()
            && let Some(f) = ctx.catalog.as_ref().and_then(|c| c.frame(&m.frame))
        {
            room = f.room();
            self.replan = true;
        }
        match r.warn_s {
            Some(s) if m.warned.is_none() => {
                m.warned = Some(now + (s.max(0.0) * 1000.0) as u64);
                ctx.emit(Event::MachineInterruptionNotice { machine: machine.clone(), seconds_left: s });
            }
            Some(_) => {}
            None => m.warned = None,
        }
        // In a newer session whatever was placed in an earlier one is gone, and commands for that
        // session no longer count.
        m.session = r.session;
        let lost: Vec<u64> = m.places.iter().filter(|p| p.session < r.session).map(|p| p.slot).collect();
        let current = r.token >= token;
        if current && !m.ours {
            m.ours = true;
            m.deaf = 0;
            self.replan = true;
        }
        if current && r.token.epoch() > epoch {
            self.down = Some(StepDown::NewerToken);
        }
        // A direct call's report may be older than the answer to the last check-in, which may still
        // start tasks. The next check-in settles that: a worker has one under way at a time.
        let answered = checkin && std::mem::take(&mut m.answer_open);
        let open = m.call.is_some() || m.answer_open;
        let local_gb = ctx.catalog.as_ref().and_then(|c| c.frame(&m.frame)).map_or(0.0, |f| f.local_gb);
        let mut seen: Vec<(&str, u32, Attempt, &TaskReport, bool)> = Vec::with_capacity(r.tasks.len());
        let mut strangers = Vec::new();
        for p in &r.tasks {
            match split_task_name(&p.task) {
                Some((job, n)) => seen.push((job, n, p.attempt, p, false)),
                None => strangers.push((p.task.clone(), p.attempt, exit_cause(p.status, p.cause))),
            }
        }
        seen.sort_unstable_by_key(|s| (s.0, s.1, s.2));
        let mut ended: Vec<(u64, Cause)> = Vec::new();
        let mut absent: Vec<u64> = Vec::new();
        let mut images: Vec<(u32, f64)> = Vec::new();
        let (mut heard_us, mut unheard, mut again) = (false, false, false);
        for p in m.places.iter_mut().filter(|p| p.session >= r.session) {
            let at = seen.binary_search_by(|s| (s.0, s.1, s.2).cmp(&(&*p.job, p.task, p.attempt)));
            let shown = at.ok().and_then(|i| seen.get_mut(i)).map(|s| {
                s.4 = true;
                (s.3.status, s.3.cause)
            });
            match shown {
                Some((TaskStatus::Exited, cause)) => {
                    heard_us |= p.stage == Stage::Committed;
                    if current {
                        ended.push((p.slot, cause.unwrap_or(Cause::Unknown)));
                    }
                }
                Some((status, _)) => {
                    heard_us |= p.stage == Stage::Committed;
                    p.sent = true;
                    let was = matches!(p.stage, Stage::Running | Stage::Flushing);
                    p.stage = match status {
                        TaskStatus::Fetching | TaskStatus::Gathering => Stage::Fetching,
                        TaskStatus::Flushing => Stage::Flushing,
                        _ => Stage::Running,
                    };
                    let runs = matches!(p.stage, Stage::Running | Stage::Flushing);
                    if let Some(j) = self.jobs.get_mut(&p.job).filter(|_| was != runs) {
                        j.begun |= runs;
                        j.running = if runs { j.running + 1 } else { j.running.saturating_sub(1) };
                        if runs && p.running.is_none() {
                            images.push((j.image, j.spec.image_gb));
                        }
                    }
                    if p.stage == Stage::Running && p.running.is_none() {
                        p.running = Some(now);
                    }
                }
                None if current && !open && p.stage != Stage::Planned => {
                    // No command that could still start it is under way. One that was lost is
                    // sent again; a task that is to stop is gone.
                    if p.halt.is_some() || p.stage != Stage::Committed {
                        absent.push(p.slot);
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
            m.touch_image(image, gb, local_gb);
        }
        if heard_us {
            m.deaf = 0;
        } else if unheard {
            m.deaf = m.deaf.saturating_add(1);
        }
        if again {
            self.push.insert(machine.clone());
        }
        let strange = seen.iter().filter(|s| !s.4).map(|s| s.3);
        strangers.extend(strange.map(|p| (p.task.clone(), p.attempt, exit_cause(p.status, p.cause))));
        m.strangers = strangers;
        let (warned, known, new_room) = (m.warned.is_some(), m.block.is_some(), room != m.room);
        if new_room {
            self.machines.set_room(machine, room);
        }
        if !known {
            self.join_block(ctx, machine);
        }
        for slot in lost {
            self.release(now, machine, slot, false);
        }
        for slot in absent {
            self.release(now, machine, slot, false);
        }
        for (slot, cause) in ended {
            self.ended(ctx, machine, slot, cause);
        }
        if warned {
            self.drain(ctx, machine);
        }
        self.watch_speed(ctx, machine);
        true
    }

    /// A task has ended on a machine, by a report under the current token.
    fn ended(&mut self, ctx: &mut Ctx, machine: &Id, slot: u64, cause: Cause) {
        let now = ctx.now.mono;
        let Some(p) = self.release(now, machine, slot, cause == Cause::Done) else { return };
        let name = format!("{}/{}", p.job, p.task);
        if let Some(m) = self.machines.get_mut(machine) {
            m.strangers.push((name.clone(), p.attempt, Some(cause)));
        }
        let Some(job) = self.jobs.get_mut(&p.job) else { return };
        match cause {
            Cause::Done if !job.is_service() => {
                job.mark_done(p.task);
                // It does well after all: where it failed, that was the machine.
                let failed_on = if job.failures > 0 { job.failed_on.clone() } else { BTreeSet::new() };
                job.failures = 0;
                let expected = job.spec.expect_s;
                if let (Some(start), true) = (p.running, expected > 0.0) {
                    let ran = now.saturating_sub(start) as f64 / 1000.0;
                    job.ran = (job.ran.0 + 1, job.ran.1 + now.saturating_sub(start));
                    let class = self.learned.entry(job.spec.class.clone()).or_default();
                    class.actual += ran;
                    class.expected += expected;
                }
                // A task that began before the last failure says nothing about the machine since.
                if let Some(m) = self.machines.get_mut(machine).filter(|m| p.since > m.failed_at) {
                    m.failures.clear();
                    m.sick_times = 0;
                }
                self.touch(now, &p.job, p.task, false);
                for id in failed_on.iter().filter(|id| *id != machine) {
                    if self.machines.get(id).is_some_and(|m| m.failures.contains(&p.job)) {
                        self.set_aside(ctx, id);
                    }
                }
            }
            Cause::Done | Cause::Error | Cause::NoSuch | Cause::Unknown => {
                ctx.emit(Event::TaskFailed { task: name.to_string(), machine: machine.clone(), cause });
                if cause == Cause::Error {
                    let ran = p.running.map_or(0, |r| now.saturating_sub(r));
                    self.failed_on(ctx, machine, &p.job, ran);
                } else if let Some(job) = self.jobs.get_mut(&p.job) {
                    job.not_before = now + ctx.set.report_ms();
                }
            }
            // Room that we did not know to be taken: a stopped task not gone yet, for example.
            Cause::NoRoom | Cause::InUse => {
                if let Some(m) = self.machines.get_mut(machine) {
                    m.sick_until = m.sick_until.max(now + ctx.set.report_ms() / 3);
                }
            }
            Cause::Stopped | Cause::Alone | Cause::MatesGone => {}
        }
    }

    /// A machine that is going away: what cannot finish in time is stopped, to go on elsewhere.
    fn drain(&mut self, ctx: &Ctx, machine: &Id) {
        let now = ctx.now.mono;
        let Some(m) = self.machines.get_mut(machine) else { return };
        let Some(end) = m.warned else { return };
        for p in &mut m.places {
            if p.halt.is_some() {
                continue;
            }
            let Some(job) = self.jobs.get(&p.job) else { continue };
            let left = end.saturating_sub(now) as f64 / 1000.0;
            let ran = p.running.map_or(0.0, |r| now.saturating_sub(r) as f64 / 1000.0);
            let rest = job.spec.expect_s - ran;
            if job.is_service() || rest > left {
                let wind = if job.spec.mark_every_s > 0.0 { job.spec.mark_takes_s } else { 0.0 };
                p.halt = Some(wind);
                self.push.insert(machine.clone());
            }
        }
    }
}

/// Why a task ended, if it has.
fn exit_cause(status: TaskStatus, cause: Option<Cause>) -> Option<Cause> {
    (status == TaskStatus::Exited).then_some(cause.unwrap_or(Cause::Unknown))
}
