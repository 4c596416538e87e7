//! Direct calls to agents: commands that should not wait for the next heartbeat, and probes for whether an agent
//! is alive and has seen the fencing token.

use crate::controller::Context;
use crate::io::{DirectCommandsReply, RequestError, RequestId};
use crate::leader::fleet::calls::{CallDecision, decide_call};
use crate::leader::fleet::commands::{CommandChannel, MachineCommands, commands_for};
use crate::leader::heartbeats::HeartbeatSource;
use crate::leader::{Leader, LeaderRequest};
use crate::model::{CallInFlight, CallPurpose, Id, Placement, PlacementState};
use shaleshunt_wire::worker::{DirectCommands, Heartbeat};

/// Backoff after failed calls: the first is the heartbeat interval divided by this number, and it doubles with
/// each further failure up to a maximum number of doublings.
const INITIAL_BACKOFFS_PER_HEARTBEAT: u64 = 3;
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

impl Leader {
    /// Returns the commands that a machine needs now, and marks the placements that they start as sent.
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

    /// Sends the direct calls that are due, and probes agents for the fencing token within the limit on concurrent
    /// confirmations.
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
        // A confirmation has no effect on the machine, so a lost reply does no harm. Each one costs processor time
        // of the leader, though, and most machines send a heartbeat within an interval anyway.
        let max_confirmations = (ctx.settings.kv_rps / 4.0).max(1.0) as u32;
        while let Some(id) = self.fleet.next_to_confirm(max_confirmations) {
            self.call(ctx, &id, CallPurpose::ConfirmToken);
        }
    }

    /// Calls the agent of a machine with the commands that it needs now. A call without commands only asks the
    /// agent to confirm the fencing token or to show that it is alive; it is skipped if the reply could tell
    /// nothing new.
    pub(crate) fn call(&mut self, ctx: &mut Context, id: &Id, purpose: CallPurpose) {
        let MachineCommands { commands, starts } = self.take_commands(id, CommandChannel::DirectCall);
        let pending = self.pending_request(LeaderRequest::DirectCommands(id.clone()));
        let Some(m) = self.fleet.machines.get_mut(id) else { return };
        let is_confirmed = m.agent.token_confirmed && m.agent.unacknowledged_commands == 0;
        if commands.is_empty() && is_confirmed && purpose == CallPurpose::SendCommands {
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

    /// Processes the heartbeat with which an agent answered a direct call. Returns whether the agent has to be
    /// called again, for placements committed in the meantime.
    fn direct_call_answered(&mut self, ctx: &mut Context, machine: &Id, heartbeat: Heartbeat) -> bool {
        // Another machine may have received the address since the call was sent.
        if heartbeat.machine != **machine {
            return false;
        }
        if let Some(m) = self.fleet.machines.get_mut(machine) {
            m.agent.record_acknowledged_command();
        }
        self.process_heartbeat(ctx, machine, heartbeat, HeartbeatSource::DirectCall);
        self.fleet.machines.get(machine).is_some_and(|m| m.placements.iter().any(is_unsent))
    }

    /// Handles a failed direct call, whose commands may or may not be executed.
    fn direct_call_failed(&mut self, ctx: &Context, machine: &Id, call: CallInFlight, error: RequestError) {
        let now = ctx.now.monotonic_ms;
        let Some(m) = self.fleet.machines.get_mut(machine) else { return };
        // A failure for lack of local resources tells nothing about the machine.
        if error != RequestError::LocalOverload {
            m.agent.record_unacknowledged_command();
        }
        let doublings = m.agent.unacknowledged_commands.saturating_sub(1).min(MAX_BACKOFF_DOUBLINGS);
        m.call.back_off_until(
            now + ctx.settings.heartbeat_interval_ms() / INITIAL_BACKOFFS_PER_HEARTBEAT * u64::from(1u32 << doublings),
        );
        if matches!(error, RequestError::NotSent | RequestError::LocalOverload) {
            // The commands never left this process, so other machines may take the tasks.
            for placement in m.placements.iter_mut().filter(|p| call.first_starts.contains(&p.placement_id)) {
                placement.start_sent = false;
            }
            // After a local overload the machine is not at fault, and the reply to its next heartbeat can carry
            // the commands.
            if error == RequestError::NotSent {
                self.release_unsent(now, machine);
            }
        } else if call.has_commands {
            // The agent may still execute the commands, even minutes later.
            m.agent.raise_token();
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
