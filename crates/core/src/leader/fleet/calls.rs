//! Queue of direct calls: at once, at a later time, or to confirm the fencing token.

use crate::model::{Id, Machine};
use std::collections::{BTreeSet, VecDeque};

/// Machines to call, and the number of token confirmations in flight.
#[derive(Debug, Default)]
pub(crate) struct CallQueue {
    due: BTreeSet<Id>,
    later: BTreeSet<(u64, Id)>,
    unconfirmed: VecDeque<Id>,
    confirmations_in_flight: u32,
}

/// How to proceed with a machine that needs a direct call.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum CallDecision {
    /// Call the machine now.
    Call,
    /// Call the machine after the call in flight.
    AfterCurrentCall,
    /// Call the machine at this time (ms, monotonic), because an earlier call failed.
    Later(u64),
    /// Release unsent placements, because the machine's zone is partitioned and they would only wait.
    ReleaseUnsent,
    /// Make no call, because the agent's address or epoch is unknown.
    AgentUnknown,
}

/// Decides when to call a machine.
pub(crate) fn decide_call(machine: &Machine, now: u64) -> CallDecision {
    if !machine.call.is_idle() {
        CallDecision::AfterCurrentCall
    } else if machine.agent.partitioned {
        CallDecision::ReleaseUnsent
    } else if now < machine.call.not_before_ms() {
        CallDecision::Later(machine.call.not_before_ms())
    } else if machine.agent.can_be_called() {
        CallDecision::Call
    } else {
        CallDecision::AgentUnknown
    }
}

impl CallQueue {
    /// Queues a machine for a call at once.
    pub(crate) fn call_soon(&mut self, machine: Id) {
        self.due.insert(machine);
    }

    /// Queues a machine for a call at the given time (ms, monotonic).
    pub(crate) fn call_at(&mut self, time_ms: u64, machine: Id) {
        self.later.insert((time_ms, machine));
    }

    /// Removes and returns the machines to call now.
    pub(crate) fn take_due(&mut self, now: u64) -> BTreeSet<Id> {
        while self.later.first().is_some_and(|(time_ms, _)| *time_ms <= now) {
            self.due.extend(self.later.pop_first().map(|(_, machine)| machine));
        }
        std::mem::take(&mut self.due)
    }

    /// Queues a machine for a confirmation of the fencing token.
    pub(crate) fn confirm_token(&mut self, machine: Id) {
        self.unconfirmed.push_back(machine);
    }

    /// Replaces the queue of machines that are to confirm the fencing token.
    pub(crate) fn set_unconfirmed(&mut self, machines: impl Iterator<Item = Id>) {
        self.unconfirmed = machines.collect();
    }

    /// Removes and returns the next machine that still needs to confirm the fencing token, if fewer than
    /// `max_in_flight` confirmations are in flight. Drops those that need none.
    pub(crate) fn next_unconfirmed(
        &mut self,
        max_in_flight: u32,
        needs_confirmation: impl Fn(&str) -> bool,
    ) -> Option<Id> {
        if self.confirmations_in_flight >= max_in_flight {
            return None;
        }
        std::iter::from_fn(|| self.unconfirmed.pop_front()).find(|id| needs_confirmation(id))
    }

    /// Records that a machine was asked to confirm the fencing token.
    pub(crate) fn confirmation_started(&mut self) {
        self.confirmations_in_flight += 1;
    }

    /// Records that a confirmation was answered or cannot be any more.
    pub(crate) fn confirmation_ended(&mut self) {
        self.confirmations_in_flight -= 1;
    }
}

#[cfg(test)]
mod tests;
