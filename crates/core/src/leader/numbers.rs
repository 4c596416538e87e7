//! Numbers that a leader assigns within its epoch, and the step down before they are used up.

use crate::controller::Context;
use crate::leader::Leader;
use crate::step_down::StepDownReason;
use shaleshunt_wire::{Attempt, FencingToken};

/// The last numbers that a leader has assigned; 0 if it has assigned none.
#[derive(Debug, Default)]
pub(super) struct LeaderNumbers {
    attempt: u64,
    placement_id: u64,
}

impl LeaderNumbers {
    /// Whether so few attempts are left that no further task may be placed in this epoch.
    pub(super) fn attempts_nearly_used_up(&self) -> bool {
        is_nearly_used_up(self.attempt, Attempt::MAX_COUNTER)
    }
}

/// Whether a counter is beyond fifteen sixteenths of its maximum.
fn is_nearly_used_up(counter: u64, max: u64) -> bool {
    counter > max - max / 16
}

impl Leader {
    /// Returns a new attempt number, unique over all epochs.
    pub(crate) fn next_attempt(&mut self) -> Attempt {
        self.numbers.attempt += 1;
        Attempt::new(self.epoch, self.numbers.attempt)
    }

    /// Returns a new placement ID, unique within this process.
    pub(crate) fn next_placement_id(&mut self) -> u64 {
        self.numbers.placement_id += 1;
        self.numbers.placement_id
    }

    /// Steps down if the attempts or the tokens of a machine are nearly used up: the next epoch has new ones. Waits
    /// while machine leases may not be renewed, because the store may not answer an election either.
    pub(super) fn hand_over_before_numbers_end(&mut self, ctx: &Context) {
        let highest_counter = self.fleet.machines.values().map(|machine| machine.agent.fencing.counter()).max();
        let tokens_nearly_used_up =
            highest_counter.is_some_and(|counter| is_nearly_used_up(counter, FencingToken::MAX_COUNTER));
        if (tokens_nearly_used_up || self.numbers.attempts_nearly_used_up()) && self.may_renew_leases(ctx) {
            self.step_down = Some(StepDownReason::NumbersExhausted);
        }
    }
}

#[cfg(test)]
mod tests;
