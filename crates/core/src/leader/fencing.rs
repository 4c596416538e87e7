//! Fencing of agents: the tokens that they have seen, and the tokens under which they may forget attempts.

use crate::leader::Leader;
use crate::model::{Fencing, Id, Machine, TokenExhausted};
use crate::step_down::StepDownReason;
use shaleshunt_wire::FencingToken;
use shaleshunt_wire::worker::TaskCommand;

impl Leader {
    /// Compares the fencing token that a machine has seen with the one that proofs require. Returns whether the
    /// heartbeat shows that token or a later one.
    pub(super) fn check_token(&mut self, machine: &Id, seen: FencingToken) -> bool {
        let Some(m) = self.fleet.machines.get_mut(machine) else { return false };
        if seen < m.agent.fencing.required_token(self.epoch) {
            return false;
        }
        if seen.epoch() == self.epoch && seen > m.agent.token(self.epoch) {
            // A call for an earlier machine with this address has reached the agent, which drops lower tokens now.
            let raised = m.agent.raise_token_above(seen.counter());
            self.step_down_if_exhausted(raised);
            return false;
        }
        if m.agent.confirm_token() {
            self.scheduler.request_pass();
        }
        if seen.epoch() > self.epoch {
            self.step_down = Some(StepDownReason::NewerFencingToken);
        }
        true
    }

    /// Sets the address of a machine if it is a new one.
    pub(crate) fn update_endpoint(&mut self, machine: &Id, endpoint: &str) {
        let is_new = self.fleet.machines.get(machine).is_some_and(|m| m.agent.endpoint != endpoint);
        if is_new {
            let raised = self.fleet.set_endpoint(machine, endpoint);
            self.step_down_if_exhausted(raised);
        }
    }

    /// Steps down if a token could not be raised: the next epoch has new ones.
    pub(super) fn step_down_if_exhausted(&mut self, raised: Result<(), TokenExhausted>) {
        if raised.is_err() {
            self.step_down = Some(StepDownReason::NumbersExhausted);
        }
    }
}

/// Raises the token if the commands have the agent forget an attempt of which a direct call under the current token
/// carried the start command: a copy of that call could start the attempt again. If the token cannot be raised, the
/// agent is not told to forget such attempts.
pub(super) fn fence_forgotten_attempts(
    machine: &mut Machine,
    commands: &mut Vec<TaskCommand>,
) -> Result<(), TokenExhausted> {
    let fencing = &mut machine.agent.fencing;
    if !commands.iter().any(|command| forgets_unfenced_attempt(command, fencing)) {
        return Ok(());
    }
    let fenced = fencing.fence_direct_starts();
    if fenced.is_err() {
        commands.retain(|command| !forgets_unfenced_attempt(command, fencing));
    }
    fenced
}

fn forgets_unfenced_attempt(command: &TaskCommand, fencing: &Fencing) -> bool {
    match command {
        TaskCommand::Forget { attempt, .. } => fencing.direct_starts().contains(attempt),
        TaskCommand::Run { .. } | TaskCommand::Stop { .. } => false,
    }
}

#[cfg(test)]
mod tests;
