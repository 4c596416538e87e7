//! The workers: their reports, commands to them, silence and sickness.
//!
//! What proves that a placement is gone, and nothing else does: a report under the current token
//! that lacks it or shows it ended while no direct call is under way; a newer session; a return
//! answered 200; silence for longer than a lease since anybody could have renewed it.

use crate::io::*;
use crate::leader::{LeadWait, Leader};
use crate::model::*;
use crate::node::Ctx;
use crate::step_down::StepDown;
use shaleshunt_wire::Room;
use shaleshunt_wire::worker::*;
use std::collections::{BTreeMap, BTreeSet};

/// A task that has run for so many times what its job's tasks usually take overruns.
const OVERRUN: f64 = 1.5;

/// So many overdue reports of a zone show that it is cut off, or those of all its machines if it has fewer.
const MISSED_REPORTS: usize = 8;

/// A report comes at the latest so many hundredths of the interval after the one before: a quarter late, and some
/// time on its way.
const LATEST_REPORT: u64 = 130;

/// A machine is slow if at least so many of its tasks overrun, and a third of them.
const LEAST_OVERRUNS: usize = 3;

/// Most commands in one message, so that no line grows too long.
const MAX_ORDERS: usize = 300;

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
        let token = self.machines.get(&machine).map_or(self.epoch << crate::leader::TOKEN_BITS, |m| self.token(m));
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
        ctx.log(Severity::Debug, format!("machine {machine} reports"));
    }

    /// Takes in a report; false if it is older than one already seen.
    fn report(&mut self, ctx: &mut Ctx, machine: &Id, r: Report, checkin: bool) -> bool {
        let now = ctx.now.mono;
        if !self.machines.contains_key(machine) {
            self.adopt(ctx, machine, &r);
        }
        let token = self.machines.get(machine).map_or(0, |m| self.token(m));
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
                ctx.log(Severity::Debug, format!("machine {machine} is taken away in {s} s"));
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
        if current && r.token >> crate::leader::TOKEN_BITS > epoch {
            self.down = Some(StepDown::NewerToken);
        }
        // A direct call's report may be older than the answer to the last check-in, which may still
        // start tasks. The next check-in settles that: a worker has one under way at a time.
        let answered = checkin && std::mem::take(&mut m.answer_open);
        let open = m.call.is_some() || m.answer_open;
        let local_gb = ctx.catalog.as_ref().and_then(|c| c.frame(&m.frame)).map_or(0.0, |f| f.local_gb);
        let mut seen: Vec<(&str, u32, u64, &TaskReport, bool)> = Vec::with_capacity(r.tasks.len());
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
                ctx.log(Severity::Debug, format!("task {name} failed on {machine}: {cause:?}"));
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

    /// A task failed after it had run for `ran` ms. Tells machines that fail everything from jobs
    /// that fail everywhere: a job of which other tasks have run for longer elsewhere is fine, so it
    /// is the machine; it is left alone for a while, then tried with one task. A job that failed on
    /// several machines without any such sign is held back and counts against no machine. With
    /// dozens of machines failing at once, a large job fails many times before its first task ends.
    fn failed_on(&mut self, ctx: &mut Ctx, machine: &Id, job: &Id, ran: u64) {
        let now = ctx.now.mono;
        let Some(j) = self.jobs.get_mut(job) else { return };
        j.failures += 1;
        j.failed_on.insert(machine.clone());
        let long = ran + ctx.set.report_ms() / 2;
        let steady = |l: &Live| {
            let place = self.machines.get(&l.machine).and_then(|m| m.places.iter().find(|p| p.slot == l.slot));
            l.machine != *machine && place.is_some_and(|p| p.running.is_some_and(|r| now - r > long))
        };
        let does_well = j.done_count > 0 || j.live.values().flatten().any(steady);
        // Tasks that have only just begun elsewhere are no sign yet, but a job of which some run is
        // not called broken: a large one loses many tasks at once to a few machines.
        let runs = |l: &Live| {
            let place = self.machines.get(&l.machine).and_then(|m| m.places.iter().find(|p| p.slot == l.slot));
            !j.failed_on.contains(&l.machine) && place.is_some_and(|p| p.running.is_some())
        };
        let many = (j.failed_on.len() >= 3 || j.failures >= 6) && !does_well;
        let broken = many && !j.live.values().flatten().any(runs);
        if many && !broken {
            j.not_before = now + ctx.set.report_ms() / 4;
        }
        if broken {
            let wait = ctx.tune.sick_s * 1000.0 / 8.0 * f64::from(1u32 << (j.failures.min(8) - 3).min(4));
            j.not_before = now + wait as u64;
            for m in self.machines.values_mut() {
                m.failures.retain(|f| f != job);
            }
        }
        let Some(m) = self.machines.get_mut(machine) else { return };
        m.failed_at = now;
        if !broken {
            m.failures.push(job.clone());
        }
        let kinds: BTreeSet<&Id> = m.failures.iter().collect();
        if (kinds.len() >= 2 || does_well || m.sick_times > 0) && !broken {
            self.set_aside(ctx, machine);
        }
        self.replan = true;
    }

    /// A machine fails its tasks: it is not used for a while, longer each time.
    fn set_aside(&mut self, ctx: &mut Ctx, machine: &Id) {
        let now = ctx.now.mono;
        let Some(m) = self.machines.get_mut(machine).filter(|m| now >= m.sick_until) else { return };
        m.sick_times += 1;
        let pause = ctx.tune.sick_s * 1000.0 * f64::from(1u32 << (m.sick_times - 1).min(3));
        m.sick_until = now + pause as u64;
        m.failures.clear();
        ctx.log(Severity::Info, format!("machine {machine} fails its tasks: not used for {} s", pause / 1000.0));
    }

    /// Commands that a machine needs now. Each can be repeated, so they are worked out anew every
    /// time. `forget` only goes out in the answer to a report, with no direct call under way: then
    /// no `run` of that attempt can still arrive, since earlier answers have been taken or dropped.
    fn orders_for(&mut self, machine: &Id, answering: bool) -> Vec<Order> {
        let Some(m) = self.machines.get_mut(machine) else { return Vec::new() };
        let mut halts = Vec::new();
        let mut runs = Vec::new();
        let mut first = Vec::new();
        for p in &mut m.places {
            let task = || format!("{}/{}", p.job, p.task);
            match (p.halt, p.stage) {
                (Some(_), Stage::Planned) | (None, Stage::Planned) => {}
                (Some(wind_down_s), Stage::Fetching | Stage::Running) => {
                    halts.push(Order::Halt { task: task(), attempt: p.attempt, wind_down_s });
                }
                (Some(0.0), Stage::Flushing) => {
                    halts.push(Order::Halt { task: task(), attempt: p.attempt, wind_down_s: 0.0 });
                }
                (Some(_), Stage::Flushing) => {}
                // Not seen yet: if the command arrives, the halt behind it ends it.
                (Some(_), Stage::Committed) => {
                    halts.push(Order::Halt { task: task(), attempt: p.attempt, wind_down_s: 0.0 });
                }
                // A direct call repeats nothing: what was lost shows in a report. An answer follows
                // a report that lacks it.
                (None, Stage::Committed) if p.sent && !answering => {}
                (None, Stage::Committed) => {
                    if answering {
                        m.call_runs.retain(|slot| *slot != p.slot);
                    } else if !p.sent {
                        first.push(p.slot);
                    }
                    p.sent = true;
                    runs.push(Order::Run { task: task(), attempt: p.attempt });
                }
                (None, _) => {}
            }
        }
        if !answering {
            m.call_runs = first;
        }
        let settled = answering && m.call.is_none();
        for (task, attempt, cause) in &m.strangers {
            let (task, attempt) = (task.clone(), *attempt);
            match cause {
                None if m.ours => halts.push(Order::Halt { task, attempt, wind_down_s: 0.0 }),
                None => {}
                Some(_) if settled => {
                    // Only after its outcome is committed.
                    let open = split_task_name(&task)
                        .is_some_and(|(job, n)| self.jobs.get(job).is_some_and(|j| j.pending.contains_key(&n)));
                    if !open {
                        runs.push(Order::Forget { task, attempt });
                    }
                }
                Some(_) => {}
            }
        }
        halts.extend(runs);
        halts.truncate(MAX_ORDERS);
        halts
    }

    /// Sends urgent commands straight to machines, and asks some that have not shown our token to
    /// confirm it.
    pub(crate) fn push_orders(&mut self, ctx: &mut Ctx) {
        let now = ctx.now.mono;
        while let Some((at, id)) = self.push_later.first().cloned() {
            if at > now {
                break;
            }
            self.push_later.pop_first();
            self.push.insert(id);
        }
        for id in std::mem::take(&mut self.push) {
            let Some(m) = self.machines.get_mut(&id) else { continue };
            if m.cut && m.call.is_none() {
                // What has not left would only wait there.
                self.take_back(now, &id);
            } else if m.call.is_some() {
                m.push = true;
            } else if now < m.call_after {
                self.push_later.insert((m.call_after, id));
            } else if !m.endpoint.is_empty() && m.session > 0 {
                self.call(ctx, &id, false);
            }
        }
        // A confirmation changes nothing at the machine, so its fate need not be known; but each
        // costs time here, and most machines report within an interval anyway.
        let most = (ctx.set.state_rps / 4.0).max(1.0) as u32;
        while self.confirming < most {
            let Some(id) = self.confirm.pop_front() else { break };
            let open = |m: &Machine| !m.ours && m.call.is_none() && !m.endpoint.is_empty() && m.session > 0;
            if self.machines.get(&id).is_some_and(open) {
                self.call(ctx, &id, true);
            }
        }
    }

    fn call(&mut self, ctx: &mut Ctx, id: &Id, confirms: bool) {
        let orders = self.orders_for(id, false);
        let Some(m) = self.machines.get_mut(id) else { return };
        m.push = false;
        // With nothing to say it is asked only to confirm the token, or that it lives.
        if orders.is_empty() && m.ours && m.deaf == 0 && !confirms {
            return;
        }
        let token = (self.epoch << crate::leader::TOKEN_BITS) + m.bump;
        let risky = !orders.is_empty();
        let body = Orders { token, session: m.session, orders };
        let to = m.endpoint.clone();
        let wait = self.wait(LeadWait::Orders(id.clone()));
        let call = ctx.orders(to, body, wait);
        if let Some(m) = self.machines.get_mut(id) {
            m.call = Some(call);
            m.confirms = confirms;
            m.risky = risky;
            self.confirming += u32::from(confirms);
        }
    }

    pub(crate) fn orders_answer(
        &mut self,
        ctx: &mut Ctx,
        machine: &Id,
        call: RequestId,
        result: Result<OrdersReply, IoError>,
    ) {
        let now = ctx.now.mono;
        let Some(m) = self.machines.get_mut(machine) else { return };
        if m.call != Some(call) {
            return;
        }
        m.call = None;
        self.confirming -= u32::from(std::mem::take(&mut m.confirms));
        let mut again = std::mem::take(&mut m.push);
        match result {
            Ok(OrdersReply::Executed(r)) | Ok(OrdersReply::Outdated(r)) => {
                if r.machine == **machine {
                    m.deaf = 0;
                    self.report(ctx, machine, r, false);
                    if let Some(m) = self.machines.get(machine) {
                        // What came up meanwhile.
                        again |= m.places.iter().any(|p| p.stage == Stage::Committed && !p.sent);
                    }
                }
            }
            Err(e) => {
                // For want of room here nothing is known of the machine.
                m.deaf = m.deaf.saturating_add(u32::from(e != IoError::Busy));
                let pause = ctx.set.report_ms() / 3 * u64::from(1u32 << m.deaf.saturating_sub(1).min(3));
                m.call_after = now + pause;
                again = true;
                if matches!(e, IoError::NotSent | IoError::Busy) {
                    // What was in it never left; others can have it.
                    let never = std::mem::take(&mut m.call_runs);
                    m.places.iter_mut().filter(|p| never.contains(&p.slot)).for_each(|p| p.sent = false);
                    // The answer to its next report can carry them, if it is not the machine's doing.
                    if e == IoError::NotSent {
                        self.take_back(now, machine);
                    }
                } else if m.risky {
                    // It may be executed minutes later. A higher token makes the machine refuse it;
                    // until a report confirms that token, nothing here is released or forgotten.
                    m.bump += 1;
                    m.ours = false;
                }
            }
        }
        if again {
            self.push.insert(machine.clone());
        }
    }

    /// Releases what was to go to a machine and has not left.
    fn take_back(&mut self, now: u64, machine: &Id) {
        let Some(m) = self.machines.get(machine) else { return };
        let unsent = |p: &&Placement| !p.sent && p.stage == Stage::Committed;
        let slots: Vec<u64> = m.places.iter().filter(unsent).map(|p| p.slot).collect();
        for slot in slots {
            self.release(now, machine, slot, false);
        }
    }

    /// A zone from which nobody reports while others do, though reports are due, is cut off: nothing new goes there. Where
    /// many machines report, that shows long before any one of them is overdue.
    pub(crate) fn watch_zones(&mut self, ctx: &mut Ctx) {
        let now = ctx.now.mono;
        let report = ctx.set.report_ms();
        let gap = |n: u32| (report / 5).max(report * 8 / u64::from(n.max(1)));
        let newest = self.zones_heard.values().map(|z| z.0).max().unwrap_or(0);
        if now.saturating_sub(newest) > report / 10 {
            // Nobody reports at all: it is us. A leader that the machines do not reach is no use to
            // them, though the state service may still take it for one.
            let all: u32 = self.zones_heard.values().map(|z| z.1).sum();
            let patience = (report / 2).max(report * 8 / u64::from(all.max(1)));
            // Machines that hang on to a lost leader need a while to come.
            let heard = newest.max(self.took_at + report * 2);
            let long = !self.machines.is_empty() && !ctx.keepers.is_empty() && now.saturating_sub(heard) > patience;
            if long && self.misses_reports(ctx, None, all) {
                self.down = Some(StepDown::Unheard);
            }
            return;
        }
        let silent: BTreeSet<String> = self
            .zones_heard
            .iter()
            .filter(|(zone, (at, n))| now.saturating_sub(*at) > gap(*n) && self.misses_reports(ctx, Some(zone), *n))
            .map(|(z, _)| z.clone())
            .collect();
        if silent == self.zones_cut {
            return;
        }
        for z in silent.difference(&self.zones_cut) {
            ctx.log(Severity::Info, format!("zone {z} is silent: nothing new goes there"));
        }
        self.zones_cut = silent;
        for m in self.machines.values_mut() {
            let cut = self.zones_cut.contains(&m.zone) && m.heard.is_some();
            if cut && !m.cut && m.places.iter().any(|p| !p.sent) {
                self.push.insert(m.id.clone());
            }
            m.cut = cut;
        }
        self.replan = true;
    }

    /// Whether reports are missing from a zone, or from all, with so many machines: enough of them are overdue.
    /// Where all came at once, or tasks end together, reports come in waves: between two nobody's is due.
    fn misses_reports(&self, ctx: &Ctx, zone: Option<&str>, machines: u32) -> bool {
        let (now, report) = (ctx.now.mono, ctx.set.report_ms());
        // A machine known from records has two reporting intervals after a takeover to be heard.
        let last = |m: &Machine| m.heard.or((m.session > 0).then_some(self.took_at + report));
        let overdue = |m: &&Machine| last(m).is_some_and(|at| now.saturating_sub(at) > report * LATEST_REPORT / 100);
        let here = self.machines.values().filter(|m| zone.is_none_or(|zone| m.zone == zone));
        here.filter(overdue).take(MISSED_REPORTS).count() >= MISSED_REPORTS.min(machines as usize)
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

    /// Machines that are slow, told by tasks that overrun: the design's slack counts queued work
    /// only. What a job's tasks take is known from those that ended, else from its estimate with
    /// more doubt. One task may be long by itself; several at once on one machine are its doing.
    /// Nothing but replicas goes there for half a lease. What runs there stays: it has a part of
    /// its way behind it, and the machine may be well again at any time. Looked at with each report.
    pub(crate) fn watch_speed(&mut self, ctx: &mut Ctx, machine: &Id) {
        let now = ctx.now.mono;
        let Some(m) = self.machines.get(machine) else { return };
        if m.places.len() < LEAST_OVERRUNS {
            return;
        }
        ctx.work.speed_examined();
        let (mut runs, mut over) = (0, 0);
        for p in &m.places {
            let Some(since) = p.running.filter(|_| p.halt.is_none()) else { continue };
            let Some(job) = self.jobs.get(&p.job).filter(|j| !j.is_service()) else { continue };
            runs += 1;
            let usual =
                if job.ran.0 >= 3 { job.ran.1 as f64 / f64::from(job.ran.0) } else { self.estimate(job) * 1500.0 };
            let elapsed = now.saturating_sub(since) as f64;
            over += usize::from(elapsed > usual * OVERRUN + ctx.set.report_s * 100.0);
        }
        if over < LEAST_OVERRUNS || over * 3 < runs {
            return;
        }
        let Some(m) = self.machines.get_mut(machine) else { return };
        if now >= m.slow_until {
            ctx.log(Severity::Debug, format!("machine {machine} is slow"));
        }
        m.slow_until = now + (ctx.set.lease_s * 500.0) as u64;
    }

    /// Asks hired machines whose report is overdue whether they live: one that was taken without
    /// notice is found out in half the time that its silence alone would need. Where many are
    /// overdue at once it is the network, or us.
    pub(crate) fn ask_overdue(&mut self, ctx: &mut Ctx) {
        let now = ctx.now.mono;
        let late = ctx.set.report_ms() * LATEST_REPORT / 100;
        let overdue = |m: &&Machine| m.heard.is_some_and(|h| now.saturating_sub(h) > late) && !m.leaving && !m.cut;
        let all: Vec<Id> = self.machines.values().filter(overdue).map(|m| m.id.clone()).collect();
        self.few_overdue = all.len() <= (self.machines.len() / 50).max(2);
        if !self.few_overdue {
            return;
        }
        for id in all {
            let asks = |m: &Machine| !m.owned && !m.places.is_empty() && m.call.is_none() && now >= m.call_after;
            if self.machines.get(&id).is_some_and(asks) {
                self.call(ctx, &id, true);
            }
        }
    }

    /// Whether no controller in a zone can still keep the lease of a machine last heard at a time:
    /// each has said, a lease later, that it kept none since; or it has not heard from us for so
    /// long that its term is over, and a lease as well.
    fn not_kept(ctx: &Ctx, zone: &str, heard: u64) -> bool {
        let (now, lease) = (ctx.now.mono, ctx.set.lease_over_ms());
        ctx.keepers.values().filter(|k| k.zone == zone || zone.is_empty()).all(|k| {
            let said = k.sent_after >= heard.max(k.kept) + lease;
            let over = now > heard.max(k.heard + ctx.set.blind_ms()) + lease;
            said || over
        })
    }

    /// Machines that have gone silent.
    pub(crate) fn watch_floor(&mut self, ctx: &mut Ctx) {
        let now = ctx.now.mono;
        let set = ctx.set.clone();
        let mut silent: Vec<Id> = Vec::new();
        let mut there: BTreeMap<&str, u32> = BTreeMap::new();
        for m in self.machines.values().filter(|m| m.heard.is_some_and(|h| now - h < set.lease_over_ms())) {
            *there.entry(&m.zone).or_default() += 1;
        }
        for (zone, z) in &mut self.zones_heard {
            z.1 = there.get(zone.as_str()).copied().unwrap_or(0);
        }
        for m in self.machines.values() {
            if m.places.is_empty() {
                continue;
            }
            // Until it has shown our token, an earlier leader may have answered it for as long as
            // that leader could go without news of this epoch.
            let heard = m.heard.unwrap_or(0);
            let last = if m.ours { heard } else { heard.max(self.took_at + set.blind_ms()) };
            if now.saturating_sub(last) > set.lease_over_ms() && Self::not_kept(ctx, &m.zone, heard) {
                silent.push(m.id.clone());
            }
        }
        for id in silent {
            let Some(m) = self.machines.get(&id) else { continue };
            let slots: Vec<u64> = m.places.iter().map(|p| p.slot).collect();
            ctx.log(Severity::Info, format!("machine {id} silent for a lease: {} tasks given up", slots.len()));
            for slot in slots {
                self.release(now, &id, slot, false);
            }
        }
    }
}

/// Why a task ended, if it has.
fn exit_cause(status: TaskStatus, cause: Option<Cause>) -> Option<Cause> {
    (status == TaskStatus::Exited).then_some(cause.unwrap_or(Cause::Unknown))
}
