//! Direct calls: requests that the leader sends to an agent instead of waiting for the agent's next heartbeat. A call
//! carries commands, or only checks that the agent is alive and has seen the current fencing token.

use crate::controller::Context;
use crate::io::{DirectCommandsReply, RequestError, RequestId};
use crate::leader::fencing::fence_forgotten_attempts;
use crate::leader::fleet::calls::{CallDecision, decide_call};
use crate::leader::fleet::commands::{CommandChannel, MachineCommands, commands_for};
use crate::leader::heartbeats::HeartbeatSource;
use crate::leader::{Leader, LeaderRequest};
use crate::model::{CallInFlight, CallPurpose, Id, Placement, PlacementState};
use shaleshunt_wire::worker::{DirectCommands, Heartbeat};

/// After a failed call, the next call waits for a heartbeat interval divided by this number.
const INITIAL_BACKOFFS_PER_HEARTBEAT: u64 = 3;
/// The wait doubles with each further failure in a row, at most this many times.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

impl Leader {
    /// Returns the commands that a machine needs now, and records which start commands are thereby sent. The token is
    /// raised if it would not fence off a start command of an attempt that the machine is to forget.
    pub(crate) fn take_commands(&mut self, machine: &Id, channel: CommandChannel) -> MachineCommands {
        let jobs = &self.jobs;
        let Some(m) = self.fleet.machines.get_mut(machine) else { return MachineCommands::default() };
        let outcome_pending =
            |job: &str, task: u32| jobs.get(job).is_some_and(|job| job.writes.tasks.contains_key(&task));
        let mut planned = commands_for(m, channel, outcome_pending);
        for placement_id in &planned.starts {
            let Some(placement) = m.placement_mut(*placement_id) else { continue };
            placement.start_sent = true;
            let attempt = placement.attempt;
            match channel {
                CommandChannel::HeartbeatReply => m.call.remove_first_start(*placement_id),
                CommandChannel::DirectCall => m.agent.fencing.record_direct_start(attempt),
            }
        }
        let fenced = fence_forgotten_attempts(m, &mut planned.commands);
        self.step_down_if_exhausted(fenced);
        planned
    }

    /// Makes the direct calls that are due, then asks further agents to confirm the fencing token, up to the limit on
    /// confirmations in flight.
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
        // Confirmations change nothing on a machine, so a lost reply does no harm. Their number in flight is limited
        // because each one costs processor time of the leader, and most machines send a heartbeat within an interval
        // anyway.
        let max_confirmations = (ctx.settings.kv_rps / 4.0).max(1.0) as u32;
        while let Some(id) = self.fleet.next_to_confirm(max_confirmations) {
            self.call(ctx, &id, CallPurpose::ConfirmToken);
        }
    }

    /// Sends a direct call with the commands that the machine needs now. A call without commands only lets the agent
    /// confirm the fencing token or show that it is alive. A call made to send commands is skipped if there are none,
    /// the token is confirmed and no command is unacknowledged, because the reply could tell nothing new.
    pub(crate) fn call(&mut self, ctx: &mut Context, id: &Id, purpose: CallPurpose) {
        let MachineCommands { commands, starts } = self.take_commands(id, CommandChannel::DirectCall);
        let pending = self.pending_request(LeaderRequest::DirectCommands(id.clone()));
        let Some(m) = self.fleet.machines.get(id) else { return };
        let is_confirmed = m.agent.token_confirmed && m.agent.unacknowledged_commands == 0;
        if commands.is_empty() && is_confirmed && purpose == CallPurpose::SendCommands {
            return;
        }
        let has_commands = !commands.is_empty();
        let (token, agent_epoch) = (m.agent.token(self.epoch), m.agent.epoch);
        self.log_commands(ctx, id, token, &commands);
        let Some(m) = self.fleet.machines.get_mut(id) else { return };
        let body = DirectCommands { token, agent_epoch, commands };
        let request = ctx.send_direct_commands(m.agent.endpoint.clone(), body, pending);
        m.call.begin(CallInFlight {
            request,
            purpose,
            token,
            agent_epoch,
            has_commands,
            first_starts: starts,
            follow_up_needed: false,
        });
        if purpose == CallPurpose::ConfirmToken {
            self.fleet.calls.confirmation_started();
        }
    }

    /// Handles the reply to a direct call, or its failure.
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
            Ok(DirectCommandsReply::Executed(heartbeat)) => self.direct_call_answered(ctx, machine, heartbeat),
            Ok(DirectCommandsReply::Fenced(heartbeat)) => {
                self.log_refused_call(ctx, &call, &heartbeat);
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

    /// Processes the heartbeat with which an agent answered a direct call. Returns whether to call the agent again,
    /// because start commands of committed placements are still unsent.
    fn direct_call_answered(&mut self, ctx: &mut Context, machine: &Id, heartbeat: Heartbeat) -> bool {
        // A reply from another machine is ignored: the address may have been reassigned since the call was sent.
        if heartbeat.machine != **machine {
            return false;
        }
        if let Some(m) = self.fleet.machines.get_mut(machine) {
            m.agent.record_acknowledged_command();
        }
        self.process_heartbeat(ctx, machine, heartbeat, HeartbeatSource::DirectCall);
        self.fleet.machines.get(machine).is_some_and(|m| m.placements.iter().any(is_unsent))
    }

    /// Handles a failed direct call. Unless the call was never sent, the agent may or may not execute its commands.
    fn direct_call_failed(&mut self, ctx: &Context, machine: &Id, call: CallInFlight, error: RequestError) {
        let now = ctx.now.monotonic_ms;
        let Some(m) = self.fleet.machines.get_mut(machine) else { return };
        // A call that failed for lack of local resources tells nothing about the machine.
        if error != RequestError::LocalOverload {
            m.agent.record_unacknowledged_command();
        }
        let doublings = m.agent.unacknowledged_commands.saturating_sub(1).min(MAX_BACKOFF_DOUBLINGS);
        m.call.back_off_until(
            now + ctx.settings.heartbeat_interval_ms() / INITIAL_BACKOFFS_PER_HEARTBEAT * u64::from(1u32 << doublings),
        );
        if matches!(error, RequestError::NotSent | RequestError::LocalOverload) {
            // The commands never left this process, so the tasks may be placed on other machines.
            for placement in m.placements.iter_mut().filter(|p| call.first_starts.contains(&p.placement_id)) {
                placement.start_sent = false;
            }
            // After a local overload the placements stay: the machine is not at fault, and the reply to its next
            // heartbeat can carry the commands.
            if error == RequestError::NotSent {
                self.release_unsent(now, machine);
            }
        } else if call.has_commands {
            // The commands may still reach the agent, even minutes later. Once the agent has seen the raised token, it
            // refuses them.
            let raised = m.agent.raise_token();
            self.step_down_if_exhausted(raised);
        }
    }

    /// Releases the committed placements on a machine whose start commands have not been sent.
    fn release_unsent(&mut self, now: u64, machine: &Id) {
        let Some(m) = self.fleet.machines.get(machine) else { return };
        let unsent: Vec<u64> = m.placements.iter().filter(|p| is_unsent(p)).map(|p| p.placement_id).collect();
        for placement_id in unsent {
            self.release_unfinished(now, machine, placement_id);
        }
    }
}

/// Whether a placement is committed and its start command has not been sent.
fn is_unsent(placement: &Placement) -> bool {
    !placement.start_sent && placement.state == PlacementState::Committed
}
