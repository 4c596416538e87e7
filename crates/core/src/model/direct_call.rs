//! The direct call to a machine's agent: at most one is under way.

use crate::request_id::RequestId;

/// Why an agent is called.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallPurpose {
    /// To send it commands.
    SendCommands,
    /// To hear whether it lives and has seen the fencing token.
    ConfirmToken,
}

/// A direct call under way.
#[derive(Debug)]
pub struct CallInFlight {
    /// The request.
    pub request: RequestId,
    /// Why it was made.
    pub purpose: CallPurpose,
    /// It holds commands.
    pub has_commands: bool,
    /// Placements of which a `run` left with it for the first time, and with nothing since.
    pub first_starts: Vec<u64>,
    /// Something is to be sent as soon as it is over.
    pub follow_up_needed: bool,
}

/// The direct call to a machine's agent.
#[derive(Debug, Default)]
pub struct DirectCall {
    in_flight: Option<CallInFlight>,
    /// No call before this time (ms, monotonic), since an earlier one failed.
    not_before: u64,
}

impl DirectCall {
    /// The call under way.
    pub fn in_flight(&self) -> Option<&CallInFlight> {
        self.in_flight.as_ref()
    }

    /// Whether no call is under way.
    pub fn is_idle(&self) -> bool {
        self.in_flight.is_none()
    }

    /// Until when no call is to be made after an earlier one failed.
    pub fn not_before(&self) -> u64 {
        self.not_before
    }

    /// A call has been made.
    pub fn begin(&mut self, call: CallInFlight) {
        self.in_flight = Some(call);
    }

    /// Ends the call under way if it is that request.
    pub fn finish(&mut self, request: RequestId) -> Option<CallInFlight> {
        self.in_flight.take_if(|call| call.request == request)
    }

    /// No call is to be made before this time.
    pub fn back_off_until(&mut self, time: u64) {
        self.not_before = time;
    }

    /// Something is to be sent once the call under way is over.
    pub fn request_follow_up_call(&mut self) {
        if let Some(call) = &mut self.in_flight {
            call.follow_up_needed = true;
        }
    }

    /// A `run` leaves by another way: it no longer counts as one that left with the call alone.
    pub fn remove_first_start(&mut self, placement_id: u64) {
        if let Some(call) = &mut self.in_flight {
            call.first_starts.retain(|id| *id != placement_id);
        }
    }
}

#[cfg(test)]
mod tests;
