//! The direct call to a machine's agent. At most one is in flight per machine.

use crate::request_id::RequestId;
use shaleshunt_wire::{AgentEpoch, FencingToken};

/// Purpose of a direct call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallPurpose {
    /// Send commands to the agent.
    SendCommands,
    /// Check that the agent is alive and has seen the current fencing token.
    ConfirmToken,
}

/// A direct call in flight.
#[derive(Debug)]
pub struct CallInFlight {
    /// Identifier of the request.
    pub request: RequestId,
    /// Why the call was made.
    pub purpose: CallPurpose,
    /// Fencing token of the call.
    pub token: FencingToken,
    /// Agent epoch that the call is for.
    pub agent_epoch: AgentEpoch,
    /// Whether the call carries commands.
    pub has_commands: bool,
    /// Placements whose first `run` command is in this call and has been sent no other way since. They can be released
    /// if the call was never sent.
    pub first_starts: Vec<u64>,
    /// Whether another call is needed as soon as this one ends.
    pub follow_up_needed: bool,
}

/// Direct-call state of a machine's agent.
#[derive(Debug, Default)]
pub struct DirectCall {
    in_flight: Option<CallInFlight>,
    /// No call is made before this time (ms, monotonic), because an earlier call failed; 0 without a failure.
    not_before_ms: u64,
}

impl DirectCall {
    /// The call in flight, if any.
    pub fn in_flight(&self) -> Option<&CallInFlight> {
        self.in_flight.as_ref()
    }

    /// Whether no call is in flight.
    pub fn is_idle(&self) -> bool {
        self.in_flight.is_none()
    }

    /// Earliest time of the next call (ms, monotonic), set after a failed call.
    pub fn not_before_ms(&self) -> u64 {
        self.not_before_ms
    }

    /// Records a call that was made.
    pub fn begin(&mut self, call: CallInFlight) {
        self.in_flight = Some(call);
    }

    /// Ends the call in flight and returns it, if it is the call of this request.
    pub fn finish(&mut self, request: RequestId) -> Option<CallInFlight> {
        self.in_flight.take_if(|call| call.request == request)
    }

    /// Forbids calls before `time_ms` (monotonic).
    pub fn back_off_until(&mut self, time_ms: u64) {
        self.not_before_ms = time_ms;
    }

    /// Requests another call after the call in flight, if there is one.
    pub fn request_follow_up_call(&mut self) {
        if let Some(call) = &mut self.in_flight {
            call.follow_up_needed = true;
        }
    }

    /// Removes a placement from the first starts of the call in flight: its `run` command was also sent in a heartbeat
    /// reply, so it may arrive even if the call fails.
    pub fn remove_first_start(&mut self, placement_id: u64) {
        if let Some(call) = &mut self.in_flight {
            call.first_starts.retain(|id| *id != placement_id);
        }
    }
}

#[cfg(test)]
mod tests;
