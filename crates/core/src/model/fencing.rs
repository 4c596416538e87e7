//! The fencing token of one machine within a leadership, and the direct calls that it fences off.
//!
//! The network may deliver a direct call once more after it was executed and answered, minutes later. The agent refuses
//! the copy only if it has seen a higher token meanwhile. So an answer does not prove that a start command cannot arrive
//! any more; only a higher token does.
//!
//! The token is the leader epoch and a counter. The counter never exceeds [`FencingToken::MAX_COUNTER`], so that a token
//! never belongs to the range of the next epoch. When it cannot be raised any more, the leader steps down.

use shaleshunt_wire::{Attempt, Epoch, FencingToken};

/// The counter has reached its maximum, so the token cannot be raised in this epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the fencing token's counter is exhausted")]
pub struct TokenExhausted;

/// Fencing token of a machine, and the attempts whose start commands it does not fence off.
#[derive(Debug, Default)]
pub struct Fencing {
    /// Counter of the token for commands.
    counter: u64,
    /// Lowest counter that a heartbeat must show to prove anything.
    required_counter: u64,
    /// Attempts of which a direct call under the current token carried the start command.
    direct_starts: Vec<Attempt>,
}

impl Fencing {
    /// Fencing of a machine whose tokens have to be `counter` or higher.
    pub fn starting_at(counter: u64) -> Fencing {
        let counter = counter.min(FencingToken::MAX_COUNTER);
        Fencing { counter, required_counter: counter, direct_starts: Vec::new() }
    }

    /// Counter of the token for commands.
    pub fn counter(&self) -> u64 {
        self.counter
    }

    /// Token for commands.
    pub fn token(&self, leader: Epoch) -> FencingToken {
        FencingToken::new(leader, self.counter)
    }

    /// Lowest token that a heartbeat must show to prove anything.
    pub fn required_token(&self, leader: Epoch) -> FencingToken {
        FencingToken::new(leader, self.required_counter)
    }

    /// Attempts whose start commands may arrive once more although a heartbeat shows the current token.
    pub fn direct_starts(&self) -> &[Attempt] {
        &self.direct_starts
    }

    /// Records that a direct call under the current token carries the start command of an attempt.
    pub fn record_direct_start(&mut self, attempt: Attempt) {
        if !self.direct_starts.contains(&attempt) {
            self.direct_starts.push(attempt);
        }
    }

    /// Raises the token, so that the agent refuses copies of answered direct calls once it has seen it. Heartbeats under
    /// the former token remain proofs.
    ///
    /// # Errors
    ///
    /// If the counter is at its maximum; nothing is changed then.
    pub fn fence_direct_starts(&mut self) -> Result<(), TokenExhausted> {
        if self.counter >= FencingToken::MAX_COUNTER {
            return Err(TokenExhausted);
        }
        self.counter += 1;
        self.direct_starts.clear();
        Ok(())
    }

    /// Raises the token, and requires heartbeats to show the new one.
    ///
    /// # Errors
    ///
    /// If the counter is at its maximum; nothing is changed then.
    pub fn raise(&mut self) -> Result<(), TokenExhausted> {
        self.fence_direct_starts()?;
        self.required_counter = self.counter;
        Ok(())
    }

    /// Raises the token above `counter` if it is not, and requires heartbeats to show the new one.
    ///
    /// # Errors
    ///
    /// If `counter` is the maximum; the token is at the maximum then.
    pub fn raise_above(&mut self, counter: u64) -> Result<(), TokenExhausted> {
        if self.counter > counter {
            return Ok(());
        }
        self.counter = counter.min(FencingToken::MAX_COUNTER);
        self.required_counter = self.counter;
        self.raise()
    }
}

#[cfg(test)]
mod tests;
