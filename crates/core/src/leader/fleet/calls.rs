//! Direct calls to be made: at once, at a time, or to confirm the fencing token.

use crate::model::{Id, Machine};
use std::collections::{BTreeSet, VecDeque};

/// Machines to be called.
#[derive(Debug, Default)]
pub(crate) struct CallQueue {
    due: BTreeSet<Id>,
    later: BTreeSet<(u64, Id)>,
    unconfirmed: VecDeque<Id>,
    confirmations_in_flight: u32,
}

/// What is to be done about a machine that is to be sent something.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum CallDecision {
    /// Call it now.
    Call,
    /// Once the call under way is over.
    AfterCurrentCall,
    /// At this time, since an earlier call failed.
    Later(u64),
    /// Its zone is cut off: what has not left would only wait, so it is released.
    ReleaseUnsent,
    /// It has never been heard, so there is nobody to call.
    AgentUnknown,
}

/// Decides how to send something to a machine.
pub(crate) fn decide_call(machine: &Machine, now: u64) -> CallDecision {
    if !machine.call.is_idle() {
        CallDecision::AfterCurrentCall
    } else if machine.agent.partitioned {
        CallDecision::ReleaseUnsent
    } else if now < machine.call.not_before() {
        CallDecision::Later(machine.call.not_before())
    } else if machine.agent.can_be_called() {
        CallDecision::Call
    } else {
        CallDecision::AgentUnknown
    }
}

impl CallQueue {
    /// A machine is to be sent something at once.
    pub(crate) fn call_soon(&mut self, machine: Id) {
        self.due.insert(machine);
    }

    /// A machine is to be sent something at this time.
    pub(crate) fn call_at(&mut self, time: u64, machine: Id) {
        self.later.insert((time, machine));
    }

    /// Takes the machines out that are to be called now.
    pub(crate) fn take_due(&mut self, now: u64) -> BTreeSet<Id> {
        while self.later.first().is_some_and(|(time, _)| *time <= now) {
            self.due.extend(self.later.pop_first().map(|(_, machine)| machine));
        }
        std::mem::take(&mut self.due)
    }

    /// A machine is to be asked to confirm the fencing token.
    pub(crate) fn confirm_token(&mut self, machine: Id) {
        self.unconfirmed.push_back(machine);
    }

    /// These machines, and no others, are to be asked to confirm the fencing token.
    pub(crate) fn set_unconfirmed(&mut self, machines: impl Iterator<Item = Id>) {
        self.unconfirmed = machines.collect();
    }

    /// The next machine to be asked to confirm the fencing token that still needs it, if fewer than
    /// `most` are being asked.
    pub(crate) fn next_unconfirmed(&mut self, most: u32, needs_it: impl Fn(&str) -> bool) -> Option<Id> {
        if self.confirmations_in_flight >= most {
            return None;
        }
        std::iter::from_fn(|| self.unconfirmed.pop_front()).find(|id| needs_it(id))
    }

    /// A machine has been asked to confirm the fencing token.
    pub(crate) fn confirmation_started(&mut self) {
        self.confirmations_in_flight += 1;
    }

    /// A machine has answered, or never will.
    pub(crate) fn confirmation_ended(&mut self) {
        self.confirmations_in_flight -= 1;
    }
}

#[cfg(test)]
mod tests;
