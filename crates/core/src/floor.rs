//! The workers: their reports, commands to them, silence and sickness.
//!
//! What proves that a placement is gone, and nothing else does: a report under the current token
//! that lacks it or shows it ended while no direct call is under way; a newer session; a return
//! answered 200; silence for longer than a lease since anybody could have renewed it.

use crate::io::*;
use crate::leader::{LeadWait, Leader};
use crate::model::*;
use crate::node::Ctx;
use shaleshunt_wire::worker::*;
use std::collections::{BTreeMap, BTreeSet};

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
        let loom: Id = report.loom.as_str().into();
        let fresh = self.report(ctx, &loom, report, true);
        let baton = self.looms.get(&loom).map_or(self.epoch << crate::leader::TOKEN_BITS, |m| self.token(m));
        let orders = if fresh { self.orders_for(&loom, true) } else { Vec::new() };
        if let Some(m) = self.looms.get_mut(&loom) {
            m.answer_open |= orders.iter().any(|o| matches!(o, Order::Run { .. }));
        }
        ctx.answer(id, Answer::Report(ReportReply { baton, orders }));
    }

    /// Takes in a report; false if it is older than one already seen.
    fn report(&mut self, ctx: &mut Ctx, loom: &Id, r: Report, checkin: bool) -> bool {
        let now = ctx.now.mono;
        if !self.looms.contains_key(loom) {
            // Nobody expected it: a hire carried out late, perhaps. It is adopted.
            let owned = self.owned.as_ref().is_some_and(|o| o.contains(&r.loom));
            let m = self.new_loom(ctx, loom, &r.frame, &r.hall, r.borrowed, owned);
            self.gone.remove(loom);
            self.looms.insert(loom.clone(), m);
            ctx.log(Severity::Info, format!("machine {loom} reports"));
            self.replan = true;
        }
        let token = self.looms.get(loom).map_or(0, |m| self.token(m));
        let Some(m) = self.looms.get_mut(loom) else { return false };
        if m.heard.is_some() && (r.shift, r.tick) <= m.last || r.shift < m.shift {
            return false;
        }
        if m.heard.is_none() {
            self.replan = true;
        }
        if !m.answers(now, &ctx.set) {
            self.replan = true;
        }
        m.last = (r.shift, r.tick);
        m.heard = Some(now);
        m.endpoint = r.endpoint;
        if m.room == Default::default()
            && let Some(f) = ctx.catalog.as_ref().and_then(|c| c.frame(&m.frame))
        {
            m.room = f.room();
            self.replan = true;
        }
        match r.warn_s {
            Some(s) if m.warned.is_none() => {
                m.warned = Some(now + (s.max(0.0) * 1000.0) as u64);
                ctx.log(Severity::Info, format!("machine {loom} is taken away in {s} s"));
            }
            Some(_) => {}
            None => m.warned = None,
        }
        let mut lost = Vec::new();
        if r.shift > m.shift {
            // Its lease ran out: whatever was placed in an earlier session is gone, and commands
            // for that session no longer count.
            lost = m.places.iter().map(|p| p.slot).collect();
            m.shift = r.shift;
        }
        let current = r.baton >= token;
        m.ours |= current;
        if current && r.baton >> crate::leader::TOKEN_BITS > self.epoch {
            self.down = Some("a worker has seen a newer token");
        }
        // A direct call's report may be older than the answer to the last check-in, which may still
        // start tasks. The next check-in settles that: a worker has one under way at a time.
        if checkin {
            m.answer_open = false;
        }
        let open = m.call.is_some() || m.answer_open;
        let local_gb = ctx.catalog.as_ref().and_then(|c| c.frame(&m.frame)).map_or(0.0, |f| f.local_gb);
        let mut seen: BTreeMap<(String, u64), (PieceStatus, Option<Cause>)> = BTreeMap::new();
        for p in r.pieces {
            seen.insert((p.piece, p.attempt), (p.status, p.cause));
        }
        let mut ended: Vec<(u64, Cause)> = Vec::new();
        let mut absent: Vec<u64> = Vec::new();
        let mut images: Vec<(String, f64)> = Vec::new();
        for p in m.places.iter_mut().filter(|p| !lost.contains(&p.slot)) {
            match seen.remove(&(format!("{}/{}", p.job, p.piece), p.attempt)) {
                Some((PieceStatus::Exited, cause)) if current => {
                    ended.push((p.slot, cause.unwrap_or(Cause::Unknown)));
                }
                Some((PieceStatus::Exited, _)) => {}
                Some((status, _)) => {
                    p.sent = true;
                    p.stage = match status {
                        PieceStatus::Fetching | PieceStatus::Gathering => Stage::Fetching,
                        PieceStatus::Flushing => Stage::Flushing,
                        _ => Stage::Running,
                    };
                    if p.stage == Stage::Running && p.running.is_none() {
                        p.running = Some(now);
                        if let Some(j) = self.jobs.get(&p.job) {
                            images.push((j.spec.bundle.clone(), j.spec.image_gb));
                        }
                    }
                }
                None if current && !open && p.stage != Stage::Planned => {
                    // No command that could still start it is under way. One that was lost is
                    // sent again; a task that is to stop is gone.
                    if p.halt.is_some() || p.stage != Stage::Committed {
                        absent.push(p.slot);
                    } else {
                        p.sent = false;
                    }
                }
                None => {}
            }
        }
        for (bundle, gb) in images {
            m.touch_image(&bundle, gb, local_gb);
        }
        m.strangers = seen
            .into_iter()
            .map(|((piece, attempt), (status, cause))| {
                let cause = (status == PieceStatus::Exited).then_some(cause.unwrap_or(Cause::Unknown));
                (piece, attempt, cause)
            })
            .collect();
        let warned = m.warned;
        for slot in lost {
            self.release(now, loom, slot, false);
        }
        for slot in absent {
            self.release(now, loom, slot, false);
        }
        for (slot, cause) in ended {
            self.ended(ctx, loom, slot, cause);
        }
        if warned.is_some() {
            self.drain(ctx, loom);
        }
        true
    }

    /// A task has ended on a machine, by a report under the current token.
    fn ended(&mut self, ctx: &mut Ctx, loom: &Id, slot: u64, cause: Cause) {
        let now = ctx.now.mono;
        let Some(p) = self.release(now, loom, slot, cause == Cause::Done) else { return };
        let name = format!("{}/{}", p.job, p.piece);
        if let Some(m) = self.looms.get_mut(loom) {
            m.strangers.push((name.clone(), p.attempt, Some(cause)));
        }
        let Some(job) = self.jobs.get_mut(&p.job) else { return };
        match cause {
            Cause::Done if !job.is_service() => {
                job.mark_done(p.piece);
                job.failures = 0;
                self.changed_jobs.insert(p.job.clone());
                let expected = job.spec.expect_s;
                if let (Some(start), true) = (p.running, expected > 0.0) {
                    let ran = now.saturating_sub(start) as f64 / 1000.0;
                    let class = self.learned.entry(job.spec.jobline.clone()).or_default();
                    class.actual += ran;
                    class.expected += expected;
                }
                if let Some(m) = self.looms.get_mut(loom) {
                    m.failures.clear();
                    m.sick_times = 0;
                }
            }
            Cause::Done | Cause::Error | Cause::NoSuch | Cause::Unknown => {
                ctx.log(Severity::Debug, format!("task {name} failed on {loom}: {cause:?}"));
                if cause == Cause::Error {
                    self.failed_on(ctx, loom, &p.job);
                } else if let Some(job) = self.jobs.get_mut(&p.job) {
                    job.not_before = now + ctx.set.report_ms();
                }
            }
            // Room that we did not know to be taken: a stopped task not gone yet, for example.
            Cause::NoRoom | Cause::InUse => {
                if let Some(m) = self.looms.get_mut(loom) {
                    m.sick_until = m.sick_until.max(now + ctx.set.report_ms() / 3);
                }
            }
            Cause::Stopped | Cause::Alone | Cause::MatesGone => {}
        }
    }

    /// A task failed. Tells machines that fail everything from jobs that fail everywhere: a job
    /// that failed on several machines without a success is held back and no longer counts
    /// against machines; a machine on which tasks of several jobs failed in a row, or one of a
    /// job that does well elsewhere, is left alone for a while, then tried with one task.
    fn failed_on(&mut self, ctx: &mut Ctx, loom: &Id, job: &Id) {
        let now = ctx.now.mono;
        let Some(j) = self.jobs.get_mut(job) else { return };
        j.failures += 1;
        j.failed_on.insert(loom.clone());
        let long = (ctx.set.lease_s * 1000.0) as u64;
        let steady = |loom: &Id, slot: u64| {
            let place = self.looms.get(loom).and_then(|m| m.places.iter().find(|p| p.slot == slot));
            place.is_some_and(|p| p.running.is_some_and(|r| now - r > long))
        };
        let does_well =
            j.done_count > 0 || j.is_service() && j.live.values().flatten().any(|(l, a)| l != loom && steady(l, *a));
        let broken = (j.failed_on.len() >= 3 || j.failures >= 6) && !does_well;
        if broken {
            let wait = ctx.tune.sick_s * 1000.0 / 8.0 * f64::from(1u32 << (j.failures.min(8) - 3).min(4));
            j.not_before = now + wait as u64;
            for m in self.looms.values_mut() {
                m.failures.retain(|f| f != job);
            }
        }
        let Some(m) = self.looms.get_mut(loom) else { return };
        if !broken {
            m.failures.push(job.clone());
        }
        let kinds: BTreeSet<&Id> = m.failures.iter().collect();
        if (kinds.len() >= 2 || does_well || m.sick_times > 0) && !broken && now >= m.sick_until {
            m.sick_times += 1;
            let pause = ctx.tune.sick_s * 1000.0 * f64::from(1u32 << (m.sick_times - 1).min(3));
            m.sick_until = now + pause as u64;
            m.failures.clear();
            ctx.log(Severity::Info, format!("machine {loom} fails its tasks: not used for {} s", pause / 1000.0));
        }
        self.replan = true;
    }

    /// Commands that a machine needs now. Each can be repeated, so they are worked out anew every
    /// time. `forget` only goes out in the answer to a report, with no direct call under way: then
    /// no `run` of that attempt can still arrive, since earlier answers have been taken or dropped.
    fn orders_for(&mut self, loom: &Id, answering: bool) -> Vec<Order> {
        let Some(m) = self.looms.get_mut(loom) else { return Vec::new() };
        let mut halts = Vec::new();
        let mut runs = Vec::new();
        for p in &mut m.places {
            let piece = || format!("{}/{}", p.job, p.piece);
            match (p.halt, p.stage) {
                (Some(_), Stage::Planned) | (None, Stage::Planned) => {}
                (Some(wind_down_s), Stage::Fetching | Stage::Running) => {
                    halts.push(Order::Halt { piece: piece(), attempt: p.attempt, wind_down_s });
                }
                (Some(0.0), Stage::Flushing) => {
                    halts.push(Order::Halt { piece: piece(), attempt: p.attempt, wind_down_s: 0.0 });
                }
                (Some(_), Stage::Flushing) => {}
                // Not seen yet: if the command arrives, the halt behind it ends it.
                (Some(_), Stage::Committed) => {
                    halts.push(Order::Halt { piece: piece(), attempt: p.attempt, wind_down_s: 0.0 });
                }
                (None, Stage::Committed) => {
                    p.sent = true;
                    runs.push(Order::Run { piece: piece(), attempt: p.attempt });
                }
                (None, _) => {}
            }
        }
        let settled = answering && m.call.is_none() && !m.dirty && !m.writing;
        for (piece, attempt, cause) in &m.strangers {
            let (piece, attempt) = (piece.clone(), *attempt);
            match cause {
                None if m.ours => halts.push(Order::Halt { piece, attempt, wind_down_s: 0.0 }),
                None => {}
                Some(_) if settled => {
                    // Only after its outcome is committed.
                    let open = split_piece(&piece)
                        .is_some_and(|(job, n)| self.jobs.get(job).is_some_and(|j| j.uncommitted.contains(&n)));
                    if !open {
                        runs.push(Order::Forget { piece, attempt });
                    }
                }
                Some(_) => {}
            }
        }
        halts.extend(runs);
        halts.truncate(MAX_ORDERS);
        halts
    }

    /// Sends urgent commands straight to machines.
    pub(crate) fn push_orders(&mut self, ctx: &mut Ctx) {
        let now = ctx.now.mono;
        let due: Vec<Id> = self
            .looms
            .values()
            .filter(|m| m.push && m.call.is_none() && now >= m.call_after && !m.endpoint.is_empty() && m.shift > 0)
            .map(|m| m.id.clone())
            .collect();
        for id in due {
            let orders = self.orders_for(&id, false);
            let Some(m) = self.looms.get_mut(&id) else { continue };
            m.push = false;
            // With nothing to say it is asked only to confirm the token.
            if orders.is_empty() && m.ours {
                continue;
            }
            let baton = (self.epoch << crate::leader::TOKEN_BITS) + m.bump;
            let body = Orders { baton, shift: m.shift, orders };
            let to = m.endpoint.clone();
            let wait = self.wait(LeadWait::Orders(id.clone()));
            let call = ctx.orders(to, body, wait);
            if let Some(m) = self.looms.get_mut(&id) {
                m.call = Some(call);
            }
        }
    }

    pub(crate) fn orders_answer(
        &mut self,
        ctx: &mut Ctx,
        loom: &Id,
        call: RequestId,
        result: Result<OrdersReply, IoError>,
    ) {
        let Some(m) = self.looms.get_mut(loom) else { return };
        if m.call != Some(call) {
            return;
        }
        m.call = None;
        match result {
            Ok(OrdersReply::Executed(r)) | Ok(OrdersReply::Outdated(r)) => {
                if r.loom == **loom {
                    self.report(ctx, loom, r, false);
                    if let Some(m) = self.looms.get_mut(loom) {
                        // What came up meanwhile.
                        m.push |= m.places.iter().any(|p| p.stage == Stage::Committed && !p.sent);
                    }
                }
            }
            Err(IoError::NotSent) => {
                m.call_after = ctx.now.mono + ctx.set.report_ms() / 3;
                m.push = true;
            }
            Err(_) => {
                // It may be executed minutes later. A higher token makes the machine refuse it;
                // until a report confirms that token, nothing here is released or forgotten.
                m.bump += 1;
                m.call_after = ctx.now.mono + ctx.set.report_ms() / 3;
                m.push = true;
                m.ours = false;
            }
        }
    }

    /// A machine that is going away: what cannot finish in time is stopped, to go on elsewhere.
    fn drain(&mut self, ctx: &Ctx, loom: &Id) {
        let now = ctx.now.mono;
        let Some(m) = self.looms.get_mut(loom) else { return };
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
                m.push = true;
            }
        }
    }

    /// Machines that have gone silent.
    pub(crate) fn watch_floor(&mut self, ctx: &mut Ctx) {
        let now = ctx.now.mono;
        let set = ctx.set.clone();
        let mut silent: Vec<Id> = Vec::new();
        for m in self.looms.values() {
            if m.places.is_empty() {
                continue;
            }
            // Until it has shown our token, an earlier leader may have answered it for as long as
            // that leader could go without news of this epoch.
            let heard = m.heard.unwrap_or(0);
            let last = if m.ours { heard } else { heard.max(self.took_at + set.blind_ms()) };
            if now.saturating_sub(last) > set.lease_over_ms() {
                silent.push(m.id.clone());
            }
        }
        for id in silent {
            let Some(m) = self.looms.get(&id) else { continue };
            let slots: Vec<u64> = m.places.iter().map(|p| p.slot).collect();
            ctx.log(Severity::Info, format!("machine {id} silent for a lease: {} tasks given up", slots.len()));
            for slot in slots {
                self.release(now, &id, slot, false);
            }
        }
    }
}
