//! The agent on a machine, as heartbeats and commands show it.

use shaleshunt_wire::worker::ExitCause;
use shaleshunt_wire::{AgentEpoch, Attempt, Epoch, FencingToken};

/// Place of a heartbeat among all of a machine: later ones compare greater.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct HeartbeatOrder {
    /// The agent that sent it.
    pub agent_epoch: AgentEpoch,
    /// Its number among that agent's.
    pub sequence: u64,
}

/// A task that a machine reports and that has no placement there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnexpectedTask {
    /// The task's name as reported.
    pub task: String,
    /// Attempt.
    pub attempt: Attempt,
    /// Why it ended, if it has.
    pub exit: Option<ExitCause>,
}

/// The agent on a machine, as heartbeats and commands show it.
#[derive(Debug, Default)]
pub struct Agent {
    /// Address, empty until known.
    pub endpoint: String,
    /// Its incarnation: placements for an earlier one are gone.
    pub epoch: AgentEpoch,
    /// When this leader last received a heartbeat (ms, monotonic).
    pub last_heartbeat_ms: Option<u64>,
    /// The last heartbeat's place among all.
    last_heartbeat_order: HeartbeatOrder,
    /// A heartbeat under this leader's current fencing token has come.
    pub token_confirmed: bool,
    /// Added to the leader epoch's fencing token when a command's fate is unknown.
    token_counter: u64,
    /// The answer to the last heartbeat held a `run`, and no later heartbeat has come.
    pub reply_may_start_tasks: bool,
    /// Commands in a row of which nothing was seen: it reports, but may not hear us.
    pub unacknowledged_commands: u32,
    /// No machine in its zone can be heard.
    pub partitioned: bool,
    /// Tasks of the last heartbeat that have ended or that are not known here.
    pub unexpected_tasks: Vec<UnexpectedTask>,
}

impl Agent {
    /// Whether a heartbeat is no newer than one taken already, so that it tells nothing.
    pub fn is_outdated(&self, heartbeat: HeartbeatOrder) -> bool {
        self.last_heartbeat_ms.is_some() && heartbeat <= self.last_heartbeat_order || heartbeat.agent_epoch < self.epoch
    }

    /// A heartbeat has come, which [`Agent::is_outdated`] does not call outdated.
    pub fn record_heartbeat(&mut self, heartbeat: HeartbeatOrder, now: u64) {
        self.epoch = heartbeat.agent_epoch;
        self.last_heartbeat_order = heartbeat;
        self.last_heartbeat_ms = Some(now);
        self.partitioned = false;
    }

    /// The fencing token that commands of a leader carry.
    pub fn token(&self, leader: Epoch) -> FencingToken {
        FencingToken::new(leader, self.token_counter)
    }

    /// The agent has shown the current token; false if it had before.
    pub fn confirm_token(&mut self) -> bool {
        if self.token_confirmed {
            return false;
        }
        self.token_confirmed = true;
        self.unacknowledged_commands = 0;
        true
    }

    /// Makes the agent refuse commands that may still be on their way: the token is raised, and
    /// nothing is released or forgotten until a heartbeat confirms the new one.
    pub fn raise_token(&mut self) {
        self.token_counter += 1;
        self.token_confirmed = false;
    }

    /// A command has arrived at the agent.
    pub fn record_acknowledged_command(&mut self) {
        self.unacknowledged_commands = 0;
    }

    /// A command was not seen to arrive.
    pub fn record_unacknowledged_command(&mut self) {
        self.unacknowledged_commands = self.unacknowledged_commands.saturating_add(1);
    }

    /// Whether it can be called: its address and epoch are known.
    pub fn can_be_called(&self) -> bool {
        !self.endpoint.is_empty() && self.epoch > AgentEpoch::NONE
    }
}

#[cfg(test)]
mod tests;
