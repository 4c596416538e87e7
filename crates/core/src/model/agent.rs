//! The leader's view of the agent on a machine, built from heartbeats and from the results of commands.

use crate::model::{Fencing, TokenExhausted};
use shaleshunt_wire::worker::ExitCause;
use shaleshunt_wire::{AgentEpoch, Attempt, Epoch, FencingToken};

/// Position of a heartbeat in the sequence of all heartbeats of one machine: later heartbeats compare greater.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct HeartbeatOrder {
    /// Epoch of the agent that sent the heartbeat.
    pub agent_epoch: AgentEpoch,
    /// Sequence number within the agent epoch.
    pub sequence: u64,
}

/// A task in a heartbeat for which the leader has no placement on that machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnexpectedTask {
    /// Task name as reported.
    pub task: String,
    /// Attempt at the task, as reported.
    pub attempt: Attempt,
    /// Exit cause; absent while the task has not ended.
    pub exit: Option<ExitCause>,
}

/// State of the agent on a machine, as known from heartbeats and from the results of commands.
#[derive(Debug, Default)]
pub struct Agent {
    /// Address for direct calls; empty until known.
    pub endpoint: String,
    /// Agent epoch of the newest accepted heartbeat. Placements for an earlier epoch no longer exist.
    pub epoch: AgentEpoch,
    /// When this leader last received a heartbeat (ms, monotonic); absent before the first one.
    pub last_heartbeat_ms: Option<u64>,
    /// Position of the newest accepted heartbeat.
    last_heartbeat_order: HeartbeatOrder,
    /// Whether a heartbeat has shown the fencing token that proofs require, of this leader.
    pub token_confirmed: bool,
    /// Fencing token, and the start commands that it does not fence off.
    pub fencing: Fencing,
    /// The reply to the last heartbeat contained a `run` command, and no later heartbeat has been received.
    pub reply_may_start_tasks: bool,
    /// Consecutive commands without any sign of arrival. The machine may send heartbeats that arrive while commands to
    /// it are lost.
    pub unacknowledged_commands: u32,
    /// Whether the machine's zone is partitioned.
    pub partitioned: bool,
    /// Tasks of the last heartbeat that have ended or that have no placement here.
    pub unexpected_tasks: Vec<UnexpectedTask>,
}

impl Agent {
    /// Whether the heartbeat is no newer than one already accepted, or comes from an earlier agent epoch. Such a
    /// heartbeat carries no information.
    pub fn is_outdated(&self, heartbeat: HeartbeatOrder) -> bool {
        self.last_heartbeat_ms.is_some() && heartbeat <= self.last_heartbeat_order || heartbeat.agent_epoch < self.epoch
    }

    /// Records a heartbeat that [`Agent::is_outdated`] does not reject.
    pub fn record_heartbeat(&mut self, heartbeat: HeartbeatOrder, now: u64) {
        self.epoch = heartbeat.agent_epoch;
        self.last_heartbeat_order = heartbeat;
        self.last_heartbeat_ms = Some(now);
        self.partitioned = false;
    }

    /// The fencing token for commands of the given leader epoch.
    pub fn token(&self, leader: Epoch) -> FencingToken {
        self.fencing.token(leader)
    }

    /// Records that the agent has shown the required token. Returns false if it was confirmed before.
    pub fn confirm_token(&mut self) -> bool {
        if self.token_confirmed {
            return false;
        }
        self.token_confirmed = true;
        self.unacknowledged_commands = 0;
        true
    }

    /// Raises the fencing token, so that the agent refuses commands that may still be in flight. No placement is
    /// released and no task forgotten until a heartbeat confirms the new token.
    ///
    /// # Errors
    ///
    /// If the token cannot be raised any more in this epoch.
    pub fn raise_token(&mut self) -> Result<(), TokenExhausted> {
        self.fencing.raise()?;
        self.token_confirmed = false;
        Ok(())
    }

    /// Raises the fencing token above `counter`, if it is not, like [`Agent::raise_token`].
    ///
    /// # Errors
    ///
    /// If the token cannot be raised that far in this epoch.
    pub fn raise_token_above(&mut self, counter: u64) -> Result<(), TokenExhausted> {
        self.token_confirmed &= self.fencing.counter() > counter;
        self.fencing.raise_above(counter)
    }

    /// Records that a command arrived at the agent.
    pub fn record_acknowledged_command(&mut self) {
        self.unacknowledged_commands = 0;
    }

    /// Records a command whose arrival is unknown.
    pub fn record_unacknowledged_command(&mut self) {
        self.unacknowledged_commands = self.unacknowledged_commands.saturating_add(1);
    }

    /// Whether the agent's address and epoch are known, so that a direct call can be made.
    pub fn can_be_called(&self) -> bool {
        !self.endpoint.is_empty() && self.epoch > AgentEpoch::NONE
    }
}

#[cfg(test)]
mod tests;
