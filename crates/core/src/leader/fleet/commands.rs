//! Commands to machines: with the answers to reports, and by direct calls.

use crate::controller::Context;
use crate::io::*;
use crate::leader::{Leader, LeaderRequest};
use crate::model::*;
use shaleshunt_wire::worker::*;
use shaleshunt_wire::{AgentEpoch, FencingToken};

/// Most commands in one message, so that no line grows too long.
const MAX_ORDERS: usize = 300;

impl Leader {
    /// Commands that a machine needs now. Each can be repeated, so they are worked out anew every
    /// time. `forget` only goes out in the answer to a report, with no direct call under way: then
    /// no `run` of that attempt can still arrive, since earlier answers have been taken or dropped.
    pub(crate) fn commands_for(&mut self, machine: &Id, answering: bool) -> Vec<TaskCommand> {
        let Some(m) = self.fleet.machines.get_mut(machine) else { return Vec::new() };
        let mut halts = Vec::new();
        let mut runs = Vec::new();
        let mut first = Vec::new();
        for p in &mut m.placements {
            let task = || format!("{}/{}", p.job, p.task);
            match (p.stop_grace_s, p.stage) {
                (Some(_), PlacementState::Planned) | (None, PlacementState::Planned) => {}
                (Some(grace_period_s), PlacementState::Fetching | PlacementState::Running) => {
                    halts.push(TaskCommand::Stop { task: task(), attempt: p.attempt, grace_period_s });
                }
                (Some(0.0), PlacementState::Checkpointing) => {
                    halts.push(TaskCommand::Stop { task: task(), attempt: p.attempt, grace_period_s: 0.0 });
                }
                (Some(_), PlacementState::Checkpointing) => {}
                // Not seen yet: if the command arrives, the halt behind it ends it.
                (Some(_), PlacementState::Committed) => {
                    halts.push(TaskCommand::Stop { task: task(), attempt: p.attempt, grace_period_s: 0.0 });
                }
                // A direct call repeats nothing: what was lost shows in a report. An answer follows
                // a report that lacks it.
                (None, PlacementState::Committed) if p.sent && !answering => {}
                (None, PlacementState::Committed) => {
                    if answering {
                        m.call.first_starts.retain(|placement_id| *placement_id != p.placement_id);
                    } else if !p.sent {
                        first.push(p.placement_id);
                    }
                    p.sent = true;
                    runs.push(TaskCommand::Run { task: task(), attempt: p.attempt });
                }
                (None, _) => {}
            }
        }
        if !answering {
            m.call.first_starts = first;
        }
        let settled = answering && m.call.in_flight.is_none();
        for unexpected in &m.agent.unexpected_tasks {
            let (task, attempt) = (unexpected.task.clone(), unexpected.attempt);
            match unexpected.exit {
                None if m.agent.token_confirmed => halts.push(TaskCommand::Stop { task, attempt, grace_period_s: 0.0 }),
                None => {}
                Some(_) if settled => {
                    // Only after its outcome is committed.
                    let open = split_task_name(&task)
                        .is_some_and(|(job, n)| self.jobs.get(job).is_some_and(|j| j.writes.tasks.contains_key(&n)));
                    if !open {
                        runs.push(TaskCommand::Forget { task, attempt });
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
    pub(crate) fn send_due_commands(&mut self, ctx: &mut Context) {
        let now = ctx.now.monotonic_ms;
        while let Some((at, id)) = self.fleet.calls_later.first().cloned() {
            if at > now {
                break;
            }
            self.fleet.calls_later.pop_first();
            self.fleet.machines_to_call.insert(id);
        }
        for id in std::mem::take(&mut self.fleet.machines_to_call) {
            let Some(m) = self.fleet.machines.get_mut(&id) else { continue };
            if m.agent.partitioned && m.call.in_flight.is_none() {
                // What has not left would only wait there.
                self.release_unsent(now, &id);
            } else if m.call.in_flight.is_some() {
                m.call.more_to_send = true;
            } else if now < m.call.not_before {
                self.fleet.calls_later.insert((m.call.not_before, id));
            } else if !m.agent.endpoint.is_empty() && m.agent.epoch > AgentEpoch::NONE {
                self.call(ctx, &id, false);
            }
        }
        // A confirmation changes nothing at the machine, so its fate need not be known; but each
        // costs time here, and most machines report within an interval anyway.
        let most = (ctx.settings.kv_rps / 4.0).max(1.0) as u32;
        while self.fleet.confirmations_in_flight < most {
            let Some(id) = self.fleet.unconfirmed.pop_front() else { break };
            let open = |m: &Machine| {
                !m.agent.token_confirmed
                    && m.call.in_flight.is_none()
                    && !m.agent.endpoint.is_empty()
                    && m.agent.epoch > AgentEpoch::NONE
            };
            if self.fleet.machines.get(&id).is_some_and(open) {
                self.call(ctx, &id, true);
            }
        }
    }

    pub(crate) fn call(&mut self, ctx: &mut Context, id: &Id, call_confirms_token: bool) {
        let commands = self.commands_for(id, false);
        let Some(m) = self.fleet.machines.get_mut(id) else { return };
        m.call.more_to_send = false;
        // With nothing to say it is asked only to confirm the token, or that it lives.
        if commands.is_empty()
            && m.agent.token_confirmed
            && m.agent.unacknowledged_commands == 0
            && !call_confirms_token
        {
            return;
        }
        let token = FencingToken::new(self.epoch, m.agent.token_counter);
        let call_has_commands = !commands.is_empty();
        let body = DirectCommands { token, agent_epoch: m.agent.epoch, commands };
        let to = m.agent.endpoint.clone();
        let wait = self.wait(LeaderRequest::DirectCommands(id.clone()));
        let call = ctx.direct_commands(to, body, wait);
        if let Some(m) = self.fleet.machines.get_mut(id) {
            m.call.in_flight = Some(call);
            m.call.confirms_token = call_confirms_token;
            m.call.has_commands = call_has_commands;
            self.fleet.confirmations_in_flight += u32::from(call_confirms_token);
        }
    }

    pub(crate) fn handle_direct_commands_reply(
        &mut self,
        ctx: &mut Context,
        machine: &Id,
        call: RequestId,
        result: Result<DirectCommandsReply, RequestError>,
    ) {
        let now = ctx.now.monotonic_ms;
        let Some(m) = self.fleet.machines.get_mut(machine) else { return };
        if m.call.in_flight != Some(call) {
            return;
        }
        m.call.in_flight = None;
        self.fleet.confirmations_in_flight -= u32::from(std::mem::take(&mut m.call.confirms_token));
        let mut again = std::mem::take(&mut m.call.more_to_send);
        match result {
            Ok(DirectCommandsReply::Executed(r)) | Ok(DirectCommandsReply::Fenced(r)) => {
                if r.machine == **machine {
                    m.agent.unacknowledged_commands = 0;
                    self.take_heartbeat(ctx, machine, r, false);
                    if let Some(m) = self.fleet.machines.get(machine) {
                        // What came up meanwhile.
                        again |= m.placements.iter().any(|p| p.stage == PlacementState::Committed && !p.sent);
                    }
                }
            }
            Err(e) => {
                // For want of room here nothing is known of the machine.
                m.agent.unacknowledged_commands =
                    m.agent.unacknowledged_commands.saturating_add(u32::from(e != RequestError::LocalOverload));
                let pause = ctx.settings.heartbeat_interval_ms() / 3
                    * u64::from(1u32 << m.agent.unacknowledged_commands.saturating_sub(1).min(3));
                m.call.not_before = now + pause;
                again = true;
                if matches!(e, RequestError::NotSent | RequestError::LocalOverload) {
                    // What was in it never left; others can have it.
                    let never = std::mem::take(&mut m.call.first_starts);
                    m.placements.iter_mut().filter(|p| never.contains(&p.placement_id)).for_each(|p| p.sent = false);
                    // The answer to its next report can carry them, if it is not the machine's doing.
                    if e == RequestError::NotSent {
                        self.release_unsent(now, machine);
                    }
                } else if m.call.has_commands {
                    // It may be executed minutes later. A higher token makes the machine refuse it;
                    // until a report confirms that token, nothing here is released or forgotten.
                    m.agent.token_counter += 1;
                    m.agent.token_confirmed = false;
                }
            }
        }
        if again {
            self.fleet.machines_to_call.insert(machine.clone());
        }
    }

    /// Releases what was to go to a machine and has not left.
    pub(crate) fn release_unsent(&mut self, now: u64, machine: &Id) {
        let Some(m) = self.fleet.machines.get(machine) else { return };
        let unsent = |p: &&Placement| !p.sent && p.stage == PlacementState::Committed;
        let slots: Vec<u64> = m.placements.iter().filter(unsent).map(|p| p.placement_id).collect();
        for placement_id in slots {
            self.release_placement(now, machine, placement_id, false);
        }
    }
}
