//! The leader's machines: their capacity and placements, the heartbeats from their agents, and the commands to them.
//!
//! [`Fleet`] owns the machines, the names of their images, the queue of direct calls and the heartbeat state of each
//! zone. Invariants:
//! - A machine's capacity changes only through [`machines::MachineIndex`], which is indexed by free CPUs.
//! - At most one direct call to a machine is in flight ([`crate::model::DirectCall`]).
//! - A placement is released only on proof that it is gone; [`reconciliation`] lists the proofs.
//!
//! Decisions are functions from machines and jobs to typed results: [`reconciliation`], [`commands`], [`health`],
//! [`slow_machines`], [`partitions`], [`lease_expiry`]. The leader carries them out, because that also changes jobs,
//! the store and the queue, on which this module does not depend.

pub(crate) mod calls;
pub(crate) mod commands;
pub(crate) mod event_budget;
pub(crate) mod health;
pub(crate) mod heartbeat_effects;
pub(crate) mod images;
pub(crate) mod interruption;
pub(crate) mod lease_expiry;
pub(crate) mod machines;
pub(crate) mod partitions;
pub(crate) mod probes;
pub(crate) mod reachability;
pub(crate) mod reconciliation;
pub(crate) mod slow_machines;

use crate::leader::fleet::calls::CallQueue;
use crate::leader::fleet::event_budget::EventBudget;
use crate::leader::fleet::images::ImageNames;
use crate::leader::fleet::machines::MachineIndex;
use crate::leader::fleet::reachability::Reachability;
use crate::model::{CallPurpose, Id, Machine, TokenExhausted};

/// The machines and the state that is needed to talk to them.
#[derive(Debug)]
pub(crate) struct Fleet {
    /// Machines by name.
    pub(crate) machines: MachineIndex,
    /// Image names by number.
    pub(crate) images: ImageNames,
    /// Direct calls to make.
    pub(crate) calls: CallQueue,
    /// Heartbeat state of each zone.
    pub(crate) reachability: Reachability,
    /// Number of events about single tasks that may be logged.
    pub(crate) events: EventBudget,
    /// Lowest token counter that is above those of all machines that are gone or have left an address.
    free_counter: u64,
}

impl Fleet {
    /// Creates a fleet without machines.
    pub(crate) fn new(now: u64) -> Fleet {
        Fleet {
            machines: MachineIndex::default(),
            images: ImageNames::default(),
            calls: CallQueue::default(),
            reachability: Reachability::new(now),
            events: EventBudget::new(now),
            free_counter: 0,
        }
    }

    /// Removes a machine that is proven gone. A token confirmation in flight to the machine counts as ended.
    pub(crate) fn remove(&mut self, id: &str) -> Option<Machine> {
        let machine = self.machines.remove(id)?;
        self.free_counter = self.free_counter.max(machine.agent.fencing.counter() + 1);
        if machine.call.in_flight().is_some_and(|call| call.purpose == CallPurpose::ConfirmToken) {
            self.calls.confirmation_ended();
        }
        Some(machine)
    }

    /// Sets the address of a machine, which another machine may have had. The machine's token is raised above those of
    /// all calls to that address, so that its agent refuses copies of calls that were meant for the other machine. The
    /// other machine has no address until it reports one.
    ///
    /// # Errors
    ///
    /// If the token cannot be raised that far in this epoch.
    pub(crate) fn set_endpoint(&mut self, id: &str, endpoint: &str) -> Result<(), TokenExhausted> {
        let former = self.machines.machine_at(endpoint).and_then(|other| self.machines.get(other));
        let own = self.machines.get(id).filter(|machine| !machine.agent.endpoint.is_empty());
        for machine in former.into_iter().chain(own) {
            self.free_counter = self.free_counter.max(machine.agent.fencing.counter() + 1);
        }
        self.machines.set_endpoint(id, endpoint.to_string());
        let lowest = self.free_counter;
        let Some(machine) = self.machines.get_mut(id) else { return Ok(()) };
        if machine.agent.fencing.counter() < lowest { machine.agent.raise_token_above(lowest - 1) } else { Ok(()) }
    }

    /// Whether a machine gets the address with which the cloud lists it: if it has none, and no other machine has that
    /// address. A machine that is gone is listed for a while, perhaps with the address that another one reports.
    pub(crate) fn takes_listed_endpoint(&self, id: &str, endpoint: &str) -> bool {
        let has_none = self.machines.get(id).is_some_and(|machine| machine.agent.endpoint.is_empty());
        has_none && self.machines.machine_at(endpoint).is_none()
    }

    /// Queues every machine that can be called for a confirmation of the fencing token.
    pub(crate) fn confirm_all_tokens(&mut self) {
        let callable = self.machines.values().filter(|machine| machine.agent.can_be_called());
        self.calls.set_unconfirmed(callable.map(|machine| machine.id.clone()));
    }

    /// The next machine to ask for a confirmation of the fencing token, if fewer than `max_in_flight` confirmations are
    /// in flight. Skips machines that have confirmed meanwhile and machines with a call in flight.
    pub(crate) fn next_to_confirm(&mut self, max_in_flight: u32) -> Option<Id> {
        let machines = &self.machines;
        self.calls.next_unconfirmed(max_in_flight, |id| {
            machines.get(id).is_some_and(|machine| {
                !machine.agent.token_confirmed && machine.call.is_idle() && machine.agent.can_be_called()
            })
        })
    }
}

#[cfg(test)]
mod tests;
