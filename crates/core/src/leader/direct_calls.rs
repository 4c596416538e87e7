//! Direct calls to machines' agents: commands that should not wait for the next heartbeat, and
//! questions whether an agent lives and has seen the fencing token.

use crate::controller::Context;
use crate::io::{DirectCommandsReply, RequestError, RequestId};
use crate::leader::fleet::calls::{CallDecision, decide_call};
use crate::leader::fleet::commands::{CommandChannel, MachineCommands, commands_for};
use crate::leader::heartbeats::HeartbeatSource;
use crate::leader::{Leader, LeaderRequest};
use crate::model::{CallInFlight, CallPurpose, Id, Placement, PlacementState};
use shaleshunt_wire::worker::{DirectCommands, Heartbeat};

/// After a failed call the next waits for this part of a heartbeat interval, and after each further
/// one for twice as long, up to so many doublings.
const PAUSE_PART: u64 = 3;
const MOST_DOUBLINGS: u32 = 3;

impl Leader {
    /// Works out the commands that a machine needs now, and notes which tasks they start.
    pub(crate) fn take_commands(&mut self, machine: &Id, channel: CommandChannel) -> MachineCommands {
        let jobs = &self.jobs;
        let Some(m) = self.fleet.machines.get_mut(machine) else { return MachineCommands::default() };
        let outcome_pending =
            |job: &str, task: u32| jobs.get(job).is_some_and(|job| job.writes.tasks.contains_key(&task));
        let planned = commands_for(m, channel, outcome_pending);
        for placement_id in &planned.starts {
            if channel == CommandChannel::HeartbeatReply {
                m.call.remove_first_start(*placement_id);
            }
            if let Some(placement) = m.placement_mut(*placement_id) {
                placement.start_sent = true;
            }
        }
        planned
    }

    /// Makes the direct calls that are due.
    pub(crate) fn send_due_commands(&mut self, ctx: &mut Context) {
        let now = ctx.now.monotonic_ms;
        for id in self.fleet.calls.take_due(now) {
            let Some(m) = self.fleet.machines.get_mut(&id) else { continue };
            match decide_call(m, now) {
                CallDecision::Call => self.call(ctx, &id, CallPurpose::SendCommands),
                CallDecision::AfterCurrentCall => m.call.request_follow_up_call(),
                CallDecision::Later(time) => self.fleet.calls.call_at(time, id),
                CallDecision::ReleaseUnsent => self.release_unsent(now, &id),
                CallDecision::AgentUnknown => {}
            }
        }
        // A confirmation changes nothing at the machine, so its fate need not be known; but each
        // costs time here, and most machines send a heartbeat within an interval anyway.
        let most = (ctx.settings.kv_rps / 4.0).max(1.0) as u32;
        while let Some(id) = self.fleet.next_to_confirm(most) {
            self.call(ctx, &id, CallPurpose::ConfirmToken);
        }
    }

    /// Calls a machine's agent with the commands that it needs now. With none it is asked only to
    /// confirm the token, or that it lives; and not at all if nothing is to be learnt.
    pub(crate) fn call(&mut self, ctx: &mut Context, id: &Id, purpose: CallPurpose) {
        let MachineCommands { commands, starts } = self.take_commands(id, CommandChannel::DirectCall);
        let pending = self.pending_request(LeaderRequest::DirectCommands(id.clone()));
        let Some(m) = self.fleet.machines.get_mut(id) else { return };
        let nothing_to_learn = m.agent.token_confirmed && m.agent.unacknowledged_commands == 0;
        if commands.is_empty() && nothing_to_learn && purpose == CallPurpose::SendCommands {
            return;
        }
        let has_commands = !commands.is_empty();
        let body = DirectCommands { token: m.agent.token(self.epoch), agent_epoch: m.agent.epoch, commands };
        let request = ctx.send_direct_commands(m.agent.endpoint.clone(), body, pending);
        m.call.begin(CallInFlight { request, purpose, has_commands, first_starts: starts, follow_up_needed: false });
        if purpose == CallPurpose::ConfirmToken {
            self.fleet.calls.confirmation_started();
        }
    }

    /// A direct call has been answered, or has failed.
    pub(crate) fn handle_direct_commands_reply(
        &mut self,
        ctx: &mut Context,
        machine: &Id,
        request: RequestId,
        result: Result<DirectCommandsReply, RequestError>,
    ) {
        let finished = self.fleet.machines.get_mut(machine).and_then(|m| m.call.finish(request));
        let Some(call) = finished else { return };
        if call.purpose == CallPurpose::ConfirmToken {
            self.fleet.calls.confirmation_ended();
        }
        let follow_up_needed = call.follow_up_needed;
        let call_again = match result {
            Ok(DirectCommandsReply::Executed(heartbeat) | DirectCommandsReply::Fenced(heartbeat)) => {
                self.direct_call_answered(ctx, machine, heartbeat)
            }
            Err(error) => {
                self.direct_call_failed(ctx, machine, call, error);
                true
            }
        };
        if follow_up_needed || call_again {
            self.fleet.calls.call_soon(machine.clone());
        }
    }

    /// An agent has answered a direct call with a heartbeat. Returns whether it is to be called
    /// again for what came up meanwhile.
    fn direct_call_answered(&mut self, ctx: &mut Context, machine: &Id, heartbeat: Heartbeat) -> bool {
        // Another machine may have got the address since.
        if heartbeat.machine != **machine {
            return false;
        }
        if let Some(m) = self.fleet.machines.get_mut(machine) {
            m.agent.record_acknowledged_command();
        }
        self.take_heartbeat(ctx, machine, heartbeat, HeartbeatSource::DirectCall);
        self.fleet.machines.get(machine).is_some_and(|m| m.placements.iter().any(is_unsent))
    }

    /// A direct call has failed, so that what it held may or may not be carried out.
    fn direct_call_failed(&mut self, ctx: &Context, machine: &Id, call: CallInFlight, error: RequestError) {
        let now = ctx.now.monotonic_ms;
        let Some(m) = self.fleet.machines.get_mut(machine) else { return };
        // For want of room here nothing is known of the machine.
        if error != RequestError::LocalOverload {
            m.agent.record_unacknowledged_command();
        }
        let doublings = m.agent.unacknowledged_commands.saturating_sub(1).min(MOST_DOUBLINGS);
        m.call.back_off_until(now + ctx.settings.heartbeat_interval_ms() / PAUSE_PART * u64::from(1u32 << doublings));
        if matches!(error, RequestError::NotSent | RequestError::LocalOverload) {
            // What was in it never left; others can have it.
            for placement in m.placements.iter_mut().filter(|p| call.first_starts.contains(&p.placement_id)) {
                placement.start_sent = false;
            }
            // The reply to its next heartbeat can carry them, if it is not the machine's doing.
            if error == RequestError::NotSent {
                self.release_unsent(now, machine);
            }
        } else if call.has_commands {
            // It may be executed minutes later.
            m.agent.raise_token();
        }
    }

    /// Releases what was to go to a machine and has not left.
    fn release_unsent(&mut self, now: u64, machine: &Id) {
        let Some(m) = self.fleet.machines.get(machine) else { return };
        let unsent: Vec<u64> = m.placements.iter().filter(|p| is_unsent(p)).map(|p| p.placement_id).collect();
        for placement_id in unsent {
            self.release_unfinished(now, machine, placement_id);
        }
    }
}

/// Whether a placement is committed and its start command has not left.
fn is_unsent(placement: &Placement) -> bool {
    !placement.start_sent && placement.state == PlacementState::Committed
}
