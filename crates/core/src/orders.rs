//! Commands to machines: with the answers to reports, and by direct calls.

use crate::io::*;
use crate::leader::{LeadWait, Leader};
use crate::model::*;
use crate::node::Ctx;
use shaleshunt_wire::worker::*;
use shaleshunt_wire::{AgentEpoch, FencingToken};

/// Most commands in one message, so that no line grows too long.
const MAX_ORDERS: usize = 300;

impl Leader {
    /// Commands that a machine needs now. Each can be repeated, so they are worked out anew every
    /// time. `forget` only goes out in the answer to a report, with no direct call under way: then
    /// no `run` of that attempt can still arrive, since earlier answers have been taken or dropped.
    pub(crate) fn orders_for(&mut self, machine: &Id, answering: bool) -> Vec<Order> {
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
            } else if !m.endpoint.is_empty() && m.session > AgentEpoch::NONE {
                self.call(ctx, &id, false);
            }
        }
        // A confirmation changes nothing at the machine, so its fate need not be known; but each
        // costs time here, and most machines report within an interval anyway.
        let most = (ctx.set.state_rps / 4.0).max(1.0) as u32;
        while self.confirming < most {
            let Some(id) = self.confirm.pop_front() else { break };
            let open =
                |m: &Machine| !m.ours && m.call.is_none() && !m.endpoint.is_empty() && m.session > AgentEpoch::NONE;
            if self.machines.get(&id).is_some_and(open) {
                self.call(ctx, &id, true);
            }
        }
    }

    pub(crate) fn call(&mut self, ctx: &mut Ctx, id: &Id, confirms: bool) {
        let orders = self.orders_for(id, false);
        let Some(m) = self.machines.get_mut(id) else { return };
        m.push = false;
        // With nothing to say it is asked only to confirm the token, or that it lives.
        if orders.is_empty() && m.ours && m.deaf == 0 && !confirms {
            return;
        }
        let token = FencingToken::new(self.epoch, m.bump);
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
    pub(crate) fn take_back(&mut self, now: u64, machine: &Id) {
        let Some(m) = self.machines.get(machine) else { return };
        let unsent = |p: &&Placement| !p.sent && p.stage == Stage::Committed;
        let slots: Vec<u64> = m.places.iter().filter(unsent).map(|p| p.slot).collect();
        for slot in slots {
            self.release(now, machine, slot, false);
        }
    }
}
